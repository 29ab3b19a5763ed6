"""Admission by the rate of each organisation, over all nodes together.

One node of those that are connected keeps a pool of each organisation's rate,
of which the others ask single tokens: so an organisation gets its whole rate
wherever its requests come in, however few they are. A node where many of them
come in holds a part of the rate itself, as a fraction that is in force for
whatever rate operators set, and asks the pool only beyond it. A node that
hears nothing for a while goes back to an even part; a pool grows only with
the part of the fleet that its node reaches, so that two halves of a partition
together hand out no more.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from rattanstile.request.ids import OrganisationId
from rattanstile.version.fleet_config import Organisation

PART_LASTS_S = 4.0
"""How long a part is kept without news."""
DEMAND_WINDOW_S = 1.0
LOCAL_SHARE = 0.6
"""Most of each rate that nodes hold; the rest is in the pool."""
RATE_SHARE = 1.03
BURST_SHARE = 1.08
SPARE_CALLS = 10.0
"""A little more than rate and burst is handed out: what is spread over many
nodes is never used up everywhere, and the fleet may admit a tenth more."""
SHORTEST_RETRY_S = 0.2
LONGEST_RETRY_S = 2.0
LONGEST_DRY_S = 0.25
"""A pool that was dry is asked again after this time at the latest."""
FIRST_FILL_S = 0.15
"""What a pool reaches anew begins with what this time brings, so that a change
of the node that keeps it refuses little; two changes in a window are borne."""
LONGEST_WAIT_S = 0.1
"""A request waits so long for its token: less than a return would take."""
LEAST_PART_PER_S = 4.0
"""A node asked for less by an organisation holds no part of its rate."""


@dataclass(slots=True)
class _Bucket:
    """Tokens of one organisation.

    Attributes:
        part: Part of the rate that fills it.
        dry_until_s: Until when the pool needn't be asked.
    """

    filled_s: float
    part: float
    tokens: float = 0.0
    part_until_s: float = 0.0
    asked: float = 0.0
    demand_per_s: float = 0.0
    dry_until_s: float = 0.0

    def fill(
        self, now_s: float, organisation: Organisation, spare_calls: float
    ) -> None:
        """Add what time has brought, up to the burst."""
        passed_s = now_s - self.filled_s
        self.filled_s = now_s
        rate_per_s = organisation.rate_per_s * RATE_SHARE * self.part
        burst_calls = organisation.burst_calls * BURST_SHARE * self.part
        self.tokens = min(
            self.tokens + passed_s * rate_per_s, burst_calls + spare_calls
        )

    def wait_s(self, organisation: Organisation) -> float:
        """Return when the next token comes."""
        rate_per_s = organisation.rate_per_s * RATE_SHARE * self.part
        return (1 - self.tokens) / max(rate_per_s, 1 / LONGEST_RETRY_S)


@dataclass(frozen=True, slots=True)
class RateDecision:
    """Whether a request is within its organisation's rate here.

    Attributes:
        may_ask: Whether the pool may have a token for it.
        tokens: What is left of the node's part.
        part: The node's part of the rate.
    """

    is_admitted: bool
    may_use_pool: bool
    tokens: float
    part: float
    retry_after_s: float = 0


class RateKeeper:
    """The parts of all rates that this node holds."""

    def __init__(self) -> None:
        """Begin with even parts of a fleet of one."""
        self._nodes = 1
        self._buckets: dict[OrganisationId, _Bucket] = {}
        self._measured_s = 0.0

    def set_node_count(self, count: int) -> None:
        """Learn how many nodes share each rate."""
        self._nodes = max(1, count)

    def know(self, now_s: float, organisations: Iterable[Organisation]) -> None:
        """Begin to collect tokens: a new process begins with none."""
        for organisation in organisations:
            self._bucket(now_s, organisation)

    def take(self, now_s: float, organisation: Organisation) -> RateDecision:
        """Admit a request, if the node's part of the rate allows it."""
        if not organisation.rate_per_s:
            return RateDecision(
                is_admitted=True, may_use_pool=False, tokens=0, part=1
            )
        bucket = self._filled(now_s, organisation)
        bucket.asked += 1
        if bucket.tokens >= 1:
            bucket.tokens -= 1
            return RateDecision(
                is_admitted=True,
                may_use_pool=False,
                tokens=bucket.tokens,
                part=bucket.part,
            )
        return RateDecision(
            is_admitted=False,
            may_use_pool=now_s >= bucket.dry_until_s,
            tokens=bucket.tokens,
            part=bucket.part,
            retry_after_s=_bounded(bucket.wait_s(organisation)),
        )

    def pool_was_dry(
        self, now_s: float, organisation: Organisation, wait_s: float
    ) -> None:
        """Note that the pool has no token for a while."""
        bucket = self._bucket(now_s, organisation)
        bucket.dry_until_s = now_s + min(wait_s, LONGEST_DRY_S)

    def give_back(self, organisation: Organisation) -> None:
        """Return what a request took that has not run."""
        bucket = self._buckets.get(organisation.name)
        if bucket is not None:
            bucket.tokens += 1

    def demand(self, now_s: float) -> dict[OrganisationId, float]:
        """Return the requests a second of each organisation, smoothed."""
        passed_s = now_s - self._measured_s
        self._measured_s = now_s
        if passed_s <= 0:
            return {}
        gain = min(1.0, passed_s / DEMAND_WINDOW_S)
        found: dict[OrganisationId, float] = {}
        for name, bucket in self._buckets.items():
            seen_per_s = bucket.asked / passed_s
            bucket.asked = 0
            bucket.demand_per_s += gain * (seen_per_s - bucket.demand_per_s)
            if bucket.demand_per_s >= LEAST_PART_PER_S:
                found[name] = round(bucket.demand_per_s, 2)
        return found

    def shared(self, now_s: float, parts: dict[OrganisationId, float]) -> None:
        """Take the parts that this node holds from now on."""
        for name, bucket in self._buckets.items():
            bucket.part = parts.get(name, 0.0)
            bucket.part_until_s = now_s + PART_LASTS_S

    def _bucket(self, now_s: float, organisation: Organisation) -> _Bucket:
        bucket = self._buckets.get(organisation.name)
        if bucket is None:
            bucket = _Bucket(filled_s=now_s, part=LOCAL_SHARE / self._nodes)
            self._buckets[organisation.name] = bucket
        return bucket

    def _filled(self, now_s: float, organisation: Organisation) -> _Bucket:
        bucket = self._bucket(now_s, organisation)
        if now_s > bucket.part_until_s:
            bucket.part = LOCAL_SHARE / self._nodes
        bucket.fill(now_s, organisation, SPARE_CALLS / self._nodes)
        return bucket


@dataclass(frozen=True, slots=True)
class PoolDecision:
    """Whether the pool has a token.

    Attributes:
        wait_s: When the token comes, or when to ask again.
    """

    is_granted: bool
    wait_s: float = 0


class RatePool:
    """The part of all rates that is handed out token by token."""

    def __init__(self) -> None:
        """Begin with empty pools."""
        self._buckets: dict[OrganisationId, _Bucket] = {}

    def know(
        self,
        now_s: float,
        organisations: Iterable[Organisation],
        reachable: float,
        held: Mapping[OrganisationId, float],
    ) -> None:
        """Fill the pools.

        Args:
            now_s: Monotonic seconds.
            organisations: Those with a rate.
            reachable: Part of the fleet that reports to this node.
            held: Parts of the rates that nodes hold themselves.
        """
        for organisation in organisations:
            part = max(0.0, reachable - held.get(organisation.name, 0.0))
            bucket = self._buckets.get(organisation.name)
            if bucket is None:
                bucket = _Bucket(filled_s=now_s, part=0)
                self._buckets[organisation.name] = bucket
            bucket.fill(now_s, organisation, 0)
            grown = max(0.0, part - bucket.part)
            bucket.tokens += grown * organisation.rate_per_s * FIRST_FILL_S
            bucket.part = part

    @property
    def is_open(self) -> bool:
        """Tell whether this node keeps the pools."""
        return bool(self._buckets)

    def stop(self) -> None:
        """Empty the pools: another node shares the rates out now."""
        self._buckets.clear()

    def take(self, now_s: float, organisation: Organisation) -> PoolDecision:
        """Take a token, or the right to one that comes soon."""
        bucket = self._buckets.get(organisation.name)
        if bucket is None:
            return PoolDecision(is_granted=False, wait_s=LONGEST_DRY_S)
        bucket.fill(now_s, organisation, 0)
        if bucket.tokens >= 1:
            bucket.tokens -= 1
            return PoolDecision(is_granted=True)
        wait_s = bucket.wait_s(organisation)
        if wait_s <= LONGEST_WAIT_S:
            bucket.tokens -= 1
            return PoolDecision(is_granted=True, wait_s=wait_s)
        return PoolDecision(is_granted=False, wait_s=wait_s)


def _bounded(wait_s: float) -> float:
    return min(LONGEST_RETRY_S, max(SHORTEST_RETRY_S, wait_s))
