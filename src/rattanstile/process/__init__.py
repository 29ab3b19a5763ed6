"""The node process: its services, state machines, logs and settings."""
