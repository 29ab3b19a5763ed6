"""Load balancing: choice of the node that serves an attempt.

Handles services some of whose targets are slow, nearly full or in another
failure domain. The local failure domain is preferred while its expected wait
is short, as traffic between failure domains costs most. Otherwise the target
with the shortest expected latency among a few random candidates is chosen
(power of choices, Mitzenmacher, 2001), so that nodes with the same load
reports don't all choose the same target. While the targets are busy, calls
are spread over them by free capacity instead, see `even_load`. A target that
fails more of its calls than the others of its service gets only a few calls,
which show when it has recovered.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum, unique
from random import Random

from rattanstile.connection.peer_messages import TargetLoad
from rattanstile.process.mesh.placement.even_load import (
    BUSY_SHARE,
    CROWDED_SHARE,
    FULL_DOMAIN_SHARE,
    draw,
    mean_share,
    spill_share,
)
from rattanstile.process.mesh.placement.target_speed import (
    ServiceSpeed,
    Slowness,
)
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
MIN_PACE_PERCENT = 50
SLOW_MOMENT_S = 0.3
"""Time constant with which a reported moment of slowness ends."""
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


@unique
class Use(Enum):
    """How much of the limits of a service's targets is in use.

    With light use, or while a single target is crowded, the fastest target is
    chosen, in the latter case among those that aren't.
    """

    LIGHT = 'light'
    CROWDED = 'crowded'
    BUSY = 'busy'


@dataclass(eq=False, slots=True)
class Candidate:
    """A node that can serve attempts, with its last reported load.

    Attributes:
        load: Last reported load of its target.
        load_received_s: Monotonic time at which the load was received.
        sent_since_update: Attempts sent to it since then.
        is_unresponsive: Whether it has not answered for too long.
        slowness: Usual time of its target over the mean of the service.
        service_speed: Mean of the service; None if it isn't known.
        version: Version of its target; empty if unknown.
    """

    node_id: NodeId
    service: ServiceName
    domain: FailureDomainId
    load: TargetLoad
    load_received_s: float = 0.0
    sent_since_update: int = 0
    is_unresponsive: bool = False
    slowness: Slowness = field(default_factory=Slowness)
    service_speed: ServiceSpeed | None = None
    version: TargetVersion = TargetVersion('')

    def update_load(self, load: TargetLoad, now_s: float) -> None:
        """Record a load report of the node's target."""
        self.load = load
        self.load_received_s = now_s
        self.sent_since_update = 0
        if self.service_speed is not None:
            self.service_speed.record(load, self.slowness)

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

    def used_share(self) -> float:
        """Return the share of the limit in use, with the calls sent since."""
        load = self.load
        return (load.pending_calls + self.sent_since_update) / (load.limit or 1)

    def report_age_s(self, now_s: float) -> float:
        """Return the age of the last load report."""
        return now_s - self.load_received_s

    def capacity(self, now_s: float) -> float:
        """Return the capacity relative to other targets of the service.

        A moment of slowness counts less the longer ago it was reported.
        """
        load = self.load
        pace = max(load.pace_percent, MIN_PACE_PERCENT) / PERCENT
        if load.pace_percent != PERCENT:
            age_s = max(self.report_age_s(now_s), 0.0)
            pace = 1 + (pace - 1) * math.exp(-age_s / SLOW_MOMENT_S)
        return max(load.limit, 1) / (self.slowness.ratio * pace)

    def expected_s(self, local_domain: FailureDomainId) -> float:
        """Return the expected latency of a call sent now.

        The service time grows with the share of the limit that is in use.
        """
        load = self.load
        # Written out, as each choice compares several candidates.
        service_s = load.service_us / 1e6 or DEFAULT_SERVICE_S
        if service_s < MIN_SERVICE_S:
            service_s = MIN_SERVICE_S
        used = (load.pending_calls + self.sent_since_update) / (load.limit or 1)
        rtt_s = 0 if self.domain == local_domain else CROSS_DOMAIN_RTT_S
        return self.expected_wait_s() + service_s * (1 + used) + rtt_s


def choose(
    candidates: Iterable[Candidate],
    local_domain: FailureDomainId,
    max_local_wait_s: float,
    rng: Random,
    now_s: float = 0.0,
) -> Candidate | None:
    """Return the candidate to send to, or None when there is none.

    Unresponsive candidates are used only if there are no others.

    Args:
        candidates: Nodes that can serve the call.
        local_domain: Failure domain of this node.
        max_local_wait_s: How long a call may wait to stay in the local
            failure domain.
        rng: Source of the random choices.
        now_s: Monotonic seconds.
    """
    usable = list(candidates)
    responsive = [each for each in usable if not each.is_unresponsive] or usable
    if not responsive:
        return None
    local = [each for each in responsive if each.domain == local_domain]
    if local and rng.random() < EXPLORATION_SHARE:
        return rng.choice(local)
    sound = _without_failing(responsive)
    if len(sound) < len(responsive):
        local = [each for each in sound if each.domain == local_domain]
    use = _use(local or sound)
    if use is Use.BUSY:
        return _choose_even(sound, local, max_local_wait_s, rng, now_s)
    if use is Use.CROWDED:
        local = _uncrowded(local)
        sound = _uncrowded(sound)
    return choose_fastest(sound, local, local_domain, max_local_wait_s, rng)


def choose_fastest(
    sound: list[Candidate],
    local: list[Candidate],
    local_domain: FailureDomainId,
    max_local_wait_s: float,
    rng: Random,
) -> Candidate:
    """Return the target with the shortest expected latency of a few.

    Args:
        sound: At least one candidate.
        local: Those of them in the local failure domain.
        local_domain: See `choose`.
        max_local_wait_s: See `choose`.
        rng: Source of the random choices.
    """
    if local:
        best = _fastest(local, local_domain, rng)
        if best.expected_wait_s() <= max_local_wait_s:
            return best
    return _fastest(sound, local_domain, rng)


def _choose_even(
    sound: list[Candidate],
    local: list[Candidate],
    max_local_wait_s: float,
    rng: Random,
    now_s: float,
) -> Candidate:
    if not local:
        return draw(sound, now_s, rng)
    if len(local) == len(sound):
        return draw(local, now_s, rng)
    local_share = mean_share(local)
    if local_share > FULL_DOMAIN_SHARE:
        domain = local[0].domain
        remote = [each for each in sound if each.domain != domain]
        if rng.random() < spill_share(local_share, mean_share(remote)):
            return draw(remote, now_s, rng)
    best = draw(local, now_s, rng)
    if best.expected_wait_s() <= max_local_wait_s:
        return best
    return draw(sound, now_s, rng)


def _use(pool: list[Candidate]) -> Use:
    """Return how much of the limits is in use.

    Each choice calls it, so that it makes no calls itself.
    """
    total_used = 0
    total_limit = 0
    use = Use.LIGHT
    for each in pool:
        load = each.load
        used = load.pending_calls + each.sent_since_update
        if used > CROWDED_SHARE * load.limit:
            use = Use.CROWDED
        total_used += used
        total_limit += load.limit
    return Use.BUSY if total_used > BUSY_SHARE * total_limit else use


def _uncrowded(pool: list[Candidate]) -> list[Candidate]:
    """Return the targets with room for calls of other nodes, if any has."""
    return [each for each in pool if each.used_share() <= CROWDED_SHARE] or pool


def _without_failing(responsive: list[Candidate]) -> list[Candidate]:
    """Return the candidates without those that fail more than the others."""
    shares = [each.load.failing_percent for each in responsive]
    allowed = min(shares) + MAX_EXCESS_FAILING_SHARE * PERCENT
    if max(shares) <= allowed:
        return responsive
    return [each for each in responsive if each.load.failing_percent <= allowed]


def _fastest(
    pool: list[Candidate], local_domain: FailureDomainId, rng: Random
) -> Candidate:
    if len(pool) > MAX_COMPARED:
        pool = rng.sample(pool, MAX_COMPARED)
    return min(
        pool, key=lambda each: (each.expected_s(local_domain), rng.random())
    )
