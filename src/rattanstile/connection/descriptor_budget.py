"""How many connections each listener may have, of the descriptors allowed.

Addresses crowds that open connections until the process has no descriptor left
for the store, other nodes, the target and operators.
"""

import resource
from dataclasses import dataclass

MAX_RESERVE = 768
"""Room for 400 nodes, 250 connections to the target, the small listeners, the
store and files."""
RESERVE_PART = 1 / 2
"""Reserved of a small limit, whose fleet is small too."""
SMALL_LISTENER_PART = 1 / 16
"""Of the reserve, for each of the listeners that callers don't use."""
UNKNOWN_NODES_PART = 1 / 8
"""Of the reserve, for connections that haven't named their node."""
MIN_CONNECTIONS = 4
UNLIMITED_DESCRIPTORS = 1 << 20
"""Stands for no limit, which the system reports as -1."""


@dataclass(frozen=True, slots=True)
class DescriptorBudget:
    """Connections of each listener.

    Attributes:
        callers: Connections of callers.
        small_listener: Connections of each other HTTP listener.
        unknown_nodes: Connections of nodes that are not named yet.
    """

    callers: int
    small_listener: int
    unknown_nodes: int


def descriptor_limit() -> int:
    """Return the limit of open descriptors of this process."""
    limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    return UNLIMITED_DESCRIPTORS if limit == resource.RLIM_INFINITY else limit


def max_reserve(limit: int) -> int:
    """Return the largest reserve that leaves callers some connections."""
    return limit - MIN_CONNECTIONS


def default_reserve(limit: int) -> int:
    """Return how many descriptors callers don't get."""
    return min(MAX_RESERVE, int(limit * RESERVE_PART))


def descriptor_budget(limit: int, reserve: int) -> DescriptorBudget:
    """Divide the descriptors.

    Args:
        limit: Limit of the process.
        reserve: Descriptors that callers don't get, up to `max_reserve`; 0
            for the default.
    """
    reserved = reserve or default_reserve(limit)
    return DescriptorBudget(
        callers=max(MIN_CONNECTIONS, limit - reserved),
        small_listener=max(
            MIN_CONNECTIONS, int(reserved * SMALL_LISTENER_PART)
        ),
        unknown_nodes=max(MIN_CONNECTIONS, int(reserved * UNKNOWN_NODES_PART)),
    )
