"""One shard that this process has claimed: sealing, then lending."""

from collections.abc import Sequence
from dataclasses import dataclass, field

import msgspec

from rattanstile.process.control_messages import AppendRecord, SendControl
from rattanstile.process.rates.rate_bucket import LendingBucket
from rattanstile.process.rates.rate_lease import (
    RENEW_PERIOD_S,
    SEAL_EVERY_S,
    WITHOUT_LOG_MAX_S,
    Lease,
    Sealing,
)
from rattanstile.process.rates.rate_messages import (
    LeaseGrant,
    LoanGrant,
    LoanRefused,
    LoanRequest,
    OwnerOutput,
)
from rattanstile.process.rates.rate_shares import SplitSchedule
from rattanstile.request.ids import NodeId, OrganisationId, RecordId
from rattanstile.version.rate_records import (
    Epoch,
    OwnerClaimRecord,
    OwnerStartedRecord,
    ProcessId,
)
from rattanstile.version.records import RATES_STREAM

STARTED_AGAIN_S = 2.0


@dataclass(slots=True)
class Role:
    """A claim of this process, from its record to its loss.

    Attributes:
        claim: The claim whose lease is in use or asked for.
        proved_s: When the latest claim of this process that the log holds
            was sent: no other claim was in the log before.
        started: Whether the process has lent, or may lend, tokens.
    """

    claim: OwnerClaimRecord
    schedule: SplitSchedule
    sealing: Sealing
    lease: Lease = field(init=False)
    proved_s: float = 0.0
    started: bool = False
    _next: Lease | None = None
    _first_epoch: Epoch = field(init=False)
    _asked_s: float = float('-inf')
    _told_s: float = float('-inf')
    _told: bool = False
    _buckets: dict[OrganisationId, LendingBucket] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Prepare the lease of the claim."""
        self.lease = Lease(self.claim)
        self._first_epoch = self.claim.epoch

    def tick(self, now_s: float) -> list[OwnerOutput]:
        """Seal, renew the lease, and start once all earlier ones are over."""
        if not self.sealing.is_done(now_s):
            return self._seal(now_s)
        outputs = self._renew(now_s)
        self._switch(now_s)
        if not self.started and now_s < self.lease.until_s():
            self.started = True
        if self.started:
            self.refresh(now_s)
            outputs.extend(self._tell_started(now_s))
        return outputs

    def refresh(self, now_s: float) -> None:
        """Open buckets for new organisations and take changed shares."""
        if not self.started:
            return
        for name in self.schedule.names():
            if self.claim.shard in self.schedule.shards_of(name):
                share = self.schedule.shard_share(now_s, name, self.claim.shard)
                bucket = self._buckets.setdefault(
                    name, LendingBucket(now_s, share)
                )
                if bucket.share != share:
                    bucket.set_share(now_s, share)

    def extend(self, claim: OwnerClaimRecord, proved_s: float) -> None:
        """Go on under a further claim of this process, with its witnesses."""
        self._next = Lease(claim)
        self.proved_s = proved_s

    def vouched(self, sender: NodeId, message: LeaseGrant) -> None:
        """Hand a vouch to the lease that asked for it."""
        for lease in (self.lease, self._next):
            if lease is not None and lease.claim.epoch == message.epoch:
                lease.vouched(sender, message)

    def started_read(self, epoch: Epoch) -> None:
        """Note that the log holds the record of the start."""
        self._told = self._told or epoch >= self.claim.epoch

    def holds(self, now_s: float) -> bool:
        """Tell whether the process may lend now."""
        lends_until_s = min(
            self.lease.until_s(), self.proved_s + WITHOUT_LOG_MAX_S
        )
        return self.started and now_s < lends_until_s

    def lend(
        self, now_s: float, sender: NodeId, request: LoanRequest
    ) -> LoanGrant | LoanRefused | None:
        """Answer a borrower; None for a request answered before."""
        is_mine = self._first_epoch <= request.epoch <= self.claim.epoch
        bucket = self._buckets.get(request.organisation)
        if bucket is None or not (is_mine and self.holds(now_s)):
            return refusal(request)
        share = self.schedule.shard_share(
            now_s, request.organisation, request.shard
        )
        if bucket.share != share:
            bucket.set_share(now_s, share)
        borrower = ProcessId(node_id=sender, incarnation=request.incarnation)
        loan = bucket.lend(now_s, borrower, request)
        if loan is None:
            return None
        return LoanGrant(
            shard=request.shard,
            epoch=request.epoch,
            organisation=request.organisation,
            sequence=request.sequence,
            extended=loan.extended,
            granted=loan.granted,
            left=loan.left,
            retry_after_ms=loan.retry_after_ms,
        )

    def _seal(self, now_s: float) -> list[OwnerOutput]:
        if now_s < self._asked_s + SEAL_EVERY_S:
            return []
        self._asked_s = now_s
        return _sends(self.sealing.ask())

    def _renew(self, now_s: float) -> list[OwnerOutput]:
        if now_s < self._asked_s + RENEW_PERIOD_S:
            return []
        self._asked_s = now_s
        outputs = _sends(self.lease.ask(now_s))
        if self._next is not None:
            outputs.extend(_sends(self._next.ask(now_s)))
        return outputs

    def _switch(self, now_s: float) -> None:
        if self._next is not None and now_s < self._next.until_s():
            self.lease = self._next
            self.claim = self._next.claim
            self._next = None
            self._told = False

    def _tell_started(self, now_s: float) -> list[OwnerOutput]:
        if self._told or now_s < self._told_s + STARTED_AGAIN_S:
            return []
        self._told_s = now_s
        record = OwnerStartedRecord(
            record_id=RecordId(
                f'owner-started/{self.claim.shard}/{self.claim.epoch}'
            ),
            shard=self.claim.shard,
            epoch=self.claim.epoch,
        )
        return [AppendRecord(RATES_STREAM, record)]


def refusal(request: LoanRequest) -> LoanRefused:
    """Return the answer of a process that may not lend."""
    return LoanRefused(
        shard=request.shard,
        epoch=request.epoch,
        organisation=request.organisation,
        sequence=request.sequence,
    )


def _sends(
    requests: Sequence[tuple[NodeId, msgspec.Struct]],
) -> list[OwnerOutput]:
    return [SendControl(*request) for request in requests]
