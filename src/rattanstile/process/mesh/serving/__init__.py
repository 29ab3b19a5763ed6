"""Calls to the local target: its queue, its health and its incarnations."""
