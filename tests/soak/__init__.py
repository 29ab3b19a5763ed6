"""Randomized soak test: injects faults into processes, checks guarantees."""
