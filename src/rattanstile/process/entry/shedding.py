"""Load shedding at the entry: refuse what serving nodes would refuse anyway.

It wraps the entry machine, sheds calls by the pressure that replies reported,
and records the pressure that new replies report.
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
    ReplyArrived,
    RequestCompleted,
    SendCall,
    SendCancel,
)
from rattanstile.process.serving.pressure import (
    CallClass,
    PressureReport,
    PressureTable,
    is_shed,
)
from rattanstile.request.envelope import Call, Reply
from rattanstile.request.ids import CallId
from rattanstile.request.outcome import Reason
from rattanstile.request.priority import Priority
from rattanstile.version.in_force import VersionInForce

MAX_TRACKED_ATTEMPTS = 16384
RETRY_AFTER_MS = 1000
EXPIRY_PERIOD_S = 5.0
CHILD_PRESSURE_ALLOWANCE = 0.1
"""Subtracted from the pressure for child calls: work was already done for
their call tree, which passed the same test with an earlier value."""

_log = logbook.Logger('shedding')


class SupportsStep(Protocol):
    """Interface of the wrapped entry machine."""

    def step(self, now_s: float, entry_input: EntryInput) -> list[EntryOutput]:
        """Process one input and return the resulting outputs."""


@dataclass(frozen=True, slots=True)
class CallShed:
    """Log record of a call that was shed at the entry."""

    request_id: int
    call_class: CallClass
    pressure: float

    def line(self) -> str:
        """Return the record as key=value pairs."""
        call_class = self.call_class
        return (
            f'event=call_shed request={self.request_id}'
            f' service={call_class.service}'
            f' organisation={call_class.organisation}'
            f' priority={call_class.priority.name.lower()}'
            f' pressure={self.pressure:.3f} draw={call_class.draw:.3f}'
        )


class SheddingEntry:
    """Entry machine that sheds calls by pressure before any work is done.

    Args:
        entry: The wrapped entry machine.
        in_force: Returns the version in force.
        rng: Source of the shedding draws of root calls.
    """

    def __init__(
        self,
        entry: SupportsStep,
        in_force: Callable[[], VersionInForce],
        rng: Random,
    ) -> None:
        """Start without pressure."""
        self._entry = entry
        self._in_force = in_force
        self._rng = rng
        self._pressures = PressureTable()
        self._last_expiry_s = 0.0
        self._attempt_classes: OrderedDict[tuple[CallId, int], CallClass] = (
            OrderedDict()
        )

    def step(self, now_s: float, entry_input: EntryInput) -> list[EntryOutput]:
        """Process one input and return the resulting outputs."""
        match entry_input:
            case CallRequested():
                decision = self.apply_shedding(now_s, entry_input)
                if isinstance(decision, RequestCompleted):
                    return [decision]
                entry_input = decision
            case ReplyArrived():
                self._record_reply(now_s, entry_input)
        outputs = self._entry.step(now_s, entry_input)
        for output in outputs:
            self._track_attempt(output)
        return outputs

    def pressure(self, now_s: float, call_class: CallClass) -> PressureReport:
        """Return the pressure that applies to a call at this entry."""
        if now_s - self._last_expiry_s > EXPIRY_PERIOD_S:
            self._last_expiry_s = now_s
            self._pressures.drop_expired(now_s)
        return self._pressures.pressure(now_s, call_class)

    def apply_shedding(
        self, now_s: float, request: CallRequested
    ) -> CallRequested | RequestCompleted:
        """Return the request with its draw and pressure, or its refusal.

        It is also called before the call is charged to the organisation's
        rate, so that a shed call costs no token.
        """
        draw = request.shed_draw
        if draw < 0:
            draw = self._rng.random()
        call_class = CallClass(
            service=request.service,
            organisation=request.organisation,
            priority=_priority_of(request),
            route=request.route.path,
            draw=draw,
        )
        report = self.pressure(now_s, call_class)
        effective_pressure = report.pressure
        if request.hops:
            effective_pressure = max(
                0.0, effective_pressure - CHILD_PRESSURE_ALLOWANCE
            )
        if is_shed(effective_pressure, call_class.priority, draw):
            _log.info(
                CallShed(
                    request.request_id, call_class, effective_pressure
                ).line()
            )
            refusal = own_refusal(request, Reason.SHED, RETRY_AFTER_MS)
            return RequestCompleted(
                request.request_id, _with_pressure(refusal, report)
            )
        return replace(
            request,
            shed_draw=draw,
            shed_pressure=max(effective_pressure, request.shed_pressure),
        )

    def _record_reply(self, now_s: float, arrival: ReplyArrived) -> None:
        reply = arrival.reply
        call_class = self._attempt_classes.pop(
            (reply.call_id, reply.attempt), None
        )
        if call_class is None:
            return
        own = PressureReport(
            reply.pressure, reply.pressure_ceiling, max(1, reply.limit)
        )
        subtree = PressureReport(reply.subtree_pressure, reply.subtree_ceiling)
        self._pressures.record_reply(
            now_s, call_class, arrival.sender, own, subtree
        )

    def _track_attempt(self, output: EntryOutput) -> None:
        match output:
            case SendCall(call=call):
                self._attempt_classes[call.call_id, call.attempt] = (
                    self._class_of(call)
                )
                if len(self._attempt_classes) > MAX_TRACKED_ATTEMPTS:
                    self._attempt_classes.popitem(last=False)
            case SendCancel(cancel=cancel):
                self._attempt_classes.pop(
                    (cancel.call_id, cancel.attempt), None
                )

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


def _with_pressure(reply: Reply, report: PressureReport) -> Reply:
    return msgspec.structs.replace(
        reply, pressure=report.pressure, pressure_ceiling=report.ceiling
    )
