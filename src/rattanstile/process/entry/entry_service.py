"""Runs the entry machine: takes callers' requests and settles each of them."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, replace
from itertools import count

import logbook
from twisted.internet.defer import Deferred

from rattanstile.process.entry.entry import EntryMachine
from rattanstile.process.entry.request_checker import RequestHead, RequestChecker, Passed
from rattanstile.process.entry.shedding import SheddingEntry
from rattanstile.process.key_values import key_values
from rattanstile.process.messages import (
    AskHome,
    BindingWanted,
    CallRequested,
    ChildEnded,
    EntryInput,
    EntryOutput,
    Finished,
    RequestAbandoned,
    SendCall,
    SendCancel,
    Ticked,
)
from rattanstile.process.metrics import CallCounters
from rattanstile.process.rates.rate_service import Admission, RateService
from rattanstile.process.serving.serving_call import child_end
from rattanstile.process.timers import TimerService
from rattanstile.request.envelope import Header, Reply
from rattanstile.request.ids import CallId, OrganisationId, ServiceName
from rattanstile.request.outcome import Outcome, Reason

TICK_S = 0.05
FOLLOW_S = 0.3
ELSEWHERE_RETRY_AFTER_MS = 1000
MS_PER_S = 1000
_ELSEWHERE = frozenset((Reason.DRAINING, Reason.NOT_VERIFIED))
_NOBODY = OrganisationId('')

_log = logbook.Logger('entry-service')


@dataclass(frozen=True, slots=True)
class EntryRequest:
    """A caller's request, from HTTP or from the caller library.

    Attributes:
        call_id: Set when the caller library issued one, else empty.
        attempt: The caller's own attempt number, from 1; 0 for a request
            with an idempotency key, which may be a repetition.
    """

    head: RequestHead
    headers: tuple[Header, ...]
    body: bytes
    call_id: CallId = CallId('')
    attempt: int = 1
    idempotency_key: str = ''


@dataclass(slots=True)
class _Pending:
    """A request that has not ended."""

    request: EntryRequest
    began_s: float
    answer: 'Deferred[Reply]'
    passed: Passed | None = None
    call: CallRequested | None = None
    is_placed: bool = False


@dataclass(frozen=True, slots=True)
class EntryPorts:
    """What the entry service hands its decisions to.

    Attributes:
        send: Takes attempts, cancels, greetings and bindings wanted.
        child_ended: Takes the pressure met by a call of the own target.
        knows_members: Tells whether members of a service are followed here.
        follow_members: Begins to follow the members of a service.
    """

    send: Callable[[SendCall | SendCancel | AskHome | BindingWanted], None]
    child_ended: Callable[[ChildEnded], None]
    knows_members: Callable[[ServiceName], bool]
    follow_members: Callable[[ServiceName], None]


class EntryService:
    """Takes requests through gate, pressure, rate and entry machine.

    Args:
        machine: Decides on attempts; steps only through `shedding`.
        shedding: Refuses under the pressure that replies have told.
        rates: Decides whether a root call is within its rate.
        counters: Counts how calls end.
    """

    def __init__(
        self,
        gate: RequestChecker,
        machine: EntryMachine,
        shedding: SheddingEntry,
        rates: RateService,
        timers: TimerService,
        counters: CallCounters,
        ports: EntryPorts,
    ) -> None:
        """Begin with no request."""
        self.machine = machine
        self._gate = gate
        self._shedding = shedding
        self._rates = rates
        self._timers = timers
        self._counters = counters
        self._ports = ports
        self._numbers = count(1)
        self._pending: dict[int, _Pending] = {}
        self._draining = False

    def __len__(self) -> int:
        """Return how many requests have not ended."""
        return len(self._pending)

    def handle(self, request: EntryRequest) -> 'Deferred[Reply]':
        """Return the reply to a request; cancelling it abandons the call."""
        now_s = self._timers.now_s()
        number = next(self._numbers)
        answer: Deferred[Reply] = Deferred(lambda _: self._abandon(number))
        self._pending[number] = _Pending(request, now_s, answer)
        self._admit(now_s, number)
        return answer

    def step(self, entry_input: EntryInput) -> None:
        """Give the machine an input and perform what it decides."""
        now_s = self._timers.now_s()
        for output in self._shedding.step(now_s, entry_input):
            self._perform(now_s, output)

    def drain(self) -> None:
        """Refuse root calls from now on; children of running calls go on."""
        self._draining = True

    def rate_decided(self, number: int, retry_after_ms: int | None) -> None:
        """Go on with a request that waited for tokens, or refuse it.

        Args:
            number: Of the request.
            retry_after_ms: None when the tokens were granted.
        """
        pending = self._pending.get(number)
        if pending is None or pending.is_placed:
            return
        if retry_after_ms is None:
            self._place(number, pending)
        else:
            self._refuse(number, Reason.OVER_RATE, retry_after_ms)

    @contextmanager
    def running(self) -> Iterator[None]:
        """Wake the machine while the block runs."""
        with self._timers.every(TICK_S, self._tick):
            yield

    def _tick(self, now_s: float) -> None:
        wake_s = self.machine.next_wake_s()
        if wake_s is not None and wake_s <= now_s:
            self.step(Ticked())

    # Admission

    def _admit(self, now_s: float, number: int) -> None:
        pending = self._pending[number]
        checked = self._gate.check(now_s, pending.request.head)
        if checked.is_err():
            self._refuse(number, checked.unwrap_err().reason)
            return
        passed = checked.unwrap()
        pending.passed = passed
        judged = self._shedding.judge(
            now_s, _call_of(number, pending.request, passed)
        )
        if isinstance(judged, Finished):
            self._finish(number, judged.reply)
            return
        pending.call = judged
        if self._draining and passed.share is None:
            self._refuse(number, Reason.DRAINING)
        elif not self._ports.knows_members(pending.request.head.service):
            self._follow(number, pending)
        else:
            self._charge_or_place(now_s, number, passed)

    def _follow(self, number: int, pending: _Pending) -> None:
        """Begin to follow the members, and go on when they are told."""
        self._ports.follow_members(pending.request.head.service)

        def go_on(now_s: float) -> None:
            if number in self._pending and pending.passed is not None:
                self._charge_or_place(now_s, number, pending.passed)

        self._timers.after(FOLLOW_S, go_on)

    def _charge_or_place(
        self, now_s: float, number: int, passed: Passed
    ) -> None:
        if passed.is_charged:
            self._charge(now_s, number, passed)
        else:
            self._place(number, self._pending[number])

    def _charge(self, now_s: float, number: int, passed: Passed) -> None:
        match self._rates.admit(now_s, passed.organisation, number):
            case Admission(granted=True):
                self._place(number, self._pending[number])
            case Admission(waits=True):
                return
            case Admission(retry_after_ms=retry_after_ms):
                self._refuse(number, Reason.OVER_RATE, retry_after_ms)

    def _place(self, number: int, pending: _Pending) -> None:
        call = pending.call
        if call is None:
            return
        pending.is_placed = True
        waited_ms = int((self._timers.now_s() - pending.began_s) * MS_PER_S)
        if waited_ms > 0:
            left_ms = call.remaining_ms - waited_ms
            call = replace(call, remaining_ms=left_ms)
        self.step(call)

    # The end of a request

    def _perform(self, now_s: float, output: EntryOutput) -> None:
        match output:
            case Finished(request_id=number, reply=reply):
                self._finish(number, reply)
            case SendCall():
                self._counters.attempts[output.call.service] += 1
                self._ports.send(output)
            case _:
                self._ports.send(output)

    def _refuse(
        self, number: int, reason: Reason, retry_after_ms: int = 0
    ) -> None:
        pending = self._pending[number]
        request = pending.request
        passed = pending.passed
        is_first = request.attempt == 1
        if reason in _ELSEWHERE:
            retry_after_ms = ELSEWHERE_RETRY_AFTER_MS
        self._finish(
            number,
            Reply(
                call_id=request.call_id,
                attempt=request.attempt,
                outcome=Outcome.NOT_RUN if is_first else Outcome.UNKNOWN,
                reason=reason,
                status=reason.status,
                retry_after_ms=retry_after_ms,
                tries_unspent=passed.tries if passed else 0,
            ),
        )

    def _finish(self, number: int, reply: Reply) -> None:
        pending = self._pending.pop(number, None)
        if pending is None:
            return
        self._settle_parent(pending, reply)
        passed = pending.passed
        organisation = passed.organisation if passed else _NOBODY
        service = pending.request.head.service
        self._counters.count(service, organisation, reply)
        took_s = self._timers.now_s() - pending.began_s
        _log.info(
            key_values(
                'call_ended',
                call=reply.call_id or '-',
                service=service,
                organisation=organisation or '-',
                outcome=reply.outcome.value,
                reason=reply.reason.value if reply.reason else '-',
                took_ms=f'{took_s * MS_PER_S:.1f}',
            )
        )
        pending.answer.callback(reply)

    def _settle_parent(self, pending: _Pending, reply: Reply) -> None:
        passed = pending.passed
        if passed is None or passed.share is None:
            return
        self._gate.give_back(
            pending.request.head.parent,
            passed.share,
            reply.tries_unspent,
            whole=reply.outcome is Outcome.WHOLE,
        )
        self._ports.child_ended(child_end(passed.share.parent, reply))

    def _abandon(self, number: int) -> None:
        pending = self._pending.pop(number, None)
        if pending is not None and pending.is_placed:
            self.step(RequestAbandoned(number))


def _call_of(
    number: int, request: EntryRequest, passed: Passed
) -> CallRequested:
    head = request.head
    return CallRequested(
        request_id=number,
        call_id=request.call_id,
        attempt=request.attempt,
        organisation=passed.organisation,
        key_digest=passed.key_digest,
        service=head.service,
        method=head.method,
        path=head.path,
        headers=request.headers,
        body=request.body,
        route=passed.route,
        remaining_ms=passed.remaining_ms,
        tries_left=passed.tries,
        hops=passed.hops,
        idempotency_key=request.idempotency_key,
        priority=passed.priority,
        shed_draw=passed.shed_draw,
        shed_pressure=passed.shed_pressure,
    )
