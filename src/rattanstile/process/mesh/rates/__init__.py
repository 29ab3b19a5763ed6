"""Organisations' rates over the whole fleet."""
