"""Serving side of a node: admission, queueing and dispatch to its target."""
