"""Estimates how often a run of each route makes its target call other routes.

A target's outgoing calls don't identify the run that made them. The load
pattern: two routes run on one target, only one of them calls an overloaded
service, and only that one should be rejected. In each short window the
outgoing calls are modelled as a sum over the routes that ran: the time that
the runs of a route took in the window, times the call rate of the route. The
rates are fitted by non-negative least squares with exponential forgetting
(Lawson, Hanson, 1974; here by coordinate descent).
"""

from dataclasses import dataclass, field

from rattanstile.process.mesh.service_needs import RunKind

WINDOW_S = 0.1
FORGET = 0.995
"""Factor on the weight of older windows at each new one: half after 14 s."""
PRIOR_WINDOWS = 60
"""Number of windows whose random variation weighs as much as the prior that
all routes call at the same rate."""
MIN_PRIOR_WEIGHT = 1e-6
SWEEPS = 8
MIN_STARTED_RUNS = 5.0
MIN_CALLS_PER_RUN = 0.05
"""A route with fewer calls per run isn't reported as a caller."""
SOLVE_PERIOD_S = 0.5


@dataclass(eq=False, slots=True)
class _RouteRuns:
    """Runs of one route.

    Attributes:
        in_progress: Runs that have not ended.
        updated_s: Time up to which run time has been added.
        window_s: Run time in the current window, summed over all runs.
        run_s: Total run time, with exponential forgetting of old windows.
        started: Runs that started, with exponential forgetting.
    """

    in_progress: int = 0
    updated_s: float = 0.0
    window_s: float = 0.0
    run_s: float = 0.0
    started: float = 0.0

    def advance(self, now_s: float) -> None:
        """Add the run time since the last update."""
        self.window_s += self.in_progress * (now_s - self.updated_s)
        self.updated_s = now_s

    def mean_run_s(self) -> float:
        """Return the mean run time; a run in progress counts as half."""
        return self.run_s / max(self.started - self.in_progress / 2, 1)


@dataclass(eq=False, slots=True)
class _OutgoingCalls:
    """Outgoing calls of one kind.

    Attributes:
        window: Calls in the current window.
        total: All calls, with exponential forgetting of old windows.
        products: Sums of calls times run time, by route that ran.
        rates_per_s: Calls per second of run time, by route that ran.
    """

    window: int = 0
    total: float = 0.0
    products: dict[str, float] = field(default_factory=dict)
    rates_per_s: dict[str, float] = field(default_factory=dict)


class CallAttribution:
    """Mean calls made by a run of each route, by kind of run called."""

    def __init__(self) -> None:
        """Start without data."""
        self._routes: dict[str, _RouteRuns] = {}
        self._outgoing: dict[RunKind, _OutgoingCalls] = {}
        self._squares: dict[tuple[str, str], float] = {}
        self._window_at_s = 0.0
        self._solved_at_s = 0.0

    def began(self, now_s: float, route: str) -> None:
        """Record the start of a run."""
        runs = self._routes.setdefault(route, _RouteRuns(updated_s=now_s))
        runs.advance(now_s)
        runs.in_progress += 1
        runs.started += 1

    def ended(self, now_s: float, route: str) -> None:
        """Record the end of a run."""
        runs = self._routes[route]
        runs.advance(now_s)
        runs.in_progress -= 1

    def called(self, now_s: float, called: RunKind) -> None:
        """Record an outgoing call of the target.

        A target that runs nothing makes no calls: another process on the VM
        has sent such a request.
        """
        if not any(runs.in_progress for runs in self._routes.values()):
            return
        self._outgoing.setdefault(called, _OutgoingCalls()).window += 1

    def step(self, now_s: float) -> None:
        """End the window when it is over, and refit the rates when due."""
        if now_s - self._window_at_s < WINDOW_S:
            return
        self._window_at_s = now_s
        self._end_window(now_s)
        if now_s - self._solved_at_s >= SOLVE_PERIOD_S:
            self._solved_at_s = now_s
            for outgoing in self._outgoing.values():
                self._solve(outgoing)

    def calls_of(self, route: str) -> dict[RunKind, float]:
        """Return the mean calls of one run of a route, by kind called."""
        runs = self._routes.get(route)
        if runs is None or runs.started < MIN_STARTED_RUNS:
            return {}
        mean_s = runs.mean_run_s()
        calls_by_kind = {
            kind: outgoing.rates_per_s.get(route, 0.0) * mean_s
            for kind, outgoing in self._outgoing.items()
        }
        return {
            kind: calls
            for kind, calls in calls_by_kind.items()
            if calls >= MIN_CALLS_PER_RUN
        }

    def _end_window(self, now_s: float) -> None:
        run_s_by_route: dict[str, float] = {}
        for route, runs in self._routes.items():
            runs.advance(now_s)
            runs.run_s = runs.run_s * FORGET + runs.window_s
            runs.started *= FORGET
            if runs.window_s:
                run_s_by_route[route] = runs.window_s
            runs.window_s = 0.0
        for pair in self._squares:
            self._squares[pair] *= FORGET
        for one, one_s in run_s_by_route.items():
            for other, other_s in run_s_by_route.items():
                previous = self._squares.get((one, other), 0.0)
                self._squares[one, other] = previous + one_s * other_s
        for outgoing in self._outgoing.values():
            _add_window(outgoing, run_s_by_route)

    def _solve(self, outgoing: _OutgoingCalls) -> None:
        total_s = sum(runs.run_s for runs in self._routes.values())
        if total_s <= 0:
            return
        prior_per_s = outgoing.total / total_s
        rates_per_s = {
            route: outgoing.rates_per_s.get(route, prior_per_s)
            for route in self._routes
        }
        for _ in range(SWEEPS):
            for route in rates_per_s:
                rates_per_s[route] = self._best_fit_per_s(
                    outgoing, rates_per_s, route, prior_per_s
                )
        outgoing.rates_per_s = rates_per_s

    def _best_fit_per_s(
        self,
        outgoing: _OutgoingCalls,
        rates_per_s: dict[str, float],
        route: str,
        prior_per_s: float,
    ) -> float:
        """Return the best-fitting rate of one route, given the other rates."""
        explained = sum(
            rate_per_s * self._squares.get((route, other), 0.0)
            for other, rate_per_s in rates_per_s.items()
            if other != route
        )
        windows = 1 / (1 - FORGET)
        mean_s = self._routes[route].run_s / windows
        weight = PRIOR_WINDOWS * WINDOW_S * mean_s + MIN_PRIOR_WEIGHT
        residual = (
            outgoing.products.get(route, 0.0) - explained + weight * prior_per_s
        )
        square = self._squares.get((route, route), 0.0) + weight
        return max(0.0, residual / square)


def _add_window(
    outgoing: _OutgoingCalls, run_s_by_route: dict[str, float]
) -> None:
    outgoing.total = outgoing.total * FORGET + outgoing.window
    for route in outgoing.products:
        outgoing.products[route] *= FORGET
    for route, run_s in run_s_by_route.items():
        previous = outgoing.products.get(route, 0.0)
        outgoing.products[route] = previous + outgoing.window * run_s
    outgoing.window = 0
