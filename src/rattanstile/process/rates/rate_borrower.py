"""Rate limiting on an entry node: decides once on each root call."""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random

import logbook
import msgspec

from rattanstile.process.control_messages import (
    ControlArrived,
    LogRecordRead,
    SendControl,
)
from rattanstile.process.key_values import key_values
from rattanstile.process.messages import Ticked
from rattanstile.process.rates.rate_claims import ClaimFold
from rattanstile.process.rates.rate_demand import Demand
from rattanstile.process.rates.rate_loans import Account
from rattanstile.process.rates.rate_messages import (
    Admitted,
    BorrowerInput,
    BorrowerOutput,
    Denied,
    Granted,
    LoanGrant,
    LoanRefused,
    OverRate,
    OwnersRequest,
    OwnersResponse,
    RatePeersChanged,
    StaticSlotChanged,
    Verdict,
    Waiting,
)
from rattanstile.process.rates.rate_shares import (
    STATIC_VALIDITY_S,
    SplitSchedule,
)
from rattanstile.process.rates.rate_static import StaticBuckets
from rattanstile.request.ids import NodeId, OrganisationId
from rattanstile.version.declaration import Organisation
from rattanstile.version.rate_records import (
    Epoch,
    OwnerClaimRecord,
    OwnerStartedRecord,
    ProcessId,
    ShardId,
)
from rattanstile.version.records import RATES_STREAM

MAX_WAIT_S = 0.25
"""Longest time that a request waits for a token."""
MAX_WAITING_REQUESTS = 512
"""Requests of one organisation that may wait at the same time."""
RETRY_AFTER_MS = 100
OWNERS_REQUEST_INTERVAL_S = 0.25
RETURN_BEFORE_EXPIRY_S = 0.1
PREFETCH_INTERVAL_S = 0.03

_log = logbook.Logger('rate-borrower')


@dataclass(slots=True)
class _OrganisationState:
    """Loans, waiting requests and demand of one organisation.

    Attributes:
        refuse_until_s: Requests are refused at once before this time: no
            owner may be asked earlier and no token is held.
        next_prefetch_s: No tokens are requested ahead of demand before this
            time.
        waiting: Deadline and id of each waiting request, oldest first.
    """

    refuse_until_s: float = 0.0
    next_prefetch_s: float = 0.0
    demand: Demand = field(default_factory=Demand)
    waiting: deque[tuple[float, int]] = field(default_factory=deque)
    accounts: dict[tuple[ShardId, Epoch], Account] = field(default_factory=dict)

    def valid_tokens(self, now_s: float) -> int:
        return sum(
            account.valid_tokens(now_s) for account in self.accounts.values()
        )

    def describe_accounts(self, now_s: float) -> str:
        """Return a description of each account for the log."""
        return ','.join(
            account.describe(now_s) for account in self.accounts.values()
        )

    def pending_tokens(self) -> int:
        return sum(
            account.pending_tokens() for account in self.accounts.values()
        )

    def pending_needed_tokens(self) -> int:
        return sum(
            account.pending_needed_tokens()
            for account in self.accounts.values()
        )

    def can_request_before(self, time_s: float) -> bool:
        """Return whether any owner may be asked before a given time."""
        return any(
            account.blocked_until_s < time_s
            for account in self.accounts.values()
        )

    def spend(self, now_s: float) -> float | None:
        """Spend the token that expires first and return its expiry time."""
        usable = [
            account
            for account in self.accounts.values()
            if account.valid_tokens(now_s)
        ]
        if not usable:
            return None
        earliest = min(usable, key=lambda account: account.valid_until_s)
        earliest.spend()
        return earliest.valid_until_s


class Borrower:
    """Admits root calls within their organisation's fleet-wide rate.

    Call `take_outputs` after each `admit`. Act on `Admitted` and `Granted`
    before sending the messages, since these already report the tokens as
    spent.

    Args:
        process_id: This process.
        random: Chooses the peer that is asked for the owners of shards.
    """

    def __init__(self, process_id: ProcessId, random: Random) -> None:
        """Start without a version: every organisation is over its rate."""
        self._process_id = process_id
        self._random = random
        self._claims = ClaimFold()
        self._schedule = SplitSchedule()
        self._static = StaticBuckets(self._schedule)
        self._states: dict[OrganisationId, _OrganisationState] = {}
        self._peers: tuple[NodeId, ...] = ()
        self._outputs: list[BorrowerOutput] = []
        self._owners_requested_s = float('-inf')
        self._unresolved_shards: set[ShardId] = set()

    def configure(
        self,
        now_s: float,
        organisations: Iterable[Organisation],
        max_nodes: int,
        *,
        is_first_version: bool,
    ) -> None:
        """Apply the organisations of a new version in force.

        Args:
            now_s: Monotonic seconds.
            organisations: Every organisation of the version.
            max_nodes: Maximum number of nodes in the fleet.
            is_first_version: Whether the fleet had no version before.
        """
        self._schedule.replace(
            now_s, organisations, max_nodes, is_first_version=is_first_version
        )
        names = self._schedule.names()
        for name in names:
            self._states.setdefault(name, _OrganisationState())
        for name in self._states.keys() - set(names):
            self._deny_all(now_s, self._states.pop(name))

    def admit(
        self, now_s: float, organisation: OrganisationId, request_id: int
    ) -> Verdict:
        """Admit, delay or reject a root call.

        Args:
            now_s: Monotonic seconds.
            organisation: Organisation whose API key the call carried.
            request_id: Identifies the request in `Granted` and `Denied`.
        """
        state = self._states.get(organisation)
        if state is None or not self._schedule.shards_of(organisation):
            return OverRate(RETRY_AFTER_MS)
        state.demand.count(now_s)
        if now_s < state.refuse_until_s:
            return OverRate(_retry_after_ms(state.refuse_until_s - now_s))
        if not state.waiting:
            valid_until_s = self._spend(now_s, organisation, state)
            if valid_until_s is not None:
                self._request_tokens(now_s, organisation, state)
                return Admitted(valid_until_s)
        if len(state.waiting) >= MAX_WAITING_REQUESTS:
            return OverRate(RETRY_AFTER_MS)
        state.waiting.append((now_s + MAX_WAIT_S, request_id))
        self._request_tokens(now_s, organisation, state)
        if state.pending_tokens() == 0 and not state.can_request_before(
            now_s + MAX_WAIT_S
        ):
            state.waiting.pop()
            return OverRate(self._refuse_until_retry(now_s, state))
        return Waiting()

    def step(
        self, now_s: float, message: BorrowerInput
    ) -> list[BorrowerOutput]:
        """Process one message.

        Args:
            now_s: Monotonic seconds.
            message: A control message, a record of the stream `rates`, the
                live peers, the static slot, or a tick.

        Returns:
            Decisions on waiting requests first, then control messages.
        """
        match message:
            case Ticked():
                self._tick(now_s)
            case ControlArrived(_, control):
                self._handle_control(now_s, control)
            case LogRecordRead(stream, record) if stream == RATES_STREAM:
                self._apply_record(record)
            case RatePeersChanged(peers):
                self._peers = tuple(peer.process.node_id for peer in peers)
            case StaticSlotChanged(slot):
                self._static.set_slot(now_s, slot)
        return self.take_outputs()

    def take_outputs(self) -> list[BorrowerOutput]:
        """Return and clear the outputs collected since the last call."""
        outputs = sorted(
            self._outputs, key=lambda output: isinstance(output, SendControl)
        )
        self._outputs = []
        return outputs

    def loans(self, now_s: float) -> int:
        """Return the number of valid unspent tokens for the metrics."""
        return sum(state.valid_tokens(now_s) for state in self._states.values())

    def _spend(
        self,
        now_s: float,
        organisation: OrganisationId,
        state: _OrganisationState,
    ) -> float | None:
        if self._static.spend(now_s, organisation):
            return now_s + STATIC_VALIDITY_S
        return state.spend(now_s)

    def _tick(self, now_s: float) -> None:
        for organisation, state in self._states.items():
            if not state.accounts:
                continue
            for account in state.accounts.values():
                if account.time_out(now_s):
                    self._unresolved_shards.add(account.claim.shard)
            self._grant_waiting(now_s, organisation, state)
            self._expire_waiting(now_s, state)
            self._settle_accounts(now_s, organisation, state)
        self._request_owners(now_s)

    def _grant_waiting(
        self,
        now_s: float,
        organisation: OrganisationId,
        state: _OrganisationState,
    ) -> None:
        while state.waiting:
            valid_until_s = self._spend(now_s, organisation, state)
            if valid_until_s is None:
                break
            _, request_id = state.waiting.popleft()
            self._outputs.append(Granted(request_id, valid_until_s))
        self._request_tokens(now_s, organisation, state)
        may_get_tokens = state.pending_tokens() or state.can_request_before(
            now_s + MAX_WAIT_S
        )
        if state.waiting and not may_get_tokens:
            self._deny_all(now_s, state)

    def _deny_all(self, now_s: float, state: _OrganisationState) -> None:
        retry_after_ms = self._refuse_until_retry(now_s, state)
        while state.waiting:
            _, request_id = state.waiting.popleft()
            self._outputs.append(Denied(request_id, retry_after_ms))

    def _expire_waiting(self, now_s: float, state: _OrganisationState) -> None:
        while state.waiting and state.waiting[0][0] <= now_s:
            _, request_id = state.waiting.popleft()
            _log.info(
                key_values(
                    'loan_overdue',
                    request=request_id,
                    owners=state.describe_accounts(now_s),
                )
            )
            self._outputs.append(Denied(request_id, RETRY_AFTER_MS))

    def _request_tokens(
        self,
        now_s: float,
        organisation: OrganisationId,
        state: _OrganisationState,
    ) -> None:
        is_early = now_s < state.next_prefetch_s
        if is_early and not state.waiting:
            return
        requested = state.demand.tokens_to_request(
            now_s,
            state.valid_tokens(now_s) + state.pending_tokens(),
            len(state.waiting),
        )
        if requested <= 0:
            return
        pending_needed = state.pending_needed_tokens()
        needed = max(
            0, len(state.waiting) - pending_needed - state.valid_tokens(now_s)
        )
        if needed == 0 and is_early:
            return
        account = self._best_account(now_s, organisation, state)
        if account is None:
            return
        state.next_prefetch_s = now_s + PREFETCH_INTERVAL_S
        request = account.next_request(
            now_s, account.held, requested, min(needed, requested)
        )
        self._outputs.append(SendControl(account.claim.owner.node_id, request))

    def _best_account(
        self,
        now_s: float,
        organisation: OrganisationId,
        state: _OrganisationState,
    ) -> Account | None:
        best: Account | None = None
        best_remaining = float('-inf')
        for shard in self._schedule.shards_of(organisation):
            account = self._account_for(shard, organisation, state)
            if account is None or not account.can_request(now_s):
                continue
            share = self._schedule.shard_share(now_s, organisation, shard)
            remaining = account.estimated_left(now_s, share)
            if remaining > best_remaining:
                best, best_remaining = account, remaining
        return best

    def _account_for(
        self,
        shard: ShardId,
        organisation: OrganisationId,
        state: _OrganisationState,
    ) -> Account | None:
        claim = self._claims.current(shard)
        if claim is None:
            self._unresolved_shards.add(shard)
            return None
        key = (shard, claim.epoch)
        account = state.accounts.get(key)
        if account is None:
            account = Account(claim, organisation, self._process_id.incarnation)
            state.accounts[key] = account
        return account

    def _settle_accounts(
        self,
        now_s: float,
        organisation: OrganisationId,
        state: _OrganisationState,
    ) -> None:
        for key, account in tuple(state.accounts.items()):
            is_expiring = (
                account.valid_until_s - RETURN_BEFORE_EXPIRY_S <= now_s
            )
            is_due = account.valid_tokens(now_s) > 0 and is_expiring
            share = self._schedule.shard_share(now_s, organisation, key[0])
            is_due = is_due or account.has_to_settle(now_s, share)
            if is_due and account.can_request(now_s):
                kept = min(account.held, state.demand.tokens_to_hold(now_s))
                request = account.next_request(now_s, kept)
                owner = account.claim.owner.node_id
                self._outputs.append(SendControl(owner, request))
            is_current = self._claims.current(key[0]) == account.claim
            if not is_current and not account.valid_tokens(now_s):
                state.accounts.pop(key)

    def _refuse_until_retry(
        self, now_s: float, state: _OrganisationState
    ) -> int:
        """Refuse requests until an owner may be asked; return the delay."""
        retry_times_s = [
            account.blocked_until_s
            for account in state.accounts.values()
            if account.blocked_until_s > now_s
        ]
        if not retry_times_s:
            return RETRY_AFTER_MS
        state.refuse_until_s = min(retry_times_s)
        return _retry_after_ms(state.refuse_until_s - now_s)

    def _handle_control(self, now_s: float, control: msgspec.Struct) -> None:
        match control:
            case LoanGrant():
                self._apply_grant(now_s, control)
            case LoanRefused(shard=shard, organisation=organisation):
                state = self._states.get(organisation)
                account = state and state.accounts.get((shard, control.epoch))
                if state and account:
                    account.apply_refusal(now_s, control.sequence)
                    self._unresolved_shards.add(shard)
                    self._grant_waiting(now_s, organisation, state)
            case OwnersResponse(claims=claims):
                for claim in claims:
                    self._claims.add_peer_claim(claim)

    def _apply_grant(self, now_s: float, grant: LoanGrant) -> None:
        state = self._states.get(grant.organisation)
        if state is None:
            return
        account = state.accounts.get((grant.shard, grant.epoch))
        if account is not None and account.apply_grant(now_s, grant):
            state.refuse_until_s = 0.0
            self._grant_waiting(now_s, grant.organisation, state)

    def _apply_record(self, record: msgspec.Struct) -> None:
        match record:
            case OwnerClaimRecord() | OwnerStartedRecord():
                self._claims.apply(record)

    def _request_owners(self, now_s: float) -> None:
        is_early = now_s < self._owners_requested_s + OWNERS_REQUEST_INTERVAL_S
        if is_early or not self._unresolved_shards:
            return
        self._owners_requested_s = now_s
        shards = tuple(sorted(self._unresolved_shards))
        self._unresolved_shards = set()
        witnesses = [
            witness.node_id
            for shard in shards
            for witness in self._witnesses_of(shard)
        ]
        candidates = witnesses or list(self._peers)
        if candidates:
            receiver = self._random.choice(candidates)
            self._outputs.append(
                SendControl(receiver, OwnersRequest(shards=shards))
            )

    def _witnesses_of(self, shard: ShardId) -> tuple[ProcessId, ...]:
        claim = self._claims.current(shard)
        return claim.witnesses if claim else ()


def _retry_after_ms(wait_s: float) -> int:
    return max(1, int(wait_s * 1000))
