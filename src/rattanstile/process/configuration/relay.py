"""Relay of the configuration: how every node learns the version in force.

A few nodes of each failure domain, the readers, read the log; every other
node queries its parent in a tree once per `POLL_PERIOD_S`. A newly accepted
version is pushed to the nodes that queried recently, and the next query
repairs a push that was lost. A node whose parent is silent, or replies with
stale evidence, queries other nodes above it; a node that finds none with
fresh evidence reads the log itself. Readers that cannot reach the log ask the
other failure domains whether they can.
"""

from math import ceil
from random import Random

from logbook import Logger

from rattanstile.process.configuration.freshness import NEVER_S, Freshness
from rattanstile.process.configuration.log_follower import LogFollower
from rattanstile.process.configuration.relay_contacts import (
    OtherDomains,
    QueryTracker,
    ReaderOutages,
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
from rattanstile.process.configuration.relay_source import ParentSelector
from rattanstile.process.configuration.relay_tree import RelayTree
from rattanstile.process.configuration.snapshot_timer import SnapshotTimer
from rattanstile.request.ids import (
    FailureDomainId,
    NodeId,
    RecordId,
)
from rattanstile.version.fold import Fold
from rattanstile.version.kept import AcceptedRecordBuffer
from rattanstile.version.records import AcceptedRecord, SnapshotRecord

TICK_S = 0.1
POLL_PERIOD_S = 0.5
CROSS_CHECK_PERIOD_S = 0.4
PUSH_RECIPIENT_TTL_S = 2.0
STALE_AFTER_S = 2.8
READER_STALE_AFTER_S = 1.3
ISOLATED_AFTER_S = 1.2
ISOLATED_JITTER_S = 0.6

_log = Logger('relay')


class Relay:
    """State machine of the relay at one node.

    Args:
        own_member: The node itself.
        random: Adds jitter to queries and retries.
        freshness: Collects the evidence; created here if not given.

    Attributes:
        fold: Holds the version in force.
        freshness: Decides whether keyed calls may be admitted.
    """

    def __init__(
        self,
        own_member: RelayMember,
        random: Random,
        freshness: Freshness | None = None,
    ) -> None:
        """Start without members and without a verified version."""
        self.fold = Fold()
        self.freshness = freshness or Freshness(own_member.failure_domain)
        self._own_member = own_member
        self._random = random
        self._follower = LogFollower(self.fold, self.freshness, random)
        self._reader_outages = ReaderOutages()
        self._snapshots = SnapshotTimer(random)
        self._tree = RelayTree(own_member.node_id, ())
        self._other_domains = OtherDomains(own_member.failure_domain, random)
        self._member_domains: frozenset[FailureDomainId] = frozenset()
        self._queries = QueryTracker()
        self._parent_selector = ParentSelector(self._queries, random)
        self._next_query_s = NEVER_S
        self._next_check_s = NEVER_S
        self._last_fresh_s: float | None = None
        self._isolated_after_s = ISOLATED_AFTER_S
        self._accepted_records = AcceptedRecordBuffer()
        self._queried_s: dict[NodeId, float] = {}

    @property
    def reads_log(self) -> bool:
        """Whether this node is one of its failure domain's readers."""
        return self._tree.reads_log

    def step(self, now_s: float, relay_input: RelayInput) -> list[RelayOutput]:
        """Process one input and return the actions to carry out."""
        version = self.fold.version
        verified = self.fold.verified
        outputs = self._step(now_s, relay_input)
        if self.fold.version != version or self.fold.verified != verified:
            self._update_domains()
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
                return self._on_message(now_s, sender, message)
            case LogRead():
                return self._on_log_read(now_s, relay_input)
            case LogReadTooOld():
                self._follower.on_too_old(now_s, relay_input)
            case LogReadFailed():
                self._follower.on_failed(now_s, relay_input)
            case MarkAppended():
                self._follower.on_mark(relay_input)
            case MembersChanged(members=members):
                self._on_members_changed(members)
        return []

    # members

    def _on_members_changed(self, members: tuple[RelayMember, ...]) -> None:
        same_domain = [
            member.node_id
            for member in members
            if member.failure_domain == self._own_member.failure_domain
        ]
        self._tree = RelayTree(self._own_member.node_id, same_domain)
        self._other_domains.set_members(members)
        self._member_domains = frozenset(
            member.failure_domain for member in members
        )
        self._update_domains()
        self._parent_selector.set_candidates(self._tree.parent_candidates())

    def _update_domains(self) -> None:
        """Set the domains in service: those of members and declared ones.

        Membership forgets a failure domain that is cut off, but whether that
        domain reaches the log still matters. So a declared domain counts even
        while none of its members is known.
        """
        declared = self.fold.declaration.failure_domains
        out_of_service = {
            domain.name for domain in declared if not domain.in_service
        }
        domains = self._member_domains | {domain.name for domain in declared}
        domains = frozenset(domains - out_of_service)
        self.freshness.set_domains(domains)
        self._follower.require_confirmation(
            bool(domains - {self._own_member.failure_domain})
        )

    # time

    def _tick(self, now_s: float) -> list[RelayOutput]:
        outputs: list[RelayOutput] = []
        if self._last_fresh_s is None:
            self._last_fresh_s = now_s
            self._next_query_s = now_s
        if self._tree.reads_log:
            outputs.extend(self._cross_check(now_s))
            self._record_majority_outage()
        if now_s >= self._next_query_s:
            self._next_query_s = now_s + self._random.uniform(
                POLL_PERIOD_S * 0.9, POLL_PERIOD_S * 1.1
            )
            outputs.extend(self._poll(now_s))
        if self._should_read_log(now_s):
            outputs.extend(self._follower.tick(now_s))
            outputs.extend(self._follower.due_marks(now_s))
        if self._tree.reads_log and self._snapshots.is_due(now_s, self.fold):
            outputs.append(AppendSnapshot(self._snapshot()))
        return outputs

    def _poll(self, now_s: float) -> list[RelayOutput]:
        if not self._tree.reads_log:
            return [self._query(now_s, self._parent_selector.choose(now_s))]
        if now_s - self.freshness.log_evidence_s < READER_STALE_AFTER_S:
            return []
        receivers = [*self._other_domains.next_round(), *self._tree.readers]
        return [self._query(now_s, node) for node in receivers]

    def _cross_check(self, now_s: float) -> list[RelayOutput]:
        """Query a node of another domain, which may know a later log end."""
        if now_s < self._next_check_s:
            return []
        self._next_check_s = now_s + CROSS_CHECK_PERIOD_S
        return [
            self._query(now_s, node)
            for node in self._other_domains.random_member()
        ]

    def _query(self, now_s: float, receiver: NodeId) -> SendControl:
        version = self.fold.version if self.fold.verified else UNVERIFIED
        query = FreshnessQuery(
            sequence=self._queries.record_sent(now_s, receiver), version=version
        )
        return SendControl(receiver, query)

    def _should_read_log(self, now_s: float) -> bool:
        if self._tree.reads_log:
            return True
        last_fresh_s = self._last_fresh_s or 0.0
        return now_s - last_fresh_s > self._isolated_after_s

    # messages

    def _on_message(
        self, now_s: float, sender: NodeId, message: RelayMessage
    ) -> list[RelayOutput]:
        match message:
            case FreshnessQuery():
                return self._on_query(now_s, sender, message)
            case FreshnessReply():
                return self._on_reply(now_s, sender, message)
            case VersionPush(accepted=accepted):
                return self._apply(now_s, (accepted,), sender)
        return []

    def _on_query(
        self, now_s: float, sender: NodeId, query: FreshnessQuery
    ) -> list[RelayOutput]:
        if (
            self._other_domains.domain_of(sender)
            == self._own_member.failure_domain
        ):
            self._queried_s[sender] = now_s
        outputs: list[RelayOutput] = [
            SendControl(sender, self._reply_to(now_s, query))
        ]
        own_version = self.fold.version if self.fold.verified else UNVERIFIED
        if query.version > own_version:
            outputs.append(self._query(now_s, sender))
        return outputs

    def _reply_to(self, now_s: float, query: FreshnessQuery) -> FreshnessReply:
        behind = self.fold.verified and query.version < self.fold.version
        accepted = (
            self._accepted_records.between(query.version, self.fold.version)
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
            log_age_ms=_age_ms(now_s, freshness.log_evidence_s),
            domain_read_ms=_age_ms(now_s, freshness.domain_read_s),
            own_outage_ms=_age_ms(now_s, self._own_outage_s()),
            domain_outage_ms=_age_ms(now_s, freshness.domain_outage_s),
            fleet_outage_ms=_age_ms(now_s, freshness.fleet_outage_s),
            log_end=self.fold.read_end,
            accepted=accepted,
            snapshot=snapshot,
        )

    def _on_reply(
        self, now_s: float, sender: NodeId, reply: FreshnessReply
    ) -> list[RelayOutput]:
        sent_s = self._queries.record_reply(sender, reply.sequence)
        if sent_s is None:
            return []
        outputs: list[RelayOutput] = []
        if reply.snapshot is not None:
            applied = self.fold.apply_snapshot(reply.snapshot)
            outputs.extend(self._push(now_s, applied, sender))
        outputs.extend(self._apply(now_s, reply.accepted, sender))
        self._follower.observe_log_end(reply.log_end)
        if reply.version <= self.fold.version and self.fold.verified:
            applied = self.fold.observe_peer_version(
                reply.version, reply.log_end
            )
            outputs.extend(self._push(now_s, applied, sender))
            self._record_evidence(now_s, sender, sent_s, reply)
        return outputs

    def _record_evidence(
        self,
        now_s: float,
        sender: NodeId,
        sent_s: float,
        reply: FreshnessReply,
    ) -> None:
        if reply.log_age_ms != NO_AGE:
            self.freshness.record_log_evidence(sent_s - reply.log_age_ms / 1000)
        if reply.domain_read_ms != NO_AGE:
            self._record_read(sender, sent_s, reply.domain_read_ms / 1000)
        if reply.own_outage_ms != NO_AGE:
            self._reader_outages.record_outage(
                sender, sent_s - reply.own_outage_ms / 1000
            )
        if reply.domain_outage_ms != NO_AGE and self._accepts_domain_report(
            sender
        ):
            self.freshness.record_domain_outage(
                self._other_domains.domain_of(sender),
                sent_s - reply.domain_outage_ms / 1000,
            )
        if reply.fleet_outage_ms != NO_AGE:
            self.freshness.record_fleet_outage(
                sent_s - reply.fleet_outage_ms / 1000
            )
        if self.freshness.age_s(now_s) <= STALE_AFTER_S:
            self._last_fresh_s = now_s
            self._isolated_after_s = ISOLATED_AFTER_S + self._random.uniform(
                0, ISOLATED_JITTER_S
            )
        elif not self._tree.reads_log:
            self._parent_selector.switch_to_next(now_s)

    def _record_read(self, sender: NodeId, sent_s: float, age_s: float) -> None:
        if (
            self._other_domains.domain_of(sender)
            == self._own_member.failure_domain
        ):
            self.freshness.record_domain_read(sent_s - age_s)
        elif age_s <= STALE_AFTER_S:
            self._follower.confirm_log_end(sent_s)

    def _accepts_domain_report(self, sender: NodeId) -> bool:
        """Return whether to record a sender's report of a domain outage.

        A reader decides for its own failure domain by a majority of readers.
        """
        domain = self._other_domains.domain_of(sender)
        return not (
            self.reads_log and domain == self._own_member.failure_domain
        )

    def _own_outage_s(self) -> float:
        return self._follower.outage_s if self.reads_log else NEVER_S

    def _record_majority_outage(self) -> None:
        """Record an outage of the domain once most of its readers agree."""
        if self._follower.outage_s <= self.freshness.domain_outage_s:
            return
        majority_outage_s = self._reader_outages.majority_outage_s(
            self._follower.outage_s, self._tree.readers
        )
        if majority_outage_s != NEVER_S:
            self.freshness.record_domain_outage(
                self._own_member.failure_domain, majority_outage_s
            )

    def _apply(
        self,
        now_s: float,
        accepted: tuple[AcceptedRecord, ...],
        sender: NodeId,
    ) -> list[RelayOutput]:
        applied = [
            record for record in accepted if self.fold.apply_accepted(record)
        ]
        return self._push(now_s, applied, sender)

    def _push(
        self, now_s: float, applied: list[AcceptedRecord], sender: NodeId | None
    ) -> list[RelayOutput]:
        if not applied:
            return []
        self._accepted_records.extend(applied)
        recipients = {
            node: queried_s
            for node, queried_s in self._queried_s.items()
            if now_s - queried_s <= PUSH_RECIPIENT_TTL_S
        }
        self._queried_s = recipients
        return [
            SendControl(node, VersionPush(accepted=record))
            for record in applied
            for node in recipients
            if node != sender
        ]

    # log

    def _on_log_read(self, now_s: float, read: LogRead) -> list[RelayOutput]:
        self._snapshots.count_records(now_s, read)
        applied = self._follower.on_read(now_s, read)
        outputs = self._push(now_s, applied, None)
        if self._should_read_log(now_s):
            outputs.extend(self._follower.tick(now_s))
        return outputs

    def _snapshot(self) -> SnapshotRecord:
        record_id = RecordId(f'snapshot-{self.fold.version}')
        return self.fold.snapshot(record_id)


def _age_ms(now_s: float, at_s: float) -> int:
    if at_s == NEVER_S:
        return NO_AGE
    return ceil((now_s - at_s) * 1000)
