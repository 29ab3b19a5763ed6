"""The owner's side of the rates: claims, witnessing and lending."""

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
from rattanstile.process.rates.rate_lease import Sealing, Witness
from rattanstile.process.rates.rate_messages import (
    LeaseRequest,
    LeaseGrant,
    LoanRequest,
    OwnerInput,
    OwnerOutput,
    OwnersRequest,
    OwnersResponse,
    ProcessGone,
    RatePeersChanged,
    SealResponse,
    SealRequest,
)
from rattanstile.process.rates.rate_ownership import Role, refusal
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
"""How often the machine wants `Ticked`."""
SCAN_EVERY_S = 0.1
RECLAIM_EVERY_S = 240.0
"""Far below the log's retention and the time that an owner goes on without
the log: it lasts through an outage of ten minutes."""
WITNESS_SILENT_S = 3.0


class RateOwner:
    """Owns shards, witnesses for other owners, and stands in for them.

    Every node runs one. It needs `Ticked` each `TICK_S`, each record of the
    stream `rates`, the rate messages of other nodes, and the live peers.

    Args:
        me: This process.
        failure_domain: Where it runs.
    """

    def __init__(self, me: ProcessId, failure_domain: FailureDomainId) -> None:
        """Start without a version: nothing is claimed or lent."""
        self._claims = ClaimFold()
        self._witness = Witness(me)
        self._candidate = Candidate(
            me, failure_domain, self._claims, self._witness
        )
        self._me = me
        self._schedule = SplitSchedule()
        self._shard_count = 0
        self._roles: dict[ShardId, Role] = {}
        self._scanned_s = float('-inf')
        self._claimed_s: dict[ShardId, float] = {}
        self._silent_s: dict[ShardId, float] = {}

    def configure(
        self,
        now_s: float,
        organisations: Iterable[Organisation],
        max_nodes: int,
        *,
        is_first_version: bool,
    ) -> None:
        """Take the organisations of another version in force.

        Args:
            now_s: Monotonic seconds.
            organisations: Every organisation of the version.
            max_nodes: Most nodes that the fleet may have.
            is_first_version: Whether the fleet had no version before.
        """
        self._schedule.replace(
            now_s, organisations, max_nodes, is_first_version=is_first_version
        )
        self._shard_count = shard_count(max_nodes)
        for role in self._roles.values():
            role.refresh(now_s)

    def owned_shards(self, now_s: float) -> tuple[ShardId, ...]:
        """Return the shards that this process may lend from now."""
        return tuple(
            shard for shard, role in self._roles.items() if role.holds(now_s)
        )

    def step(self, now_s: float, message: OwnerInput) -> list[OwnerOutput]:
        """Take one message.

        Args:
            now_s: Monotonic seconds, read before the message is handled.
            message: A control message, a record, a change of peers or a tick.

        Returns:
            Control messages and records to append, in their order.
        """
        match message:
            case Ticked():
                return self._tick(now_s)
            case LogRecordRead(stream, record) if stream == RATES_STREAM:
                self._read(now_s, record)
            case ControlArrived(sender, control):
                return self._control(now_s, sender, control)
            case RatePeersChanged(peers):
                self._candidate.set_peers(peers)
            case ProcessGone(process):
                self._gone(now_s, process)
        return []

    def _tick(self, now_s: float) -> list[OwnerOutput]:
        outputs: list[OwnerOutput] = []
        for role in self._roles.values():
            outputs.extend(role.tick(now_s))
        if now_s >= self._scanned_s + SCAN_EVERY_S:
            self._scanned_s = now_s
            outputs.extend(self._scan(now_s))
        return outputs

    def _scan(self, now_s: float) -> list[OwnerOutput]:
        outputs: list[OwnerOutput] = []
        if not self._schedule.is_ready(now_s):
            return outputs
        for number in range(self._shard_count):
            shard = ShardId(number)
            role = self._roles.get(shard)
            if role is None:
                claim = self._candidate.due(now_s, shard)
            else:
                claim = self._reclaim(now_s, role)
            if claim is not None:
                outputs.append(AppendRecord(RATES_STREAM, claim))
        return outputs

    def _reclaim(self, now_s: float, role: Role) -> OwnerClaimRecord | None:
        shard = role.claim.shard
        known = self._claims.current(shard)
        if known is None or known.owner != self._me:
            self._drop_if_lost(now_s, role)
            return None
        if not role.started:
            return None
        silent = role.lease.silent(now_s)
        if not any(map(self._candidate.can_replace, silent)):
            self._silent_s[shard] = now_s
        since_s = self._silent_s.setdefault(shard, now_s)
        claimed_s = self._claimed_s.setdefault(shard, now_s)
        is_due = now_s >= min(
            claimed_s + RECLAIM_EVERY_S, since_s + WITNESS_SILENT_S
        )
        if not is_due:
            return None
        self._claimed_s[shard] = now_s
        self._silent_s[shard] = now_s
        return self._candidate.claim(now_s, shard)

    def _drop_if_lost(self, now_s: float, role: Role) -> None:
        if now_s >= role.lease.until_s():
            self._roles.pop(role.claim.shard)

    def _read(self, now_s: float, record: msgspec.Struct) -> None:
        match record:
            case OwnerClaimRecord():
                if self._claims.apply(record):
                    self._claim_accepted(now_s, record)
            case OwnerStartedRecord(shard=shard, epoch=epoch):
                self._claims.apply(record)
                if shard in self._roles:
                    self._roles[shard].started_read(epoch)

    def _claim_accepted(self, now_s: float, claim: OwnerClaimRecord) -> None:
        self._candidate.claim_seen(now_s, claim.shard)
        if claim.owner != self._me:
            return
        role = self._roles.get(claim.shard)
        if role is not None and role.started:
            role.extend(claim, self._candidate.sent_s(claim))
            return
        earlier = self._claims.before(claim.shard, claim.epoch)
        self._roles[claim.shard] = Role(
            claim,
            self._schedule,
            Sealing(earlier, now_s),
            proved_s=self._candidate.sent_s(claim),
        )

    def _gone(self, now_s: float, process: ProcessId) -> None:
        self._candidate.process_gone(process)
        for role in self._roles.values():
            role.sealing.gone(now_s, process)

    def _control(
        self, now_s: float, sender: NodeId, control: msgspec.Struct
    ) -> list[OwnerOutput]:
        answer: msgspec.Struct | None = None
        match control:
            case LoanRequest():
                answer = self._lend(now_s, sender, control)
            case LeaseRequest():
                answer = self._witness.vouch(now_s, control)
            case SealRequest():
                answer = self._witness.seal(control)
            case LeaseGrant(shard=shard) if shard in self._roles:
                self._roles[shard].vouched(sender, control)
            case SealResponse(shard=shard) if shard in self._roles:
                sealing = self._roles[shard].sealing
                sealing.sealed(now_s, control.witness, control.epoch)
            case OwnersRequest(shards=shards):
                answer = self._tell(shards)
        return [] if answer is None else [SendControl(sender, answer)]

    def _lend(
        self, now_s: float, sender: NodeId, request: LoanRequest
    ) -> msgspec.Struct | None:
        role = self._roles.get(request.shard)
        if role is None:
            return refusal(request)
        return role.lend(now_s, sender, request)

    def _tell(self, shards: tuple[ShardId, ...]) -> OwnersResponse:
        known = (self._claims.current(shard) for shard in shards)
        return OwnersResponse(claims=tuple(one for one in known if one))
