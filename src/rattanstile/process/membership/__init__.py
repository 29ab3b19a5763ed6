"""Membership: discovery, failure detection, and unreachable nodes."""
