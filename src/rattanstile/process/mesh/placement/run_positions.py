"""Infers which run of the local target makes an inner call.

Inner calls name no parent. The load pattern: tens of runs are in progress on a
target, each makes several calls in sequence with a few milliseconds of work
between them, and calls are rejected at random. Whether a rejected call is the
first or the last one of its run decides what its repeat is worth.

Most runs wait for an answer at any moment, so few can have made a call that
begins now: those that began, or got an answer, a short time ago. The calls of
one run form a chain. Of the idle chains, the one that has been idle for longer
and whose route makes more such calls is the likelier one; the others may be it,
too, so the calls made are kept as expected numbers. The deadline of a call is
at most that of its run; many targets pass on the time that is left, so that it
tells the chains apart.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from rattanstile.process.mesh.admission.service_needs import RunKind

INITIAL_WORK_S = 0.003
WORK_GAIN = 0.02
MAX_WORK_RATIO = 8.0
"""A chain that has been idle for more times the mean work is unlikely to
continue: its run does other work, or was mistaken for another one."""
UNFIT = 0.05
"""Factor on the likelihood of a chain with another number of calls than fits:
the number may be wrong, and a smaller factor would keep a mistake for long."""
OTHER_DEADLINE = 0.01
"""Factor on the likelihood of a chain with another deadline."""
SAME_DEADLINE_S = 0.004
"""Difference of two deadlines that were the same before they were rounded to
milliseconds at each step and sent."""
LIKELIER_UP_TO = 2.0
"""Multiple of the mean work up to which a longer idle time is likelier."""
NEEDS_PERIOD_S = 0.5
"""Period in which the learned calls of each route change."""
FINISHED_GAIN = 0.05
MIN_FINISHED_RUNS = 10
MAX_ROUTES = 200
"""Routes whose finished runs are remembered; beyond it, all are forgotten."""
MAX_COMPARED = 8
"""Idle chains that one call is compared with."""
HALF_CALL = 0.5


@dataclass(eq=False, slots=True)
class Run:
    """A run in progress on the local target.

    Attributes:
        is_repeat: Whether its calls count as repeats.
        urgency: Priority of the root request; 0 is the most urgent.
        deadline_s: Monotonic time until which its answer is awaited.
    """

    route: str
    is_repeat: bool
    urgency: int
    deadline_s: float


@dataclass(eq=False, slots=True)
class CallChain:
    """Calls that one run is believed to have made.

    Attributes:
        run: The run; exchanged with another one's when the end of either
            shows that they were mistaken for each other.
        idle_since_s: Monotonic time since which none of its calls is awaited.
        awaited: Number of its calls that have not ended.
        has_failed: Whether its last call failed, so that its run ends.
        deadline_s: Monotonic time of the deadline of its last call, or of its
            run before the first.
        made: Expected number of its calls, by kind.
    """

    run: Run
    idle_since_s: float
    deadline_s: float
    awaited: int = 0
    has_failed: bool = False
    made: dict[RunKind, float] = field(default_factory=dict)


@dataclass(slots=True)
class _FinishedRuns:
    """Mean calls of the finished runs of a route, by kind."""

    count: int = 0
    calls: dict[RunKind, float] = field(default_factory=dict)

    def add(self, made: dict[RunKind, float]) -> None:
        """Add the calls of one run."""
        self.count += 1
        gain = max(FINISHED_GAIN, 1 / self.count)
        for kind in made.keys() | self.calls.keys():
            mean = self.calls.get(kind, 0.0)
            self.calls[kind] = mean + gain * (made.get(kind, 0.0) - mean)


@dataclass(eq=False, slots=True)
class _Candidate:
    """A chain that an event may belong to, with its relative likelihood."""

    chain: CallChain
    likelihood: float


class RunPositions:
    """Runs in progress on the local target, and the calls they have made.

    Args:
        learned_calls: Returns the mean calls of a run of a route, by kind.
            They include the runs that failed before their last call, so they
            are used only until enough runs have finished.
    """

    def __init__(
        self, learned_calls: Callable[[str], dict[RunKind, float]]
    ) -> None:
        """Start without runs."""
        self._learned_calls = learned_calls
        self._chains: dict[Run, CallChain] = {}
        self._idle: dict[CallChain, None] = {}
        self._work_s = INITIAL_WORK_S
        self._finished: dict[str, _FinishedRuns] = {}
        self._needs: dict[str, dict[RunKind, float]] = {}
        self._needs_until_s = 0.0

    def __len__(self) -> int:
        """Return how many runs are in progress."""
        return len(self._chains)

    def began(self, now_s: float, run: Run) -> None:
        """Record the start of a run."""
        chain = CallChain(run, now_s, run.deadline_s)
        self._chains[run] = chain
        self._idle[chain] = None

    def ended(self, now_s: float, run: Run, *, has_finished: bool) -> None:
        """Record the end of a run.

        Args:
            now_s: Monotonic seconds.
            run: The run.
            has_finished: Whether it ended well, after all its calls.
        """
        self._expire_needs(now_s)
        needs = self._needs_of(run.route)
        chain = self._chains[run]
        if has_finished and needs:
            chain = self._finished_chain(now_s, chain)
        elif needs and not chain.has_failed:
            chain = self._failed_chain(run.route) or chain
        self._exchange(self._chains[run], chain)
        self._chains.pop(run)
        self._idle.pop(chain, None)
        if has_finished:
            self._finished_runs(run.route).add(chain.made)

    def called(
        self, now_s: float, kind: RunKind, deadline_s: float
    ) -> CallChain | None:
        """Attribute a call to a run; None if nothing runs.

        Args:
            now_s: Monotonic seconds.
            kind: Route and service of the call.
            deadline_s: Monotonic time until which its answer is awaited.
        """
        self._expire_needs(now_s)
        candidates = self._candidates(
            now_s, lambda chain: self._makes_more(chain, kind)
        )
        if len(candidates) > 1:
            _weigh_deadline(deadline_s, candidates)
        if candidates:
            chain = self._likeliest(candidates)
            self._work_s += WORK_GAIN * (
                min(now_s - chain.idle_since_s, self._work_s * MAX_WORK_RATIO)
                - self._work_s
            )
            expected = _expected_calls(candidates, kind)
            _move_difference(candidates, chain, kind, expected)
        else:
            busy = self._busy_chain(kind)
            if busy is None:
                return None
            chain = busy
        chain.made[kind] = chain.made.get(kind, 0.0) + 1
        chain.deadline_s = deadline_s
        chain.awaited += 1
        chain.has_failed = False
        self._idle.pop(chain, None)
        return chain

    def answered(
        self, now_s: float, chain: CallChain, *, has_failed: bool
    ) -> None:
        """Record that a call of a run has ended."""
        chain.awaited -= 1
        chain.has_failed |= has_failed
        if chain.awaited or self._chains.get(chain.run) is not chain:
            return
        chain.idle_since_s = now_s
        self._idle[chain] = None

    def calls_left(
        self, now_s: float, chain: CallChain
    ) -> dict[RunKind, float]:
        """Return the calls that a run has yet to make, by kind."""
        self._expire_needs(now_s)
        return {
            kind: max(0.0, calls - chain.made.get(kind, 0.0))
            for kind, calls in self._needs_of(chain.run.route).items()
        }

    def _candidates(
        self, now_s: float, is_fit: Callable[[CallChain], bool]
    ) -> list[_Candidate]:
        """Return the idle chains that an event may belong to.

        Chains that don't fit are taken only if no other is recently idle:
        their expected calls may be wrong.
        """
        candidates: list[_Candidate] = []
        for chain in reversed(self._idle):
            ratio = (now_s - chain.idle_since_s) / self._work_s
            likelihood = min(ratio, LIKELIER_UP_TO) ** 2
            if ratio > MAX_WORK_RATIO or not is_fit(chain):
                likelihood *= UNFIT
            if chain.has_failed:
                likelihood *= UNFIT
            candidates.append(_Candidate(chain, likelihood + 1e-9))
            if len(candidates) >= MAX_COMPARED:
                break
        return candidates

    def _likeliest(self, candidates: Iterable[_Candidate]) -> CallChain:
        return max(candidates, key=lambda each: each.likelihood).chain

    def _busy_chain(self, kind: RunKind) -> CallChain | None:
        """Return a chain that may make calls at the same time."""
        for chain in self._chains.values():
            if self._makes_more(chain, kind):
                return chain
        return next(iter(self._chains.values()), None)

    def _finished_chain(self, now_s: float, own: CallChain) -> CallChain:
        """Return the chain that ends now, with all calls of its route."""
        route = own.run.route
        candidates = [
            each
            for each in self._candidates(now_s, self._is_complete)
            if each.chain.run.route == route
        ]
        if not candidates:
            return own
        chain = self._likeliest(candidates)
        for kind, calls in self._needs_of(route).items():
            _move_difference(candidates, chain, kind, calls)
        return chain

    def _failed_chain(self, route: str) -> CallChain | None:
        """Return the chain of a route whose call failed last."""
        return next(
            (
                chain
                for chain in reversed(self._idle)
                if chain.has_failed and chain.run.route == route
            ),
            None,
        )

    def _exchange(self, one: CallChain, other: CallChain) -> None:
        """Let two chains exchange their runs."""
        run = one.run
        one.run = other.run
        other.run = run
        self._chains[one.run] = one
        self._chains[other.run] = other

    def _makes_more(self, chain: CallChain, kind: RunKind) -> bool:
        needed = self._needs_of(chain.run.route).get(kind, 0.0)
        return chain.made.get(kind, 0.0) + HALF_CALL < needed

    def _is_complete(self, chain: CallChain) -> bool:
        needs = self._needs_of(chain.run.route)
        return not any(self._makes_more(chain, kind) for kind in needs)

    def _finished_runs(self, route: str) -> _FinishedRuns:
        finished = self._finished.get(route)
        if finished is None:
            if len(self._finished) >= MAX_ROUTES:
                self._finished.clear()
            finished = self._finished.setdefault(route, _FinishedRuns())
        return finished

    def _needs_of(self, route: str) -> dict[RunKind, float]:
        needs = self._needs.get(route)
        if needs is None:
            finished = self._finished.get(route)
            if finished is None or finished.count < MIN_FINISHED_RUNS:
                needs = self._learned_calls(route)
            else:
                needs = finished.calls
            self._needs[route] = needs
        return needs

    def _expire_needs(self, now_s: float) -> None:
        if now_s >= self._needs_until_s:
            self._needs_until_s = now_s + NEEDS_PERIOD_S
            self._needs.clear()


def _weigh_deadline(
    deadline_s: float, candidates: Iterable[_Candidate]
) -> None:
    """Add the evidence of the deadline of a call to the likelihoods."""
    are_same = any(_has_deadline(each, deadline_s) for each in candidates)
    for each in candidates:
        is_other = are_same and not _has_deadline(each, deadline_s)
        if is_other or (
            deadline_s > each.chain.run.deadline_s + SAME_DEADLINE_S
        ):
            each.likelihood *= OTHER_DEADLINE


def _has_deadline(candidate: _Candidate, deadline_s: float) -> bool:
    return abs(candidate.chain.deadline_s - deadline_s) < SAME_DEADLINE_S


def _expected_calls(candidates: Iterable[_Candidate], kind: RunKind) -> float:
    """Return the expected calls made by the run that an event belongs to."""
    total = 0.0
    calls = 0.0
    for each in candidates:
        total += each.likelihood
        calls += each.likelihood * each.chain.made.get(kind, 0.0)
    return calls / total


def _move_difference(
    candidates: Iterable[_Candidate],
    chosen: CallChain,
    kind: RunKind,
    calls: float,
) -> None:
    """Set the expected calls of the chosen chain, and keep the sum of all.

    What it is believed to have made too many, others have made.
    """
    difference = chosen.made.get(kind, 0.0) - calls
    chosen.made[kind] = calls
    others = [each for each in candidates if each.chain is not chosen]
    total = sum(each.likelihood for each in others)
    for each in others:
        made = each.chain.made.get(kind, 0.0)
        part = difference * each.likelihood / total
        each.chain.made[kind] = max(0.0, made + part)
