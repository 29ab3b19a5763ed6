"""Times set aside for refused callers that return.

The load pattern: for seconds a service can take only a part of its demand.
Callers that return when told meet the same shortage as new ones, and are
refused a second time. So a refused caller is told a time at which it is
admitted. A part of what its request class is admitted at this node is given
out as such times, each organisation in turn (virtual scheduling as in the
generic cell rate algorithm, ITU-T I.371), so that they are spread and none
takes those of another.

A caller returns on a new connection with a new request id. It is recognised
by its organisation, its route and the time: a claim is open for a moment only.
Nothing is held back for claims that nobody makes, as admission counts those
that were made.
"""

from collections import OrderedDict, deque
from dataclasses import dataclass, field
from random import Random

from rattanstile.process.mesh.admission.service_needs import RunKind
from rattanstile.request.ids import OrganisationId

EARLY_S = 0.03
"""A claim is open this long before its time, as delays are sent rounded."""
LATE_S = 0.2
"""And this long after it: a new connection takes a round trip or two, more
while the VM is busy."""
ACTIVE_S = 2.0
"""An organisation takes part in the division for this long after a request."""
MAX_KEYS = 1000
MAX_CLAIMS_PER_KEY = 50
"""Bounds of what is kept; the longest wait of a caller is some seconds."""
MIN_PER_S = 0.05


@dataclass(frozen=True, slots=True)
class ReturnKey:
    """What a returning caller is recognised by, beside the time."""

    organisation: OrganisationId
    run_kind: RunKind


@dataclass(frozen=True, slots=True)
class ReturnWindow:
    """When a refused caller can return.

    Attributes:
        earliest_s: Monotonic time before which no retry can succeed.
        latest_s: Monotonic time after which the caller doesn't return.
    """

    earliest_s: float
    latest_s: float


@dataclass(eq=False, slots=True)
class _Claims:
    """Times set aside for one key.

    Attributes:
        times_s: Monotonic times of the open claims, ascending.
        next_s: Monotonic time of the next one that can be given.
        seen_s: Monotonic time of the latest request.
    """

    times_s: deque[float] = field(default_factory=deque)
    next_s: float = 0.0
    seen_s: float = 0.0

    def drop_past(self, now_s: float) -> int:
        """Drop the claims that were not made in time; return how many."""
        dropped = 0
        while self.times_s and self.times_s[0] + LATE_S < now_s:
            self.times_s.popleft()
            dropped += 1
        return dropped


class ReturnSlots:
    """Times that this node has set aside.

    Attributes:
        reserved: Number of times given to callers.
        claimed: Number of callers that came back at theirs.
        unclaimed: Number of times that passed without a caller.

    Args:
        rng: Random source that spreads the first time of each key.
    """

    def __init__(self, rng: Random) -> None:
        """Start without claims."""
        self.reserved = 0
        self.claimed = 0
        self.unclaimed = 0
        self._rng = rng
        self._keys: OrderedDict[ReturnKey, _Claims] = OrderedDict()

    @property
    def key_count(self) -> int:
        """Return the number of keys that are kept."""
        return len(self._keys)

    def claim(self, now_s: float, key: ReturnKey) -> bool:
        """Count a request, and return whether a time is set aside for it."""
        claims = self._keys.setdefault(key, _Claims())
        claims.seen_s = now_s
        self._keys.move_to_end(key)
        if len(self._keys) > MAX_KEYS:
            _, oldest = self._keys.popitem(last=False)
            self.unclaimed += len(oldest.times_s)
        self.unclaimed += claims.drop_past(now_s)
        if not claims.times_s or claims.times_s[0] - EARLY_S > now_s:
            return False
        claims.times_s.popleft()
        self.claimed += 1
        return True

    def reserve(
        self, now_s: float, key: ReturnKey, window: ReturnWindow, per_s: float
    ) -> float | None:
        """Set a time aside for a refused caller.

        Args:
            now_s: Monotonic seconds.
            key: What it is recognised by.
            window: When it can return.
            per_s: Requests of its class a second that may be admitted so, of
                all organisations.

        Returns:
            Monotonic time, or None if none is left in the window.
        """
        own_per_s = per_s / self._active_organisations(now_s, key.run_kind)
        claims = self._keys.get(key)
        if claims is None or own_per_s < MIN_PER_S:
            return None
        claims.drop_past(now_s)
        period_s = 1 / own_per_s
        at_s = claims.next_s
        if at_s < window.earliest_s:
            spread_s = min(period_s, window.latest_s - window.earliest_s)
            at_s = window.earliest_s + self._rng.random() * max(0.0, spread_s)
        if at_s > window.latest_s or len(claims.times_s) >= MAX_CLAIMS_PER_KEY:
            return None
        claims.next_s = at_s + period_s
        claims.times_s.append(at_s)
        self.reserved += 1
        return at_s

    def _active_organisations(self, now_s: float, run_kind: RunKind) -> int:
        active = 0
        for key in reversed(self._keys):
            if self._keys[key].seen_s < now_s - ACTIVE_S:
                break
            active += key.run_kind == run_kind
        return max(1, active)
