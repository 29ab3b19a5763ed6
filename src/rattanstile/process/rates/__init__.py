"""Rate limits of organisations across the whole fleet."""
