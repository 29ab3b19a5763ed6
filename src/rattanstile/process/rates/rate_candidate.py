"""When a process claims a shard, and which witnesses the claim names."""

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
SUSPECT_AFTER_S = 0.6
"""Three missed lease renewals."""
SUSPECT_STAGGER_S = 0.3
"""Added for each preceding witness, so that usually only one claims."""
START_GRACE_S = 3.0
"""Time for a claimant to seal earlier epochs, wait and request its lease."""
VACANT_DELAY_S = 0.3
VACANT_STAGGER_S = 0.5
MAX_VACANT_CANDIDATES = 6
CLAIM_RETRY_S = 1.0


@dataclass(slots=True)
class Candidate:
    """Decides for one process when to claim which shard.

    Args:
        local_process: This process.
        failure_domain: Failure domain of this process.
        claims: State of the stream `rates`, shared with the `RateOwner`.
        witness: Lease requests that this process received as a witness.
    """

    local_process: ProcessId
    failure_domain: FailureDomainId
    claims: ClaimFold
    witness: Witness
    _peers: tuple[RatePeer, ...] = ()
    _gone_processes: set[ProcessId] = field(default_factory=set)
    _claim_read_s: dict[ShardId, float] = field(default_factory=dict)
    _attempted_s: dict[ShardId, float] = field(default_factory=dict)
    _claim_sent_s: dict[tuple[ShardId, Epoch], float] = field(
        default_factory=dict
    )

    def set_peers(self, peers: tuple[RatePeer, ...]) -> None:
        """Replace the known live nodes, excluding this one."""
        self._peers = peers

    def process_gone(self, process: ProcessId) -> None:
        """Record a process that has certainly ended."""
        self._gone_processes.add(process)

    def record_claim_read(self, now_s: float, shard: ShardId) -> None:
        """Record when the latest claim of a shard was read."""
        self._claim_read_s[shard] = now_s

    def due_claim(
        self, now_s: float, shard: ShardId
    ) -> OwnerClaimRecord | None:
        """Return the claim to append now, or None."""
        wait_s = self._wait_s(now_s, shard)
        attempted_s = self._attempted_s.get(shard, -CLAIM_RETRY_S)
        is_early = wait_s is None or wait_s > 0
        if is_early or now_s < attempted_s + CLAIM_RETRY_S:
            return None
        return self.make_claim(now_s, shard)

    def make_claim(
        self, now_s: float, shard: ShardId
    ) -> OwnerClaimRecord | None:
        """Return a claim for the next epoch.

        Returns:
            None if the shard already has `MAX_OPEN_CLAIMS` claims.
        """
        if self.claims.is_full(shard):
            return None
        self._attempted_s[shard] = now_s
        epoch = self.claims.next_epoch(shard)
        self._claim_sent_s.setdefault((shard, epoch), now_s)
        return OwnerClaimRecord(
            record_id=_record_id(self.local_process, shard, epoch),
            shard=shard,
            epoch=epoch,
            owner=self.local_process,
            witnesses=self._witnesses(shard),
        )

    def pop_sent_s(self, claim: OwnerClaimRecord) -> float:
        """Return when a claim of this process was first sent to the log.

        Removes the send times of this claim and of earlier ones of the shard.
        """
        sent_s = self._claim_sent_s.get(
            (claim.shard, claim.epoch), float('-inf')
        )
        for key in tuple(self._claim_sent_s):
            if key[0] == claim.shard and key[1] <= claim.epoch:
                self._claim_sent_s.pop(key)
        return sent_s

    def can_replace(self, witness: ProcessId) -> bool:
        """Return whether a claim made now would not name the witness."""
        return all(peer.process != witness for peer in self._peers)

    def _wait_s(self, now_s: float, shard: ShardId) -> float | None:
        """Return the time until a claim is due, or None if none is."""
        claim = self.claims.current(shard)
        if claim is None:
            return self._vacant_wait_s(now_s, shard)
        if self.local_process in claim.witnesses:
            index = claim.witnesses.index(self.local_process)
            suspect_after_s = SUSPECT_AFTER_S + index * SUSPECT_STAGGER_S
            silent_since_s = self.witness.last_request_s(shard, claim.epoch)
            if silent_since_s is None:
                silent_since_s = (
                    self._claim_read_s.get(shard, now_s) + START_GRACE_S
                )
            return silent_since_s + suspect_after_s - now_s
        if claim.owner in self._gone_processes:
            return self._vacant_wait_s(now_s, shard)
        return None

    def _vacant_wait_s(self, now_s: float, shard: ShardId) -> float | None:
        since_s = self._claim_read_s.setdefault(shard, now_s)
        ranked = self._ranked_candidates(shard)
        if self.local_process not in ranked[:MAX_VACANT_CANDIDATES]:
            return None
        rank = ranked.index(self.local_process)
        return since_s + VACANT_DELAY_S + rank * VACANT_STAGGER_S - now_s

    def _ranked_candidates(self, shard: ShardId) -> list[ProcessId]:
        nodes = (
            *self._peers,
            RatePeer(self.local_process, self.failure_domain),
        )
        by_domain = _ranked_by_domain(shard, nodes)
        domains = sorted(by_domain)
        first = shard % len(domains)
        rotated = domains[first:] + domains[:first]
        return _interleave([by_domain[domain] for domain in rotated])

    def _witnesses(self, shard: ShardId) -> tuple[ProcessId, ...]:
        by_domain = _ranked_by_domain(shard, self._peers)
        ranked = _interleave(
            [by_domain[domain] for domain in sorted(by_domain)]
        )
        count = min(MAX_WITNESSES, len(ranked))
        odd_count = count - 1 + count % 2
        return tuple(ranked[: max(0, odd_count)])


def _record_id(process: ProcessId, shard: ShardId, epoch: Epoch) -> RecordId:
    process_key = f'{process.node_id}/{process.incarnation}'
    return RecordId(f'owner-claim/{shard}/{epoch}/{process_key}')


def _ranked_by_domain(
    shard: ShardId, peers: Iterable[RatePeer]
) -> dict[FailureDomainId, list[ProcessId]]:
    by_domain: dict[FailureDomainId, list[ProcessId]] = {}
    for peer in peers:
        by_domain.setdefault(peer.failure_domain, []).append(peer.process)
    for processes in by_domain.values():
        processes.sort(key=partial(_hash_rank, shard))
    return by_domain


def _hash_rank(shard: ShardId, process: ProcessId) -> int:
    return xxhash.xxh64_intdigest(f'{shard}/{process.node_id}'.encode())


def _interleave(queues: list[list[ProcessId]]) -> list[ProcessId]:
    rows = zip_longest(*queues)
    return [process for row in rows for process in row if process is not None]
