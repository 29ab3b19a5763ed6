"""Trials on live processes: the fleet, the load and the measures."""
