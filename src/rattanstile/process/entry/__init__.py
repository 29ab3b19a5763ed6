"""Calls at the node where they came in."""
