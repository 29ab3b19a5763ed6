"""A virtual fleet around the rate machines: clocks, links and a log."""

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from random import Random

from rattanstile.process.control_messages import (
    AppendRecord,
    ControlArrived,
    LogRecordRead,
    SendControl,
)
from rattanstile.process.messages import Ticked
from rattanstile.process.rates.rate_borrower import Borrower
from rattanstile.process.rates.rate_messages import (
    Admitted,
    Denied,
    Granted,
    LeaseRequest,
    LeaseGrant,
    LoanGrant,
    LoanRefused,
    LoanRequest,
    OverRate,
    OwnersRequest,
    OwnersResponse,
    RatePeer,
    RatePeersChanged,
    SealResponse,
    SealRequest,
    StaticSlotChanged,
)
from rattanstile.process.rates.rate_owner import TICK_S, RateOwner
from rattanstile.request.ids import (
    FailureDomainId,
    Incarnation,
    NodeId,
    OrganisationId,
)
from rattanstile.version.declaration import Organisation
from rattanstile.version.rate_records import ProcessId

LINK_S = 0.0006
LINK_JITTER_S = 0.0008
READ_S = 0.05
"""Mean time from an append to its being read at a node."""
APPEND_S = 0.004
DOMAINS = 3
BORROWERS = (LoanGrant, LoanRefused, OwnersResponse)
OWNERS = (
    LoanRequest,
    LeaseRequest,
    LeaseGrant,
    SealRequest,
    SealResponse,
    OwnersRequest,
)


@dataclass(slots=True)
class World:
    """Events in true time."""

    random: Random
    now_s: float = 0.0
    _events: list[tuple[float, int, Callable[[], None]]] = field(
        default_factory=list
    )
    _count: int = 0

    def at(self, time_s: float, action: Callable[[], None]) -> None:
        """Run an action at a time."""
        self._count += 1
        heapq.heappush(self._events, (time_s, self._count, action))

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Run an action after a delay."""
        self.at(self.now_s + delay_s, action)

    def run(self, until_s: float) -> None:
        """Run events up to a time."""
        while self._events and self._events[0][0] <= until_s:
            time_s, _, action = heapq.heappop(self._events)
            self.now_s = time_s
            action()
        self.now_s = until_s


@dataclass(slots=True)
class Log:
    """The stream `rates`: outages, lost answers, slow reads."""

    world: World
    up: bool = True
    lost_append: float = 0.0
    records: list = field(default_factory=list)
    ids: set = field(default_factory=set)
    appends: int = 0

    def append(self, output: AppendRecord) -> None:
        """Append after a delay, unless the log is down or loses it."""
        self.world.after(APPEND_S, lambda: self._land(output.record))

    def _land(self, record) -> None:
        self.appends += 1
        if self.up and self.world.random.random() >= self.lost_append:
            self.records.append(record)


class VirtualNode:
    """One process with its own clock, which may be paused or killed."""

    def __init__(self, fleet: 'Fleet', index: int, incarnation: int) -> None:
        """Start the machines and the ticks."""
        self.fleet = fleet
        self.world = fleet.world
        self.index = index
        self.me = ProcessId(
            node_id=NodeId(f'n{index}'), incarnation=Incarnation(incarnation)
        )
        self.domain = FailureDomainId(f'd{index % DOMAINS}')
        self.clock_rate = 1.0 + fleet.clock_spread * (
            self.world.random.random() - 0.5
        )
        self.clock_start_s = self.world.random.uniform(0, 1e6)
        self.owner = RateOwner(self.me, self.domain)
        self.borrower = Borrower(self.me, Random(index + 1000 * incarnation))
        self.alive = True
        self.paused = False
        self.kept: list = []
        self.read = 0
        self.version = None
        self.waiting: dict[int, str] = {}
        self.configure(*fleet.version)
        self.step(RatePeersChanged(fleet.peers_of(self)))
        self.borrower.step(self.now_s(), StaticSlotChanged(fleet.slot_of(index)))
        self.world.after(self.world.random.random() * fleet.tick_s, self.tick)
        self.world.after(self.world.random.random() * READ_S, self.read_log)

    def now_s(self) -> float:
        """Read this process's monotonic clock."""
        return self.clock_start_s + self.world.now_s * self.clock_rate

    def configure(self, organisations, max_nodes, is_first) -> None:
        """Take a version."""
        for machine in (self.owner, self.borrower):
            machine.configure(
                self.now_s(),
                organisations,
                max_nodes,
                is_first_version=is_first,
            )

    def do(self, action: Callable[[], None]) -> None:
        """Run an action now, or when the process goes on."""
        if not self.alive:
            return
        if self.paused:
            self.kept.append(action)
            return
        action()

    def resume(self) -> None:
        """Go on after a pause: what came in meanwhile is handled now."""
        self.paused = False
        kept = self.kept
        self.kept = []
        for action in kept:
            self.do(action)

    def tick(self) -> None:
        """Tick both machines, and again after a period."""
        if not self.alive:
            return
        self.world.after(self.fleet.tick_s / self.clock_rate, self.tick)
        if not self.paused:
            self.step(Ticked())

    def read_log(self) -> None:
        """Read the records that are new, and again after a while."""
        if not self.alive:
            return
        self.world.after(READ_S * 2 * self.world.random.random(), self.read_log)
        log = self.fleet.log
        is_cut = self.index in self.fleet.cut_from_log
        if self.paused or not log.up or is_cut:
            return
        while self.read < len(log.records):
            self.read += 1
            self.step(LogRecordRead('rates', log.records[self.read - 1]))

    def step(self, message) -> None:
        """Hand a message to both machines."""
        now_s = self.now_s()
        if not self.is_borrowers(message):
            self.perform(self.owner.step(now_s, message))
        if not self.is_owners(message):
            self.perform(self.borrower.step(now_s, message))

    def is_owners(self, message) -> bool:
        """Tell whether only the owner's machine takes a message."""
        return isinstance(message, ControlArrived) and isinstance(
            message.message, OWNERS
        )

    def is_borrowers(self, message) -> bool:
        """Tell whether only the borrower's machine takes a message."""
        return isinstance(message, ControlArrived) and isinstance(
            message.message, BORROWERS
        )

    def arrived(self, sender: NodeId, message) -> None:
        """Take a control message."""
        self.do(lambda: self.step(ControlArrived(sender, message)))

    def perform(self, outputs) -> None:
        """Carry out what the machines decided."""
        for output in outputs:
            self.do(partial(self.perform_one, output))

    def perform_one(self, output) -> None:
        """Carry out one output; a pause within holds up those behind it."""
        match output:
            case Granted(request_id, valid_until_s):
                name = self.waiting.pop(request_id)
                self.spend(name, valid_until_s)
            case Denied(request_id, _):
                name = self.waiting.pop(request_id)
                self.fleet.refused(name, request_id)
            case SendControl(receiver, message):
                self.fleet.send(self, receiver, message)
            case AppendRecord():
                if self.index not in self.fleet.cut_from_log:
                    self.fleet.log.append(output)

    def request(self, name: str) -> None:
        """A root call of an organisation comes in."""
        self.do(lambda: self._request(name))

    def _request(self, name: str) -> None:
        number = self.fleet.next_request(name, self.index)
        organisation = OrganisationId(name)
        match self.borrower.admit(self.now_s(), organisation, number):
            case Admitted(valid_until_s):
                self.spend(name, valid_until_s)
            case OverRate():
                self.fleet.refused(name, number)
            case _:
                self.waiting[number] = name
        self.perform(self.borrower.take_outputs())

    def spend(self, name: str, valid_until_s: float) -> None:
        """Run the call, unless a pause since the decision was too long."""
        gap_s = self.fleet.pause_before_run(self)
        if gap_s == 0:
            if self.now_s() < valid_until_s:
                self.fleet.admitted(name)
            return
        self.world.after(gap_s, lambda: self._spend_late(name, valid_until_s))

    def _spend_late(self, name: str, valid_until_s: float) -> None:
        self.paused = False
        if self.alive and self.now_s() < valid_until_s:
            self.fleet.admitted(name)
        if self.alive:
            self.resume()


class Fleet:
    """Nodes, links, the log, and what was admitted when."""

    def __init__(
        self,
        seed: int,
        nodes: int,
        organisations: tuple[Organisation, ...],
        max_nodes: int = 16,
        clock_spread: float = 0.01,
        mid_spend_pause: float = 0.0,
        tick_s: float = TICK_S,
    ) -> None:
        """Start every node."""
        self.world = World(Random(seed))
        self.random = Random(seed + 1)
        self.log = Log(self.world)
        self.clock_spread = clock_spread
        self.mid_spend_pause = mid_spend_pause
        self.tick_s = tick_s
        self.version = (organisations, max_nodes, True)
        self.count = nodes
        self.lost_message = 0.0
        self.cut: set[frozenset[int]] = set()
        self.cut_from_log: set[int] = set()
        self.admissions: dict[str, list[float]] = {
            one.name: [] for one in organisations
        }
        self.arrivals: dict[str, list[tuple[float, int, int]]] = {
            one.name: [] for one in organisations
        }
        self.refusals: dict[str, set[int]] = {
            one.name: set() for one in organisations
        }
        self.messages = 0
        self._requests = 0
        self.nodes: dict[int, VirtualNode] = {}
        for index in range(nodes):
            self.start(index, 1)

    def start(self, index: int, incarnation: int) -> None:
        """Start a process of a node."""
        self.nodes[index] = VirtualNode(self, index, incarnation)

    def peers_of(self, node: VirtualNode) -> tuple[RatePeer, ...]:
        """Return the peers that a node knows: all, by first incarnation."""
        incarnations = {
            index: other.me.incarnation for index, other in self.nodes.items()
        }
        return tuple(
            RatePeer(
                ProcessId(
                    node_id=NodeId(f'n{index}'),
                    incarnation=Incarnation(incarnations.get(index, 1)),
                ),
                FailureDomainId(f'd{index % DOMAINS}'),
            )
            for index in range(self.count)
            if index != node.index
        )

    def slot_of(self, index: int) -> int:
        """Return a node's static slot."""
        return index

    def next_request(self, name: str, index: int) -> int:
        """Return a new request id; it tells the order of arrival."""
        self._requests += 1
        self.arrivals[name].append((self.world.now_s, self._requests, index))
        return self._requests

    def send(self, sender: VirtualNode, receiver: NodeId, message) -> None:
        """Carry a message over a link that may lose or delay it."""
        self.messages += 1
        index = int(receiver[1:])
        node = self.nodes.get(index)
        if node is None or self.world.random.random() < self.lost_message:
            return
        if frozenset((sender.index, index)) in self.cut:
            return
        delay_s = LINK_S + LINK_JITTER_S * self.world.random.random()
        sender_id = sender.me.node_id
        self.world.after(delay_s, lambda: node.arrived(sender_id, message))

    def pause_before_run(self, node: VirtualNode) -> float:
        """Return how long a process pauses between decision and run."""
        if self.random.random() >= self.mid_spend_pause:
            return 0.0
        node.paused = True
        return self.random.choice((0.03, 0.2, 0.39, 0.5, 1.5))

    def admitted(self, name: str) -> None:
        """Note an admission in true time."""
        self.admissions[name].append(self.world.now_s)

    def refused(self, name: str, number: int) -> None:
        """Note a refusal."""
        self.refusals[name].add(number)


def most_above(times_s: list[float], rate_per_s: float, burst: float) -> float:
    """Return by how many calls the worst window is above its bound.

    A bucket of the rate and burst that starts full is replayed: a call that
    finds less than one token ends a window above rate x time + burst.
    """
    tokens = burst
    last_s = 0.0
    worst = 0.0
    for time_s in sorted(times_s):
        tokens = min(burst, tokens + (time_s - last_s) * rate_per_s)
        last_s = time_s
        tokens -= 1
        worst = max(worst, -tokens)
    return worst
