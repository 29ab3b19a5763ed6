"""Relay of the configuration: how every node learns the version in force.

A few nodes of each failure domain read the log; every other node asks its
parent in a tree each `POLL_PERIOD_S`. A version just accepted is pushed to
whoever asked lately, and the next query repairs a push that was lost. A node
whose parent is silent, or knows no more than itself, asks others above it; a
node that finds none reads the log itself. Readers that do not hear the log
ask the other failure domains whether they do.
"""

from math import ceil
from random import Random

from logbook import Logger

from rattanstile.process.configuration.freshness import NEVER_S, Freshness
from rattanstile.process.configuration.log_follower import LogFollower
from rattanstile.process.configuration.relay_contacts import (
    Elsewhere,
    FellowReaders,
    Queries,
)
from rattanstile.process.configuration.relay_messages import (
    NO_AGE,
    UNVERIFIED,
    AppendSnapshot,
    FreshnessQuery,
    FreshnessReply,
    LogRead,
    LogReadFailed,
    LogReadTooOld,
    MarkAppended,
    MembersChanged,
    RelayInput,
    RelayMember,
    RelayMessage,
    RelayOutput,
    RelayReceived,
    RelayTicked,
    SendControl,
    VersionAccepted,
    VersionPush,
)
from rattanstile.process.configuration.relay_source import Source
from rattanstile.process.configuration.relay_tree import RelayTree
from rattanstile.process.configuration.snapshot_timer import SnapshotTimer
from rattanstile.request.ids import (
    FailureDomainId,
    NodeId,
    RecordId,
)
from rattanstile.version.fold import Fold
from rattanstile.version.kept import KeptRecords
from rattanstile.version.records import AcceptedRecord, SnapshotRecord

TICK_S = 0.1
POLL_PERIOD_S = 0.5
CROSS_CHECK_PERIOD_S = 0.4
ASKED_LATELY_S = 2.0
STALE_AFTER_S = 2.8
READER_STALE_AFTER_S = 1.3
ISOLATED_AFTER_S = 1.2
ISOLATED_JITTER_S = 0.6

_log = Logger('relay')


class Relay:
    """The relay machine of one node.

    Args:
        own: The node itself.
        random: Spreads queries and retries.
        freshness: Collects the evidence; made here if not given.

    Attributes:
        fold: Holds the version in force.
        freshness: Tells whether keyed calls may be admitted.
    """

    def __init__(
        self,
        own: RelayMember,
        random: Random,
        freshness: Freshness | None = None,
    ) -> None:
        """Start without members and without a verified version."""
        self.fold = Fold()
        self.freshness = freshness or Freshness(own.failure_domain)
        self._own = own
        self._random = random
        self._follower = LogFollower(self.fold, self.freshness, random)
        self._fellows = FellowReaders()
        self._snapshots = SnapshotTimer(random)
        self._tree = RelayTree(own.node_id, ())
        self._elsewhere = Elsewhere(own.failure_domain, random)
        self._member_domains: frozenset[FailureDomainId] = frozenset()
        self._queries = Queries()
        self._source = Source(self._queries, random)
        self._next_query_s = NEVER_S
        self._next_check_s = NEVER_S
        self._useful_s: float | None = None
        self._isolation_s = ISOLATED_AFTER_S
        self._kept = KeptRecords()
        self._asked_s: dict[NodeId, float] = {}

    @property
    def reads_log(self) -> bool:
        """Whether this node is one of its failure domain's readers."""
        return self._tree.reads_log

    def step(self, now_s: float, relay_input: RelayInput) -> list[RelayOutput]:
        """Take one message and return what is to be done."""
        version = self.fold.version
        verified = self.fold.verified
        outputs = self._step(now_s, relay_input)
        if self.fold.version != version or self.fold.verified != verified:
            self._know_domains()
            _log.info('event=version_in_force version={}', self.fold.version)
            outputs.append(
                VersionAccepted(self.fold.version, self.fold.declaration)
            )
        return outputs

    def _step(self, now_s: float, relay_input: RelayInput) -> list[RelayOutput]:
        match relay_input:
            case RelayTicked():
                return self._tick(now_s)
            case RelayReceived(sender=sender, message=message):
                return self._receive(now_s, sender, message)
            case LogRead():
                return self._log_read(now_s, relay_input)
            case LogReadTooOld():
                self._follower.on_too_old(now_s, relay_input)
            case LogReadFailed():
                self._follower.on_failed(now_s, relay_input)
            case MarkAppended():
                self._follower.on_mark(relay_input)
            case MembersChanged(members=members):
                self._members_changed(members)
        return []

    # members

    def _members_changed(self, members: tuple[RelayMember, ...]) -> None:
        near = [
            member.node_id
            for member in members
            if member.failure_domain == self._own.failure_domain
        ]
        self._tree = RelayTree(self._own.node_id, near)
        self._elsewhere.set_members(members)
        self._member_domains = frozenset(
            member.failure_domain for member in members
        )
        self._know_domains()
        self._source.set_candidates(self._tree.sources())

    def _know_domains(self) -> None:
        """Take the declared domains as known, also when none is heard.

        Membership forgets a failure domain that is cut off; whether it hears
        the log still matters.
        """
        declared = self.fold.declaration.failure_domains
        taken_out = {one.name for one in declared if not one.in_service}
        known = self._member_domains | {one.name for one in declared}
        known = frozenset(known - taken_out)
        self.freshness.know_domains(known)
        self._follower.require_confirmation(bool(known - {self._own.failure_domain}))

    # time

    def _tick(self, now_s: float) -> list[RelayOutput]:
        outputs: list[RelayOutput] = []
        if self._useful_s is None:
            self._useful_s = now_s
            self._next_query_s = now_s
        if self._tree.reads_log:
            outputs.extend(self._cross_check(now_s))
            self._note_own_outage()
        if now_s >= self._next_query_s:
            self._next_query_s = now_s + self._random.uniform(
                POLL_PERIOD_S * 0.9, POLL_PERIOD_S * 1.1
            )
            outputs.extend(self._ask(now_s))
        if self._reads_now(now_s):
            outputs.extend(self._follower.tick(now_s))
            outputs.extend(self._follower.due_marks(now_s))
        if self._tree.reads_log and self._snapshots.is_due(now_s, self.fold):
            outputs.append(AppendSnapshot(self._snapshot()))
        return outputs

    def _ask(self, now_s: float) -> list[RelayOutput]:
        if not self._tree.reads_log:
            return [self._query(now_s, self._source.choose(now_s))]
        if now_s - self.freshness.log_heard_s < READER_STALE_AFTER_S:
            return []
        asked = [*self._elsewhere.next_round(), *self._tree.readers]
        return [self._query(now_s, node) for node in asked]

    def _cross_check(self, now_s: float) -> list[RelayOutput]:
        """Ask one node elsewhere, which may know of a longer log."""
        if now_s < self._next_check_s:
            return []
        self._next_check_s = now_s + CROSS_CHECK_PERIOD_S
        return [self._query(now_s, node) for node in self._elsewhere.one()]

    def _query(self, now_s: float, receiver: NodeId) -> SendControl:
        version = self.fold.version if self.fold.verified else UNVERIFIED
        query = FreshnessQuery(
            sequence=self._queries.sent(now_s, receiver), version=version
        )
        return SendControl(receiver, query)

    def _reads_now(self, now_s: float) -> bool:
        if self._tree.reads_log:
            return True
        useful_s = self._useful_s or 0.0
        return now_s - useful_s > self._isolation_s

    # messages

    def _receive(
        self, now_s: float, sender: NodeId, message: RelayMessage
    ) -> list[RelayOutput]:
        match message:
            case FreshnessQuery():
                return self._asked(now_s, sender, message)
            case FreshnessReply():
                return self._replied(now_s, sender, message)
            case VersionPush(accepted=accepted):
                return self._take(now_s, (accepted,), sender)
        return []

    def _asked(
        self, now_s: float, sender: NodeId, query: FreshnessQuery
    ) -> list[RelayOutput]:
        if self._elsewhere.domain_of(sender) == self._own.failure_domain:
            self._asked_s[sender] = now_s
        outputs: list[RelayOutput] = [
            SendControl(sender, self._reply_to(now_s, query))
        ]
        own = self.fold.version if self.fold.verified else UNVERIFIED
        if query.version > own:
            outputs.append(self._query(now_s, sender))
        return outputs

    def _reply_to(self, now_s: float, query: FreshnessQuery) -> FreshnessReply:
        behind = self.fold.verified and query.version < self.fold.version
        accepted = (
            self._kept.between(query.version, self.fold.version)
            if behind
            else ()
        )
        snapshot = None
        if behind and not accepted:
            snapshot = self._snapshot()
        elif self.fold.verified and query.version == UNVERIFIED:
            snapshot = self._snapshot()
        verified = self.fold.verified
        freshness = self.freshness
        return FreshnessReply(
            sequence=query.sequence,
            version=self.fold.version if verified else UNVERIFIED,
            log_age_ms=_age_ms(now_s, freshness.log_heard_s),
            domain_read_ms=_age_ms(now_s, freshness.domain_read_s),
            own_outage_ms=_age_ms(now_s, self._own_outage_s()),
            domain_outage_ms=_age_ms(now_s, freshness.domain_outage_s),
            fleet_outage_ms=_age_ms(now_s, freshness.fleet_outage_s),
            log_end=self.fold.read_end,
            accepted=accepted,
            snapshot=snapshot,
        )

    def _replied(
        self, now_s: float, sender: NodeId, reply: FreshnessReply
    ) -> list[RelayOutput]:
        sent_s = self._queries.answered(sender, reply.sequence)
        if sent_s is None:
            return []
        outputs: list[RelayOutput] = []
        if reply.snapshot is not None:
            made = self.fold.take_snapshot(reply.snapshot)
            outputs.extend(self._made(now_s, made, sender))
        outputs.extend(self._take(now_s, reply.accepted, sender))
        self._follower.observe_log_end(reply.log_end)
        if reply.version <= self.fold.version and self.fold.verified:
            made = self.fold.agree(reply.version, reply.log_end)
            outputs.extend(self._made(now_s, made, sender))
            self._note_evidence(now_s, sender, sent_s, reply)
        return outputs

    def _note_evidence(
        self,
        now_s: float,
        sender: NodeId,
        sent_s: float,
        reply: FreshnessReply,
    ) -> None:
        if reply.log_age_ms != NO_AGE:
            self.freshness.hear_log(sent_s - reply.log_age_ms / 1000)
        if reply.domain_read_ms != NO_AGE:
            self._note_read(sender, sent_s, reply.domain_read_ms / 1000)
        if reply.own_outage_ms != NO_AGE:
            self._fellows.see_outage(
                sender, sent_s - reply.own_outage_ms / 1000
            )
        if reply.domain_outage_ms != NO_AGE and self._may_tell(sender):
            self.freshness.see_domain_outage(
                self._elsewhere.domain_of(sender),
                sent_s - reply.domain_outage_ms / 1000,
            )
        if reply.fleet_outage_ms != NO_AGE:
            self.freshness.see_fleet_outage(
                sent_s - reply.fleet_outage_ms / 1000
            )
        if self.freshness.age_s(now_s) <= STALE_AFTER_S:
            self._useful_s = now_s
            self._isolation_s = ISOLATED_AFTER_S + self._random.uniform(
                0, ISOLATED_JITTER_S
            )
        elif not self._tree.reads_log:
            self._source.turn_away(now_s)

    def _note_read(self, sender: NodeId, sent_s: float, age_s: float) -> None:
        if self._elsewhere.domain_of(sender) == self._own.failure_domain:
            self.freshness.record_domain_read(sent_s - age_s)
        elif age_s <= STALE_AFTER_S:
            self._follower.confirm_log_end(sent_s)

    def _may_tell(self, sender: NodeId) -> bool:
        """Tell whether a sender may speak for its failure domain here."""
        domain = self._elsewhere.domain_of(sender)
        return not (self.reads_log and domain == self._own.failure_domain)

    def _own_outage_s(self) -> float:
        return self._follower.outage_s if self.reads_log else NEVER_S

    def _note_own_outage(self) -> None:
        """Speak for the failure domain once most of its readers agree."""
        if self._follower.outage_s <= self.freshness.domain_outage_s:
            return
        agreed_s = self._fellows.agreed_s(
            self._follower.outage_s, self._tree.readers
        )
        if agreed_s != NEVER_S:
            self.freshness.see_domain_outage(self._own.failure_domain, agreed_s)

    def _take(
        self,
        now_s: float,
        accepted: tuple[AcceptedRecord, ...],
        sender: NodeId,
    ) -> list[RelayOutput]:
        made = [one for one in accepted if self.fold.take_accepted(one)]
        return self._made(now_s, made, sender)

    def _made(
        self, now_s: float, made: list[AcceptedRecord], sender: NodeId | None
    ) -> list[RelayOutput]:
        if not made:
            return []
        self._kept.extend(made)
        lately = {
            node: asked_s
            for node, asked_s in self._asked_s.items()
            if now_s - asked_s <= ASKED_LATELY_S
        }
        self._asked_s = lately
        return [
            SendControl(node, VersionPush(accepted=one))
            for one in made
            for node in lately
            if node != sender
        ]

    # log

    def _log_read(self, now_s: float, read: LogRead) -> list[RelayOutput]:
        self._snapshots.see_records(now_s, read)
        made = self._follower.on_read(now_s, read)
        outputs = self._made(now_s, made, None)
        if self._reads_now(now_s):
            outputs.extend(self._follower.tick(now_s))
        return outputs

    def _snapshot(self) -> SnapshotRecord:
        record_id = RecordId(f'snapshot-{self.fold.version}')
        return self.fold.snapshot(record_id)


def _age_ms(now_s: float, at_s: float) -> int:
    if at_s == NEVER_S:
        return NO_AGE
    return ceil((now_s - at_s) * 1000)
