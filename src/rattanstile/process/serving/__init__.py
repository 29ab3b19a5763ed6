"""Calls at the node whose target runs them."""
