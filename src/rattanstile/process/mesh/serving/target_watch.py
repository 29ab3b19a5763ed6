"""State of the local target, from its announcements and health probes.

After a start of this node or a loss of the target's connections, the target
is not used until it announces itself or answers a probe: it may be another
incarnation, and cold.
"""

import math
from dataclasses import dataclass, replace
from enum import Enum, unique

from rattanstile.process.mesh.serving.past_incarnations import (
    NO_DEPARTURE,
    NO_INCARNATION,
    Incarnation,
    PastIncarnations,
    PastKind,
    TargetDeparture,
)
from rattanstile.request.ids import (
    NO_VERSION,
    ServiceName,
    TargetId,
    TargetVersion,
)

INITIAL_PROBE_PERIOD_S = 0.25
"""Period of the first probes, so that a restarted target is used within a
quarter of a second."""
MAX_PROBE_PERIOD_S = 1.0
MAX_SILENCE_S = 4.0
"""A target that runs announces itself twice within this time."""


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
        is_born_ahead: Whether the start lies ahead of the VM's clock, which
            has been set back since.
        version: Version of its program.
    """

    target_id: TargetId
    service: ServiceName
    address: str
    slots: int
    state: TargetState
    sequence: int
    cold_s: float
    born_ms: int
    is_born_ahead: bool = False
    version: TargetVersion = NO_VERSION

    @property
    def incarnation(self) -> Incarnation:
        """Return the incarnation that announces itself."""
        return Incarnation(self.target_id, self.born_ms)


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

    Args:
        service: Service that the target is to serve.
        awaits_departure: Whether an earlier process of this node may have
            recorded a departure that is not restored yet. Until it is, a
            single announcement may be a late one of a target that left.

    Attributes:
        service: Service that the target serves.
        version: Version that it announces; empty while it is unknown.
        slots: Concurrent calls that it accepts.
        cold_until_s: Monotonic time until which it is cold.
        is_leaving: Whether the current incarnation deregistered or drains.
        is_verified: Whether the target is known to run, by an announcement
            or a probe.
        last_departure: Last incarnation that deregistered or began to drain.
    """

    def __init__(
        self, service: ServiceName, *, awaits_departure: bool = False
    ) -> None:
        """Initialize without a target."""
        self.service = service
        self.version = TargetVersion('')
        self.slots = 0
        self.cold_until_s = 0.0
        self.is_leaving = False
        self.is_verified = False
        self.last_departure = NO_DEPARTURE
        self._current = NO_INCARNATION
        self._sequence = -1
        self._heard_s = -math.inf
        self._may_have_restarted = False
        self._is_service_known = True
        self._past = PastIncarnations()
        self._awaits_departure = awaits_departure
        self._is_held = False
        self._may_probe = False
        self._probe_due_s = 0.0
        self._probe_period_s = INITIAL_PROBE_PERIOD_S

    @property
    def target_id(self) -> TargetId:
        """Return the ID of the current incarnation; empty for none."""
        return self._current.target_id

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
        past = self._past.kind_of(
            now_s,
            announcement.incarnation,
            is_born_ahead=announcement.is_born_ahead,
        )
        is_same = self._continues(announcement)
        if past in {PastKind.DEPARTED, PastKind.REPLACED} or not (
            is_same or self._takes_over(now_s, announcement, past)
        ):
            return TargetChange.NOTHING
        if not is_same:
            self._start_announced(now_s, announcement)
        self._sequence = announcement.sequence
        self._heard_s = now_s
        self._may_have_restarted = False
        self._is_service_known = True
        self.service = announcement.service
        self.version = announcement.version
        self.slots = announcement.slots
        self.cold_until_s = now_s + announcement.cold_s
        if announcement.state is TargetState.DRAINING:
            return self._depart(
                now_s,
                TargetDeparture(announcement.target_id, announcement.born_ms),
            )
        self.is_leaving = False
        self._is_held = self._awaits_departure and not is_same
        self.is_verified = not self._is_held
        self._probe_period_s = INITIAL_PROBE_PERIOD_S
        return TargetChange.RENEWED if is_same else TargetChange.NEW

    def deregistered(
        self, now_s: float, departure: TargetDeparture
    ) -> TargetChange:
        """Apply a deregistration and return what it changed."""
        is_current = departure.target_id == self.target_id
        if is_current and self._is_of_replaced(now_s, departure):
            return TargetChange.NOTHING
        if is_current and departure.is_latest:
            departure = self._latest_departure(now_s, departure)
        if is_current and self.is_leaving:
            # Its departure is stored already.
            self._past.add_departure(now_s, departure)
            return TargetChange.NOTHING
        if self.target_id and not is_current:
            self._past.add_departure(now_s, departure)
            if not self.is_leaving:
                # The departure of the current one must not be forgotten.
                self.last_departure = departure
            return TargetChange.NOTHING
        self._start(now_s, Incarnation(departure.target_id, departure.born_ms))
        self._heard_s = now_s
        return self._depart(now_s, departure)

    def restore_departure(
        self, now_s: float, departure: TargetDeparture
    ) -> None:
        """Restore the departure recorded by an earlier process of this node.

        The target is not probed before, as a target that has deregistered
        may still answer that it is healthy.

        Args:
            departure: The last departure; `NO_DEPARTURE` for none.
        """
        self._may_probe = True
        if departure.target_id:
            self._apply_restored(now_s, replace(departure, is_latest=True))
        if self._is_held:
            self.is_verified = True
        self._is_held = False
        self._awaits_departure = False

    def probed(self, now_s: float, result: ProbeResult) -> TargetChange:
        """Apply the result of a probe and return what it changed."""
        if not result.is_healthy or not result.target_id:
            return TargetChange.NOTHING
        if self._past.has_left(result.target_id):
            return TargetChange.NOTHING
        if result.target_id != self.target_id:
            self._start_probed(now_s, result.target_id)
        if not self._is_service_known:
            return TargetChange.NOTHING
        was_verified = self.is_verified
        self.is_verified = True
        self.cold_until_s = now_s + (result.cold_s or 0)
        self._probe_period_s = INITIAL_PROBE_PERIOD_S
        return TargetChange.RENEWED if was_verified else TargetChange.NEW

    def suspect(self, now_s: float) -> None:
        """Stop using the target until its next announcement or answer."""
        self._may_have_restarted = True
        self._is_held = False
        if self.is_verified:
            self.is_verified = False
            self._probe_due_s = now_s

    def settings_named(self, now_s: float, service: ServiceName) -> None:
        """Apply the service that changed settings name for the target.

        The address of a target that has ended may be assigned to one of
        another service, whose response to a probe doesn't say so.
        """
        if not self.target_id:
            self.service = service
        elif service != self.service:
            self._is_service_known = False
            self.suspect(now_s)

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

    def _continues(self, announcement: Announcement) -> bool:
        """Return whether this is the next word of the current incarnation."""
        return (
            announcement.incarnation == self._current
            and announcement.sequence > self._sequence
        )

    def _takes_over(
        self, now_s: float, announcement: Announcement, past: PastKind | None
    ) -> bool:
        """Return whether another incarnation has taken the target's place.

        One that seems to have started before the current one may be late, or
        started after the clock of its VM was set back. If it leaves, that is
        believed in any case; if it is ready, only once the current one may
        have ended.
        """
        current = self._current
        if announcement.incarnation == current and current.born_ms:
            return False
        if not current.born_ms:
            return True
        is_later = announcement.born_ms > current.born_ms
        if is_later and past is None and not announcement.is_born_ahead:
            return True
        if announcement.state is TargetState.DRAINING:
            return True
        is_silent = now_s - self._heard_s > MAX_SILENCE_S
        return self._may_have_restarted or is_silent

    def _start(self, now_s: float, incarnation: Incarnation) -> None:
        is_doubtful = incarnation.born_ms < self._current.born_ms
        if incarnation != self._current:
            self._past.add_replaced(
                now_s, self._current, is_doubtful=is_doubtful
            )
        self._current = incarnation

    def _start_announced(
        self, now_s: float, announcement: Announcement
    ) -> None:
        self._start(now_s, announcement.incarnation)
        self.is_leaving = False

    def _start_probed(self, now_s: float, target_id: TargetId) -> None:
        """Start an incarnation that answers at the address of an earlier one.

        It may be of another service: it isn't used until it announces itself.
        The clock of its VM may have been set back, so that it seems to have
        started before the earlier one; its announcements count all the same.
        """
        if self.target_id:
            self._is_service_known = False
            self.is_verified = False
        self._past.add_replaced(now_s, self._current, is_doubtful=False)
        self._past.forget_replaced(target_id)
        self.version = TargetVersion('')
        self._current = Incarnation(target_id, 0)
        self._sequence = -1
        self.is_leaving = False

    def _latest_departure(
        self, now_s: float, departure: TargetDeparture
    ) -> TargetDeparture:
        """Return a departure that includes the current incarnation.

        The one that leaves may also be a later one, of which nothing came.
        """
        born_ms = self._current.born_ms
        if born_ms:
            known = TargetDeparture(departure.target_id, born_ms)
            self._past.add_departure(now_s, known)
        return replace(departure, born_ms=max(departure.born_ms, born_ms))

    def _is_of_replaced(self, now_s: float, departure: TargetDeparture) -> bool:
        """Return whether an earlier run with the same ID deregisters late."""
        incarnation = Incarnation(departure.target_id, departure.born_ms)
        past = self._past.kind_of(now_s, incarnation, is_born_ahead=False)
        return past is PastKind.REPLACED and not departure.is_latest

    def _apply_restored(self, now_s: float, departure: TargetDeparture) -> None:
        self._past.add_departure(now_s, departure)
        if not self.last_departure.target_id:
            self.last_departure = departure
        incarnation = Incarnation(departure.target_id, departure.born_ms)
        is_current = (
            departure.target_id == self.target_id
            and self._current.born_ms <= departure.born_ms
        )
        if is_current or not self.target_id:
            self._current = incarnation
            self.is_leaving = True

    def _depart(self, now_s: float, departure: TargetDeparture) -> TargetChange:
        self._past.add_departure(now_s, departure)
        self.last_departure = departure
        was_leaving = self.is_leaving
        self.is_leaving = True
        return TargetChange.NOTHING if was_leaving else TargetChange.LEAVING
