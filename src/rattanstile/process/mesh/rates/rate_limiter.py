"""Rate limiting of each organisation, over all nodes together.

One of the connected nodes, the allocator, keeps a token pool for each
organisation's rate, from which the other nodes request single tokens: so an
organisation gets its whole rate wherever its requests come in, however few
they are. A node that receives many of them holds a share of the rate itself,
as a fraction that applies to whatever rate operators set, and uses the pool
only beyond it. A node that receives no update for a while goes back to an
even share. A pool grows only with the share of the fleet that its node
reaches, so that the two halves of a partition together hand out no more than
the whole fleet does.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from rattanstile.request.ids import OrganisationId
from rattanstile.version.fleet_config import Organisation

SHARE_LEASE_S = 4.0
"""How long a share stays valid without an update."""
DEMAND_WINDOW_S = 1.0
MAX_LOCAL_SHARE = 0.6
"""Upper bound of the share of each rate that nodes hold; the rest is in the
pool."""
POOL_SHARE = 1 - MAX_LOCAL_SHARE
RATE_SHARE = 1.03
BURST_SHARE = 1.08
SPARE_CALLS = 10.0
"""Slightly more than rate and burst is handed out: tokens that are spread over
many nodes are never used up everywhere, and the fleet may admit a tenth
more."""
MAX_RETURN_S = 2.0
"""Longest time for which callers that were rejected are counted on to return;
most callers have given up by then."""
MAX_POOL_BACKOFF_S = 0.25
"""An empty pool is asked again after this time at the latest."""
FIRST_FILL_S = 0.15
"""A share that a pool gains starts with the tokens of this time, so that a
change of the allocator rejects few requests; two changes within a window are
tolerable."""
MAX_TOKEN_WAIT_S = 0.1
"""A request waits this long for its token: less than a retry would take."""
MIN_LOCAL_RATE_PER_S = 4.0
"""A node with less demand from an organisation holds no share of its rate."""


@dataclass(slots=True)
class _Bucket:
    """Token bucket of one organisation.

    Attributes:
        share: Share of the organisation's rate that fills the bucket.
        share_expires_s: Time at which the share is no longer valid.
        requests: Requests since the demand was last measured.
        pool_retry_at_s: Time until which the pool isn't asked.
        pool_token_at_s: Time at which the pool, when it was last asked, would
            have had a token for one more caller.
        returning: Rejected callers that were told to return and for which no
            token has come in yet.
        given_back: Those of the tokens that requests which have not run left.
    """

    filled_s: float
    share: float
    tokens: float = 0.0
    share_expires_s: float = 0.0
    requests: float = 0.0
    demand_per_s: float = 0.0
    pool_retry_at_s: float = 0.0
    pool_token_at_s: float = 0.0
    returning: float = 0.0
    given_back: float = 0.0

    def fill(
        self, now_s: float, organisation: Organisation, spare_calls: float
    ) -> None:
        """Add the tokens for the time passed, up to the burst."""
        passed_s = now_s - self.filled_s
        self.filled_s = now_s
        rate_per_s = organisation.rate_per_s * RATE_SHARE * self.share
        burst_calls = organisation.burst_calls * BURST_SHARE * self.share
        self.tokens = min(
            self.tokens + passed_s * rate_per_s, burst_calls + spare_calls
        )
        self.returning = max(0.0, self.returning - passed_s * rate_per_s)

    def take(self) -> bool:
        """Take a token; return whether only those given back are left."""
        is_given_back = self.tokens - self.given_back < 1
        self.tokens -= 1
        if is_given_back:
            self.given_back = max(0.0, self.given_back - 1)
        return is_given_back

    def wait_s(self, organisation: Organisation) -> float:
        """Return the time until the next token."""
        rate_per_s = organisation.rate_per_s * RATE_SHARE * self.share
        return (1 - self.tokens) / max(rate_per_s, 1 / MAX_RETURN_S)

    def add_returning(self, organisation: Organisation) -> float:
        """Return the time until a token for one more rejected caller.

        The callers rejected before it come first. Those whose turn would come
        too late are not counted.
        """
        rate_per_s = organisation.rate_per_s * RATE_SHARE * self.share
        wait_s = self.wait_s(organisation)
        wait_s += self.returning / max(rate_per_s, 1 / MAX_RETURN_S)
        if wait_s <= MAX_RETURN_S:
            self.returning += 1
        return wait_s


@dataclass(frozen=True, slots=True)
class RateDecision:
    """Whether a request is within its organisation's rate at this node.

    Attributes:
        may_use_pool: Whether the pool may have a token for it.
        tokens: Tokens left in the node's bucket.
        part: The node's share of the rate.
        token_wait_s: Time until a token, as far as this node knows.
        is_given_back: Whether its token was given back by a request that has
            not run, and no other was left.
    """

    is_admitted: bool
    may_use_pool: bool
    tokens: float
    part: float
    token_wait_s: float = 0
    is_given_back: bool = False


class LocalRateLimiter:
    """Token buckets for the shares of all rates that this node holds."""

    def __init__(self) -> None:
        """Start with even shares in a fleet of one node."""
        self._nodes = 1
        self._buckets: dict[OrganisationId, _Bucket] = {}
        self._measured_s = 0.0

    def set_node_count(self, count: int) -> None:
        """Set the number of nodes that share each rate."""
        self._nodes = max(1, count)

    def add_organisations(
        self, now_s: float, organisations: Iterable[Organisation]
    ) -> None:
        """Start to collect tokens; a new process starts without any."""
        for organisation in organisations:
            self._bucket(now_s, organisation)

    def take(self, now_s: float, organisation: Organisation) -> RateDecision:
        """Admit a request if the node's share of the rate allows it."""
        if not organisation.rate_per_s:
            return RateDecision(
                is_admitted=True, may_use_pool=False, tokens=0, part=1
            )
        bucket = self._filled(now_s, organisation)
        bucket.requests += 1
        if bucket.tokens >= 1:
            is_given_back = bucket.take()
            return RateDecision(
                is_admitted=True,
                may_use_pool=False,
                tokens=bucket.tokens,
                part=bucket.share,
                is_given_back=is_given_back,
            )
        return RateDecision(
            is_admitted=False,
            may_use_pool=now_s >= bucket.pool_retry_at_s,
            tokens=bucket.tokens,
            part=bucket.share,
            token_wait_s=min(
                bucket.wait_s(organisation),
                max(0.0, bucket.pool_token_at_s - now_s),
            ),
        )

    def record_empty_pool(
        self, now_s: float, organisation: Organisation, wait_s: float
    ) -> None:
        """Stop asking the pool for tokens for a while."""
        bucket = self._bucket(now_s, organisation)
        bucket.pool_retry_at_s = now_s + min(wait_s, MAX_POOL_BACKOFF_S)
        bucket.pool_token_at_s = now_s + wait_s

    def give_back(self, organisation: Organisation) -> None:
        """Return the token of a request that has not run."""
        bucket = self._buckets.get(organisation.name)
        if bucket is not None:
            bucket.tokens += 1
            bucket.given_back += 1

    def demand(self, now_s: float) -> dict[OrganisationId, float]:
        """Return the smoothed requests per second of each organisation."""
        passed_s = now_s - self._measured_s
        self._measured_s = now_s
        if passed_s <= 0:
            return {}
        gain = min(1.0, passed_s / DEMAND_WINDOW_S)
        demands_per_s: dict[OrganisationId, float] = {}
        for name, bucket in self._buckets.items():
            measured_per_s = bucket.requests / passed_s
            bucket.requests = 0
            bucket.demand_per_s += gain * (measured_per_s - bucket.demand_per_s)
            if bucket.demand_per_s >= MIN_LOCAL_RATE_PER_S:
                demands_per_s[name] = round(bucket.demand_per_s, 2)
        return demands_per_s

    def set_shares(
        self,
        now_s: float,
        shares: Mapping[OrganisationId, float],
        lease_s: float = SHARE_LEASE_S,
    ) -> None:
        """Set the shares of the rates that this node holds from now on.

        Args:
            now_s: Monotonic seconds.
            shares: By organisation; it holds no share of other rates.
            lease_s: How long they stay valid without an update.
        """
        for name, bucket in self._buckets.items():
            bucket.share = shares.get(name, 0.0)
            bucket.share_expires_s = now_s + lease_s

    def _bucket(self, now_s: float, organisation: Organisation) -> _Bucket:
        bucket = self._buckets.get(organisation.name)
        if bucket is None:
            bucket = _Bucket(
                filled_s=now_s, share=MAX_LOCAL_SHARE / self._nodes
            )
            self._buckets[organisation.name] = bucket
        return bucket

    def _filled(self, now_s: float, organisation: Organisation) -> _Bucket:
        bucket = self._bucket(now_s, organisation)
        if now_s > bucket.share_expires_s:
            bucket.share = MAX_LOCAL_SHARE / self._nodes
        # While tokens that were given back are here, the pool isn't asked.
        # They count as new at the rate at which it would have granted tokens.
        pool_share = bucket.share * POOL_SHARE / MAX_LOCAL_SHARE
        pool_share = pool_share or 1 / self._nodes
        passed_s = now_s - bucket.filled_s
        renewed = passed_s * organisation.rate_per_s * pool_share
        bucket.fill(now_s, organisation, SPARE_CALLS / self._nodes)
        bucket.given_back = min(
            bucket.tokens, max(0.0, bucket.given_back - renewed)
        )
        return bucket


@dataclass(frozen=True, slots=True)
class PoolDecision:
    """Whether the pool grants a token.

    Attributes:
        wait_s: Time until the token is available; if none is granted, the
            time after which a caller that is told to return finds one.
    """

    is_granted: bool
    wait_s: float = 0


class RatePool:
    """The share of all rates that is handed out token by token."""

    def __init__(self) -> None:
        """Start with empty pools."""
        self._buckets: dict[OrganisationId, _Bucket] = {}

    def refill(
        self,
        now_s: float,
        organisations: Iterable[Organisation],
        reachable_share: float,
        held_shares: Mapping[OrganisationId, float],
    ) -> None:
        """Fill the pools.

        Args:
            now_s: Monotonic seconds.
            organisations: Organisations with a rate.
            reachable_share: Share of the fleet that reports to this node.
            held_shares: Shares of the rates that nodes hold themselves.
        """
        for organisation in organisations:
            share = max(
                0.0, reachable_share - held_shares.get(organisation.name, 0.0)
            )
            bucket = self._buckets.get(organisation.name)
            if bucket is None:
                bucket = _Bucket(filled_s=now_s, share=0)
                self._buckets[organisation.name] = bucket
            bucket.fill(now_s, organisation, 0)
            gained = max(0.0, share - bucket.share)
            bucket.tokens += gained * organisation.rate_per_s * FIRST_FILL_S
            bucket.share = share

    @property
    def is_open(self) -> bool:
        """Return whether this node keeps the pools."""
        return bool(self._buckets)

    def stop(self) -> None:
        """Empty the pools, because another node is the allocator now."""
        self._buckets.clear()

    def take(self, now_s: float, organisation: Organisation) -> PoolDecision:
        """Take a token, or reserve one that is available soon."""
        bucket = self._buckets.get(organisation.name)
        if bucket is None:
            return PoolDecision(is_granted=False, wait_s=MAX_POOL_BACKOFF_S)
        bucket.fill(now_s, organisation, 0)
        if bucket.tokens >= 1:
            bucket.tokens -= 1
            return PoolDecision(is_granted=True)
        wait_s = bucket.wait_s(organisation)
        if wait_s <= MAX_TOKEN_WAIT_S:
            bucket.tokens -= 1
            return PoolDecision(is_granted=True, wait_s=wait_s)
        return PoolDecision(
            is_granted=False, wait_s=bucket.add_returning(organisation)
        )
