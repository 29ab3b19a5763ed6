"""Entry side of a node: handles the calls that callers send to it."""
