"""Trials on live processes: fleet, load generator, faults and measures."""
