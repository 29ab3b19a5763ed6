"""When a process claims a shard, and which witnesses it names."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from functools import partial
from itertools import zip_longest

import xxhash

from rattanstile.process.rates.rate_claims import ClaimFold
from rattanstile.process.rates.rate_lease import Witness
from rattanstile.process.rates.rate_messages import RatePeer
from rattanstile.request.ids import FailureDomainId, RecordId
from rattanstile.version.rate_records import (
    Epoch,
    OwnerClaimRecord,
    ProcessId,
    ShardId,
)

MAX_WITNESSES = 3
SUSPECT_S = 0.6
"""Three renewals missed."""
SUSPECT_STEP_S = 0.3
"""Between the claims of two witnesses, so that mostly one tries."""
START_GRACE_S = 3.0
"""How long a claimant may take to seal, wait and ask for its lease."""
VACANT_S = 0.3
VACANT_STEP_S = 0.5
VACANT_RANKS = 6
APPEND_AGAIN_S = 1.0


@dataclass(slots=True)
class Candidate:
    """Decides for one process when to claim which shard.

    Args:
        me: This process.
        failure_domain: Where it runs.
        claims: The fold of the stream, shared with the owner's machine.
        witness: What this process heard as a witness.
    """

    me: ProcessId
    failure_domain: FailureDomainId
    claims: ClaimFold
    witness: Witness
    _peers: tuple[RatePeer, ...] = ()
    _gone: set[ProcessId] = field(default_factory=set)
    _seen_s: dict[ShardId, float] = field(default_factory=dict)
    _tried_s: dict[ShardId, float] = field(default_factory=dict)
    _sent_s: dict[tuple[ShardId, Epoch], float] = field(default_factory=dict)

    def set_peers(self, peers: tuple[RatePeer, ...]) -> None:
        """Take the live nodes known here, this one left out."""
        self._peers = peers

    def process_gone(self, process: ProcessId) -> None:
        """Note a process that has ended for certain."""
        self._gone.add(process)

    def claim_seen(self, now_s: float, shard: ShardId) -> None:
        """Note when the latest claim of a shard was read."""
        self._seen_s[shard] = now_s

    def due(self, now_s: float, shard: ShardId) -> OwnerClaimRecord | None:
        """Return the claim to append now, or None."""
        wait_s = self._wait_s(now_s, shard)
        tried_s = self._tried_s.get(shard, -APPEND_AGAIN_S)
        is_early = wait_s is None or wait_s > 0
        if is_early or now_s < tried_s + APPEND_AGAIN_S:
            return None
        return self.claim(now_s, shard)

    def claim(self, now_s: float, shard: ShardId) -> OwnerClaimRecord | None:
        """Return a claim for the next epoch, or None if the fold is full."""
        if self.claims.is_full(shard):
            return None
        self._tried_s[shard] = now_s
        epoch = self.claims.next_epoch(shard)
        self._sent_s.setdefault((shard, epoch), now_s)
        return OwnerClaimRecord(
            record_id=_record_id(self.me, shard, epoch),
            shard=shard,
            epoch=epoch,
            owner=self.me,
            witnesses=self._witnesses(shard),
        )

    def sent_s(self, claim: OwnerClaimRecord) -> float:
        """Return when a claim of this process was first sent to the log."""
        sent_s = self._sent_s.get((claim.shard, claim.epoch), float('-inf'))
        for key in tuple(self._sent_s):
            if key[0] == claim.shard and key[1] <= claim.epoch:
                self._sent_s.pop(key)
        return sent_s

    def can_replace(self, witness: ProcessId) -> bool:
        """Tell whether a claim made now would leave the witness out."""
        return all(peer.process != witness for peer in self._peers)

    def _wait_s(self, now_s: float, shard: ShardId) -> float | None:
        known = self.claims.current(shard)
        if known is None:
            return self._vacant_wait_s(now_s, shard)
        if self.me in known.witnesses:
            index = known.witnesses.index(self.me)
            patience_s = SUSPECT_S + index * SUSPECT_STEP_S
            heard_s = self.witness.heard_s(shard, known.epoch)
            if heard_s is None:
                heard_s = self._seen_s.get(shard, now_s) + START_GRACE_S
            return heard_s + patience_s - now_s
        if known.owner in self._gone:
            return self._vacant_wait_s(now_s, shard)
        return None

    def _vacant_wait_s(self, now_s: float, shard: ShardId) -> float | None:
        since_s = self._seen_s.setdefault(shard, now_s)
        ranked = self._ranked(shard)
        if self.me not in ranked[:VACANT_RANKS]:
            return None
        rank = ranked.index(self.me)
        return since_s + VACANT_S + rank * VACANT_STEP_S - now_s

    def _ranked(self, shard: ShardId) -> list[ProcessId]:
        everyone = (*self._peers, RatePeer(self.me, self.failure_domain))
        by_domain = _by_domain(shard, everyone)
        domains = sorted(by_domain)
        first = shard % len(domains)
        turned = domains[first:] + domains[:first]
        return _interleaved([by_domain[domain] for domain in turned])

    def _witnesses(self, shard: ShardId) -> tuple[ProcessId, ...]:
        by_domain = _by_domain(shard, self._peers)
        ranked = _interleaved([by_domain[one] for one in sorted(by_domain)])
        count = min(MAX_WITNESSES, len(ranked))
        odd = count - 1 + count % 2
        return tuple(ranked[: max(0, odd)])


def _record_id(me: ProcessId, shard: ShardId, epoch: Epoch) -> RecordId:
    run = f'{me.node_id}/{me.incarnation}'
    return RecordId(f'owner-claim/{shard}/{epoch}/{run}')


def _by_domain(
    shard: ShardId, peers: Iterable[RatePeer]
) -> dict[FailureDomainId, list[ProcessId]]:
    by_domain: dict[FailureDomainId, list[ProcessId]] = {}
    for peer in peers:
        by_domain.setdefault(peer.failure_domain, []).append(peer.process)
    for processes in by_domain.values():
        processes.sort(key=partial(_weight, shard))
    return by_domain


def _weight(shard: ShardId, process: ProcessId) -> int:
    return xxhash.xxh64_intdigest(f'{shard}/{process.node_id}'.encode())


def _interleaved(queues: list[list[ProcessId]]) -> list[ProcessId]:
    rounds = zip_longest(*queues)
    return [one for turn in rounds for one in turn if one is not None]
