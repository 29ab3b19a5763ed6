"""How an organisation's rate and burst are split over the fleet.

Every share is a separate token bucket. The rates and bursts of all shares sum
to at most the organisation's. So, whatever each share does independently, no
time window admits more than rate x time + burst calls.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from functools import reduce

import xxhash

from rattanstile.request.ids import OrganisationId
from rattanstile.version.declaration import Organisation
from rattanstile.version.rate_records import ShardId

STATIC_RATE_FRACTION = 0.01
STATIC_BURST_FRACTION = 0.1
MIN_STATIC_BURST_TOKENS = 4
"""With fewer whole tokens to split, nodes have no static share."""
MAX_CLOCK_RATE = 1.01
"""Fastest rate of a clock relative to true time."""
STATIC_VALIDITY_S = 0.05
"""Time after the decision within which a static token may be used."""
SHARDS_PER_GROUP = 3
MIN_SHARD_BURST_TOKENS = 10
NODES_PER_GROUP = 256
RAISE_DELAY_S = 5.0
"""Above the 4 s within which a version is in force on all nodes."""


@dataclass(frozen=True, slots=True)
class Share:
    """A share of a rate: the two parameters of a token bucket."""

    rate_per_s: float = 0.0
    burst_tokens: float = 0.0

    def capped_by(self, other: 'Share') -> 'Share':
        """Return the smaller rate and the smaller burst of both shares."""
        return Share(
            min(self.rate_per_s, other.rate_per_s),
            min(self.burst_tokens, other.burst_tokens),
        )


NO_SHARE = Share()


@dataclass(frozen=True, slots=True)
class Split:
    """The split of one organisation's rate.

    Attributes:
        slots: Number of nodes with a static share.
        slot_share: Static share of each of these nodes.
        shards: The shards whose owners lend the rest.
        shard_share: Share of each shard.
    """

    slots: int
    slot_share: Share
    shards: tuple[ShardId, ...]
    shard_share: Share

    def share_of_slot(self, slot: int) -> Share:
        """Return the static share of a slot."""
        return self.slot_share if slot < self.slots else NO_SHARE

    def share_of_shard(self, shard: ShardId) -> Share:
        """Return the share of a shard."""
        return self.shard_share if shard in self.shards else NO_SHARE


def shard_count(max_nodes: int) -> int:
    """Return the number of shards of a fleet of up to `max_nodes` nodes."""
    groups = -(-max_nodes // NODES_PER_GROUP)
    return SHARDS_PER_GROUP * max(1, groups)


def split_rate(organisation: Organisation, max_nodes: int) -> Split:
    """Split an organisation's rate and burst.

    A slot's burst is at least one whole token, so an organisation with a
    small burst has fewer slots than the fleet has nodes, or none.
    """
    rate_per_s = organisation.rate_per_s
    static_burst = int(organisation.burst_calls * STATIC_BURST_FRACTION)
    if static_burst < MIN_STATIC_BURST_TOKENS:
        static_burst = 0
    slots = min(max_nodes, static_burst)
    static_rate = rate_per_s * STATIC_RATE_FRACTION if slots else 0.0
    slot_share = (
        Share(static_rate / slots / MAX_CLOCK_RATE, static_burst / slots)
        if slots
        else NO_SHARE
    )
    late_tokens = static_rate * STATIC_VALIDITY_S
    burst_tokens = organisation.burst_calls - late_tokens
    if slots:
        burst_tokens -= static_burst
    shards = _shards_of(organisation.name, burst_tokens, max_nodes)
    return Split(
        slots,
        slot_share,
        shards,
        Share(
            (rate_per_s - static_rate) / len(shards) / MAX_CLOCK_RATE,
            burst_tokens / len(shards),
        ),
    )


def _shards_of(
    name: OrganisationId, burst_tokens: float, max_nodes: int
) -> tuple[ShardId, ...]:
    digest = xxhash.xxh64_intdigest(name.encode())
    groups = shard_count(max_nodes) // SHARDS_PER_GROUP
    base = digest % groups * SHARDS_PER_GROUP
    count = max(
        1, min(SHARDS_PER_GROUP, int(burst_tokens // MIN_SHARD_BURST_TOKENS))
    )
    first = digest // groups % SHARDS_PER_GROUP
    return tuple(
        ShardId(base + (first + index) % SHARDS_PER_GROUP)
        for index in range(count)
    )


@dataclass(slots=True)
class SplitSchedule:
    """The splits in force: lowered immediately, raised after a delay.

    While some nodes still follow an older version, each share stays within
    its size in both versions, so that no mix of the two exceeds the larger.
    """

    _current_splits: dict[OrganisationId, Split] = field(default_factory=dict)
    _earlier_splits: list[tuple[float, dict[OrganisationId, Split]]] = field(
        default_factory=list
    )
    _ready_s: float | None = None

    def replace(
        self,
        now_s: float,
        organisations: Iterable[Organisation],
        max_nodes: int,
        *,
        is_first_version: bool,
    ) -> None:
        """Apply a newly adopted version.

        Args:
            now_s: Monotonic seconds.
            organisations: Every organisation of the version.
            max_nodes: Maximum number of nodes in the fleet.
            is_first_version: Whether the fleet had no version before.
        """
        splits = {
            organisation.name: split_rate(organisation, max_nodes)
            for organisation in organisations
        }
        self._earlier_splits = [
            entry for entry in self._earlier_splits if now_s < entry[0]
        ]
        if not is_first_version and splits != self._current_splits:
            self._earlier_splits.append(
                (now_s + RAISE_DELAY_S, self._current_splits)
            )
        if self._ready_s is None:
            delay_s = 0.0 if is_first_version else RAISE_DELAY_S
            self._ready_s = now_s + delay_s
        self._current_splits = splits

    def is_ready(self, now_s: float) -> bool:
        """Return whether this process has had a version long enough to lend."""
        return self._ready_s is not None and now_s >= self._ready_s

    def names(self) -> tuple[OrganisationId, ...]:
        """Return every organisation of the version in force."""
        return tuple(self._current_splits)

    def shards_of(self, name: OrganisationId) -> tuple[ShardId, ...]:
        """Return the shards that lend an organisation's tokens."""
        split = self._current_splits.get(name)
        return split.shards if split else ()

    def slot_share(
        self, now_s: float, name: OrganisationId, slot: int
    ) -> Share:
        """Return the current static share of a slot."""
        shares = [
            splits[name].share_of_slot(slot) if name in splits else NO_SHARE
            for splits in self._splits_in_effect(now_s)
        ]
        return reduce(Share.capped_by, shares)

    def shard_share(
        self, now_s: float, name: OrganisationId, shard: ShardId
    ) -> Share:
        """Return the current share of a shard."""
        shares = [
            splits[name].share_of_shard(shard) if name in splits else NO_SHARE
            for splits in self._splits_in_effect(now_s)
        ]
        return reduce(Share.capped_by, shares)

    def _splits_in_effect(
        self, now_s: float
    ) -> list[dict[OrganisationId, Split]]:
        """Return the splits that bound a share: the one in force first."""
        earlier = [
            splits for end_s, splits in self._earlier_splits if now_s < end_s
        ]
        return [self._current_splits, *earlier]
