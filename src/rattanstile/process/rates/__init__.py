"""Rates of organisations over the fleet."""
