"""Membership of the fleet, from records in the log and from gossip.

Joins and leaves are both recorded in the log and gossiped, and whichever
arrives first counts; liveness comes from gossip alone. The incarnation makes
a restarted node a different member. A paused node stays the same member and
refutes the suspicion.
"""

from random import Random

import msgspec
import xxhash

from rattanstile.process.control_messages import (
    AppendRecord,
    ControlArrived,
    LogRecordRead,
    SendControl,
)
from rattanstile.process.membership.directory import Directory, paginate
from rattanstile.process.membership.gossip import (
    INDIRECT_PROBES,
    GossipQueue,
    Prober,
)
from rattanstile.process.membership.members import Entry, MemberTable
from rattanstile.process.membership.membership_messages import (
    Ack,
    DomainMembers,
    DomainRequest,
    DomainState,
    DomainSummary,
    InterestChanged,
    JoinRequest,
    JoinResponse,
    LeaveBegan,
    MemberLost,
    MembersChanged,
    MembershipInput,
    MembershipOutput,
    MemberState,
    PeerActive,
    Ping,
    PingRequest,
    ServiceMembers,
    Subscribe,
    Update,
)
from rattanstile.process.membership.suspicion import Suspicions
from rattanstile.process.messages import Ticked
from rattanstile.request.envelope import Member
from rattanstile.request.ids import (
    FailureDomainId,
    NodeId,
    RecordId,
    ServiceName,
)
from rattanstile.version.records import (
    MEMBERS_STREAM,
    JoinRecord,
    LeaveRecord,
)

TICK_S = 0.1
"""Period at which the state machine expects `Ticked`."""
MIN_PAUSE_S = 0.6  # a longer gap between ticks: this process was paused
JOIN_REQUEST_PERIOD_S = 1.0
APPEND_RETRY_S = 5.0
SUBSCRIBE_PERIOD_S = 30.0
SWEEP_PERIOD_S = 10.0
LOST_RETENTION_S = 300.0
"""Time after which a directory of its domain records a lost member as left."""
JOIN_RENEWAL_PERIOD_S = 8 * 3600.0
"""Far below the log's retention: it always holds a record of each member."""
CONTACTS_PER_DOMAIN = 3
"""Members stored of each other failure domain, even if not followed here."""
MAX_RELAYED_PINGS = 256


class Membership:
    """State machine with the view that one node has of the fleet.

    Args:
        me: This process.
        seeds: Nodes to join through while the log gives no members; a
            control address serves as a node id.
        random: Selects members to probe and to send requests to.
    """

    def __init__(
        self, me: Member, seeds: tuple[NodeId, ...], random: Random
    ) -> None:
        """Start with an empty table of members."""
        self._me = me
        self._seeds = tuple(seed for seed in seeds if seed != me.node_id)
        self._random = random
        self._table = MemberTable()
        self._prober = Prober(random)
        self._gossip_queue = GossipQueue()
        self._suspicions = Suspicions()
        self._directory = Directory(me, self._table, random)
        self._interest: tuple[ServiceName, ...] = (me.service,)
        self._changed_services: set[ServiceName] = set()
        self._lost_members: list[MemberLost] = []
        self._sends: list[MembershipOutput] = []
        self._relayed_pings: dict[int, tuple[NodeId, int]] = {}
        self._refutation = 0
        self._own_suspects: set[NodeId] = set()
        self._state = MemberState.ALIVE
        self._last_tick_s: float | None = None
        self._due_s: dict[str, float] = {}
        self._is_recorded = False
        self._seed_answered = False
        self._join_count = 0

    def members(self, service: ServiceName) -> tuple[Member, ...]:
        """Return the members of a service that may receive calls."""
        return tuple(
            entry.member
            for entry in self._table.of_service(service)
            if self._is_usable(entry)
        )

    def neighbours(self) -> tuple[Member, ...]:
        """Return the live members of the own failure domain, with this node."""
        entries = self._table.in_domain(self._me.failure_domain)
        return tuple(
            entry.member for entry in entries if self._is_usable(entry)
        )

    def live_members(self) -> tuple[Member, ...]:
        """Return every live member in the table, of any domain."""
        entries = self._table.all_entries()
        return tuple(
            entry.member for entry in entries if self._is_usable(entry)
        )

    def directories(self) -> list[NodeId]:
        """Return the directories of the own failure domain."""
        return self._directory.directories_of(self._me.failure_domain)

    def digest(self, services: tuple[ServiceName, ...]) -> int:
        """Return a digest of the stored members of services."""
        return self._table.services_digest(services)

    def domain_digest(self, domain: FailureDomainId) -> int:
        """Return a digest of the stored members of a failure domain."""
        return self._table.domain_digest(domain)

    def member(self, node_id: NodeId) -> Member | None:
        """Return the stored member of a node, live or not."""
        entry = self._table.get(node_id)
        return entry.member if entry else None

    def should_read_log(self) -> bool:
        """Return whether this node has to read the stream `members` now.

        Directories read it, and so does a node that has not yet read its own
        join record.
        """
        return not self._is_recorded or self._directory.is_directory()

    def step(
        self, now_s: float, message: MembershipInput
    ) -> list[MembershipOutput]:
        """Handle one input.

        Args:
            now_s: Monotonic time in seconds.
            message: Control message, log record, activity of a peer, change
                of the followed services, start of the leave, or tick.

        Returns:
            Losses and changes of members, then messages and records.
        """
        if self._last_tick_s is None:
            self._start(now_s)
        match message:
            case Ticked():
                self._tick(now_s)
            case ControlArrived(sender, control):
                self._handle_control(now_s, sender, control)
            case LogRecordRead(stream, record) if stream == MEMBERS_STREAM:
                self._handle_record(now_s, record)
            case PeerActive(node_id):
                self._record_activity(node_id)
            case InterestChanged(services):
                self._interest = tuple({*services, self._me.service})
                self._changed_services.update(services)
                self._due_s.pop('subscribe', None)
                self._subscribe(now_s)
            case LeaveBegan():
                self._leave(now_s)
        return self._outputs()

    def _outputs(self) -> list[MembershipOutput]:
        changes = [
            MembersChanged(service, self.members(service))
            for service in sorted(self._changed_services)
            if service in self._interest
        ]
        outputs = [*self._lost_members, *changes, *self._sends]
        self._changed_services = set()
        self._lost_members = []
        self._sends = []
        return outputs

    def _send(self, receiver: NodeId, message: msgspec.Struct) -> None:
        if receiver != self._me.node_id:
            self._sends.append(SendControl(receiver, message))

    def _is_usable(self, entry: Entry) -> bool:
        is_present = entry.state in {MemberState.ALIVE, MemberState.SUSPECT}
        domain = entry.member.failure_domain
        return is_present and domain not in self._directory.lost_domains

    # Timers

    def _start(self, now_s: float) -> None:
        self._last_tick_s = now_s
        self._due_s['renew'] = now_s + JOIN_RENEWAL_PERIOD_S
        self._apply(now_s, self._own_update())

    def _tick(self, now_s: float) -> None:
        pause_s = now_s - (self._last_tick_s or now_s)
        if pause_s > MIN_PAUSE_S:
            self._prober.abandon()
            self._suspicions.extend_all(pause_s)
        self._last_tick_s = now_s
        if self._state is not MemberState.LEFT:
            self._join(now_s)
            self._probe(now_s)
            self._subscribe(now_s)
            self._sends.extend(self._directory.tick(now_s))
        for node_id in self._suspicions.pop_expired(now_s):
            self._escalate(now_s, node_id, MemberState.LOST)
            if node_id in self._own_suspects:
                self._own_suspects.discard(node_id)
                self._ping_directories()
        if self._is_due(now_s, 'sweep', SWEEP_PERIOD_S):
            self._sweep(now_s)

    def _is_due(self, now_s: float, name: str, every_s: float) -> bool:
        if now_s < self._due_s.get(name, float('-inf')):
            return False
        self._due_s[name] = now_s + every_s
        return True

    def _join(self, now_s: float) -> None:
        if now_s >= self._due_s['renew']:
            self._due_s['renew'] = now_s + JOIN_RENEWAL_PERIOD_S
            self._is_recorded = False
            self._join_count += 1
        if not self._is_recorded and self._is_due(
            now_s, 'join', APPEND_RETRY_S
        ):
            self._sends.append(
                AppendRecord(MEMBERS_STREAM, self._join_record())
            )
        if self._seed_answered or not self._is_due(
            now_s, 'seed', JOIN_REQUEST_PERIOD_S
        ):
            return
        receivers = self._seeds or tuple(
            member.node_id
            for member in self.live_members()
            if member != self._me
        )
        if receivers:
            self._send(self._random.choice(receivers), JoinRequest(self._me))

    def _join_record(self) -> JoinRecord:
        name = (
            f'join/{self._me.node_id}/{self._me.incarnation}/{self._join_count}'
        )
        return JoinRecord(record_id=RecordId(name), member=self._me)

    # Probes

    def _probe(self, now_s: float) -> None:
        if self._prober.is_indirect_due(now_s):
            self._probe_indirectly()
        if not self._prober.is_due(now_s):
            return
        if self._prober.probe is not None:
            subject = self._prober.probe.subject
            self._own_suspects.add(subject)
            self._escalate(now_s, subject, MemberState.SUSPECT)
        probe = self._prober.begin(now_s, self._probe_candidates())
        if probe is not None:
            self._ping(probe.subject, probe.sequence)

    def _ping_directories(self) -> None:
        """Send the latest updates to the own directories at once.

        The directories pass them on to other domains and to subscribers.
        """
        for receiver in self.directories():
            self._ping(receiver, self._prober.next_sequence())

    def _probe_indirectly(self) -> None:
        probe = self._prober.probe
        if probe is None:
            return
        others = [
            node_id
            for node_id in self._probe_candidates()
            if node_id != probe.subject
        ]
        count = min(INDIRECT_PROBES, len(others))
        for neighbour in self._random.sample(others, count):
            self._send(neighbour, PingRequest(probe.sequence, probe.subject))

    def _probe_candidates(self) -> list[NodeId]:
        return [
            entry.member.node_id
            for entry in self._table.in_domain(self._me.failure_domain)
            if entry.state is not MemberState.LEFT
            and entry.member.node_id != self._me.node_id
        ]

    def _ping(self, receiver: NodeId, sequence: int) -> None:
        updates = self._updates_for(receiver)
        self._send(receiver, Ping(sequence, self._me.incarnation, updates))

    def _updates_for(self, receiver: NodeId) -> tuple[Update, ...]:
        updates = self._gossip_queue.take(len(self._table))
        entry = self._table.get(receiver)
        if entry is None or entry.state is MemberState.ALIVE:
            return updates
        return (entry.update(), *updates)

    def _escalate(
        self, now_s: float, node_id: NodeId, state: MemberState
    ) -> None:
        entry = self._table.get(node_id)
        if entry is not None and entry.state < state:
            member = entry.member
            self._apply(
                now_s,
                Update(node_id, member.incarnation, state, entry.refutation),
            )

    def _record_activity(self, node_id: NodeId) -> None:
        self._own_suspects.discard(node_id)
        self._prober.record_activity(node_id)
        self._suspicions.record_activity(node_id)

    # Updates

    def _apply(
        self, now_s: float, update: Update, *, spread: bool = True
    ) -> None:
        if update.node_id == self._me.node_id and self._refute(now_s, update):
            return
        old_entry = self._table.get(update.node_id)
        old_member = old_entry.member if old_entry else None
        if not self._should_store(update) or not self._table.apply(
            now_s, update
        ):
            return
        entry = self._table.get(update.node_id)
        if entry is None:
            return
        member = entry.member
        is_new = (
            old_member is None or old_member.incarnation != member.incarnation
        )
        if old_member is not None and is_new:
            self._report_lost(old_member, ended=True)
        self._handle_state_change(now_s, entry)
        self._changed_services.add(member.service)
        if spread and member.failure_domain == self._me.failure_domain:
            self._gossip_queue.add(entry.update(with_member=is_new))
        self._sends.extend(self._directory.record_change(now_s, entry))

    def _handle_state_change(self, now_s: float, entry: Entry) -> None:
        node_id = entry.member.node_id
        if entry.state is MemberState.SUSPECT:
            self._suspicions.begin(now_s, node_id)
            return
        self._suspicions.end(node_id)
        if entry.state is MemberState.LOST:
            self._report_lost(entry.member, ended=False)

    def _report_lost(self, member: Member, *, ended: bool) -> None:
        self._lost_members.append(
            MemberLost(member.node_id, member.incarnation, ended)
        )

    def _should_store(self, update: Update) -> bool:
        member = update.member
        if member is None or member.failure_domain == self._me.failure_domain:
            return True
        if member.service in self._interest or self._directory.is_directory():
            return True
        contacts = tuple(self._table.in_domain(member.failure_domain))
        return len(contacts) < CONTACTS_PER_DOMAIN

    def _refute(self, now_s: float, update: Update) -> bool:
        """Refute an update that this process is suspected or lost.

        Returns:
            Whether the update is not to be applied: it was refuted, or is
            about another incarnation.
        """
        is_other_incarnation = update.incarnation != self._me.incarnation
        if is_other_incarnation or self._state is MemberState.LEFT:
            return is_other_incarnation
        if update.state is MemberState.LEFT:
            self._state = MemberState.LEFT
            return False
        if update.state is MemberState.ALIVE:
            return False
        self._refutation = max(self._refutation, update.refutation) + 1
        self._apply(now_s, self._own_update())
        return True

    def _own_update(self) -> Update:
        return Update(
            self._me.node_id,
            self._me.incarnation,
            self._state,
            self._refutation,
            self._me,
        )

    def _leave(self, now_s: float) -> None:
        self._state = MemberState.LEFT
        self._table.apply(now_s, self._own_update())
        self._changed_services.add(self._me.service)
        self._sends.extend(
            self._directory.record_change(now_s, self._own_entry())
        )
        record = LeaveRecord(
            record_id=RecordId(
                f'leave/{self._me.node_id}/{self._me.incarnation}'
            ),
            member=self._me,
        )
        self._sends.append(AppendRecord(MEMBERS_STREAM, record))
        self._gossip_queue.add(self._own_update())
        receivers = set(self._directory.directories_of(self._me.failure_domain))
        receivers.update(
            self._random.sample(
                self._probe_candidates(),
                min(INDIRECT_PROBES, len(self._probe_candidates())),
            )
        )
        for receiver in sorted(receivers):
            self._ping(receiver, self._prober.next_sequence())

    def _own_entry(self) -> Entry:
        entry = self._table.get(self._me.node_id)
        if entry is None:
            return Entry(self._me, self._state, self._refutation, 0.0)
        return entry

    # Control messages

    def _handle_control(
        self, now_s: float, sender: NodeId, control: msgspec.Struct
    ) -> None:
        match control:
            case Ping():
                self._handle_ping(now_s, sender, control)
            case Ack():
                self._handle_ack(now_s, sender, control)
            case PingRequest(sequence=sequence, subject=subject):
                own_sequence = self._prober.next_sequence()
                self._relayed_pings[own_sequence] = (sender, sequence)
                self._relayed_pings.pop(own_sequence - MAX_RELAYED_PINGS, None)
                self._ping(subject, own_sequence)
            case JoinRequest():
                self._handle_join_request(now_s, sender, control)
            case JoinResponse():
                self._apply_all(now_s, control.updates, spread=False)
                self._seed_answered = len(self._probe_candidates()) > 0
            case _:
                self._handle_directory_control(now_s, sender, control)

    def _handle_directory_control(
        self, now_s: float, sender: NodeId, control: msgspec.Struct
    ) -> None:
        directory = self._directory
        match control:
            case Subscribe():
                self._sends.extend(
                    directory.handle_subscribe(now_s, sender, control)
                )
            case ServiceMembers():
                self._handle_service_members(now_s, control)
            case DomainSummary():
                self._apply_all(now_s, control.changes)
                was_lost = control.domain in directory.lost_domains
                self._sends.extend(
                    directory.handle_summary(now_s, sender, control)
                )
                if was_lost:
                    self._mark_domain_changed(control.domain)
            case DomainRequest():
                self._sends.extend(directory.handle_request(sender, control))
            case DomainMembers():
                self._apply_all(now_s, control.updates)
            case DomainState():
                directory.handle_domain_state(control)
                self._mark_domain_changed(control.domain)

    def _handle_ping(self, now_s: float, sender: NodeId, ping: Ping) -> None:
        self._record_activity(sender)
        self._apply_all(now_s, ping.updates)
        updates = self._updates_for(sender)
        if self._state is not MemberState.LEFT:
            answer = Ack(ping.sequence, self._me.incarnation, updates)
            self._send(sender, answer)

    def _handle_ack(self, now_s: float, sender: NodeId, ack: Ack) -> None:
        self._record_activity(sender)
        self._prober.handle_ack(ack.sequence)
        self._apply_all(now_s, ack.updates)
        requester = self._relayed_pings.pop(ack.sequence, None)
        if requester is not None:
            receiver, sequence = requester
            self._send(receiver, Ack(sequence, ack.incarnation))

    def _handle_join_request(
        self, now_s: float, sender: NodeId, request: JoinRequest
    ) -> None:
        member = request.member
        self._apply(
            now_s,
            Update(
                member.node_id,
                member.incarnation,
                MemberState.ALIVE,
                0,
                member,
            ),
        )
        entries = list(self._table.in_domain(member.failure_domain))
        for domain in self._table.domains():
            if domain != member.failure_domain:
                contacts = self._directory.directories_of(domain)
                entries.extend(
                    entry
                    for entry in map(self._table.get, contacts)
                    if entry is not None
                )
        pages = paginate([entry.update(with_member=True) for entry in entries])
        for page, updates in enumerate(pages):
            answer = JoinResponse(page, len(pages), tuple(updates))
            self._send(sender, answer)

    def _apply_all(
        self,
        now_s: float,
        updates: tuple[Update, ...],
        *,
        spread: bool = True,
    ) -> None:
        for update in updates:
            self._apply(now_s, update, spread=spread)

    def _handle_service_members(
        self, now_s: float, message: ServiceMembers
    ) -> None:
        self._apply_all(now_s, message.updates, spread=False)
        if not message.complete:
            return
        listed = {update.node_id for update in message.updates}
        for entry in tuple(self._table.of_service(message.service)):
            member = entry.member
            is_near = member.failure_domain == self._me.failure_domain
            if member.node_id not in listed and not is_near:
                self._table.forget(member.node_id)
                self._changed_services.add(message.service)

    def _mark_domain_changed(self, domain: FailureDomainId) -> None:
        self._changed_services.update(
            entry.member.service for entry in self._table.in_domain(domain)
        )

    def _subscribe(self, now_s: float) -> None:
        if not self._is_due(now_s, 'subscribe', SUBSCRIBE_PERIOD_S):
            return
        directories = self._directory.directories_of(self._me.failure_domain)
        if not directories or self._me.node_id in directories:
            return
        node_hash = xxhash.xxh32_intdigest(self._me.node_id.encode())
        digest = self._table.services_digest(self._interest)
        self._send(
            directories[node_hash % len(directories)],
            Subscribe(self._interest, digest),
        )

    # The log

    def _handle_record(self, now_s: float, record: msgspec.Struct) -> None:
        match record:
            case JoinRecord(member=member):
                self._is_recorded = self._is_recorded or member == self._me
                state = MemberState.ALIVE
                self._apply_record(now_s, member, state)
            case LeaveRecord(member=member):
                self._apply_record(now_s, member, MemberState.LEFT)

    def _apply_record(
        self, now_s: float, member: Member, state: MemberState
    ) -> None:
        update = Update(member.node_id, member.incarnation, state, 0, member)
        self._apply(now_s, update)

    def _sweep(self, now_s: float) -> None:
        """Remove old left members and record leaves of lost members.

        Only the first directory of the domain records a leave.
        """
        self._table.forget_left(now_s)
        for entry in self._table.in_domain(self._me.failure_domain):
            is_old = now_s > entry.since_s + LOST_RETENTION_S
            if entry.state is MemberState.LOST and is_old:
                self._record_leave(entry.member)

    def _record_leave(self, member: Member) -> None:
        directories = self._directory.directories_of(member.failure_domain)
        if directories and directories[0] == self._me.node_id:
            name = f'leave/{member.node_id}/{member.incarnation}'
            record = LeaveRecord(record_id=RecordId(name), member=member)
            self._sends.append(AppendRecord(MEMBERS_STREAM, record))
