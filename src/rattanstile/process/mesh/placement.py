"""Choice of the node that serves an attempt.

The load pattern it answers: some targets of a service are slow, nearly full
or far away. The own failure domain serves as long as it does so promptly:
bytes between domains cost most. Beyond that the target with the shortest
expected time is chosen, of a random few (power of choices, Mitzenmacher,
2001), so that nodes that all heard the same news don't all choose the same.
A target that fails more of its calls than the others of its service gets
only a few, by which it is found to be sound again.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

from rattanstile.connection.peer_messages import TargetLoad
from rattanstile.request.ids import FailureDomainId, NodeId, ServiceName

INNER_NEAR_WAIT_SHARE = 0.1
ROOT_NEAR_WAIT_SHARE = 0.3
"""Parts of the aim that a call may wait to stay in its failure domain: the
answers of root calls are long, and an inner call waits after others."""
MOST_COMPARED = 6
PERCENT = 100
FAR_S = 0.004
"""Both ways between failure domains."""
SHORTEST_SERVICE_S = 0.002
UNKNOWN_SERVICE_S = 0.002
"""A target that has run nothing yet is tried soon."""
ALLOWED_FAILING = 0.15
"""A target that fails so much more than the best is gone round."""
TRIED_SHARE = 0.02
"""Part of the calls that go to any near target, so that one which was slow
once is found to be quick again."""


@dataclass(eq=False, slots=True)
class Candidate:
    """A node that serves, as this node knows it.

    Attributes:
        load: What the node last told.
        told_s: When it told it.
        sent_since: Attempts sent to it since then and not ended.
        is_quiet: Whether it owes a sign of life.
    """

    node_id: NodeId
    service: ServiceName
    domain: FailureDomainId
    load: TargetLoad
    told_s: float = 0.0
    sent_since: int = 0
    is_quiet: bool = False

    def told(self, load: TargetLoad, now_s: float) -> None:
        """Take what the node tells of its target."""
        self.load = load
        self.told_s = now_s
        self.sent_since = 0

    def sent(self) -> None:
        """Count an attempt as sent."""
        self.sent_since += 1

    def expected_wait_s(self) -> float:
        """Return how long a call sent now would wait there."""
        load = self.load
        wait_s = load.wait_us / 1e6
        free = load.limit - load.held - self.sent_since
        if free > 0:
            return wait_s
        service_s = load.service_us / 1e6 or UNKNOWN_SERVICE_S
        return wait_s + self.sent_since * service_s / max(load.limit, 1)

    def expected_s(self, own: FailureDomainId) -> float:
        """Return how long a call sent now would take."""
        service_s = load_service_s(self.load)
        used = (self.load.held + self.sent_since) / max(self.load.limit, 1)
        far_s = 0 if self.domain == own else FAR_S
        return self.expected_wait_s() + service_s * (1 + used) + far_s


def load_service_s(load: TargetLoad) -> float:
    """Return the mean time of a call on the target."""
    service_s = load.service_us / 1e6 or UNKNOWN_SERVICE_S
    return max(service_s, SHORTEST_SERVICE_S)


def choose(
    candidates: Iterable[Candidate],
    own: FailureDomainId,
    near_wait_s: float,
    rng: Random,
) -> Candidate | None:
    """Return the candidate to send to, or None when there is none.

    Args:
        candidates: Those that may be sent to.
        own: This node's failure domain.
        near_wait_s: How long a call may wait to stay near.
        chance: Draws the few that are compared.
    """
    usable = list(candidates)
    lively = [each for each in usable if not each.is_quiet] or usable
    if not lively:
        return None
    near = [each for each in lively if each.domain == own]
    if near and rng.random() < TRIED_SHARE:
        return rng.choice(near)
    lively = _sound(lively)
    near = [each for each in lively if each.domain == own]
    if near:
        best = _quickest(near, own, rng)
        if best.expected_wait_s() <= near_wait_s:
            return best
    return _quickest(lively, own, rng)


def _sound(lively: list[Candidate]) -> list[Candidate]:
    """Return those that don't fail more than the others."""
    least = min(each.load.failing_percent for each in lively)
    allowed = least + ALLOWED_FAILING * PERCENT
    return [each for each in lively if each.load.failing_percent <= allowed]


def _quickest(
    pool: list[Candidate], own: FailureDomainId, rng: Random
) -> Candidate:
    if len(pool) > MOST_COMPARED:
        pool = rng.sample(pool, MOST_COMPARED)
    return min(pool, key=lambda each: (each.expected_s(own), rng.random()))
