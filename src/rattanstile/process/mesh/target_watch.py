"""What a node knows of the target beside it, from announcements and probes.

A target that has not been heard since this node started, or since its
connections broke, is not used until it announces itself or answers a probe:
it may be another incarnation, and cold.
"""

from dataclasses import dataclass
from enum import Enum, unique

from rattanstile.request.ids import ServiceName, TargetId

PROBE_PERIOD_S = 0.25
"""A target that is back is used within a quarter of a second."""
LONGEST_PROBE_PERIOD_S = 1.0


@unique
class TargetState(Enum):
    """What a target says of itself."""

    READY = 'ready'
    DRAINING = 'draining'


@dataclass(frozen=True, slots=True)
class Announcement:
    """What a target tells the node beside it.

    Attributes:
        target_id: Differs between incarnations, mostly.
        born_ms: Start of the incarnation, as the target's clock gives it.
        sequence: Larger in each later announcement of an incarnation.
        cold_s: How much longer it stays cold.
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
    """An incarnation of a target that says that it goes.

    Attributes:
        born_ms: Start of the incarnation, as the target's clock gives it.
    """

    target_id: TargetId
    born_ms: int

    def includes(self, target_id: TargetId, born_ms: int) -> bool:
        """Tell whether an incarnation is this one, or an earlier one."""
        return target_id == self.target_id and born_ms <= self.born_ms


NO_DEPARTURE = TargetDeparture(TargetId(''), 0)


@dataclass(frozen=True, slots=True)
class ProbeResult:
    """What a target answered to a probe.

    Attributes:
        target_id: Empty when it named none.
        cold_s: None when it said nothing of being cold.
    """

    target_id: TargetId
    is_healthy: bool
    cold_s: float | None


@unique
class TargetChange(Enum):
    """What an announcement or probe changed."""

    NOTHING = 'nothing'
    RENEWED = 'renewed'
    NEW = 'new'
    LEAVING = 'leaving'


class TargetWatch:
    """Follows the incarnations of one target.

    Attributes:
        target_id: The incarnation in use; empty for none.
        slots: Calls at once that it takes.
        cold_until_s: Monotonic time at which it is warm.
    """

    def __init__(self, service: ServiceName) -> None:
        """Begin without a target."""
        self.target_id = TargetId('')
        self.service = service
        self.slots = 0
        self.cold_until_s = 0.0
        self.is_leaving = False
        self.is_verified = False
        self._born_ms = 0
        self._sequence = -1
        self.last_departure = NO_DEPARTURE
        self._may_probe = False
        self._probe_due_s = 0.0
        self._probe_period_s = PROBE_PERIOD_S

    @property
    def is_usable(self) -> bool:
        """Tell whether calls may be sent to the target."""
        return self.is_verified and not self.is_leaving

    def is_cold(self, now_s: float) -> bool:
        """Tell whether the target bears its cold rate only."""
        return now_s < self.cold_until_s

    def announced(self, now_s: float, told: Announcement) -> TargetChange:
        """Take an announcement; late ones change nothing."""
        order = (told.born_ms, told.sequence)
        is_same = (
            told.target_id == self.target_id and told.born_ms == self._born_ms
        )
        if order <= (self._born_ms, self._sequence):
            return TargetChange.NOTHING
        if self.last_departure.includes(told.target_id, told.born_ms):
            return TargetChange.NOTHING
        self._born_ms = told.born_ms
        self._sequence = told.sequence
        if not is_same:
            self._begin(told.target_id)
        self.service = told.service
        self.slots = told.slots
        self.cold_until_s = now_s + told.cold_s
        if told.state is TargetState.DRAINING:
            self.last_departure = TargetDeparture(told.target_id, told.born_ms)
            return self._leave()
        self.is_verified = True
        self._probe_period_s = PROBE_PERIOD_S
        return TargetChange.RENEWED if is_same else TargetChange.NEW

    def deregistered(self, told: TargetDeparture) -> TargetChange:
        """Take a target's word that it goes."""
        born_ms = told.born_ms
        if told.target_id == self.target_id:
            born_ms = max(born_ms, self._born_ms)
        self.last_departure = TargetDeparture(told.target_id, born_ms)
        if self.target_id not in {told.target_id, TargetId('')}:
            return TargetChange.NOTHING
        self.target_id = told.target_id
        return self._leave()

    def restore_departure(self, deregistered: TargetDeparture) -> None:
        """Learn what an earlier run of this node was told.

        Until then a probe isn't believed: a target that said that it goes
        may still answer that it is healthy.
        """
        self._may_probe = True
        if not deregistered.target_id:
            return
        self.last_departure = deregistered
        if self.target_id in {deregistered.target_id, TargetId('')}:
            self.target_id = deregistered.target_id
            self.is_leaving = True

    def probed(self, now_s: float, probed: ProbeResult) -> TargetChange:
        """Take the answer to a probe."""
        if not probed.is_healthy or not probed.target_id:
            return TargetChange.NOTHING
        if probed.target_id == self.last_departure.target_id:
            return TargetChange.NOTHING
        if probed.target_id != self.target_id:
            self._begin(probed.target_id)
        was_verified = self.is_verified
        self.is_verified = True
        self.cold_until_s = now_s + (probed.cold_s or 0)
        self._probe_period_s = PROBE_PERIOD_S
        return TargetChange.RENEWED if was_verified else TargetChange.NEW

    def suspect(self, now_s: float) -> None:
        """Stop using the target until it is heard again."""
        if self.is_verified:
            self.is_verified = False
            self._probe_due_s = now_s

    def wants_probe(self, now_s: float) -> bool:
        """Tell, once a period, whether the target is to be probed."""
        if self.is_verified or not self._may_probe:
            return False
        if self.is_leaving or now_s < self._probe_due_s:
            return False
        self._probe_due_s = now_s + self._probe_period_s
        self._probe_period_s = min(
            self._probe_period_s * 1.5, LONGEST_PROBE_PERIOD_S
        )
        return True

    def _begin(self, target_id: TargetId) -> None:
        self.target_id = target_id
        self.is_leaving = False

    def _leave(self) -> TargetChange:
        was_leaving = self.is_leaving
        self.is_leaving = True
        return TargetChange.NOTHING if was_leaving else TargetChange.LEAVING
