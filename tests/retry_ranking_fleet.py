"""Fleet without a network that ranks repeats as the product does."""

from retry_fleet import Node, RetryFleet

from rattanstile.process.mesh.admission.service_needs import RunKind
from rattanstile.process.mesh.placement.repeat_ranking import (
    RepeatDecision,
    RepeatRanking,
    repeat_cost,
)
from rattanstile.process.mesh.placement.run_positions import Run, RunPositions

OWN_DEADLINE_S = 1.5


class RankingNode(Node):
    """A node that infers positions and ranks repeats, as the product does."""

    def __init__(self, fleet, level, index):
        super().__init__(fleet, level, index)
        needs = {}
        if fleet.levels[level].calls:
            needs[fleet.kind(level + 1)] = float(fleet.levels[level].calls)
        self.positions = RunPositions(lambda route: needs)

    def restart(self, fleet):
        super().restart(fleet)
        self.ranking = RepeatRanking(self.budget)


class RankingFleet(RetryFleet):
    """Repeats calls by progress and urgency."""

    def kind(self, level):
        name = self.levels[level].name
        return RunKind(name, name)

    def tree_calls(self, level):
        """Return the calls of a tree that begins at a level."""
        if level + 1 == len(self.levels):
            return 1.0
        return 1.0 + self.levels[level].calls * self.tree_calls(level + 1)

    def new_node(self, level, index):
        return RankingNode(self, level, index)

    passes_deadline = True

    def run_began(self, call, node):
        call.run = Run(
            self.levels[call.level].name,
            is_repeat=call.is_repeat,
            urgency=call.urgency,
            deadline_s=call.deadline_s,
        )
        node.positions.began(self.now_s, call.run)

    def infer(self, inner, call, node):
        inner.deadline_s = self.now_s + OWN_DEADLINE_S
        if self.passes_deadline:
            # Whole milliseconds of the time left, as a message carries them.
            left_ms = int((call.deadline_s - self.now_s) * 1000)
            inner.deadline_s = self.now_s + left_ms / 1000
        inner.origin = node.positions.called(
            self.now_s, self.kind(inner.level), inner.deadline_s
        )
        inner.is_repeat = inner.origin.run.is_repeat

    def may_repeat(self, call):
        calls_left = self.tree_calls(call.level)
        urgency = call.urgency
        if call.origin is not None:
            left = call.node.positions.calls_left(self.now_s, call.origin)
            calls_left += calls_left * sum(left.values())
            urgency = call.origin.run.urgency
        cost = repeat_cost(calls_left, urgency)
        decision = call.node.ranking.decide(
            self.now_s, self.levels[call.level].name, cost
        )
        return decision is RepeatDecision.GRANTED

    def inner_ended(self, inner, is_ok):
        inner.node.positions.answered(
            self.now_s, inner.origin, has_failed=not is_ok
        )

    def end_run(self, call, node, reservation, is_ok):
        node.positions.ended(self.now_s, call.run, has_finished=is_ok)
        super().end_run(call, node, reservation, is_ok)
