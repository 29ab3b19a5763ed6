"""Stand-ins for the platform's log, store and targets in trials and tests."""
