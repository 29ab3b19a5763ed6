"""Learns which routes make a target call which others, and how often.

A target's calls say nothing of the run that made them. The load pattern it
answers: two routes run on one target, only one of them calls a service that
is overloaded, and only that one is to be refused. Each call is ascribed to
the routes that run at that moment, in proportion to how many run and how
often each has been found to call: the expectation-maximisation step for a
mixture of Poisson processes (Dempster, Laird, Rubin, 1977).
"""

from dataclasses import dataclass, field

FORGET_RUNS = 400.0
"""Runs after which half of what was learnt is forgotten."""
FEWEST_RUNS = 5.0
FEWEST_CALLS = 0.05
"""Below so many calls in a run a route isn't said to call another."""
FIRST_RATE = 1.0
OVERFLOW_WEIGHT = 1e-6


@dataclass(eq=False, slots=True)
class _Running:
    """Runs of one route: how many now, and their time and number so far."""

    now: int = 0
    run_s: float = 0.0
    runs: float = 0.0
    since_s: float = 0.0
    calls: dict[str, float] = field(default_factory=dict)

    def advance(self, now_s: float) -> None:
        self.run_s += self.now * (now_s - self.since_s)
        self.since_s = now_s

    def rate(self, called: str) -> float:
        if self.run_s <= 0:
            return FIRST_RATE
        return self.calls.get(called, OVERFLOW_WEIGHT) / self.run_s

    def halve(self) -> None:
        self.run_s /= 2
        self.runs /= 2
        for called in self.calls:
            self.calls[called] /= 2


class CallTree:
    """Calls that a run of each route makes, in the mean, by route called."""

    def __init__(self) -> None:
        """Begin without knowledge."""
        self._routes: dict[str, _Running] = {}

    def began(self, now_s: float, route: str) -> None:
        """Count a run as begun."""
        running = self._routes.setdefault(route, _Running(since_s=now_s))
        running.advance(now_s)
        running.now += 1

    def ended(self, now_s: float, route: str) -> None:
        """Count a run as ended."""
        running = self._routes[route]
        running.advance(now_s)
        running.now -= 1
        running.runs += 1
        if running.runs > FORGET_RUNS:
            running.halve()

    def called(self, now_s: float, called: str) -> None:
        """Ascribe a call of the target to the routes that run."""
        weights: list[tuple[_Running, float]] = []
        for running in self._routes.values():
            running.advance(now_s)
            if running.now:
                weight = running.now * running.rate(called)
                weights.append((running, weight))
        total = sum(weight for _, weight in weights)
        if total <= 0:
            return
        for running, weight in weights:
            earlier = running.calls.get(called, 0.0)
            running.calls[called] = earlier + weight / total

    def calls_of(self, route: str) -> dict[str, float]:
        """Return the calls of one run of a route, by route called."""
        running = self._routes.get(route)
        if running is None or running.runs < FEWEST_RUNS:
            return {}
        found = {
            called: count / running.runs
            for called, count in running.calls.items()
        }
        return {
            called: calls
            for called, calls in found.items()
            if calls >= FEWEST_CALLS
        }
