"""Stand-ins for the platform's log and for targets, for trials and tests."""
