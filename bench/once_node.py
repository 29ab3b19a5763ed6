"""One node of the fault runs: the real machines and a fake target."""

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from random import Random
from typing import Protocol

from bench.once_log import Log, Loop
from rattanstile.process.entry.binding import (
    AppendRecord,
    BindingMachine,
    ReadStream,
)
from rattanstile.process.entry.chooser import Chooser
from rattanstile.process.entry.entry import EntryIdentity, EntryMachine
from rattanstile.process.membership.unreachable import UnreachableNodes
from rattanstile.process.messages import (
    BindingFailed,
    BindingRequest,
    CancelArrived,
    CancelDispatch,
    Dispatch,
    KeyBound,
    QueryHome,
    RequestCompleted,
    SendCall,
    SendCancel,
    SendReply,
    TargetAnswered,
    TargetFailed,
    TargetFailure,
    Ticked,
)
from rattanstile.process.serving.home_table import HomeLimits, HomeTable
from rattanstile.process.serving.serving import ServingIdentity, ServingMachine
from rattanstile.request.envelope import Call, Member, Reply
from rattanstile.request.outcome import Outcome
from rattanstile.version.declaration import (
    Declaration,
    FailureDomain,
    Organisation,
    Route,
    Service,
    TargetLimits,
)
from rattanstile.version.in_force import VersionInForce

SERVICE = 'payments'
ORGANISATION = 'one'
KEY_DIGEST = 'digest'
TICK_S = 0.1


class Surroundings(Protocol):
    """What a node finds around it."""

    loop: Loop
    rng: Random
    log: Log
    version: VersionInForce
    limits: HomeLimits
    ran_ids: set[str]

    def members(self) -> list[Member]:
        """Return the members that the node is told of."""

    def operation_of(self, body: bytes) -> 'Operation':
        """Return the operation whose caller sent this body."""

    def send_call(self, node: 'Node', call: Call, receiver: str) -> None:
        """Carry an attempt to its serving node."""

    def send_reply(self, node: 'Node', reply: Reply, receiver: str) -> None:
        """Carry a reply back."""

    def send(
        self, node: 'Node', receiver: str, deliver: Callable[['Node'], None]
    ) -> None:
        """Carry a message to another node."""

    def ask_home(self, node: 'Node', receiver: str) -> None:
        """Have a node told of the home that it asks for."""

    def finished(self, node: 'Node', request_id: int, reply: Reply) -> None:
        """Carry the reply of an entry node to its caller."""


def version_in_force(*, idempotent: bool) -> VersionInForce:
    """Return a version with one organisation and one service."""
    return VersionInForce(
        1,
        Declaration(
            organisations=(
                Organisation(
                    name=ORGANISATION,
                    rate_per_s=1000,
                    burst_calls=1000,
                    keys=(KEY_DIGEST,),
                ),
            ),
            services=(
                Service(
                    name=SERVICE,
                    routes=(Route(kind='payment', idempotent=idempotent),),
                    limits=TargetLimits(slots=2, cold_slots=1),
                ),
            ),
            failure_domains=(FailureDomain(name='fd', region='region'),),
        ),
    )


@dataclass(slots=True)
class Operation:
    """What a caller wants done once, and what came of it.

    Attributes:
        runs: How often a target ran it.
        told: Outcomes that the caller took for its own, the last one its
            conclusion.
        told_not_run: Whether any attempt was told `not run`, one that the
            caller had given up included.
    """

    number: int
    mode: str
    key: str = ''
    call_id: str = ''
    attempts: int = 0
    runs: int = 0
    told: list[Outcome] = field(default_factory=list)
    told_not_run: bool = False
    wrong_answers: int = 0
    waits_for: int = 0
    is_over: bool = False

    @property
    def body(self) -> bytes:
        """Return what the caller sends."""
        return f'operation-{self.number}'.encode()

    @property
    def answer(self) -> bytes:
        """Return what only this operation's caller may get."""
        return f'answer-{self.number}'.encode()


class Node:
    """One incarnation of a node, with its target."""

    def __init__(
        self, world: Surroundings, node_id: str, incarnation: int
    ) -> None:
        """Start the machines of this incarnation."""
        self.world = world
        self.node_id = node_id
        self.incarnation = incarnation
        self.is_up = True
        self.paused_until_s = 0.0
        self.requests: dict[int, tuple[Operation, int]] = {}
        rng = world.rng
        now_s = world.loop.now_s
        self.table = HomeTable(now_s, node_id, incarnation, world.limits)
        self.chooser = Chooser('fd', lambda: world.version)
        self.entry = EntryMachine(
            EntryIdentity(node_id, incarnation),
            self.chooser,
            rng,
            unreachable=UnreachableNodes(),
        )
        self.entry.adopt(world.version)
        self.serving = ServingMachine(
            ServingIdentity(node_id, node_id, 'fd', SERVICE),
            lambda: world.version,
            now_s,
            self.table,
        )
        self.binding = BindingMachine(f'{node_id}/{incarnation}')
        self.target_calls: dict[str, bool] = {}
        self.chooser.members_changed(world.members(), now_s)
        self._tick()

    def later(self, delay_s: float, event: Callable[[], None]) -> None:
        """Have an event reach this incarnation, once it is not paused."""

        def arrive() -> None:
            now_s = self.world.loop.now_s
            if not self.is_up:
                return
            if now_s < self.paused_until_s:
                self.world.loop.after(self.paused_until_s - now_s, arrive)
                return
            event()

        self.world.loop.after(delay_s, arrive)

    def _tick(self) -> None:
        if len(self.entry):
            self.step_entry(Ticked())
        if not self.serving.is_idle:
            self.step_serving(Ticked())
        if self.binding.next_wake_s() is not None:
            self.step_binding(Ticked())
        self.later(TICK_S, self._tick)

    # Entry

    def step_entry(self, entry_input: object) -> None:
        """Step the entry machine and do what it says."""
        now_s = self.world.loop.now_s
        for output in self.entry.step(now_s, entry_input):
            match output:
                case SendCall(call=call, receiver=receiver):
                    self.world.send_call(self, call, receiver)
                case SendCancel(cancel=cancel, receiver=receiver):
                    arrived = CancelArrived(cancel, self.node_id)
                    deliver = partial(Node.step_serving, serving_input=arrived)
                    self.world.send(self, receiver, deliver)
                case QueryHome(receiver=receiver):
                    self.world.ask_home(self, receiver)
                case BindingRequest():
                    self.step_binding(output)
                case RequestCompleted(request_id=request_id, reply=reply):
                    self.world.finished(self, request_id, reply)

    # Serving

    def step_serving(self, serving_input: object) -> None:
        """Step the serving machine and do what it says."""
        now_s = self.world.loop.now_s
        for output in self.serving.step(now_s, serving_input):
            match output:
                case Dispatch(call=call):
                    self._run(call)
                case SendReply(reply=reply, receiver=receiver):
                    self.world.send_reply(self, reply, receiver)
                case CancelDispatch(call_id=call_id):
                    self._cancel(call_id)

    def _run(self, call: Call) -> None:
        rng = self.world.rng
        fate = rng.random()
        if fate < 0.04:
            unsent = TargetFailed(call.call_id, TargetFailure.NOT_SENT)
            self.later(0.001, lambda: self.step_serving(unsent))
            return
        if fate < 0.08:
            refused = TargetAnswered(
                call.call_id, 503, (), b'', stated_not_run=True
            )
            self.later(0.002, lambda: self.step_serving(refused))
            return
        operation = self.world.operation_of(call.body)
        operation.runs += 1
        self.target_calls[call.call_id] = True
        self.world.ran_ids.add(call.call_id)
        takes_s = rng.choice((0.005, 0.02, 0.1, 0.6))
        if fate < 0.12:
            failed = TargetFailed(call.call_id, TargetFailure.RESET)
            self.later(takes_s, lambda: self._target_done(failed))
            return
        answered = TargetAnswered(call.call_id, 200, (), operation.answer)
        self.later(takes_s, lambda: self._target_done(answered))

    def _target_done(self, ended: TargetAnswered | TargetFailed) -> None:
        if self.target_calls.pop(ended.call_id, False):
            self.step_serving(ended)

    def _cancel(self, call_id: str) -> None:
        if self.target_calls.pop(call_id, False):
            failed = TargetFailed(call_id, TargetFailure.CANCELLED)
            self.later(0.001, lambda: self.step_serving(failed))

    # Binding

    def step_binding(self, binding_input: object) -> None:
        """Step the binding machine and do what it says."""
        now_s = self.world.loop.now_s

        def answered(message: object) -> None:
            self.later(0, lambda: self.step_binding(message))

        for output in self.binding.step(now_s, binding_input):
            match output:
                case AppendRecord():
                    self.world.log.append(output, answered)
                case ReadStream():
                    self.world.log.read(output, answered)
                case KeyBound() | BindingFailed():
                    self.step_entry(output)
