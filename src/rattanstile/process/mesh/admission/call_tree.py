"""Estimates how often a run of each route makes its target call other routes.

A target's outgoing calls don't identify the run that made them. The load
pattern: two routes run on one target, only one of them calls an overloaded
service, and only that one should be rejected. How often each calls is fitted
to the run times and the calls of short windows.

A configuration may have any number of routes, and all of them may run here or
be called from here. The busiest routes get a rate of their own and the others
share one; the most frequent kinds of calls are fitted, a part of them at a
time; what is no longer used is forgotten.
"""

import heapq
from collections import Counter, deque
from dataclasses import dataclass

from rattanstile.process.mesh.admission.call_fit import (
    FORGET,
    WINDOW_S,
    CallSums,
    RunTimes,
    Term,
)
from rattanstile.process.mesh.admission.service_needs import RunKind

MIN_STARTED_RUNS = 5.0
MIN_CALLS_PER_RUN = 0.05
"""A route with fewer calls per run isn't reported as a caller."""
SOLVE_PERIOD_S = 0.5
MAX_FITTED_ROUTES = 24
MAX_FITTED_KINDS = 32
MAX_FIT_PRODUCTS = 2500
"""Products of two terms that are summed in one period, in each sweep: about
2 ms of processor time."""
BUSIER_RATIO = 2.0
"""A route must be busier than another by this much to take its rate."""
MIN_REMEMBERED = 0.01
"""Routes and kinds with a smaller number of weighted runs or calls are
forgotten: two minutes after some hundreds of them."""
MAX_WEIGHT = 1e9


@dataclass(eq=False, slots=True)
class _RouteRuns:
    """Runs of one route.

    Attributes:
        in_progress: Runs that have not ended.
        updated_s: Time up to which run time has been added.
        window_s: Run time in the current window, summed over all runs.
        run_s: Total run time, weighted.
        started: Runs that started, weighted.
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

    def end_window(self, now_s: float, weight: float) -> float:
        """Return the run time in the window, and start the next one."""
        self.advance(now_s)
        window_s = self.window_s
        self.run_s += weight * window_s
        self.window_s = 0.0
        return window_s

    def mean_run_s(self, weight: float) -> float:
        """Return the mean run time; a run in progress counts as half."""
        started = self.started / weight - self.in_progress / 2
        return self.run_s / weight / max(started, 1)


class CallAttribution:
    """Mean calls made by a run of each route, by kind of run called."""

    def __init__(self) -> None:
        """Start without data."""
        self._routes: dict[str, _RouteRuns] = {}
        self._active: set[str] = set()
        self._in_progress = 0
        self._fitted: set[str] = set()
        self._run_times = RunTimes()
        self._outgoing: dict[RunKind, CallSums] = {}
        self._window_calls: Counter[RunKind] = Counter()
        self._reported: tuple[RunKind, ...] = ()
        self._due: deque[RunKind] = deque()
        self._weight = 1.0
        self._window_at_s = 0.0
        self._solved_at_s = 0.0

    def began(self, now_s: float, route: str) -> None:
        """Record the start of a run."""
        runs = self._routes.get(route)
        if runs is None:
            runs = _RouteRuns(updated_s=now_s)
            self._routes[route] = runs
            if len(self._fitted) < MAX_FITTED_ROUTES:
                self._fitted.add(route)
        runs.advance(now_s)
        runs.in_progress += 1
        runs.started += self._weight
        self._in_progress += 1
        self._active.add(route)

    def ended(self, now_s: float, route: str) -> None:
        """Record the end of a run."""
        runs = self._routes[route]
        runs.advance(now_s)
        runs.in_progress -= 1
        self._in_progress -= 1

    def called(self, now_s: float, called: RunKind) -> None:
        """Record an outgoing call of the target.

        A target that runs nothing makes no calls: another process on the VM
        has sent such a request.
        """
        if self._in_progress:
            self._window_calls[called] += 1

    def step(self, now_s: float) -> None:
        """End the window when it is over, and refit the rates when due."""
        if now_s - self._window_at_s < WINDOW_S:
            return
        self._window_at_s = now_s
        self._end_window(now_s)
        if now_s - self._solved_at_s >= SOLVE_PERIOD_S:
            self._solved_at_s = now_s
            self._forget()
            self._choose_fitted()
            self._fit()

    def calls_of(self, route: str) -> dict[RunKind, float]:
        """Return the mean calls of one run of a route, by kind called."""
        runs = self._routes.get(route)
        if runs is None or runs.started / self._weight < MIN_STARTED_RUNS:
            return {}
        mean_s = runs.mean_run_s(self._weight)
        term = self._term(route)
        calls_by_kind = {
            kind: self._outgoing[kind].rates_per_s.get(term, 0.0) * mean_s
            for kind in self._reported
        }
        return {
            kind: calls
            for kind, calls in calls_by_kind.items()
            if calls >= MIN_CALLS_PER_RUN
        }

    def _term(self, route: str) -> Term:
        return route if route in self._fitted else None

    def _end_window(self, now_s: float) -> None:
        run_s: dict[Term, float] = {}
        for route in tuple(self._active):
            runs = self._routes[route]
            window_s = runs.end_window(now_s, self._weight)
            term = self._term(route)
            run_s[term] = run_s.get(term, 0.0) + window_s
            if not runs.in_progress:
                self._active.discard(route)
        self._run_times.add(self._weight, run_s)
        for kind, calls in self._window_calls.items():
            sums = self._outgoing.setdefault(kind, CallSums())
            sums.add(self._weight, calls, run_s)
        self._window_calls.clear()
        self._weight /= FORGET
        if self._weight > MAX_WEIGHT:
            self._normalize()

    def _normalize(self) -> None:
        """Divide all sums by the weight, before it grows out of range."""
        factor = 1 / self._weight
        self._weight = 1.0
        for runs in self._routes.values():
            runs.run_s *= factor
            runs.started *= factor
        for sums in self._outgoing.values():
            sums.scale(factor)
        self._run_times.scale(factor)

    def _forget(self) -> None:
        """Forget the routes and the kinds of calls that are no longer used."""
        least = MIN_REMEMBERED * self._weight
        for route, runs in tuple(self._routes.items()):
            if route not in self._active and runs.started < least:
                self._routes.pop(route)
                self._merge(route)
        for kind, sums in tuple(self._outgoing.items()):
            if sums.total < least:
                self._outgoing.pop(kind)

    def _choose_fitted(self) -> None:
        """Give the busiest routes rates of their own."""
        others = self._routes.keys() - self._fitted
        free = MAX_FITTED_ROUTES - len(self._fitted)
        for route in heapq.nlargest(free, others, key=self._run_s):
            self._fitted.add(route)
            others.discard(route)
        if not others:
            return
        busiest = max(others, key=self._run_s)
        idlest = min(self._fitted, key=self._run_s)
        if self._run_s(busiest) > BUSIER_RATIO * self._run_s(idlest):
            self._merge(idlest)
            self._fitted.add(busiest)

    def _run_s(self, route: str) -> float:
        return self._routes[route].run_s

    def _merge(self, route: str) -> None:
        """Let a route share the rate of the other ones."""
        if route not in self._fitted:
            return
        self._fitted.discard(route)
        self._run_times.merge(route)
        for sums in self._outgoing.values():
            sums.merge(route)

    def _fit(self) -> None:
        """Fit a part of the kinds of calls, in turn."""
        kinds = heapq.nlargest(
            MAX_FITTED_KINDS,
            self._outgoing,
            key=lambda kind: self._outgoing[kind].total,
        )
        self._reported = tuple(kinds)
        if not self._due:
            self._due.extend(kinds)
        products = self._run_times.size**2
        for _ in range(max(1, MAX_FIT_PRODUCTS // max(1, products))):
            if not self._due:
                return
            sums = self._outgoing.get(self._due.popleft())
            if sums is not None:
                self._run_times.fit(sums, self._weight)
