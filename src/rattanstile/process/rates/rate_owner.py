"""Owner side of the rates: claims, lease grants and lending."""

from collections.abc import Iterable

import msgspec

from rattanstile.process.control_messages import (
    AppendRecord,
    ControlArrived,
    LogRecordRead,
    SendControl,
)
from rattanstile.process.messages import Ticked
from rattanstile.process.rates.rate_candidate import Candidate
from rattanstile.process.rates.rate_claims import ClaimFold
from rattanstile.process.rates.rate_lease import Takeover, Witness
from rattanstile.process.rates.rate_messages import (
    LeaseGrant,
    LeaseRequest,
    LoanRequest,
    OwnerInput,
    OwnerOutput,
    OwnersRequest,
    OwnersResponse,
    ProcessGone,
    RatePeersChanged,
    SealRequest,
    SealResponse,
)
from rattanstile.process.rates.rate_ownership import ShardOwnership, refusal
from rattanstile.process.rates.rate_shares import SplitSchedule, shard_count
from rattanstile.request.ids import FailureDomainId, NodeId
from rattanstile.version.declaration import Organisation
from rattanstile.version.rate_records import (
    OwnerClaimRecord,
    OwnerStartedRecord,
    ProcessId,
    ShardId,
)
from rattanstile.version.records import RATES_STREAM

TICK_S = 0.02
"""Period of the `Ticked` messages."""
SCAN_PERIOD_S = 0.1
RECLAIM_PERIOD_S = 240.0
"""Far below the log's retention and `MAX_WITHOUT_LOG_S`, so that ownership
survives a ten-minute outage of the log."""
WITNESS_TIMEOUT_S = 3.0


class RateOwner:
    """Owns shards, is a witness for other owners, and takes over from them.

    Every node runs one. It requires `Ticked` every `TICK_S`, each record of
    the stream `rates`, the rate messages of other nodes, and the live peers.

    Args:
        local_process: This process.
        failure_domain: Failure domain of this process.
    """

    def __init__(
        self, local_process: ProcessId, failure_domain: FailureDomainId
    ) -> None:
        """Start without a version: nothing is claimed or lent."""
        self._claims = ClaimFold()
        self._witness = Witness(local_process)
        self._candidate = Candidate(
            local_process, failure_domain, self._claims, self._witness
        )
        self._local_process = local_process
        self._schedule = SplitSchedule()
        self._shard_count = 0
        self._ownerships: dict[ShardId, ShardOwnership] = {}
        self._scanned_s = float('-inf')
        self._claimed_s: dict[ShardId, float] = {}
        self._silent_since_s: dict[ShardId, float] = {}

    def configure(
        self,
        now_s: float,
        organisations: Iterable[Organisation],
        max_nodes: int,
        *,
        is_first_version: bool,
    ) -> None:
        """Apply the organisations of a newly adopted version.

        Args:
            now_s: Monotonic seconds.
            organisations: Every organisation of the version.
            max_nodes: Maximum number of nodes in the fleet.
            is_first_version: Whether the fleet had no version before.
        """
        self._schedule.replace(
            now_s, organisations, max_nodes, is_first_version=is_first_version
        )
        self._shard_count = shard_count(max_nodes)
        for ownership in self._ownerships.values():
            ownership.refresh(now_s)

    def owned_shards(self, now_s: float) -> tuple[ShardId, ...]:
        """Return the shards from which this process may lend now."""
        return tuple(
            shard
            for shard, ownership in self._ownerships.items()
            if ownership.may_lend(now_s)
        )

    def step(self, now_s: float, message: OwnerInput) -> list[OwnerOutput]:
        """Handle one message.

        Args:
            now_s: Monotonic seconds, read before the message is handled.
            message: A control message, a record, a change of peers or a tick.

        Returns:
            Control messages to send and records to append, in order.
        """
        match message:
            case Ticked():
                return self._tick(now_s)
            case LogRecordRead(stream, record) if stream == RATES_STREAM:
                self._handle_record(now_s, record)
            case ControlArrived(sender, control):
                return self._handle_control(now_s, sender, control)
            case RatePeersChanged(peers):
                self._candidate.set_peers(peers)
            case ProcessGone(process):
                self._handle_process_gone(now_s, process)
        return []

    def _tick(self, now_s: float) -> list[OwnerOutput]:
        outputs: list[OwnerOutput] = []
        for ownership in self._ownerships.values():
            outputs.extend(ownership.tick(now_s))
        if now_s >= self._scanned_s + SCAN_PERIOD_S:
            self._scanned_s = now_s
            outputs.extend(self._claims_to_append(now_s))
        return outputs

    def _claims_to_append(self, now_s: float) -> list[OwnerOutput]:
        outputs: list[OwnerOutput] = []
        if not self._schedule.is_ready(now_s):
            return outputs
        for number in range(self._shard_count):
            shard = ShardId(number)
            ownership = self._ownerships.get(shard)
            if ownership is None:
                claim = self._candidate.due_claim(now_s, shard)
            else:
                claim = self._reclaim(now_s, ownership)
            if claim is not None:
                outputs.append(AppendRecord(RATES_STREAM, claim))
        return outputs

    def _reclaim(
        self, now_s: float, ownership: ShardOwnership
    ) -> OwnerClaimRecord | None:
        shard = ownership.claim.shard
        claim = self._claims.current(shard)
        if claim is None or claim.owner != self._local_process:
            self._drop_if_lost(now_s, ownership)
            return None
        if not ownership.started:
            return None
        silent = ownership.lease.silent_witnesses(now_s)
        if not any(map(self._candidate.can_replace, silent)):
            self._silent_since_s[shard] = now_s
        since_s = self._silent_since_s.setdefault(shard, now_s)
        claimed_s = self._claimed_s.setdefault(shard, now_s)
        is_due = now_s >= min(
            claimed_s + RECLAIM_PERIOD_S, since_s + WITNESS_TIMEOUT_S
        )
        if not is_due:
            return None
        self._claimed_s[shard] = now_s
        self._silent_since_s[shard] = now_s
        return self._candidate.make_claim(now_s, shard)

    def _drop_if_lost(self, now_s: float, ownership: ShardOwnership) -> None:
        if now_s >= ownership.lease.until_s():
            self._ownerships.pop(ownership.claim.shard)

    def _handle_record(self, now_s: float, record: msgspec.Struct) -> None:
        match record:
            case OwnerClaimRecord():
                if self._claims.apply(record):
                    self._handle_accepted_claim(now_s, record)
            case OwnerStartedRecord(shard=shard, epoch=epoch):
                self._claims.apply(record)
                if shard in self._ownerships:
                    self._ownerships[shard].confirm_started(epoch)

    def _handle_accepted_claim(
        self, now_s: float, claim: OwnerClaimRecord
    ) -> None:
        self._candidate.record_claim_read(now_s, claim.shard)
        if claim.owner != self._local_process:
            return
        ownership = self._ownerships.get(claim.shard)
        if ownership is not None and ownership.started:
            ownership.add_claim(claim, self._candidate.pop_sent_s(claim))
            return
        earlier = self._claims.earlier_claims(claim.shard, claim.epoch)
        self._ownerships[claim.shard] = ShardOwnership(
            claim,
            self._schedule,
            Takeover(earlier, now_s),
            confirmed_s=self._candidate.pop_sent_s(claim),
        )

    def _handle_process_gone(self, now_s: float, process: ProcessId) -> None:
        self._candidate.process_gone(process)
        for ownership in self._ownerships.values():
            ownership.takeover.record_gone(now_s, process)

    def _handle_control(
        self, now_s: float, sender: NodeId, control: msgspec.Struct
    ) -> list[OwnerOutput]:
        reply: msgspec.Struct | None = None
        match control:
            case LoanRequest():
                reply = self._lend(now_s, sender, control)
            case LeaseRequest():
                reply = self._witness.grant_lease(now_s, control)
            case SealRequest():
                reply = self._witness.seal(control)
            case LeaseGrant(shard=shard) if shard in self._ownerships:
                self._ownerships[shard].record_lease_grant(sender, control)
            case SealResponse(shard=shard) if shard in self._ownerships:
                takeover = self._ownerships[shard].takeover
                takeover.record_sealed(now_s, control.witness, control.epoch)
            case OwnersRequest(shards=shards):
                reply = self._owners_reply(shards)
        return [] if reply is None else [SendControl(sender, reply)]

    def _lend(
        self, now_s: float, sender: NodeId, request: LoanRequest
    ) -> msgspec.Struct | None:
        ownership = self._ownerships.get(request.shard)
        if ownership is None:
            return refusal(request)
        return ownership.lend(now_s, sender, request)

    def _owners_reply(self, shards: tuple[ShardId, ...]) -> OwnersResponse:
        claims = (self._claims.current(shard) for shard in shards)
        return OwnersResponse(claims=tuple(claim for claim in claims if claim))
