"""The entry node's side of the rates: every root call asks here once."""

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

HOLD_S = 0.25
"""How long a request waits for a token."""
WAITING_MAX = 512
"""Requests of one organisation that wait at once."""
RETRY_AFTER_MS = 100
ASK_OWNERS_EVERY_S = 0.25
RETURN_BEFORE_END_S = 0.1
ASK_AHEAD_EVERY_S = 0.03

_log = logbook.Logger('rate-borrower')


@dataclass(slots=True)
class _Purse:
    """All loans and waiting requests of one organisation.

    Attributes:
        closed_until_s: No owner may be asked before it and no token is here.
    """

    closed_until_s: float = 0.0
    ahead_after_s: float = 0.0
    demand: Demand = field(default_factory=Demand)
    waiting: deque[tuple[float, int]] = field(default_factory=deque)
    accounts: dict[tuple[ShardId, Epoch], Account] = field(default_factory=dict)

    def valid(self, now_s: float) -> int:
        return sum(one.valid(now_s) for one in self.accounts.values())

    def owners(self, now_s: float) -> str:
        """Return the state of each account, for the log."""
        return ','.join(one.state(now_s) for one in self.accounts.values())

    def awaited(self) -> int:
        return sum(one.awaited() for one in self.accounts.values())

    def awaited_needed(self) -> int:
        return sum(one.awaited_needed() for one in self.accounts.values())

    def opens_before(self, time_s: float) -> bool:
        """Tell whether an owner may be asked before a time."""
        return any(
            one.blocked_until_s < time_s for one in self.accounts.values()
        )

    def spend(self, now_s: float) -> float | None:
        """Spend the token that ends first; return when it ends."""
        valid = [one for one in self.accounts.values() if one.valid(now_s)]
        if not valid:
            return None
        account = min(valid, key=lambda one: one.until_s)
        account.spend()
        return account.until_s


class Borrower:
    """Admits root calls within their organisation's rate over the fleet.

    Call `take_outputs` after each `admit`, and act on `Admitted` and
    `Granted` before sending: a loan spent is accounted for in the messages.

    Args:
        me: This process.
        random: Chooses peers to ask.
    """

    def __init__(self, me: ProcessId, random: Random) -> None:
        """Start without a version: every organisation is over its rate."""
        self._me = me
        self._random = random
        self._claims = ClaimFold()
        self._schedule = SplitSchedule()
        self._static = StaticBuckets(self._schedule)
        self._purses: dict[OrganisationId, _Purse] = {}
        self._peers: tuple[NodeId, ...] = ()
        self._outputs: list[BorrowerOutput] = []
        self._asked_owners_s = float('-inf')
        self._missing: set[ShardId] = set()

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
        names = self._schedule.names()
        for name in names:
            self._purses.setdefault(name, _Purse())
        for name in self._purses.keys() - set(names):
            self._deny_all(now_s, self._purses.pop(name))

    def admit(
        self, now_s: float, organisation: OrganisationId, request_id: int
    ) -> Verdict:
        """Decide on a root call.

        Args:
            now_s: Monotonic seconds.
            organisation: Whose key came with the call.
            request_id: Names the request in `Granted` and `Denied`.
        """
        purse = self._purses.get(organisation)
        if purse is None or not self._schedule.shards_of(organisation):
            return OverRate(RETRY_AFTER_MS)
        purse.demand.count(now_s)
        if now_s < purse.closed_until_s:
            return OverRate(_retry_after_ms(purse.closed_until_s - now_s))
        if not purse.waiting:
            until_s = self._spend(now_s, organisation, purse)
            if until_s is not None:
                self._ask(now_s, organisation, purse)
                return Admitted(until_s)
        if len(purse.waiting) >= WAITING_MAX:
            return OverRate(RETRY_AFTER_MS)
        purse.waiting.append((now_s + HOLD_S, request_id))
        self._ask(now_s, organisation, purse)
        if purse.awaited() == 0 and not purse.opens_before(now_s + HOLD_S):
            purse.waiting.pop()
            return OverRate(self._close(now_s, purse))
        return Waiting()

    def step(
        self, now_s: float, message: BorrowerInput
    ) -> list[BorrowerOutput]:
        """Take one message.

        Args:
            now_s: Monotonic seconds.
            message: A control message, a record of the stream `rates`, the
                live peers, the static slot, or a tick.

        Returns:
            Ends of waiting requests first, then control messages.
        """
        match message:
            case Ticked():
                self._tick(now_s)
            case ControlArrived(_, control):
                self._control(now_s, control)
            case LogRecordRead(stream, record) if stream == RATES_STREAM:
                self._read(record)
            case RatePeersChanged(peers):
                self._peers = tuple(one.process.node_id for one in peers)
            case StaticSlotChanged(slot):
                self._static.set_slot(now_s, slot)
        return self.take_outputs()

    def take_outputs(self) -> list[BorrowerOutput]:
        """Return what is to be sent since the last call."""
        outputs = sorted(
            self._outputs, key=lambda one: isinstance(one, SendControl)
        )
        self._outputs = []
        return outputs

    def loans(self, now_s: float) -> int:
        """Return all unspent tokens held now, for the metrics."""
        return sum(purse.valid(now_s) for purse in self._purses.values())

    def _spend(
        self, now_s: float, organisation: OrganisationId, purse: _Purse
    ) -> float | None:
        if self._static.spend(now_s, organisation):
            return now_s + STATIC_VALIDITY_S
        return purse.spend(now_s)

    def _tick(self, now_s: float) -> None:
        for organisation, purse in self._purses.items():
            if not purse.accounts:
                continue
            for account in purse.accounts.values():
                if account.give_up(now_s):
                    self._missing.add(account.claim.shard)
            self._serve(now_s, organisation, purse)
            self._end_waits(now_s, purse)
            self._settle(now_s, organisation, purse)
        self._ask_owners(now_s)

    def _serve(
        self, now_s: float, organisation: OrganisationId, purse: _Purse
    ) -> None:
        while purse.waiting:
            until_s = self._spend(now_s, organisation, purse)
            if until_s is None:
                break
            _, request_id = purse.waiting.popleft()
            self._outputs.append(Granted(request_id, until_s))
        self._ask(now_s, organisation, purse)
        is_open = purse.awaited() or purse.opens_before(now_s + HOLD_S)
        if purse.waiting and not is_open:
            self._deny_all(now_s, purse)

    def _deny_all(self, now_s: float, purse: _Purse) -> None:
        retry_after_ms = self._close(now_s, purse)
        while purse.waiting:
            _, request_id = purse.waiting.popleft()
            self._outputs.append(Denied(request_id, retry_after_ms))

    def _end_waits(self, now_s: float, purse: _Purse) -> None:
        while purse.waiting and purse.waiting[0][0] <= now_s:
            _, request_id = purse.waiting.popleft()
            _log.info(
                key_values(
                    'loan_overdue',
                    request=request_id,
                    owners=purse.owners(now_s),
                )
            )
            self._outputs.append(Denied(request_id, RETRY_AFTER_MS))

    def _ask(
        self, now_s: float, organisation: OrganisationId, purse: _Purse
    ) -> None:
        is_early = now_s < purse.ahead_after_s
        if is_early and not purse.waiting:
            return
        missing = purse.demand.wanted(
            now_s, purse.valid(now_s) + purse.awaited(), len(purse.waiting)
        )
        if missing <= 0:
            return
        awaited = purse.awaited_needed()
        needed = max(0, len(purse.waiting) - awaited - purse.valid(now_s))
        if needed == 0 and is_early:
            return
        account = self._best_account(now_s, organisation, purse)
        if account is None:
            return
        purse.ahead_after_s = now_s + ASK_AHEAD_EVERY_S
        request = account.ask(
            now_s, account.held, missing, min(needed, missing)
        )
        self._outputs.append(SendControl(account.claim.owner.node_id, request))

    def _best_account(
        self, now_s: float, organisation: OrganisationId, purse: _Purse
    ) -> Account | None:
        best: Account | None = None
        best_left = float('-inf')
        for shard in self._schedule.shards_of(organisation):
            account = self._account(shard, organisation, purse)
            if account is None or not account.can_ask(now_s):
                continue
            share = self._schedule.shard_share(now_s, organisation, shard)
            left = account.likely_left(now_s, share)
            if left > best_left:
                best, best_left = account, left
        return best

    def _account(
        self, shard: ShardId, organisation: OrganisationId, purse: _Purse
    ) -> Account | None:
        claim = self._claims.current(shard)
        if claim is None:
            self._missing.add(shard)
            return None
        key = (shard, claim.epoch)
        account = purse.accounts.get(key)
        if account is None:
            account = Account(claim, organisation, self._me.incarnation)
            purse.accounts[key] = account
        return account

    def _settle(
        self, now_s: float, organisation: OrganisationId, purse: _Purse
    ) -> None:
        for key, account in tuple(purse.accounts.items()):
            is_ending = account.until_s - RETURN_BEFORE_END_S <= now_s
            is_due = account.valid(now_s) > 0 and is_ending
            share = self._schedule.shard_share(now_s, organisation, key[0])
            is_due = is_due or account.has_to_settle(now_s, share)
            if is_due and account.can_ask(now_s):
                kept = min(account.held, purse.demand.target(now_s))
                request = account.ask(now_s, kept)
                owner = account.claim.owner.node_id
                self._outputs.append(SendControl(owner, request))
            is_current = self._claims.current(key[0]) == account.claim
            if not is_current and not account.valid(now_s):
                purse.accounts.pop(key)

    def _close(self, now_s: float, purse: _Purse) -> int:
        """Refuse at once until an owner may be asked again."""
        ends_s = [
            account.blocked_until_s
            for account in purse.accounts.values()
            if account.blocked_until_s > now_s
        ]
        if not ends_s:
            return RETRY_AFTER_MS
        purse.closed_until_s = min(ends_s)
        return _retry_after_ms(purse.closed_until_s - now_s)

    def _control(self, now_s: float, control: msgspec.Struct) -> None:
        match control:
            case LoanGrant():
                self._granted(now_s, control)
            case LoanRefused(shard=shard, organisation=organisation):
                purse = self._purses.get(organisation)
                account = purse and purse.accounts.get((shard, control.epoch))
                if purse and account:
                    account.refused(now_s, control.sequence)
                    self._missing.add(shard)
                    self._serve(now_s, organisation, purse)
            case OwnersResponse(claims=claims):
                for claim in claims:
                    self._claims.add_peer_claim(claim)

    def _granted(self, now_s: float, grant: LoanGrant) -> None:
        purse = self._purses.get(grant.organisation)
        if purse is None:
            return
        account = purse.accounts.get((grant.shard, grant.epoch))
        if account is not None and account.granted(now_s, grant):
            purse.closed_until_s = 0.0
            self._serve(now_s, grant.organisation, purse)

    def _read(self, record: msgspec.Struct) -> None:
        match record:
            case OwnerClaimRecord() | OwnerStartedRecord():
                self._claims.apply(record)

    def _ask_owners(self, now_s: float) -> None:
        is_early = now_s < self._asked_owners_s + ASK_OWNERS_EVERY_S
        if is_early or not self._missing:
            return
        self._asked_owners_s = now_s
        shards = tuple(sorted(self._missing))
        self._missing = set()
        witnesses = [
            witness.node_id
            for shard in shards
            for witness in self._witnesses(shard)
        ]
        candidates = witnesses or list(self._peers)
        if candidates:
            receiver = self._random.choice(candidates)
            self._outputs.append(
                SendControl(receiver, OwnersRequest(shards=shards))
            )

    def _witnesses(self, shard: ShardId) -> tuple[ProcessId, ...]:
        claim = self._claims.current(shard)
        return claim.witnesses if claim else ()


def _retry_after_ms(wait_s: float) -> int:
    return max(1, int(wait_s * 1000))
