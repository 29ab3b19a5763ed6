"""Load balancing: choice of the node that serves an attempt.

Handles services some of whose targets are slow, nearly full or in another
failure domain. The local failure domain is preferred while its expected wait
is short, as traffic between failure domains costs most. Otherwise the target
with the shortest expected latency among a few random candidates is chosen
(power of choices, Mitzenmacher, 2001), so that nodes with the same load
reports don't all choose the same target. A target that fails more of its
calls than the others of its service gets only a few calls, which show when
it has recovered.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

from rattanstile.connection.peer_messages import TargetLoad
from rattanstile.request.ids import (
    FailureDomainId,
    NodeId,
    ServiceName,
    TargetVersion,
)

MAX_INNER_LOCAL_WAIT_SHARE = 0.1
MAX_ROOT_LOCAL_WAIT_SHARE = 0.3
"""Shares of the latency objective that a call may wait to stay in its failure
domain. Root calls may wait longer, as their answers are long; the wait of an
inner call adds to those of the calls above it."""
MAX_COMPARED = 6
PERCENT = 100
MS_PER_S = 1000
CROSS_DOMAIN_RTT_S = 0.004
"""Round-trip time between failure domains."""
MIN_SERVICE_S = 0.002
DEFAULT_SERVICE_S = 0.002
"""Service time assumed for a target that has run nothing yet; low, so that
it gets calls soon."""
MAX_EXCESS_FAILING_SHARE = 0.15
"""A target whose failing share exceeds the lowest by more is avoided."""
EXPLORATION_SHARE = 0.02
"""Share of calls that go to a random target in the local failure domain, so
that a target that was slow is detected as fast again."""


@dataclass(eq=False, slots=True)
class Candidate:
    """A node that can serve attempts, with its last reported load.

    Attributes:
        load: Last reported load of its target.
        load_received_s: Monotonic time at which the load was received.
        sent_since_update: Attempts sent to it since then and not ended.
        is_unresponsive: Whether it has not answered for too long.
        version: Version of its target; empty if unknown.
    """

    node_id: NodeId
    service: ServiceName
    domain: FailureDomainId
    load: TargetLoad
    load_received_s: float = 0.0
    sent_since_update: int = 0
    is_unresponsive: bool = False
    version: TargetVersion = TargetVersion('')

    def update_load(self, load: TargetLoad, now_s: float) -> None:
        """Record a load report of the node's target."""
        self.load = load
        self.load_received_s = now_s
        self.sent_since_update = 0

    @property
    def warm_at_s(self) -> float:
        """Return the monotonic time at which its target is warm."""
        return self.load_received_s + self.load.cold_ms / MS_PER_S

    def count_sent(self) -> None:
        """Count an attempt that is sent to the node."""
        self.sent_since_update += 1

    def expected_wait_s(self) -> float:
        """Return how long a call sent now would wait at the target."""
        load = self.load
        wait_s = load.wait_us / 1e6
        free = load.limit - load.pending_calls - self.sent_since_update
        if free > 0:
            return wait_s
        service_s = load.service_us / 1e6 or DEFAULT_SERVICE_S
        return wait_s + self.sent_since_update * service_s / max(load.limit, 1)

    def expected_s(self, local_domain: FailureDomainId) -> float:
        """Return the expected latency of a call sent now.

        The service time grows with the share of the limit that is in use.
        """
        service_s = load_service_s(self.load)
        used = (self.load.pending_calls + self.sent_since_update) / max(
            self.load.limit, 1
        )
        rtt_s = 0 if self.domain == local_domain else CROSS_DOMAIN_RTT_S
        return self.expected_wait_s() + service_s * (1 + used) + rtt_s


def load_service_s(load: TargetLoad) -> float:
    """Return the mean service time of the target; assumed if unknown."""
    service_s = load.service_us / 1e6 or DEFAULT_SERVICE_S
    return max(service_s, MIN_SERVICE_S)


def choose(
    candidates: Iterable[Candidate],
    local_domain: FailureDomainId,
    max_local_wait_s: float,
    rng: Random,
) -> Candidate | None:
    """Return the candidate to send to, or None when there is none.

    Unresponsive candidates are used only if there are no others.

    Args:
        candidates: Nodes that can serve the call.
        local_domain: Failure domain of this node.
        max_local_wait_s: How long a call may wait to stay in the local
            failure domain.
        rng: Source of the random choices.
    """
    usable = list(candidates)
    responsive = [each for each in usable if not each.is_unresponsive] or usable
    if not responsive:
        return None
    local = [each for each in responsive if each.domain == local_domain]
    if local and rng.random() < EXPLORATION_SHARE:
        return rng.choice(local)
    responsive = _without_failing(responsive)
    local = [each for each in responsive if each.domain == local_domain]
    if local:
        best = _fastest(local, local_domain, rng)
        if best.expected_wait_s() <= max_local_wait_s:
            return best
    return _fastest(responsive, local_domain, rng)


def _without_failing(responsive: list[Candidate]) -> list[Candidate]:
    """Return the candidates without those that fail more than the others."""
    least = min(each.load.failing_percent for each in responsive)
    allowed = least + MAX_EXCESS_FAILING_SHARE * PERCENT
    return [each for each in responsive if each.load.failing_percent <= allowed]


def _fastest(
    pool: list[Candidate], local_domain: FailureDomainId, rng: Random
) -> Candidate:
    if len(pool) > MAX_COMPARED:
        pool = rng.sample(pool, MAX_COMPARED)
    return min(
        pool, key=lambda each: (each.expected_s(local_domain), rng.random())
    )
