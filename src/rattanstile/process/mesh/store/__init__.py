"""Operators' state from the platform's store, and its relay."""
