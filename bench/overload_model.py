"""Virtual-time event loop, fake targets and a fleet of real machines."""

import heapq
import math
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from itertools import count
from random import Random
from typing import Any, Protocol

from rattanstile.process.entry.chooser import Chooser
from rattanstile.process.messages import (
    CallArrived,
    CallRequested,
    CancelArrived,
    CancelDispatch,
    Dispatch,
    EntryInput,
    EntryOutput,
    HomeReport,
    QueryHome,
    ReplyArrived,
    RequestCompleted,
    SendCall,
    SendCancel,
    SendReply,
    ServingInput,
    ServingOutput,
    TargetAnswered,
    TargetFailed,
    TargetFailure,
    Ticked,
)
from rattanstile.process.serving.home_table import HomeTable
from rattanstile.process.serving.serving_call import child_end
from rattanstile.request.envelope import Call, Member, Reply
from rattanstile.request.ids import NodeId
from rattanstile.request.outcome import Outcome, Reason
from rattanstile.request.priority import Priority
from rattanstile.version.in_force import VersionInForce

TICK_S = 0.05
LOOPBACK_S = 0.0001
NEAR_S = 0.0002
SPREAD = 0.2
DOMAINS = 3


class Loop:
    """Runs events in the order of their virtual time."""

    def __init__(self) -> None:
        """Begin at zero."""
        self.now_s = 0.0
        self._order = count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []

    def after(self, delay_s: float, event: Callable[[], None]) -> None:
        """Run an event after a delay in seconds."""
        entry = (self.now_s + delay_s, next(self._order), event)
        heapq.heappush(self._events, entry)

    def run(self, until_s: float) -> None:
        """Run the events up to a time."""
        while self._events and self._events[0][0] <= until_s:
            at_s, _, event = heapq.heappop(self._events)
            self.now_s = at_s
            event()
        self.now_s = until_s


@dataclass(frozen=True, slots=True)
class ServiceShape:
    """A service of a fleet.

    Attributes:
        slots: Calls at once that are declared.
        service_s: Mean seconds of one call on its target, child apart.
        bears: Calls at once beyond which a target slows down; 0 for none.
        child: The service that each call calls in turn, if any.
    """

    name: str
    workers: int
    slots: int
    service_s: float
    cold_slots: int = 4
    cold_start_s: float = 2.0
    child: str = ''
    bears: int = 0

    @property
    def capacity_per_s(self) -> float:
        """Return the calls a second of all workers, child apart."""
        return self.workers * self.slots / self.service_s


@dataclass(slots=True)
class TargetCounts:
    """What a fake target saw."""

    runs: int = 0
    over_cold: int = 0
    most_held: int = 0
    work_s: dict[int, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Ended:
    """How one request at an entry ended."""

    at_s: float
    priority: Priority
    reason: Reason | None


class ServingLike(Protocol):
    """The real serving machine or that of the baseline."""

    def step(
        self, now_s: float, serving_input: ServingInput
    ) -> list[ServingOutput]:
        """Take one input."""


class EntryLike(Protocol):
    """The real entry machine or that of the baseline."""

    def step(self, now_s: float, entry_input: EntryInput) -> list[EntryOutput]:
        """Take one input."""


class FakeTarget:
    """A target with slots, service time, cold start and one child call."""

    def __init__(self, node: 'Node', shape: ServiceShape) -> None:
        """Begin with a cold start."""
        self.counts = TargetCounts()
        self.slowdown = 1.0
        self.is_down = False
        self.boot = 0
        self._node = node
        self._shape = shape
        self._started_s = 0.0 if node.fleet.begins_cold else -math.inf
        self._held: dict[str, Call] = {}
        self._waiting: deque[Call] = deque()
        self._running = 0

    @property
    def held(self) -> int:
        """Return the calls on the target."""
        return len(self._held)

    @property
    def is_cold(self) -> bool:
        """Tell whether the cold start lasts."""
        age_s = self._node.fleet.loop.now_s - self._started_s
        return age_s < self._shape.cold_start_s

    def restart(self) -> None:
        """Lose all calls and begin a cold start."""
        self.boot += 1
        self._started_s = self._node.fleet.loop.now_s
        lost = list(self._held)
        self._held.clear()
        self._waiting.clear()
        self._running = 0
        for call_id in lost:
            self._tell(TargetFailed(call_id, TargetFailure.RESET))

    def run(self, call: Call) -> None:
        """Take a call; a cold target falls over beyond its cold slots."""
        if self.is_down:
            self._tell(TargetFailed(call.call_id, TargetFailure.NOT_SENT))
            return
        self.counts.runs += 1
        self._held[call.call_id] = call
        self.counts.most_held = max(self.counts.most_held, len(self._held))
        if self.is_cold and len(self._held) > self._shape.cold_slots:
            self.counts.over_cold += 1
            self.restart()
            return
        self._waiting.append(call)
        self._begin_next()

    def cancel(self, call_id: str) -> None:
        """Give up a call that has not begun; one that runs goes on."""
        for call in self._waiting:
            if call.call_id == call_id:
                self._waiting.remove(call)
                self._held.pop(call_id)
                self._tell(TargetFailed(call_id, TargetFailure.CANCELLED))
                return

    def _begin_next(self) -> None:
        while self._waiting and self._running < self._shape.slots:
            self._running += 1
            self._begin(self._waiting.popleft())

    def _begin(self, call: Call) -> None:
        fleet = self._node.fleet
        factor = fleet.rng.uniform(1 - SPREAD, 1 + SPREAD) * self.slowdown
        factor *= fleet.slower.get(call.organisation, 1.0)
        if self._shape.bears:
            factor *= max(1.0, self._running / self._shape.bears)
        boot = self.boot
        began_s = fleet.loop.now_s

        def served() -> None:
            if boot != self.boot:
                return
            if self._shape.child:
                self._node.call_child(call, self._shape.child, ended)
            else:
                ended(is_whole=True)

        def ended(*, is_whole: bool) -> None:
            if boot != self.boot:
                return
            root = fleet.root_of(call)
            work_s = fleet.loop.now_s - began_s
            known_s = self.counts.work_s.get(root, 0.0)
            self.counts.work_s[root] = known_s + work_s
            self._end(call, is_whole=is_whole)

        fleet.loop.after(self._shape.service_s * factor, served)

    def _end(self, call: Call, *, is_whole: bool) -> None:
        self._running -= 1
        self._held.pop(call.call_id)
        status = 200 if is_whole else 502
        boot_id = f'boot-{self.boot}'
        self._tell(
            TargetAnswered(
                call.call_id,
                status,
                (),
                b'',
                boot_id,
                failed_below=not is_whole,
            )
        )
        self._begin_next()

    def _tell(self, told: ServingInput) -> None:
        loop = self._node.fleet.loop
        loop.after(LOOPBACK_S, lambda: self._node.serve(told))


class Node:
    """One node: both machines, and the target beside it."""

    def __init__(
        self, fleet: 'Fleet', member: Member, shape: ServiceShape
    ) -> None:
        """Build the target; the fleet sets the machines."""
        self.fleet = fleet
        self.member = member
        self.shape = shape
        self.target = FakeTarget(self, shape)
        self.serving: ServingLike
        self.entry: EntryLike
        self.home_table: HomeTable | None = None
        self.chooser: Chooser | None = None
        self._waiting: dict[int, Callable[[Reply], None]] = {}
        self._priorities: dict[int, Priority] = {}

    def request(
        self, requested: CallRequested, ended: Callable[[Reply], None]
    ) -> None:
        """Take a request of a caller or of the own target."""
        self._waiting[requested.request_id] = ended
        priority = requested.priority or requested.route.request_kind.priority
        self._priorities[requested.request_id] = priority
        self.enter(requested)

    def call_child(
        self, parent: Call, service: str, ended: Callable[..., None]
    ) -> None:
        """Make the call of a target to a further service."""
        requested = self.fleet.child_request(parent, service)

        def child_ended(reply: Reply) -> None:
            self.serve(child_end(parent.call_id, reply))
            ended(is_whole=reply.outcome is Outcome.WHOLE)

        self.request(requested, child_ended)

    def enter(self, entry_input: EntryInput) -> None:
        """Step the entry machine."""
        for output in self.entry.step(self.fleet.loop.now_s, entry_input):
            self._do_entry(output)

    def serve(self, serving_input: ServingInput) -> None:
        """Step the serving machine."""
        for output in self.serving.step(self.fleet.loop.now_s, serving_input):
            self._do_serving(output)

    def tick(self) -> None:
        """Tell both machines the time."""
        self.serve(Ticked())
        self.enter(Ticked())
        self.fleet.loop.after(TICK_S, self.tick)

    def _do_entry(self, output: EntryOutput) -> None:
        match output:
            case SendCall(call=call, receiver=receiver):
                self.fleet.count_attempt(call)
                self.fleet.send(
                    self, receiver, CallArrived(call, self.member.node_id)
                )
            case SendCancel(cancel=cancel, receiver=receiver):
                self.fleet.send(
                    self, receiver, CancelArrived(cancel, self.member.node_id)
                )
            case QueryHome(receiver=receiver):
                self.fleet.loop.after(
                    NEAR_S, lambda: self.fleet.greet(self, receiver)
                )
            case RequestCompleted(request_id=request_id, reply=reply):
                priority = self._priorities.pop(request_id)
                self.fleet.ends.append(
                    Ended(self.fleet.loop.now_s, priority, reply.reason)
                )
                self._waiting.pop(request_id)(reply)

    def _do_serving(self, output: ServingOutput) -> None:
        match output:
            case Dispatch(call=call):
                if call.priority is Priority.LOOKUP:
                    self.fleet.lookups_sent_s.append(self.fleet.loop.now_s)
                self.fleet.loop.after(LOOPBACK_S, lambda: self.target.run(call))
            case SendReply(reply=reply, receiver=receiver):
                self.fleet.send_reply(self, receiver, reply)
            case CancelDispatch(call_id=call_id):
                self.fleet.loop.after(
                    LOOPBACK_S, lambda: self.target.cancel(call_id)
                )


Machines = Callable[[Node], None]


class Fleet:
    """Nodes of one deployment on one loop.

    Args:
        shapes: Services, deepest last.
        version: What is in force at every node.
        machines: Sets the machines of a node.
        far_s: One way between failure domains in seconds.
        begins_cold: Whether the targets begin with a cold start.
    """

    def __init__(
        self,
        shapes: tuple[ServiceShape, ...],
        version: VersionInForce,
        machines: Machines,
        far_s: float,
        seed: int = 1,
        *,
        begins_cold: bool = True,
    ) -> None:
        """Build the nodes and let them know each other."""
        self.loop = Loop()
        self.rng = Random(seed)
        self.version = version
        self.begins_cold = begins_cold
        self.attempts = 0
        self.needed: set[tuple[int, str]] = set()
        self.slower: dict[str, float] = {}
        self.ends: list[Ended] = []
        self.requests: list[Any] = []
        self.lookups_sent_s: list[float] = []
        self.request_ids = count(1)
        self.nodes = {node.member.node_id: node for node in self._build(shapes)}
        self._far_s = far_s
        members = tuple(node.member for node in self.nodes.values())
        for node in self.nodes.values():
            machines(node)
            if node.chooser:
                node.chooser.members_changed(members, 0.0)
            self.loop.after(self.rng.uniform(0, TICK_S), node.tick)

    def of(self, service: str) -> list[Node]:
        """Return the nodes of a service."""
        return [
            node
            for node in self.nodes.values()
            if node.member.service == service
        ]

    def send(
        self, sender: Node, receiver: NodeId, message: ServingInput
    ) -> None:
        """Carry a message to a serving machine."""
        node = self.nodes[receiver]
        delay_s = self._delay_s(sender, node)
        self.loop.after(delay_s, lambda: node.serve(message))

    def greet(self, hearer: Node, node_id: NodeId) -> None:
        """Let one node hear who another is."""
        node = self.nodes[node_id]
        if node.home_table is not None:
            incarnation = node.member.incarnation
            id_epoch = node.home_table.id_epoch
            hearer.enter(HomeReport(node_id, incarnation, id_epoch))

    def send_reply(self, sender: Node, receiver: NodeId, reply: Reply) -> None:
        """Carry a reply to an entry machine."""
        node = self.nodes[receiver]
        arrived = ReplyArrived(reply, sender.member.node_id)
        delay_s = self._delay_s(sender, node)
        self.loop.after(delay_s, lambda: node.enter(arrived))

    def count_attempt(self, call: Call) -> None:
        """Count an attempt that a node sends."""
        self.attempts += 1
        self.needed.add((self.root_of(call), call.service))

    def reset_counts(self) -> None:
        """Begin counting anew."""
        self.attempts = 0
        self.needed.clear()
        for node in self.nodes.values():
            node.target.counts = TargetCounts()

    def root_of(self, call: Call) -> int:
        """Return the number of the caller's request that a call serves."""
        return int(call.body)

    def child_request(self, parent: Call, service: str) -> CallRequested:
        """Return the request of a target for its running call."""
        declared = self.version.service(service)
        return CallRequested(
            request_id=next(self.request_ids),
            call_id='',
            attempt=1,
            organisation=parent.organisation,
            key_digest=parent.key_digest,
            service=service,
            method='GET',
            path=parent.path,
            headers=(),
            body=parent.body,
            route=declared.routes[0],
            remaining_ms=parent.remaining_ms,
            tries_left=parent.tries_left,
            hops=parent.hops + 1,
            priority=parent.priority,
            shed_draw=parent.shed_draw,
            shed_pressure=parent.shed_pressure,
        )

    def _delay_s(self, one: Node, other: Node) -> float:
        if one is other:
            return 0.0
        if one.member.failure_domain == other.member.failure_domain:
            return NEAR_S
        return self._far_s

    def _build(self, shapes: tuple[ServiceShape, ...]) -> Iterator[Node]:
        for shape in shapes:
            for index in range(shape.workers):
                member = Member(
                    node_id=f'{shape.name}-{index}',
                    incarnation=1,
                    service=shape.name,
                    failure_domain=f'domain-{index % DOMAINS}',
                    address='',
                )
                yield Node(self, member, shape)
