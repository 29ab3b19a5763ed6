"""How an organisation's rate and burst are split over the fleet.

Every part is a token bucket of its own. The parts' rates and bursts add up
to at most the organisation's, so whatever each part does alone, no window
holds more than rate x time + burst.
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
STATIC_BURST_MIN = 4
"""With fewer whole tokens to split there is no static part."""
CLOCK_MARGIN = 1.01
"""How much faster than true time a clock may run."""
STATIC_VALIDITY_S = 0.05
"""How late a token of the static part may be used after the decision."""
SHARDS_MAX = 3
SHARD_BURST_MIN = 10
NODES_PER_GROUP = 256
RAISE_DELAY_S = 5.0
"""Above the 4 s within which a version is in force everywhere."""


@dataclass(frozen=True, slots=True)
class Share:
    """A part of a rate: a token bucket's two parameters."""

    rate_per_s: float = 0.0
    burst_tokens: float = 0.0

    def at_most(self, other: 'Share') -> 'Share':
        """Return the share that is within both."""
        return Share(
            min(self.rate_per_s, other.rate_per_s),
            min(self.burst_tokens, other.burst_tokens),
        )


NO_SHARE = Share()


@dataclass(frozen=True, slots=True)
class Split:
    """One organisation's rate, split.

    Attributes:
        slots: Number of nodes with a static part.
        slot_share: Static part of each of them.
        shards: The shards whose owners lend the rest.
        shard_share: What each shard has.
    """

    slots: int
    slot_share: Share
    shards: tuple[ShardId, ...]
    shard_share: Share

    def of_slot(self, slot: int) -> Share:
        """Return the static part of a slot."""
        return self.slot_share if slot < self.slots else NO_SHARE

    def of_shard(self, shard: ShardId) -> Share:
        """Return the part of a shard."""
        return self.shard_share if shard in self.shards else NO_SHARE


def shard_count(max_nodes: int) -> int:
    """Return how many shards a fleet of at most so many nodes has."""
    groups = -(-max_nodes // NODES_PER_GROUP)
    return SHARDS_MAX * max(1, groups)


def split_of(organisation: Organisation, max_nodes: int) -> Split:
    """Split an organisation's rate and burst.

    A slot has at least one whole token of burst, so an organisation with a
    small burst has fewer slots than the fleet has nodes, or none.
    """
    rate_per_s = organisation.rate_per_s
    static_burst = int(organisation.burst_calls * STATIC_BURST_FRACTION)
    if static_burst < STATIC_BURST_MIN:
        static_burst = 0
    slots = min(max_nodes, static_burst)
    static_rate = rate_per_s * STATIC_RATE_FRACTION if slots else 0.0
    slot_share = (
        Share(static_rate / slots / CLOCK_MARGIN, static_burst / slots)
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
            (rate_per_s - static_rate) / len(shards) / CLOCK_MARGIN,
            burst_tokens / len(shards),
        ),
    )


def _shards_of(
    name: OrganisationId, burst_tokens: float, max_nodes: int
) -> tuple[ShardId, ...]:
    digest = xxhash.xxh64_intdigest(name.encode())
    groups = shard_count(max_nodes) // SHARDS_MAX
    base = digest % groups * SHARDS_MAX
    count = max(1, min(SHARDS_MAX, int(burst_tokens // SHARD_BURST_MIN)))
    first = digest // groups % SHARDS_MAX
    return tuple(
        ShardId(base + (first + index) % SHARDS_MAX) for index in range(count)
    )


@dataclass(slots=True)
class SplitSchedule:
    """The split in force, lowered at once and raised after a delay.

    While some nodes still follow an older version, each part stays within
    what both versions give it, so that no mix of the two exceeds the larger.
    """

    _current: dict[OrganisationId, Split] = field(default_factory=dict)
    _earlier: list[tuple[float, dict[OrganisationId, Split]]] = field(
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
        """Take another version.

        Args:
            now_s: Monotonic seconds.
            organisations: Every organisation of the version.
            max_nodes: Most nodes that the fleet may have.
            is_first_version: Whether the fleet had no version before.
        """
        splits = {one.name: split_of(one, max_nodes) for one in organisations}
        self._earlier = [one for one in self._earlier if now_s < one[0]]
        if not is_first_version and splits != self._current:
            self._earlier.append((now_s + RAISE_DELAY_S, self._current))
        if self._ready_s is None:
            delay_s = 0.0 if is_first_version else RAISE_DELAY_S
            self._ready_s = now_s + delay_s
        self._current = splits

    def is_ready(self, now_s: float) -> bool:
        """Tell whether this process has had a version long enough to lend."""
        return self._ready_s is not None and now_s >= self._ready_s

    def names(self) -> tuple[OrganisationId, ...]:
        """Return every organisation of the version in force."""
        return tuple(self._current)

    def shards_of(self, name: OrganisationId) -> tuple[ShardId, ...]:
        """Return the shards that lend an organisation's tokens."""
        split = self._current.get(name)
        return split.shards if split else ()

    def slot_share(
        self, now_s: float, name: OrganisationId, slot: int
    ) -> Share:
        """Return the static part of a slot now."""
        parts = [
            splits[name].of_slot(slot) if name in splits else NO_SHARE
            for splits in self._bounding(now_s)
        ]
        return reduce(Share.at_most, parts)

    def shard_share(
        self, now_s: float, name: OrganisationId, shard: ShardId
    ) -> Share:
        """Return the part of a shard now."""
        parts = [
            splits[name].of_shard(shard) if name in splits else NO_SHARE
            for splits in self._bounding(now_s)
        ]
        return reduce(Share.at_most, parts)

    def _bounding(self, now_s: float) -> list[dict[OrganisationId, Split]]:
        """Return the splits that bound a part: the one in force first."""
        earlier = [one for end_s, one in self._earlier if now_s < end_s]
        return [self._current, *earlier]
