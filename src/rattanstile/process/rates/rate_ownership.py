"""One shard that this process has claimed: takeover, then lending."""

from collections.abc import Sequence
from dataclasses import dataclass, field

import msgspec

from rattanstile.process.control_messages import AppendRecord, SendControl
from rattanstile.process.rates.rate_bucket import LendingBucket
from rattanstile.process.rates.rate_lease import (
    MAX_WITHOUT_LOG_S,
    RENEW_PERIOD_S,
    SEAL_RETRY_S,
    Lease,
    Takeover,
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

STARTED_RETRY_S = 2.0


@dataclass(slots=True)
class ShardOwnership:
    """A claim of this process, from reading its record to losing the shard.

    Attributes:
        claim: The claim whose lease is held or requested.
        confirmed_s: When the latest claim of this process that the log
            contains was sent. Before then, the log contained no other claim
            for the same or a later epoch.
        started: Whether the process has lent tokens or may lend them.
    """

    claim: OwnerClaimRecord
    schedule: SplitSchedule
    takeover: Takeover
    lease: Lease = field(init=False)
    confirmed_s: float = 0.0
    started: bool = False
    _next_lease: Lease | None = None
    _first_epoch: Epoch = field(init=False)
    _requested_s: float = float('-inf')
    _started_sent_s: float = float('-inf')
    _started_confirmed: bool = False
    _buckets: dict[OrganisationId, LendingBucket] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Create the lease of the claim."""
        self.lease = Lease(self.claim)
        self._first_epoch = self.claim.epoch

    def tick(self, now_s: float) -> list[OwnerOutput]:
        """Seal earlier epochs, then renew the lease and start lending.

        Lending starts once no earlier lease or loan can still be valid.
        """
        if not self.takeover.is_done(now_s):
            return self._seal(now_s)
        outputs = self._renew(now_s)
        self._switch_lease(now_s)
        if not self.started and now_s < self.lease.until_s():
            self.started = True
        if self.started:
            self.refresh(now_s)
            outputs.extend(self._append_started(now_s))
        return outputs

    def refresh(self, now_s: float) -> None:
        """Create buckets for new organisations and apply changed shares."""
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

    def add_claim(self, claim: OwnerClaimRecord, confirmed_s: float) -> None:
        """Start to request a lease for a further claim of this process.

        That lease and its witnesses replace the current ones once a majority
        has granted it.
        """
        self._next_lease = Lease(claim)
        self.confirmed_s = confirmed_s

    def record_lease_grant(self, sender: NodeId, message: LeaseGrant) -> None:
        """Pass a witness's grant to the lease of its epoch."""
        for lease in (self.lease, self._next_lease):
            if lease is not None and lease.claim.epoch == message.epoch:
                lease.record_grant(sender, message)

    def confirm_started(self, epoch: Epoch) -> None:
        """Record that the log contains the start record of an epoch."""
        self._started_confirmed = (
            self._started_confirmed or epoch >= self.claim.epoch
        )

    def may_lend(self, now_s: float) -> bool:
        """Return whether the process may lend now."""
        may_lend_until_s = min(
            self.lease.until_s(), self.confirmed_s + MAX_WITHOUT_LOG_S
        )
        return self.started and now_s < may_lend_until_s

    def lend(
        self, now_s: float, sender: NodeId, request: LoanRequest
    ) -> LoanGrant | LoanRefused | None:
        """Return the reply to a borrower.

        Returns:
            None for a request that is not newer than the last one answered.
        """
        is_own_epoch = self._first_epoch <= request.epoch <= self.claim.epoch
        bucket = self._buckets.get(request.organisation)
        if bucket is None or not (is_own_epoch and self.may_lend(now_s)):
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
        if now_s < self._requested_s + SEAL_RETRY_S:
            return []
        self._requested_s = now_s
        return _to_outputs(self.takeover.seal_requests())

    def _renew(self, now_s: float) -> list[OwnerOutput]:
        if now_s < self._requested_s + RENEW_PERIOD_S:
            return []
        self._requested_s = now_s
        outputs = _to_outputs(self.lease.request_renewal(now_s))
        if self._next_lease is not None:
            outputs.extend(_to_outputs(self._next_lease.request_renewal(now_s)))
        return outputs

    def _switch_lease(self, now_s: float) -> None:
        if self._next_lease is not None and now_s < self._next_lease.until_s():
            self.lease = self._next_lease
            self.claim = self._next_lease.claim
            self._next_lease = None
            self._started_confirmed = False

    def _append_started(self, now_s: float) -> list[OwnerOutput]:
        if (
            self._started_confirmed
            or now_s < self._started_sent_s + STARTED_RETRY_S
        ):
            return []
        self._started_sent_s = now_s
        record = OwnerStartedRecord(
            record_id=RecordId(
                f'owner-started/{self.claim.shard}/{self.claim.epoch}'
            ),
            shard=self.claim.shard,
            epoch=self.claim.epoch,
        )
        return [AppendRecord(RATES_STREAM, record)]


def refusal(request: LoanRequest) -> LoanRefused:
    """Return the reply of a process that may not lend."""
    return LoanRefused(
        shard=request.shard,
        epoch=request.epoch,
        organisation=request.organisation,
        sequence=request.sequence,
    )


def _to_outputs(
    requests: Sequence[tuple[NodeId, msgspec.Struct]],
) -> list[OwnerOutput]:
    return [SendControl(*request) for request in requests]
