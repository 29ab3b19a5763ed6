"""Who is in the fleet: the log's joins and leaves, and gossip for the rest.

Joining and leaving are records in the log and news in the gossip, whichever
arrives first; liveness is gossip alone. A restarted node is another member
by its incarnation; a paused one stays the same and refutes.
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
from rattanstile.process.membership.gossip import INDIRECT_PROBES, News, Prober
from rattanstile.process.membership.members import Entry, MemberTable
from rattanstile.process.membership.membership_messages import (
    Ack,
    DomainMembers,
    DomainRequest,
    DomainState,
    DomainSummary,
    InterestChanged,
    JoinResponse,
    JoinRequest,
    LeaveBegan,
    MemberLost,
    MembersChanged,
    MembershipInput,
    MembershipOutput,
    MemberState,
    PeerHeard,
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
"""How often the machine wants `Ticked`."""
PAUSE_S = 0.6
JOIN_EVERY_S = 1.0
APPEND_AGAIN_S = 5.0
SUBSCRIBE_PERIOD_S = 30.0
SWEEP_EVERY_S = 10.0
LOST_KEPT_S = 300.0
"""After it a neighbour records that a lost member has left."""
RENEW_JOIN_S = 8 * 3600.0
"""Far below the log's retention: a member's record is always in the log."""
CONTACTS = 3
"""Members kept of each failure domain that nothing else needs."""
RELAYS_KEPT = 256


class Membership:
    """The view that one node has of the fleet.

    Args:
        me: This process.
        seeds: Nodes to join through while the log is silent; a control
            address serves as a node id.
        random: Chooses members to probe and to ask.
    """

    def __init__(
        self, me: Member, seeds: tuple[NodeId, ...], random: Random
    ) -> None:
        """Know only this process."""
        self._me = me
        self._seeds = tuple(seed for seed in seeds if seed != me.node_id)
        self._random = random
        self._table = MemberTable()
        self._prober = Prober(random)
        self._news = News()
        self._suspicions = Suspicions()
        self._directory = Directory(me, self._table, random)
        self._interest: tuple[ServiceName, ...] = (me.service,)
        self._dirty: set[ServiceName] = set()
        self._lost: list[MemberLost] = []
        self._sends: list[MembershipOutput] = []
        self._relayed: dict[int, tuple[NodeId, int]] = {}
        self._refutation = 0
        self._accused: set[NodeId] = set()
        self._state = MemberState.ALIVE
        self._last_s: float | None = None
        self._due_s: dict[str, float] = {}
        self._recorded = False
        self._seed_answered = False
        self._joins = 0

    def members(self, service: ServiceName) -> tuple[Member, ...]:
        """Return the members of a service that may be given work."""
        return tuple(
            entry.member
            for entry in self._table.of_service(service)
            if self._is_usable(entry)
        )

    def neighbours(self) -> tuple[Member, ...]:
        """Return the live members of the own failure domain, this one too."""
        entries = self._table.in_domain(self._me.failure_domain)
        return tuple(one.member for one in entries if self._is_usable(one))

    def live_members(self) -> tuple[Member, ...]:
        """Return every live member that is known here, in any domain."""
        entries = self._table.all_entries()
        return tuple(one.member for one in entries if self._is_usable(one))

    def directories(self) -> list[NodeId]:
        """Return the directories of the own failure domain."""
        return self._directory.of_domain(self._me.failure_domain)

    def digest(self, services: tuple[ServiceName, ...]) -> int:
        """Return a digest of what is known of services."""
        return self._table.services_digest(services)

    def domain_digest(self, domain: FailureDomainId) -> int:
        """Return a digest of what is known of a failure domain."""
        return self._table.domain_digest(domain)

    def member(self, node_id: NodeId) -> Member | None:
        """Return what is known of a node, live or not."""
        entry = self._table.get(node_id)
        return entry.member if entry else None

    def should_read_log(self) -> bool:
        """Tell whether this node has to read the stream `members` now.

        Directories read it, and a node whose own record is not in it yet.
        """
        return not self._recorded or self._directory.is_one()

    def step(
        self, now_s: float, message: MembershipInput
    ) -> list[MembershipOutput]:
        """Take one message.

        Args:
            now_s: Monotonic seconds.
            message: A control message, a record, a sign of life or a tick.

        Returns:
            Changes first, then messages and records.
        """
        if self._last_s is None:
            self._start(now_s)
        match message:
            case Ticked():
                self._tick(now_s)
            case ControlArrived(sender, control):
                self._control(now_s, sender, control)
            case LogRecordRead(stream, record) if stream == MEMBERS_STREAM:
                self._read(now_s, record)
            case PeerHeard(node_id):
                self._heard(node_id)
            case InterestChanged(services):
                self._interest = tuple({*services, self._me.service})
                self._dirty.update(services)
                self._due_s.pop('subscribe', None)
                self._subscribe(now_s)
            case LeaveBegan():
                self._leave(now_s)
        return self._outputs()

    def _outputs(self) -> list[MembershipOutput]:
        changes = [
            MembersChanged(service, self.members(service))
            for service in sorted(self._dirty)
            if service in self._interest
        ]
        outputs = [*self._lost, *changes, *self._sends]
        self._dirty = set()
        self._lost = []
        self._sends = []
        return outputs

    def _send(self, receiver: NodeId, message: msgspec.Struct) -> None:
        if receiver != self._me.node_id:
            self._sends.append(SendControl(receiver, message))

    def _is_usable(self, entry: Entry) -> bool:
        is_here = entry.state in {MemberState.ALIVE, MemberState.SUSPECT}
        domain = entry.member.failure_domain
        return is_here and domain not in self._directory.lost_domains

    # Time

    def _start(self, now_s: float) -> None:
        self._last_s = now_s
        self._due_s['renew'] = now_s + RENEW_JOIN_S
        self._apply(now_s, self._own_update())

    def _tick(self, now_s: float) -> None:
        pause_s = now_s - (self._last_s or now_s)
        if pause_s > PAUSE_S:
            self._prober.abandon()
            self._suspicions.put_off(pause_s)
        self._last_s = now_s
        if self._state is not MemberState.LEFT:
            self._join(now_s)
            self._probe(now_s)
            self._subscribe(now_s)
            self._sends.extend(self._directory.tick(now_s))
        for node_id in self._suspicions.due(now_s):
            self._judge(now_s, node_id, MemberState.LOST)
            if node_id in self._accused:
                self._accused.discard(node_id)
                self._tell_directories()
        if self._is_due(now_s, 'sweep', SWEEP_EVERY_S):
            self._sweep(now_s)

    def _is_due(self, now_s: float, name: str, every_s: float) -> bool:
        if now_s < self._due_s.get(name, float('-inf')):
            return False
        self._due_s[name] = now_s + every_s
        return True

    def _join(self, now_s: float) -> None:
        if now_s >= self._due_s['renew']:
            self._due_s['renew'] = now_s + RENEW_JOIN_S
            self._recorded = False
            self._joins += 1
        if not self._recorded and self._is_due(now_s, 'join', APPEND_AGAIN_S):
            self._sends.append(AppendRecord(MEMBERS_STREAM, self._record()))
        if self._seed_answered or not self._is_due(now_s, 'seed', JOIN_EVERY_S):
            return
        receivers = self._seeds or tuple(
            one.node_id for one in self.live_members() if one != self._me
        )
        if receivers:
            self._send(self._random.choice(receivers), JoinRequest(self._me))

    def _record(self) -> JoinRecord:
        name = f'join/{self._me.node_id}/{self._me.incarnation}/{self._joins}'
        return JoinRecord(record_id=RecordId(name), member=self._me)

    # Probes

    def _probe(self, now_s: float) -> None:
        if self._prober.wants_indirect(now_s):
            self._probe_indirectly()
        if not self._prober.is_due(now_s):
            return
        if self._prober.probe is not None:
            subject = self._prober.probe.subject
            self._accused.add(subject)
            self._judge(now_s, subject, MemberState.SUSPECT)
        probe = self._prober.begin(now_s, self._probed())
        if probe is not None:
            self._ping(probe.subject, probe.sequence)

    def _tell_directories(self) -> None:
        """Spread the latest news at once, where it matters most."""
        for receiver in self.directories():
            self._ping(receiver, self._prober.next_sequence())

    def _probe_indirectly(self) -> None:
        probe = self._prober.probe
        if probe is None:
            return
        others = [one for one in self._probed() if one != probe.subject]
        count = min(INDIRECT_PROBES, len(others))
        for neighbour in self._random.sample(others, count):
            self._send(neighbour, PingRequest(probe.sequence, probe.subject))

    def _probed(self) -> list[NodeId]:
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
        updates = self._news.take(len(self._table))
        entry = self._table.get(receiver)
        if entry is None or entry.state is MemberState.ALIVE:
            return updates
        return (entry.update(), *updates)

    def _judge(self, now_s: float, node_id: NodeId, state: MemberState) -> None:
        entry = self._table.get(node_id)
        if entry is not None and entry.state < state:
            member = entry.member
            self._apply(
                now_s,
                Update(node_id, member.incarnation, state, entry.refutation),
            )

    def _heard(self, node_id: NodeId) -> None:
        self._accused.discard(node_id)
        self._prober.heard(node_id)
        self._suspicions.heard(node_id)

    # News

    def _apply(
        self, now_s: float, update: Update, *, spread: bool = True
    ) -> None:
        if update.node_id == self._me.node_id and self._refute(now_s, update):
            return
        before = self._table.get(update.node_id)
        earlier = before.member if before else None
        if not self._keeps(update) or not self._table.apply(now_s, update):
            return
        entry = self._table.get(update.node_id)
        if entry is None:
            return
        member = entry.member
        is_new = earlier is None or earlier.incarnation != member.incarnation
        if earlier is not None and is_new:
            self._lose(earlier, ended=True)
        self._state_taken(now_s, entry)
        self._dirty.add(member.service)
        if spread and member.failure_domain == self._me.failure_domain:
            self._news.add(entry.update(with_member=is_new))
        self._sends.extend(self._directory.changed(now_s, entry))

    def _state_taken(self, now_s: float, entry: Entry) -> None:
        node_id = entry.member.node_id
        if entry.state is MemberState.SUSPECT:
            self._suspicions.begin(now_s, node_id)
            return
        self._suspicions.end(node_id)
        if entry.state is MemberState.LOST:
            self._lose(entry.member, ended=False)

    def _lose(self, member: Member, *, ended: bool) -> None:
        self._lost.append(MemberLost(member.node_id, member.incarnation, ended))

    def _keeps(self, update: Update) -> bool:
        member = update.member
        if member is None or member.failure_domain == self._me.failure_domain:
            return True
        if member.service in self._interest or self._directory.is_one():
            return True
        contacts = tuple(self._table.in_domain(member.failure_domain))
        return len(contacts) < CONTACTS

    def _refute(self, now_s: float, update: Update) -> bool:
        """Answer news of this process; tell whether there was any need."""
        is_other = update.incarnation != self._me.incarnation
        if is_other or self._state is MemberState.LEFT:
            return is_other
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
        self._dirty.add(self._me.service)
        self._sends.extend(self._directory.changed(now_s, self._own_entry()))
        record = LeaveRecord(
            record_id=RecordId(
                f'leave/{self._me.node_id}/{self._me.incarnation}'
            ),
            member=self._me,
        )
        self._sends.append(AppendRecord(MEMBERS_STREAM, record))
        self._news.add(self._own_update())
        told = set(self._directory.of_domain(self._me.failure_domain))
        told.update(
            self._random.sample(
                self._probed(), min(INDIRECT_PROBES, len(self._probed()))
            )
        )
        for receiver in sorted(told):
            self._ping(receiver, self._prober.next_sequence())

    def _own_entry(self) -> Entry:
        entry = self._table.get(self._me.node_id)
        if entry is None:
            return Entry(self._me, self._state, self._refutation, 0.0)
        return entry

    # Control messages

    def _control(
        self, now_s: float, sender: NodeId, control: msgspec.Struct
    ) -> None:
        match control:
            case Ping():
                self._ping_arrived(now_s, sender, control)
            case Ack():
                self._ack_arrived(now_s, sender, control)
            case PingRequest(sequence=sequence, subject=subject):
                own = self._prober.next_sequence()
                self._relayed[own] = (sender, sequence)
                self._relayed.pop(own - RELAYS_KEPT, None)
                self._ping(subject, own)
            case JoinRequest():
                self._join_arrived(now_s, sender, control)
            case JoinResponse():
                self._take_all(now_s, control.updates, spread=False)
                self._seed_answered = len(self._probed()) > 0
            case _:
                self._summary_control(now_s, sender, control)

    def _summary_control(
        self, now_s: float, sender: NodeId, control: msgspec.Struct
    ) -> None:
        directory = self._directory
        match control:
            case Subscribe():
                self._sends.extend(
                    directory.subscribe_arrived(now_s, sender, control)
                )
            case ServiceMembers():
                self._service_arrived(now_s, control)
            case DomainSummary():
                self._take_all(now_s, control.changes)
                was_lost = control.domain in directory.lost_domains
                self._sends.extend(
                    directory.summary_arrived(now_s, sender, control)
                )
                if was_lost:
                    self._dirty_domain(control.domain)
            case DomainRequest():
                self._sends.extend(directory.request_arrived(sender, control))
            case DomainMembers():
                self._take_all(now_s, control.updates)
            case DomainState():
                directory.state_arrived(control)
                self._dirty_domain(control.domain)

    def _ping_arrived(self, now_s: float, sender: NodeId, ping: Ping) -> None:
        self._heard(sender)
        self._take_all(now_s, ping.updates)
        updates = self._updates_for(sender)
        if self._state is not MemberState.LEFT:
            answer = Ack(ping.sequence, self._me.incarnation, updates)
            self._send(sender, answer)

    def _ack_arrived(self, now_s: float, sender: NodeId, ack: Ack) -> None:
        self._heard(sender)
        self._prober.answered(ack.sequence)
        self._take_all(now_s, ack.updates)
        asker = self._relayed.pop(ack.sequence, None)
        if asker is not None:
            receiver, sequence = asker
            self._send(receiver, Ack(sequence, ack.incarnation))

    def _join_arrived(
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
                contacts = self._directory.of_domain(domain)
                entries.extend(
                    entry
                    for entry in map(self._table.get, contacts)
                    if entry is not None
                )
        pages = paginate([entry.update(with_member=True) for entry in entries])
        for page, updates in enumerate(pages):
            answer = JoinResponse(page, len(pages), tuple(updates))
            self._send(sender, answer)

    def _take_all(
        self,
        now_s: float,
        updates: tuple[Update, ...],
        *,
        spread: bool = True,
    ) -> None:
        for update in updates:
            self._apply(now_s, update, spread=spread)

    def _service_arrived(self, now_s: float, news: ServiceMembers) -> None:
        self._take_all(now_s, news.updates, spread=False)
        if not news.complete:
            return
        told = {update.node_id for update in news.updates}
        for entry in tuple(self._table.of_service(news.service)):
            member = entry.member
            is_near = member.failure_domain == self._me.failure_domain
            if member.node_id not in told and not is_near:
                self._table.forget(member.node_id)
                self._dirty.add(news.service)

    def _dirty_domain(self, domain: FailureDomainId) -> None:
        self._dirty.update(
            entry.member.service for entry in self._table.in_domain(domain)
        )

    def _subscribe(self, now_s: float) -> None:
        if not self._is_due(now_s, 'subscribe', SUBSCRIBE_PERIOD_S):
            return
        directories = self._directory.of_domain(self._me.failure_domain)
        if not directories or self._me.node_id in directories:
            return
        choice = xxhash.xxh32_intdigest(self._me.node_id.encode())
        digest = self._table.services_digest(self._interest)
        self._send(
            directories[choice % len(directories)],
            Subscribe(self._interest, digest),
        )

    # The log

    def _read(self, now_s: float, record: msgspec.Struct) -> None:
        match record:
            case JoinRecord(member=member):
                self._recorded = self._recorded or member == self._me
                state = MemberState.ALIVE
                self._take_record(now_s, member, state)
            case LeaveRecord(member=member):
                self._take_record(now_s, member, MemberState.LEFT)

    def _take_record(
        self, now_s: float, member: Member, state: MemberState
    ) -> None:
        update = Update(member.node_id, member.incarnation, state, 0, member)
        self._apply(now_s, update)

    def _sweep(self, now_s: float) -> None:
        """Record, for lost members that are this node's to record, a leave."""
        self._table.forget_left(now_s)
        for entry in self._table.in_domain(self._me.failure_domain):
            is_old = now_s > entry.since_s + LOST_KEPT_S
            if entry.state is MemberState.LOST and is_old:
                self._record_leave(entry.member)

    def _record_leave(self, member: Member) -> None:
        directories = self._directory.of_domain(member.failure_domain)
        if directories and directories[0] == self._me.node_id:
            name = f'leave/{member.node_id}/{member.incarnation}'
            record = LeaveRecord(record_id=RecordId(name), member=member)
            self._sends.append(AppendRecord(MEMBERS_STREAM, record))
