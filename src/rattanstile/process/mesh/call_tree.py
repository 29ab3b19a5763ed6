"""Learns which routes make a target call which others, and how often.

A target's calls say nothing of the run that made them. The load pattern it
answers: two routes run on one target, only one of them calls a service that
is overloaded, and only that one is to be refused. In each short window the
calls of a route are taken for a sum over the routes that ran: the time that
their runs took in the window, times a rate. The rates are found by least
squares that forgets, with none below zero (Lawson, Hanson, 1974; here by
coordinate descent).
"""

from dataclasses import dataclass, field

from rattanstile.process.mesh.service_needs import RunKind

WINDOW_S = 0.1
FORGET = 0.995
"""Weight that a window keeps when the next one comes: half after 14 s."""
PRIOR_WINDOWS = 60
"""Windows whose chance fluctuation weighs as much as the assumption that
all routes call at the same rate."""
LEAST_WEIGHT = 1e-6
SWEEPS = 8
FEWEST_BEGUN = 5.0
FEWEST_CALLS = 0.05
"""Below so many calls in a run a route isn't said to call another."""
SOLVE_PERIOD_S = 0.5


@dataclass(eq=False, slots=True)
class _Running:
    """Runs of one route.

    Attributes:
        now: Runs that have not ended.
        window_s: Time that runs took in the present window.
        run_s: Time that they took in all, with old windows forgotten.
        begun: Runs that began, with old ones forgotten.
    """

    now: int = 0
    since_s: float = 0.0
    window_s: float = 0.0
    run_s: float = 0.0
    begun: float = 0.0

    def advance(self, now_s: float) -> None:
        """Add the time that has passed."""
        self.window_s += self.now * (now_s - self.since_s)
        self.since_s = now_s

    def mean_run_s(self) -> float:
        """Return how long a run takes; those that run count as half over."""
        return self.run_s / max(self.begun - self.now / 2, 1)


@dataclass(eq=False, slots=True)
class _Called:
    """Calls of one kind by the target.

    Attributes:
        products: Sums of calls times run time, by route that ran.
        rates: Calls in a second of a run, by route that ran.
    """

    window: int = 0
    total: float = 0.0
    products: dict[str, float] = field(default_factory=dict)
    rates: dict[str, float] = field(default_factory=dict)


class CallAttribution:
    """Calls that a run of each route makes, in the mean, by kind called."""

    def __init__(self) -> None:
        """Begin without knowledge."""
        self._routes: dict[str, _Running] = {}
        self._called: dict[RunKind, _Called] = {}
        self._squares: dict[tuple[str, str], float] = {}
        self._window_at_s = 0.0
        self._solved_at_s = 0.0

    def began(self, now_s: float, route: str) -> None:
        """Count a run as begun."""
        running = self._routes.setdefault(route, _Running(since_s=now_s))
        running.advance(now_s)
        running.now += 1
        running.begun += 1

    def ended(self, now_s: float, route: str) -> None:
        """Count a run as ended."""
        running = self._routes[route]
        running.advance(now_s)
        running.now -= 1

    def called(self, now_s: float, called: RunKind) -> None:
        """Count a call of the target."""
        self._called.setdefault(called, _Called()).window += 1

    def step(self, now_s: float) -> None:
        """End a window when it is over, and work the rates out anew."""
        if now_s - self._window_at_s < WINDOW_S:
            return
        self._window_at_s = now_s
        self._end_window(now_s)
        if now_s - self._solved_at_s >= SOLVE_PERIOD_S:
            self._solved_at_s = now_s
            for called in self._called.values():
                self._solve(called)

    def calls_of(self, route: str) -> dict[RunKind, float]:
        """Return the calls of one run of a route, by kind called."""
        running = self._routes.get(route)
        if running is None or running.begun < FEWEST_BEGUN:
            return {}
        mean_s = running.mean_run_s()
        found = {
            kind: called.rates.get(route, 0.0) * mean_s
            for kind, called in self._called.items()
        }
        return {
            kind: calls
            for kind, calls in found.items()
            if calls >= FEWEST_CALLS
        }

    def _end_window(self, now_s: float) -> None:
        ran: dict[str, float] = {}
        for route, running in self._routes.items():
            running.advance(now_s)
            running.run_s = running.run_s * FORGET + running.window_s
            running.begun *= FORGET
            if running.window_s:
                ran[route] = running.window_s
            running.window_s = 0.0
        for pair in self._squares:
            self._squares[pair] *= FORGET
        for one, one_s in ran.items():
            for other, other_s in ran.items():
                earlier = self._squares.get((one, other), 0.0)
                self._squares[one, other] = earlier + one_s * other_s
        for called in self._called.values():
            _add_window(called, ran)

    def _solve(self, called: _Called) -> None:
        total_s = sum(running.run_s for running in self._routes.values())
        if total_s <= 0:
            return
        prior = called.total / total_s
        rates = {
            route: called.rates.get(route, prior) for route in self._routes
        }
        for _ in range(SWEEPS):
            for route in rates:
                rates[route] = self._best(called, rates, route, prior)
        called.rates = rates

    def _best(
        self,
        called: _Called,
        rates: dict[str, float],
        route: str,
        prior: float,
    ) -> float:
        """Return the rate of one route that fits best beside the others."""
        explained = sum(
            rate * self._squares.get((route, other), 0.0)
            for other, rate in rates.items()
            if other != route
        )
        windows = 1 / (1 - FORGET)
        mean_s = self._routes[route].run_s / windows
        weight = PRIOR_WINDOWS * WINDOW_S * mean_s + LEAST_WEIGHT
        wanted = called.products.get(route, 0.0) - explained + weight * prior
        square = self._squares.get((route, route), 0.0) + weight
        return max(0.0, wanted / square)


def _add_window(called: _Called, ran: dict[str, float]) -> None:
    called.total = called.total * FORGET + called.window
    for route in called.products:
        called.products[route] *= FORGET
    for route, run_s in ran.items():
        earlier = called.products.get(route, 0.0)
        called.products[route] = earlier + called.window * run_s
    called.window = 0
