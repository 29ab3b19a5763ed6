"""Choice of the node that serves an attempt, and retries."""
