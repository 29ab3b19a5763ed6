"""State of the local target, from its announcements and health probes.

After a start of this node or a loss of the target's connections, the target
is not used until it announces itself or answers a probe: it may be another
incarnation, and cold.
"""

from dataclasses import dataclass
from enum import Enum, unique

from rattanstile.request.ids import ServiceName, TargetId

INITIAL_PROBE_PERIOD_S = 0.25
"""Period of the first probes, so that a restarted target is used within a
quarter of a second."""
MAX_PROBE_PERIOD_S = 1.0


@unique
class TargetState(Enum):
    """State that a target announces."""

    READY = 'ready'
    DRAINING = 'draining'


@dataclass(frozen=True, slots=True)
class Announcement:
    """State that a target reports to the node on its VM.

    Attributes:
        target_id: Usually differs between incarnations.
        slots: Concurrent calls that the target accepts.
        sequence: Increases with each announcement of an incarnation.
        cold_s: Remaining time that the target is cold.
        born_ms: Start of the incarnation by the target's clock.
    """

    target_id: TargetId
    service: ServiceName
    address: str
    slots: int
    state: TargetState
    sequence: int
    cold_s: float
    born_ms: int


@dataclass(frozen=True, slots=True)
class TargetDeparture:
    """An incarnation of a target that deregistered or began to drain.

    Attributes:
        born_ms: Start of the incarnation by the target's clock.
    """

    target_id: TargetId
    born_ms: int

    def includes(self, target_id: TargetId, born_ms: int) -> bool:
        """Return whether an incarnation is this one or an earlier one."""
        return target_id == self.target_id and born_ms <= self.born_ms


NO_DEPARTURE = TargetDeparture(TargetId(''), 0)


@dataclass(frozen=True, slots=True)
class ProbeResult:
    """Result of a health probe.

    Attributes:
        target_id: Empty if the response has none.
        cold_s: Remaining time that the target is cold; None if not stated.
    """

    target_id: TargetId
    is_healthy: bool
    cold_s: float | None


@unique
class TargetChange(Enum):
    """Change of the target's state by an announcement or probe."""

    NOTHING = 'nothing'
    RENEWED = 'renewed'
    NEW = 'new'
    LEAVING = 'leaving'


class TargetWatch:
    """Tracks the incarnations of one target.

    Attributes:
        target_id: Current incarnation; empty for none.
        service: Service that the target serves.
        slots: Concurrent calls that it accepts.
        cold_until_s: Monotonic time until which it is cold.
        is_leaving: Whether the current incarnation deregistered or drains.
        is_verified: Whether the target is known to run, by an announcement
            or a probe.
        last_departure: Last incarnation that deregistered or began to drain.
    """

    def __init__(self, service: ServiceName) -> None:
        """Initialize without a target."""
        self.target_id = TargetId('')
        self.service = service
        self.slots = 0
        self.cold_until_s = 0.0
        self.is_leaving = False
        self.is_verified = False
        self._born_ms = 0
        self._sequence = -1
        self.last_departure = NO_DEPARTURE
        self._replaced = NO_DEPARTURE
        self._may_probe = False
        self._probe_due_s = 0.0
        self._probe_period_s = INITIAL_PROBE_PERIOD_S

    @property
    def is_usable(self) -> bool:
        """Return whether calls may be sent to the target."""
        return self.is_verified and not self.is_leaving

    def is_cold(self, now_s: float) -> bool:
        """Return whether the target can run only its cold rate."""
        return now_s < self.cold_until_s

    def announced(
        self, now_s: float, announcement: Announcement
    ) -> TargetChange:
        """Apply an announcement and return what it changed.

        Outdated announcements and those of departed incarnations are ignored.
        """
        order = (announcement.born_ms, announcement.sequence)
        is_same = (
            announcement.target_id == self.target_id
            and announcement.born_ms == self._born_ms
        )
        if order <= (self._born_ms, self._sequence):
            return TargetChange.NOTHING
        if self._has_gone(announcement):
            return TargetChange.NOTHING
        self._born_ms = announcement.born_ms
        self._sequence = announcement.sequence
        if not is_same:
            self._start_incarnation(announcement.target_id)
        self.service = announcement.service
        self.slots = announcement.slots
        self.cold_until_s = now_s + announcement.cold_s
        if announcement.state is TargetState.DRAINING:
            self.last_departure = TargetDeparture(
                announcement.target_id, announcement.born_ms
            )
            return self._mark_leaving()
        self.is_verified = True
        self._probe_period_s = INITIAL_PROBE_PERIOD_S
        return TargetChange.RENEWED if is_same else TargetChange.NEW

    def deregistered(self, departure: TargetDeparture) -> TargetChange:
        """Apply a deregistration and return what it changed."""
        is_current = departure.target_id == self.target_id
        if self.is_leaving and not is_current:
            # The departure of the current incarnation must not be forgotten.
            self._replaced = departure
            return TargetChange.NOTHING
        born_ms = departure.born_ms
        if is_current:
            born_ms = max(born_ms, self._born_ms)
        self.last_departure = TargetDeparture(departure.target_id, born_ms)
        if self.target_id not in {departure.target_id, TargetId('')}:
            return TargetChange.NOTHING
        self.target_id = departure.target_id
        return self._mark_leaving()

    def restore_departure(self, departure: TargetDeparture) -> None:
        """Restore the departure recorded by an earlier process of this node.

        The target is not probed before, as a target that has deregistered
        may still answer that it is healthy.

        Args:
            departure: The last departure; `NO_DEPARTURE` for none.
        """
        self._may_probe = True
        if not departure.target_id:
            return
        self.last_departure = departure
        if self.target_id in {departure.target_id, TargetId('')}:
            self.target_id = departure.target_id
            self.is_leaving = True

    def probed(self, now_s: float, result: ProbeResult) -> TargetChange:
        """Apply the result of a probe and return what it changed."""
        if not result.is_healthy or not result.target_id:
            return TargetChange.NOTHING
        if result.target_id == self.last_departure.target_id:
            return TargetChange.NOTHING
        if result.target_id != self.target_id:
            self._replace_incarnation(result.target_id)
        was_verified = self.is_verified
        self.is_verified = True
        self.cold_until_s = now_s + (result.cold_s or 0)
        self._probe_period_s = INITIAL_PROBE_PERIOD_S
        return TargetChange.RENEWED if was_verified else TargetChange.NEW

    def suspect(self, now_s: float) -> None:
        """Stop using the target until its next announcement or answer."""
        if self.is_verified:
            self.is_verified = False
            self._probe_due_s = now_s

    def poll_probe_due(self, now_s: float) -> bool:
        """Return whether a probe is due, and schedule the next one if so."""
        if self.is_verified or not self._may_probe:
            return False
        if self.is_leaving or now_s < self._probe_due_s:
            return False
        self._probe_due_s = now_s + self._probe_period_s
        self._probe_period_s = min(
            self._probe_period_s * 1.5, MAX_PROBE_PERIOD_S
        )
        return True

    def _start_incarnation(self, target_id: TargetId) -> None:
        self.target_id = target_id
        self.is_leaving = False

    def _has_gone(self, announcement: Announcement) -> bool:
        """Return whether an announcement is of an incarnation that has gone."""
        return any(
            departure.includes(announcement.target_id, announcement.born_ms)
            for departure in (self.last_departure, self._replaced)
        )

    def _replace_incarnation(self, target_id: TargetId) -> None:
        """Start an incarnation that answers at the address of an earlier one.

        The clock of its VM may have been set back, so that it seems to have
        started before the earlier one; its announcements count all the same.
        """
        self._replaced = TargetDeparture(self.target_id, self._born_ms)
        self._born_ms = 0
        self._sequence = -1
        self._start_incarnation(target_id)

    def _mark_leaving(self) -> TargetChange:
        was_leaving = self.is_leaving
        self.is_leaving = True
        return TargetChange.NOTHING if was_leaving else TargetChange.LEAVING
