"""A small fleet of relay machines on a virtual clock, with faults."""

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

import msgspec

from rattanstile.process.configuration.relay import Relay
from rattanstile.process.configuration.relay_messages import (
    AppendMark,
    AppendSnapshot,
    LogRead,
    LogReadFailed,
    LogReadTooOld,
    MarkAppended,
    MembersChanged,
    ReadLog,
    RelayInput,
    RelayMember,
    RelayMessage,
    RelayOutput,
    RelayReceived,
    RelayTicked,
    SendControl,
    VersionAccepted,
)
from rattanstile.request.ids import FailureDomainId, LogOffset, NodeId, RecordId
from rattanstile.version.records import MarkRecord, Record, encode_record

LINK_MIN_S = 0.0005
LINK_MAX_S = 0.005
READ_TIMEOUT_S = 8.0
FRAME_BYTES = 11
"""Length and envelope of the control bus, without the sender's name."""
READ_BYTES = 282
"""Request and answer of an empty read of the log, HTTP headers included."""
BASE64_BYTES = 4 / 3


@dataclass(slots=True)
class FakeLog:
    """The configuration stream with its faults."""

    records: list[Record] = field(default_factory=list)
    oldest: int = 0
    down: bool = False
    delay_s: float = 0.0
    lag_records: dict[NodeId, int] = field(default_factory=dict)
    stopped_at: dict[NodeId, int] = field(default_factory=dict)
    waiting: list[Callable[[], None]] = field(default_factory=list)

    def append(self, record: Record) -> int | None:
        """Append a record; None while the log is down."""
        if self.down:
            return None
        self.records.append(record)
        waiting = self.waiting
        self.waiting = []
        for wake in waiting:
            wake()
        return len(self.records) - 1

    def end_for(self, node: NodeId) -> int:
        """Return the end of the stream that a node's replica shows."""
        end = len(self.records) - self.lag_records.get(node, 0)
        return max(self.oldest, min(end, self.stopped_at.get(node, end)))


@dataclass(slots=True)
class FleetNode:
    """One node and what it was seen to do."""

    member: RelayMember
    relay: Relay
    alive: bool = True
    paused: bool = False
    held: list[RelayInput] = field(default_factory=list)
    starts: int = 0
    started_s: float = 0.0
    version: int = 0
    fell: int = 0
    in_force_s: dict[int, float] = field(default_factory=dict)
    bytes_moved: int = 0


class Fleet:
    """Relay machines, links between them and the log.

    Args:
        domains: Failure domain of each node, by node name.
        tick_s: Period of the machines' ticks.
    """

    def __init__(
        self,
        domains: dict[str, str],
        random: Random,
        tick_s: float = 0.25,
        make_relay: Callable[[RelayMember, Random], Relay] = Relay,
    ) -> None:
        """Start every node at time 0."""
        self.random = random
        self.now_s = 0.0
        self.log = FakeLog()
        self.loss = 0.0
        self.cuts: set[tuple[str, str]] = set()
        self.nodes: dict[NodeId, FleetNode] = {}
        self.snapshots = 0
        self.marks = 0
        self.counts_bytes = False
        self._tick_s = tick_s
        self._make_relay = make_relay
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0
        self._members = tuple(
            RelayMember(NodeId(name), FailureDomainId(domain))
            for name, domain in domains.items()
        )
        for member in self._members:
            self.nodes[member.node_id] = FleetNode(
                member, make_relay(member, random)
            )
            self._start(self.nodes[member.node_id])

    def at(self, at_s: float, action: Callable[[], None]) -> None:
        """Do something at a time."""
        self._sequence += 1
        heapq.heappush(self._events, (at_s, self._sequence, action))

    def run(self, until_s: float) -> None:
        """Let time go by."""
        while self._events and self._events[0][0] <= until_s:
            event = heapq.heappop(self._events)
            self.now_s = event[0]
            event[2]()
        self.now_s = until_s

    def kill(self, name: NodeId) -> None:
        """End a node without warning."""
        self.nodes[name].alive = False

    def restart(self, name: NodeId) -> None:
        """Start a node anew; it keeps nothing."""
        node = self.nodes[name]
        node.alive = True
        node.paused = False
        node.held = []
        node.version = 0
        node.started_s = self.now_s
        node.in_force_s.clear()
        node.relay = self._make_relay(node.member, self.random)
        self._start(node)

    def pause(self, name: NodeId) -> None:
        """Stop a node; what is sent to it waits."""
        self.nodes[name].paused = True

    def resume(self, name: NodeId) -> None:
        """Let a stopped node go on with what waited for it."""
        node = self.nodes[name]
        if not node.paused:
            return
        node.paused = False
        held = node.held
        node.held = []
        for relay_input in held:
            self._step(node, relay_input)

    def cut(self, one: str, other: str) -> None:
        """Cut two nodes, domains or the log (named `log`) from each other."""
        self.cuts.add((one, other))
        self.cuts.add((other, one))

    def heal(self) -> None:
        """End every fault of links and log."""
        self.cuts.clear()
        self.loss = 0.0
        self.log.down = False
        self.log.delay_s = 0.0
        self.log.lag_records.clear()
        self.log.stopped_at.clear()

    def is_cut(self, one: FleetNode, other: FleetNode | None) -> bool:
        """Tell whether two nodes, or a node and the log, are cut."""
        if not self.cuts:
            return False
        far = (
            ('log',)
            if other is None
            else (other.member.node_id, other.member.failure_domain)
        )
        near = (one.member.node_id, one.member.failure_domain)
        return any((here, there) in self.cuts for here in near for there in far)

    def reaches_log(self) -> bool:
        """Tell whether any node could hear of what the log accepts."""
        return not self.log.down and any(
            node.alive and not node.paused and not self.is_cut(node, None)
            for node in self.nodes.values()
        )

    def _start(self, node: FleetNode) -> None:
        node.starts += 1
        self._step(node, MembersChanged(self._members))
        phase_s = self.random.uniform(0, self._tick_s)
        self.at(self.now_s + phase_s, lambda: self._tick(node, node.starts))

    def _tick(self, node: FleetNode, start: int) -> None:
        if not node.alive or node.starts != start:
            return
        if not node.paused:
            self._step(node, RelayTicked())
        self.at(self.now_s + self._tick_s, lambda: self._tick(node, start))

    def _step(self, node: FleetNode, relay_input: RelayInput) -> None:
        if not node.alive:
            return
        if node.paused:
            node.held.append(relay_input)
            return
        for output in node.relay.step(self.now_s, relay_input):
            self._carry_out(node, output)

    def _carry_out(self, node: FleetNode, output: RelayOutput) -> None:
        match output:
            case SendControl(receiver=receiver, message=message):
                self._send(node, receiver, message)
            case ReadLog():
                self._read(node, output)
            case AppendSnapshot(snapshot=snapshot):
                self.snapshots += 1
                self.log.append(snapshot)
            case AppendMark(mark_id=mark_id):
                self._mark(node, mark_id)
            case VersionAccepted(version=version):
                node.fell += version < node.version
                node.version = version
                node.in_force_s.setdefault(version, self.now_s)

    def _mark(self, node: FleetNode, mark_id: int) -> None:
        start = node.starts
        self.marks += 1

        def arrive() -> None:
            if self.is_cut(node, None):
                return
            mark = MarkRecord(record_id=RecordId(f'mark-{mark_id}'))
            offset = self.log.append(mark)
            marked = MarkAppended(
                mark_id, None if offset is None else LogOffset(offset)
            )
            self.at(self.now_s + self._link_s(), lambda: answer(marked))

        def answer(marked: MarkAppended) -> None:
            if node.starts == start and not self.is_cut(node, None):
                self._step(node, marked)

        self.at(self.now_s + self._link_s(), arrive)

    def _send(
        self, node: FleetNode, receiver: NodeId, message: RelayMessage
    ) -> None:
        other = self.nodes[receiver]
        size_bytes = self._size_bytes(node, message)
        node.bytes_moved += size_bytes
        if self.random.random() < self.loss or self.is_cut(node, other):
            return
        start = other.starts

        def arrive() -> None:
            if other.starts == start and not self.is_cut(node, other):
                other.bytes_moved += size_bytes
                self._step(other, RelayReceived(node.member.node_id, message))

        self.at(self.now_s + self._link_s(), arrive)

    def _size_bytes(self, node: FleetNode, message: RelayMessage) -> int:
        if not self.counts_bytes:
            return 0
        envelope_bytes = FRAME_BYTES + len(node.member.node_id)
        return len(msgspec.msgpack.encode(message)) + envelope_bytes

    def _read(self, node: FleetNode, wanted: ReadLog) -> None:
        node.bytes_moved += READ_BYTES
        _Reading(self, node, wanted).start()

    def _link_s(self) -> float:
        return self.random.uniform(LINK_MIN_S, LINK_MAX_S)


class _Reading:
    """One read of the log on its way."""

    def __init__(self, fleet: Fleet, node: FleetNode, wanted: ReadLog) -> None:
        self._fleet = fleet
        self._node = node
        self._wanted = wanted
        self._start = node.starts
        self._ended = False

    def start(self) -> None:
        """Send the request."""
        fleet = self._fleet
        link_s = fleet._link_s()
        if fleet.is_cut(self._node, None):
            silent = fleet.random.random() < 0.5
            self._fail_in(READ_TIMEOUT_S if silent else link_s)
        elif fleet.log.down:
            self._fail_in(link_s)
        else:
            fleet.at(fleet.now_s + link_s + fleet.log.delay_s, self._arrived)

    def _arrived(self) -> None:
        fleet = self._fleet
        if self._has_records() or not self._wanted.wait_s:
            self._answer()
            return
        fleet.log.waiting.append(self._woken)
        fleet.at(fleet.now_s + self._wanted.wait_s, self._answer)

    def _woken(self) -> None:
        if self._ended:
            return
        if self._has_records():
            self._answer()
        else:
            self._fleet.log.waiting.append(self._woken)

    def _has_records(self) -> bool:
        end = self._fleet.log.end_for(self._node.member.node_id)
        return end > self._wanted.from_offset

    def _answer(self) -> None:
        if self._ended:
            return
        self._ended = True
        fleet = self._fleet
        if fleet.is_cut(self._node, None):
            self._fail_in(READ_TIMEOUT_S)
            return
        if fleet.log.down:
            self._fail_in(fleet._link_s())
            return
        answer = self._page()
        fleet.at(fleet.now_s + fleet._link_s(), lambda: self._give(answer))

    def _page(self) -> RelayInput:
        log = self._fleet.log
        read_id = self._wanted.read_id
        first = self._wanted.from_offset
        end = log.end_for(self._node.member.node_id)
        if first < log.oldest:
            return LogReadTooOld(read_id, LogOffset(log.oldest), LogOffset(end))
        records = tuple(log.records[first:end])
        if self._fleet.counts_bytes:
            self._node.bytes_moved += sum(
                round(len(encode_record(record)) * BASE64_BYTES)
                for record in records
            )
        return LogRead(
            read_id,
            first,
            records,
            LogOffset(log.oldest),
            LogOffset(end),
        )

    def _fail_in(self, delay_s: float) -> None:
        self._ended = True
        failed = LogReadFailed(self._wanted.read_id)
        fleet = self._fleet
        fleet.at(fleet.now_s + delay_s, lambda: self._give(failed))

    def _give(self, answer: RelayInput) -> None:
        if self._node.starts == self._start:
            self._fleet._step(self._node, answer)
