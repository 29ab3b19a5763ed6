"""When a caller that a scarce service has no room for is to return.

The load pattern: a surge or cold targets leave a service short for seconds.
Most callers that were refused return within that time, are refused again, and
have meanwhile added to the demand. A caller is told

- a time that is set aside for it, while there is one at which it can still be
  answered within its latency objective;
- else the last part of the time in which it can return, as a passing shortage
  is then most likely over.
"""

from dataclasses import dataclass
from random import Random

from rattanstile.process.mesh.admission.retry_after import (
    LONGEST_WAIT_SHARE,
    MIN_RETRY_S,
    return_when_warm_s,
)
from rattanstile.process.mesh.admission.return_slots import (
    ReturnKey,
    ReturnSlots,
    ReturnWindow,
)

RETURN_SHARE = 0.25
"""Share of what is admitted of a request class that is set aside for callers
that return; the rest is for new ones. A larger share helps in a surge, but
holds back new callers just after a loss of power."""
OBJECTIVE_SHARE = 0.85
"""Share of its latency objective after which a caller would return too late
to be answered within it."""
LATE_PART_SHARE = 0.75
"""Callers without a time return in the rest of the time in which they can:
the later, the more of a passing shortage is over."""
RETURN_MARGIN_S = 0.02
"""Time before the last moment at which a caller returns."""


@dataclass(frozen=True, slots=True)
class Shortage:
    """Shortage of a service for one request class, at this node.

    Attributes:
        share: Share of the class that is admitted; 1 if there is none.
        warm_in_s: Time until the targets are warm; 0 if they are.
        rate_per_s: Requests of the class a second.
    """

    share: float
    warm_in_s: float
    rate_per_s: float

    @property
    def returns_per_s(self) -> float:
        """Return the requests a second for which times are set aside."""
        is_cold = self.warm_in_s > MIN_RETRY_S
        share = 1.0 if is_cold else self.share
        return RETURN_SHARE * share * self.rate_per_s


class ReturnTimes:
    """Tells refused callers when to return, and recognises them then.

    Attributes:
        slots: Times set aside.

    Args:
        rng: Random source.
    """

    def __init__(self, rng: Random) -> None:
        """Start without times set aside."""
        self.slots = ReturnSlots(rng)
        self._rng = rng

    def return_s(
        self,
        now_s: float,
        key: ReturnKey,
        remaining_s: float,
        objective_s: float,
        shortage: Shortage,
    ) -> float:
        """Return the delay for a refused caller, and set its time aside.

        Args:
            now_s: Monotonic seconds.
            key: What the caller is recognised by.
            remaining_s: Time until its deadline.
            objective_s: Its latency objective.
            shortage: Why it is refused.
        """
        earliest_s = max(MIN_RETRY_S, shortage.warm_in_s)
        latest_s = remaining_s * LONGEST_WAIT_SHARE - RETURN_MARGIN_S
        if objective_s * OBJECTIVE_SHARE > earliest_s:
            latest_s = min(latest_s, objective_s * OBJECTIVE_SHARE)
        at_s = self.slots.reserve(
            now_s,
            key,
            ReturnWindow(now_s + earliest_s, now_s + latest_s),
            shortage.returns_per_s,
        )
        if at_s is not None:
            return at_s - now_s
        late_s = max(earliest_s, latest_s * LATE_PART_SHARE)
        if late_s < latest_s:
            return self._rng.uniform(late_s, latest_s)
        return return_when_warm_s(self._rng, remaining_s, shortage.warm_in_s)
