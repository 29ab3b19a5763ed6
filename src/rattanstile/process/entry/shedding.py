"""Shedding at the entry: refuse what the serving nodes would refuse anyway.

It stands in front of the entry machine, refuses calls under the pressure that
replies have told, and keeps what new replies tell.
"""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, replace
from random import Random
from typing import Protocol

import logbook
import msgspec

from rattanstile.process.entry.entry_call import own_refusal
from rattanstile.process.messages import (
    CallRequested,
    EntryInput,
    EntryOutput,
    Finished,
    ReplyArrived,
    SendCall,
    SendCancel,
)
from rattanstile.process.serving.pressure import (
    CallClass,
    PressureTable,
    PressureReport,
    is_shed,
)
from rattanstile.request.envelope import Call, Reply
from rattanstile.request.ids import CallId
from rattanstile.request.outcome import Reason
from rattanstile.request.priority import Priority
from rattanstile.version.in_force import VersionInForce

MOST_ATTEMPTS = 16384
RETRY_AFTER_MS = 1000
FORGET_PERIOD_S = 5.0
SPARED_BELOW = 0.1
"""Pressure that a call with work behind it is spared, as its tree passed the
same test with an earlier value."""

_log = logbook.Logger('shedding')


class Entry(Protocol):
    """The entry machine behind."""

    def step(self, now_s: float, entry_input: EntryInput) -> list[EntryOutput]:
        """Take one input and return what follows from it."""


@dataclass(frozen=True, slots=True)
class CallShed:
    """Why a call was refused at the entry; one log line."""

    request_id: int
    asked: CallClass
    pressure: float

    def line(self) -> str:
        """Return the decision as key=value pairs."""
        asked = self.asked
        return (
            f'event=call_shed request={self.request_id}'
            f' service={asked.service} organisation={asked.organisation}'
            f' priority={asked.priority.name.lower()}'
            f' pressure={self.pressure:.3f} draw={asked.draw:.3f}'
        )


class SheddingEntry:
    """Entry machine that sheds by pressure before any work is spent.

    Args:
        entry: The entry machine behind.
        in_force: Gives the version in force.
        rng: Draws for the call trees that begin here.
    """

    def __init__(
        self,
        entry: Entry,
        in_force: Callable[[], VersionInForce],
        rng: Random,
    ) -> None:
        """Begin without pressure."""
        self._entry = entry
        self._in_force = in_force
        self._rng = rng
        self._book = PressureTable()
        self._forgot_s = 0.0
        self._asked: OrderedDict[tuple[CallId, int], CallClass] = OrderedDict()

    def step(self, now_s: float, entry_input: EntryInput) -> list[EntryOutput]:
        """Take one input and return what follows from it."""
        match entry_input:
            case CallRequested():
                tested = self.judge(now_s, entry_input)
                if isinstance(tested, Finished):
                    return [tested]
                entry_input = tested
            case ReplyArrived():
                self._replied(now_s, entry_input)
        outputs = self._entry.step(now_s, entry_input)
        for output in outputs:
            self._remember(output)
        return outputs

    def pressure(self, now_s: float, asked: CallClass) -> PressureReport:
        """Return the pressure that a call meets at this entry."""
        if now_s - self._forgot_s > FORGET_PERIOD_S:
            self._forgot_s = now_s
            self._book.drop_expired(now_s)
        return self._book.pressure(now_s, asked)

    def judge(
        self, now_s: float, request: CallRequested
    ) -> CallRequested | Finished:
        """Return the request with its draw and test, or its refusal.

        Asked before the rate is charged too: what is shed costs no token.
        """
        draw = request.shed_draw
        if draw < 0:
            draw = self._rng.random()
        asked = CallClass(
            service=request.service,
            organisation=request.organisation,
            priority=_priority_of(request),
            route=request.route.path,
            draw=draw,
        )
        met = self.pressure(now_s, asked)
        tested = met.pressure
        if request.hops:
            tested = max(0.0, tested - SPARED_BELOW)
        if is_shed(tested, asked.priority, draw):
            _log.info(CallShed(request.request_id, asked, tested).line())
            refused = own_refusal(request, Reason.SHED, RETRY_AFTER_MS)
            return Finished(request.request_id, _told(refused, met))
        return replace(
            request,
            shed_draw=draw,
            shed_pressure=max(tested, request.shed_pressure),
        )

    def _replied(self, now_s: float, arrived: ReplyArrived) -> None:
        reply = arrived.reply
        asked = self._asked.pop((reply.call_id, reply.attempt), None)
        if asked is None:
            return
        own = PressureReport(reply.pressure, reply.pressure_ceiling, max(1, reply.limit))
        subtree = PressureReport(reply.subtree_pressure, reply.subtree_ceiling)
        self._book.record_reply(now_s, asked, arrived.sender, own, subtree)

    def _remember(self, output: EntryOutput) -> None:
        match output:
            case SendCall(call=call):
                self._asked[call.call_id, call.attempt] = self._class_of(call)
                if len(self._asked) > MOST_ATTEMPTS:
                    self._asked.popitem(last=False)
            case SendCancel(cancel=cancel):
                self._asked.pop((cancel.call_id, cancel.attempt), None)

    def _class_of(self, call: Call) -> CallClass:
        route = self._in_force().route(call.service, call.method, call.path)
        return CallClass(
            service=call.service,
            organisation=call.organisation,
            priority=call.priority,
            route=route.path if route else '',
            draw=call.shed_draw,
        )


def _priority_of(request: CallRequested) -> Priority:
    if request.priority is None:
        return request.route.request_kind.priority
    return request.priority


def _told(reply: Reply, met: PressureReport) -> Reply:
    return msgspec.structs.replace(
        reply, pressure=met.pressure, pressure_ceiling=met.ceiling
    )
