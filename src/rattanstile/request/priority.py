"""Priority of a request under overload."""

from enum import IntEnum, unique


@unique
class Priority(IntEnum):
    """Order in which requests are shed: the lowest value is shed first."""

    BACKGROUND = 0
    LOOKUP = 1
    TRANSACTION = 2


NOTHING_SHED = Priority.BACKGROUND
"""Shed level of a node that admits every priority."""


@unique
class RequestKind(IntEnum):
    """Kind of work that a route does, as named in a service declaration."""

    BACKGROUND = 0
    LOOKUP = 1
    CLAIM = 2
    PAYMENT = 3
    BOOKING = 4

    @property
    def priority(self) -> Priority:
        """Return the priority of this kind of request."""
        return Priority(min(self.value, Priority.TRANSACTION.value))
