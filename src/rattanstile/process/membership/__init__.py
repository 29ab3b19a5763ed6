"""Which nodes there are."""
