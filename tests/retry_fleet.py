"""Fleet without a network whose targets reject calls, for tests of repeats.

Events on one clock. Each node decides with the real retry budget; the fleet
knows which run makes a call, and counts the true arrivals and repeats.
"""

import heapq
import itertools
from dataclasses import dataclass, field
from random import Random

from rattanstile.process.mesh.placement.rerun_budget import RerunBudget
from rattanstile.request.exchange import ServiceUsage

RATIO = 0.2
HOP_S = 0.001
MAX_MOVES = 8
ROOT_DEADLINE_S = 2.0
WINDOW_S = 10.0
STEP_S = 0.1


@dataclass(frozen=True)
class Level:
    """A service and what a run of it does.

    Attributes:
        calls: Calls of one run to the next service, in sequence.
        work_s: Longest work before each call and after the last.
    """

    name: str
    nodes: int
    calls: int
    work_s: float


@dataclass(frozen=True)
class Fault:
    """Targets of a service reject a share of their calls as not run.

    Attributes:
        target: Index of the only target that does; None for all.
        by_load: Whether the share grows with the target's calls in progress.
    """

    service: str
    from_s: float
    for_s: float
    share: float
    target: int | None = None
    by_load: bool = False


@dataclass(frozen=True)
class Surge:
    """Traffic is a multiple of the usual."""

    from_s: float
    for_s: float
    factor: float


@dataclass(eq=False)
class Call:
    """A request; `is_repeat` is inferred and `is_true_repeat` is the truth."""

    level: int
    node: 'Node'
    urgency: int
    on_end: object
    deadline_s: float = 0.0
    is_repeat: bool = False
    is_true_repeat: bool = False
    has_arrived: bool = False
    origin: object = None
    moves: int = 0
    tried: set = field(default_factory=set)


class Node:
    """A node and its target."""

    def __init__(self, fleet, level, index):
        self.level = level
        self.index = index
        self.running = 0
        self.repeated = 0
        self.restart(fleet)

    def restart(self, fleet):
        """Forget what was sent; the target goes on."""
        self.budget = RerunBudget(RATIO, fleet.slack, fleet.rng.random)
        self.budget.set_node_count(fleet.node_count)


class Counts:
    """Requests and repeats of one service in each tenth of a second."""

    def __init__(self, seconds):
        size = int(seconds / STEP_S) + 1
        self.requests = [0] * size
        self.repeats = [0] * size
        self.inherited = [0] * size

    def add(self, row, now_s):
        index = int(now_s / STEP_S)
        if index < len(row):
            row[index] += 1

    def windows(self):
        """Yield the requests that earn each window of 10 s, and its repeats.

        They are those of the window, of the one before it or of the one that
        begins half a window earlier, whichever are most.
        """
        span = int(WINDOW_S / STEP_S)
        requests = [0, *itertools.accumulate(self.requests)]
        repeats = [0, *itertools.accumulate(self.repeats)]

        def between(begin, end):
            return requests[max(0, end)] - requests[max(0, begin)]

        for end in range(1, len(requests)):
            begin = max(0, end - span)
            earning = (
                between(begin, end),
                between(begin - span // 2, min(end, begin + span // 2)),
                between(begin - span, begin),
            )
            yield max(earning), repeats[end] - repeats[begin]


class RetryFleet:
    """Levels of services, callers at the first one, faults and surges."""

    def __init__(
        self, levels, roots_per_s, faults, seed, *, seconds, slack, surges=()
    ):
        self.rng = Random(seed)
        self.slack = slack
        self.levels = levels
        self.faults = faults
        self.surges = surges
        self.roots_per_s = roots_per_s
        self.seconds = seconds
        self.reserves = True
        self.node_count = sum(level.nodes for level in levels)
        self.nodes = [
            [self.new_node(number, index) for index in range(level.nodes)]
            for number, level in enumerate(levels)
        ]
        self.counts = [Counts(seconds) for _ in levels]
        self.roots = []
        self.now_s = 0.0
        self._events = []
        self._sequence = itertools.count()

    def new_node(self, level, index):
        return Node(self, level, index)

    def at(self, delay_s, action, *arguments):
        event = (self.now_s + delay_s, next(self._sequence), action, arguments)
        heapq.heappush(self._events, event)

    def run(self):
        self.at(0.0, self.arrive)
        while self._events:
            self.now_s, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
        return self

    def arrive(self):
        """Start a root request, and schedule the next one."""
        factor = 1.0
        for surge in self.surges:
            if surge.from_s <= self.now_s < surge.from_s + surge.for_s:
                factor = surge.factor
        after_s = self.rng.expovariate(self.roots_per_s * factor)
        if self.now_s + after_s < self.seconds:
            self.at(after_s, self.arrive)
        began_s = self.now_s
        urgency = self.rng.randrange(4)
        node = self.rng.choice(self.nodes[0])
        self.start(
            Call(
                0,
                node,
                urgency,
                lambda ok: self.roots.append((began_s, urgency, ok)),
                deadline_s=self.now_s + ROOT_DEADLINE_S,
            )
        )

    # Entry node

    def start(self, call):
        self.counts[call.level].add(
            self.counts[call.level].requests, self.now_s
        )
        service = self.levels[call.level].name
        allowed = call.node.budget.record_first_attempt(
            self.now_s, service, is_repeat=call.is_repeat
        )
        if call.is_repeat and not allowed and self.reserves:
            self.at(0, call.on_end, False)
            return
        self.send(call)

    def send(self, call):
        untried = [
            node
            for node in self.nodes[call.level]
            if node.index not in call.tried
        ]
        if not untried:
            # The product holds the call for a tick, then tries all again.
            call.tried.clear()
            untried = self.nodes[call.level]
        self.at(HOP_S, self.serve, call, self.rng.choice(untried))

    def rejected(self, call, node):
        call.tried.add(node.index)
        call.moves += 1
        call.is_repeat = True
        if call.moves < MAX_MOVES and self.may_repeat(call):
            self.send(call)
        else:
            call.on_end(False)

    def may_repeat(self, call):
        return call.node.budget.spend(self.now_s, self.levels[call.level].name)

    # Serving node

    def serve(self, call, node):
        reservation = None
        call.serving_budget = node.budget
        if call.is_repeat and self.reserves:
            reservation = node.budget.reserve(self.now_s, self.needs(node))
            if reservation is None:
                call.tried.add(node.index)
                call.moves += 1
                self.refused(call)
                return
        counts = self.counts[call.level]
        if call.is_true_repeat and not call.has_arrived:
            counts.add(counts.inherited, self.now_s)
        if call.has_arrived or call.is_true_repeat:
            call.is_true_repeat = True
            counts.add(counts.repeats, self.now_s)
        call.has_arrived = True
        if self.rng.random() < self.rejected_share(node):
            if reservation is not None:
                call.serving_budget.release(self.now_s, reservation)
            self.at(HOP_S, self.rejected, call, node)
            return
        node.running += 1
        node.repeated += call.is_repeat
        self.run_began(call, node)
        self.work(call, node, reservation, self.levels[call.level].calls)

    def refused(self, call):
        """Move a call that was refused unsent, or end it."""
        if call.moves < MAX_MOVES:
            self.send(call)
        else:
            service = self.levels[call.level].name
            call.node.budget.refund(self.now_s, service)
            self.at(0, call.on_end, False)

    def rejected_share(self, node):
        for fault in self.faults:
            if (
                self.levels[node.level].name == fault.service
                and fault.from_s <= self.now_s < fault.from_s + fault.for_s
                and fault.target in {None, node.index}
            ):
                if fault.by_load:
                    return min(1.0, fault.share * node.running)
                return fault.share
        return 0.0

    def needs(self, node):
        level = self.levels[node.level]
        if not level.calls:
            return ()
        name = self.levels[node.level + 1].name
        return (ServiceUsage(name, float(level.calls)),)

    def work(self, call, node, reservation, calls_left):
        """Work on a run, then make its next call or end it."""
        work_s = self.rng.uniform(0.2, 1) * self.levels[call.level].work_s
        if calls_left:
            self.at(work_s, self.call_next, call, node, reservation, calls_left)
        else:
            self.at(work_s, self.end_run, call, node, reservation, True)

    def call_next(self, call, node, reservation, calls_left):
        inner = Call(call.level + 1, node, call.urgency, None)
        inner.is_true_repeat = call.is_true_repeat

        def ended(is_ok):
            self.inner_ended(inner, is_ok)
            if is_ok:
                self.work(call, node, reservation, calls_left - 1)
            else:
                self.end_run(call, node, reservation, False)

        inner.on_end = ended
        self.infer(inner, call, node)
        self.start(inner)

    def infer(self, inner, call, node):
        """Infer whether a repeated run makes a call, as the product does."""
        share = node.repeated / max(1, node.running)
        inner.is_repeat = self.rng.random() < share

    def run_began(self, call, node):
        """Nothing is kept of a run."""

    def inner_ended(self, inner, is_ok):
        """Nothing is kept of a run."""

    def end_run(self, call, node, reservation, is_ok):
        node.running -= 1
        node.repeated -= call.is_repeat
        if reservation is not None:
            call.serving_budget.release(self.now_s, reservation)
        self.at(HOP_S, call.on_end, is_ok)

    # Measures

    def finished_share(self, from_s, for_s):
        ends = [
            ok
            for began_s, _, ok in self.roots
            if from_s <= began_s < from_s + for_s
        ]
        return sum(ends) / len(ends)

    def excess(self):
        """Return the most repeats beyond the budget in a window."""
        return max(
            repeats - RATIO * requests - self.slack
            for counts in self.counts
            for requests, repeats in counts.windows()
        )

    def used_share(self, level, from_s, until_s):
        """Return the repeats in a window as a share of what it allows."""
        counts = self.counts[level]
        begin, end = int(from_s / STEP_S), int(until_s / STEP_S)
        allowed = RATIO * sum(counts.requests[begin:end])
        return sum(counts.repeats[begin:end]) / allowed
