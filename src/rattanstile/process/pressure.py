"""Pressure: which priorities a service sheds, told on replies.

A pressure is a number from 0 to 3. Its whole part is the lowest priority
still admitted, its fraction the share shed of that priority. All hops of a
call tree compare it with one draw of the tree, so a tree admitted at the top
is not shed by the same pressure further down. The idea of one level for both
priority and a finer per-caller value is that of DAGOR (Zhou et al., 2018).
"""

from collections import Counter
from dataclasses import dataclass

from rattanstile.request.priority import Priority

WINDOW_S = 0.1
HIGHEST_PRESSURE = float(len(Priority))
RISE_GAIN = 1.0
FEWEST_STEP = 0.02
LARGEST_FALL = 0.5
OCCUPANCY_WANTED = 0.5
OCCUPANCY_GAIN = 0.05
HOLD_S = 0.5
DECAY_PER_S = 1.0
FORGET_S = 3.0


def shed_level(pressure: float) -> Priority:
    """Return the lowest priority of which some calls are admitted."""
    return Priority(min(int(pressure), Priority.TRANSACTION.value))


def is_shed(pressure: float, priority: Priority, draw: float) -> bool:
    """Tell whether a call tree with this draw in [0, 1) is shed."""
    return draw < pressure - priority


@dataclass(slots=True)
class _Window:
    """What the queue saw since the window began."""

    began_s: float
    arrived: Counter[Priority]
    refused: int = 0


class PressureGauge:
    """Pressure of one target, from what its queue saw.

    Args:
        now_s: Monotonic seconds.
    """

    def __init__(self, now_s: float) -> None:
        """Begin without pressure."""
        self.pressure = 0.0
        self._window = _Window(now_s, Counter())

    def arrived(self, priority: Priority) -> None:
        """Count a call that reached the queue."""
        self._window.arrived[priority] += 1

    def refused(self) -> None:
        """Count a call that the queue shed or dropped for its deadline."""
        self._window.refused += 1

    def update(self, now_s: float, busy: float, occupancy: float) -> None:
        """Close the window when it is over.

        Args:
            now_s: Monotonic seconds.
            busy: Calls in flight over the limit.
            occupancy: Calls that wait over the queue's capacity.
        """
        window = self._window
        if now_s - window.began_s < WINDOW_S:
            return
        self._window = _Window(now_s, Counter())
        if window.refused:
            self._rise(window)
        elif occupancy > 0:
            self._step(OCCUPANCY_GAIN * (occupancy - OCCUPANCY_WANTED))
        elif self.pressure > 0:
            self._fall(busy)

    def _rise(self, window: _Window) -> None:
        lowest = min(window.arrived, default=Priority.BACKGROUND)
        self.pressure = max(self.pressure, float(lowest))
        level = shed_level(self.pressure)
        admitted = 1 - (self.pressure - level)
        share = min(1.0, window.refused / max(1, window.arrived[level]))
        self._step(max(FEWEST_STEP, RISE_GAIN * admitted * share))

    def _fall(self, busy: float) -> None:
        admitted = 1 - (self.pressure - shed_level(self.pressure))
        wanted = admitted / max(busy, LARGEST_FALL) - admitted
        self._step(-max(FEWEST_STEP, wanted))

    def _step(self, change: float) -> None:
        changed = self.pressure + change
        self.pressure = min(HIGHEST_PRESSURE, max(0.0, changed))


@dataclass(slots=True)
class _Told:
    """What one node told last."""

    pressure: float
    weight: int
    told_s: float


class PressureMemory:
    """What replies told about the pressure of one service or route."""

    def __init__(self) -> None:
        """Begin without pressure."""
        self._told: dict[str, _Told] = {}

    def told(
        self, now_s: float, source: str, pressure: float, weight: int = 1
    ) -> None:
        """Keep what a reply told.

        Args:
            now_s: Monotonic seconds.
            source: Who told it; its earlier word is replaced.
            pressure: The pressure told.
            weight: Capacity that the pressure speaks for.
        """
        self._told[source] = _Told(pressure, max(1, weight), now_s)

    def pressure(self, now_s: float) -> float:
        """Return the pressure by capacity, less what has decayed."""
        total = 0.0
        weights = 0
        for source, told in list(self._told.items()):
            age_s = now_s - told.told_s
            if age_s > FORGET_S:
                self._told.pop(source)
                continue
            decayed = max(0.0, age_s - HOLD_S) * DECAY_PER_S
            total += told.weight * max(0.0, told.pressure - decayed)
            weights += told.weight
        return total / weights if weights else 0.0
