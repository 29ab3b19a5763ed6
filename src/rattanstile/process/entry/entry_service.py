"""Runs the entry machine: accepts callers' requests and replies to each."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, replace
from itertools import count

import logbook
from twisted.internet.defer import Deferred

from rattanstile.process.entry.entry import EntryMachine
from rattanstile.process.entry.request_checker import (
    CheckedRequest,
    RequestChecker,
    RequestHead,
)
from rattanstile.process.entry.shedding import SheddingEntry
from rattanstile.process.key_values import key_values
from rattanstile.process.messages import (
    BindingRequest,
    CallRequested,
    ChildCallCompleted,
    EntryInput,
    EntryOutput,
    QueryHome,
    RequestAbandoned,
    RequestCompleted,
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
MEMBERS_WAIT_S = 0.3
RETRY_ELSEWHERE_AFTER_MS = 1000
MS_PER_S = 1000
_RETRY_ELSEWHERE_REASONS = frozenset((Reason.DRAINING, Reason.NOT_VERIFIED))
_NO_ORGANISATION = OrganisationId('')

_log = logbook.Logger('entry-service')


@dataclass(frozen=True, slots=True)
class EntryRequest:
    """A caller's request, received over HTTP or from the caller library.

    Attributes:
        head: Fields that are checked before the request is admitted.
        call_id: Id issued by the caller library; empty if there is none.
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
class _PendingRequest:
    """A request without a reply yet.

    Attributes:
        is_submitted: Whether it was passed on to the entry machine.
    """

    request: EntryRequest
    began_s: float
    deferred: 'Deferred[Reply]'
    checked: CheckedRequest | None = None
    call: CallRequested | None = None
    is_submitted: bool = False


@dataclass(frozen=True, slots=True)
class EntryPorts:
    """Callbacks through which the entry service acts on the rest of the node.

    Attributes:
        send: Sends attempts, cancels, home queries and binding requests.
        child_ended: Receives the pressure that applied to a call made by this
            node's own target.
        follows_members: Returns whether this node follows the members of a
            service.
        follow_members: Starts to follow the members of a service.
    """

    send: Callable[[SendCall | SendCancel | QueryHome | BindingRequest], None]
    child_ended: Callable[[ChildCallCompleted], None]
    follows_members: Callable[[ServiceName], bool]
    follow_members: Callable[[ServiceName], None]


class EntryService:
    """Passes requests through checks, shedding and rates to the entry machine.

    Args:
        checker: Checks requests before any work is done for them.
        machine: Decides on attempts; is stepped only through `shedding`.
        shedding: Sheds calls by the pressure that replies reported.
        rates: Decides whether a root call is within its organisation's rate.
        counters: Counts calls by outcome.
    """

    def __init__(
        self,
        checker: RequestChecker,
        machine: EntryMachine,
        shedding: SheddingEntry,
        rates: RateService,
        timers: TimerService,
        counters: CallCounters,
        ports: EntryPorts,
    ) -> None:
        """Start with no requests."""
        self.machine = machine
        self._checker = checker
        self._shedding = shedding
        self._rates = rates
        self._timers = timers
        self._counters = counters
        self._ports = ports
        self._request_numbers = count(1)
        self._pending: dict[int, _PendingRequest] = {}
        self._draining = False

    def __len__(self) -> int:
        """Return the number of requests without a reply."""
        return len(self._pending)

    def handle(self, request: EntryRequest) -> 'Deferred[Reply]':
        """Return the Deferred reply; cancelling it abandons the call."""
        now_s = self._timers.now_s()
        request_number = next(self._request_numbers)
        deferred: Deferred[Reply] = Deferred(
            lambda _: self._abandon(request_number)
        )
        self._pending[request_number] = _PendingRequest(
            request, now_s, deferred
        )
        self._admit(now_s, request_number)
        return deferred

    def step(self, entry_input: EntryInput) -> None:
        """Pass an input to the entry machine and perform its outputs."""
        now_s = self._timers.now_s()
        for output in self._shedding.step(now_s, entry_input):
            self._perform(now_s, output)

    def drain(self) -> None:
        """Refuse new root calls; running calls may still make child calls."""
        self._draining = True

    def rate_decided(
        self, request_number: int, retry_after_ms: int | None
    ) -> None:
        """Submit a request that waited for tokens, or refuse it.

        Args:
            request_number: Number of the request.
            retry_after_ms: None if the tokens were granted.
        """
        pending = self._pending.get(request_number)
        if pending is None or pending.is_submitted:
            return
        if retry_after_ms is None:
            self._submit(request_number, pending)
        else:
            self._refuse(request_number, Reason.OVER_RATE, retry_after_ms)

    @contextmanager
    def running(self) -> Iterator[None]:
        """Wake the entry machine periodically while the block runs."""
        with self._timers.every(TICK_S, self._tick):
            yield

    def _tick(self, now_s: float) -> None:
        wake_s = self.machine.next_wake_s()
        if wake_s is not None and wake_s <= now_s:
            self.step(Ticked())

    # Admission

    def _admit(self, now_s: float, request_number: int) -> None:
        pending = self._pending[request_number]
        check_result = self._checker.check(now_s, pending.request.head)
        if check_result.is_err():
            self._refuse(request_number, check_result.unwrap_err().reason)
            return
        checked = check_result.unwrap()
        pending.checked = checked
        decision = self._shedding.apply_shedding(
            now_s, _build_call_request(request_number, pending.request, checked)
        )
        if isinstance(decision, RequestCompleted):
            self._finish(request_number, decision.reply)
            return
        pending.call = decision
        if self._draining and checked.share is None:
            self._refuse(request_number, Reason.DRAINING)
        elif not self._ports.follows_members(pending.request.head.service):
            self._wait_for_members(request_number, pending)
        else:
            self._charge_or_submit(now_s, request_number, checked)

    def _wait_for_members(
        self, request_number: int, pending: _PendingRequest
    ) -> None:
        """Start to follow the members and resume when they should be known."""
        self._ports.follow_members(pending.request.head.service)

        def resume(now_s: float) -> None:
            if request_number in self._pending and pending.checked is not None:
                self._charge_or_submit(now_s, request_number, pending.checked)

        self._timers.after(MEMBERS_WAIT_S, resume)

    def _charge_or_submit(
        self, now_s: float, request_number: int, checked: CheckedRequest
    ) -> None:
        if checked.is_charged:
            self._charge(now_s, request_number, checked)
        else:
            self._submit(request_number, self._pending[request_number])

    def _charge(
        self, now_s: float, request_number: int, checked: CheckedRequest
    ) -> None:
        match self._rates.admit(now_s, checked.organisation, request_number):
            case Admission(granted=True):
                self._submit(request_number, self._pending[request_number])
            case Admission(waits=True):
                return
            case Admission(retry_after_ms=retry_after_ms):
                self._refuse(request_number, Reason.OVER_RATE, retry_after_ms)

    def _submit(self, request_number: int, pending: _PendingRequest) -> None:
        call = pending.call
        if call is None:
            return
        pending.is_submitted = True
        waited_ms = int((self._timers.now_s() - pending.began_s) * MS_PER_S)
        if waited_ms > 0:
            left_ms = call.remaining_ms - waited_ms
            call = replace(call, remaining_ms=left_ms)
        self.step(call)

    # The end of a request

    def _perform(self, now_s: float, output: EntryOutput) -> None:
        match output:
            case RequestCompleted(request_id=request_number, reply=reply):
                self._finish(request_number, reply)
            case SendCall():
                self._counters.attempts[output.call.service] += 1
                self._ports.send(output)
            case _:
                self._ports.send(output)

    def _refuse(
        self, request_number: int, reason: Reason, retry_after_ms: int = 0
    ) -> None:
        pending = self._pending[request_number]
        request = pending.request
        checked = pending.checked
        is_first = request.attempt == 1
        if reason in _RETRY_ELSEWHERE_REASONS:
            retry_after_ms = RETRY_ELSEWHERE_AFTER_MS
        self._finish(
            request_number,
            Reply(
                call_id=request.call_id,
                attempt=request.attempt,
                outcome=Outcome.NOT_RUN if is_first else Outcome.UNKNOWN,
                reason=reason,
                status=reason.status,
                retry_after_ms=retry_after_ms,
                tries_unspent=checked.tries if checked else 0,
            ),
        )

    def _finish(self, request_number: int, reply: Reply) -> None:
        pending = self._pending.pop(request_number, None)
        if pending is None:
            return
        self._notify_parent(pending, reply)
        checked = pending.checked
        organisation = checked.organisation if checked else _NO_ORGANISATION
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
        pending.deferred.callback(reply)

    def _notify_parent(self, pending: _PendingRequest, reply: Reply) -> None:
        checked = pending.checked
        if checked is None or checked.share is None:
            return
        self._checker.return_unspent(
            pending.request.head.parent,
            checked.share,
            reply.tries_unspent,
            whole=reply.outcome is Outcome.WHOLE,
        )
        self._ports.child_ended(child_end(checked.share.parent, reply))

    def _abandon(self, request_number: int) -> None:
        pending = self._pending.pop(request_number, None)
        if pending is not None and pending.is_submitted:
            self.step(RequestAbandoned(request_number))


def _build_call_request(
    request_number: int, request: EntryRequest, checked: CheckedRequest
) -> CallRequested:
    head = request.head
    return CallRequested(
        request_id=request_number,
        call_id=request.call_id,
        attempt=request.attempt,
        organisation=checked.organisation,
        key_digest=checked.key_digest,
        service=head.service,
        method=head.method,
        path=head.path,
        headers=request.headers,
        body=request.body,
        route=checked.route,
        remaining_ms=checked.remaining_ms,
        tries_left=checked.tries,
        hops=checked.hops,
        idempotency_key=request.idempotency_key,
        priority=checked.priority,
        shed_draw=checked.shed_draw,
        shed_pressure=checked.shed_pressure,
    )
