"""Callers' requests from arrival to response."""
