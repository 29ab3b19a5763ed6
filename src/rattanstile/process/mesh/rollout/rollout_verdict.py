"""Decisions on the order to move a service, and their stored status."""

from dataclasses import dataclass
from enum import Enum, IntEnum, unique

from rattanstile.request.ids import ServiceName, TargetVersion


@unique
class Verdict(IntEnum):
    """Decision on an order; a node takes the highest that it hears.

    `ACCEPTED` and `REJECTED` have no acknowledged status yet. An accepted
    version may still be rejected, but not the other way round.
    """

    NONE = 0
    ACCEPTED = 1
    REJECTED = 2
    COMPLETED = 3
    ROLLED_BACK = 4

    @property
    def is_final(self) -> bool:
        """Return whether a status that can't change was acknowledged."""
        return self in {Verdict.COMPLETED, Verdict.ROLLED_BACK}

    @property
    def is_for_new(self) -> bool:
        """Return whether the service is to use only the new version."""
        return self in {Verdict.ACCEPTED, Verdict.COMPLETED}

    @property
    def is_against_new(self) -> bool:
        """Return whether the new version gets no more calls."""
        return self in {Verdict.REJECTED, Verdict.ROLLED_BACK}


@unique
class RolloutState(Enum):
    """State of an order as it is stored for operators and the platform."""

    RUNNING = 'running'
    COMPLETED = 'completed'
    ROLLED_BACK = 'rolled_back'


@dataclass(frozen=True, slots=True)
class RolloutStatus:
    """The stored status of the latest order of a service."""

    service: ServiceName
    version: TargetVersion
    state: RolloutState


def verdict_of(value: int) -> Verdict:
    """Return the verdict that a message names; none for an unknown value."""
    try:
        return Verdict(value)
    except ValueError:
        return Verdict.NONE
