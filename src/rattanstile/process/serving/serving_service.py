"""Service around the serving state machine and its connections."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager

from twisted.internet.defer import CancelledError, Deferred
from twisted.python.failure import Failure

from rattanstile.connection.target_answer import TargetAnswer
from rattanstile.connection.target_http import (
    TargetRequest,
    TargetResult,
    TargetSessions,
)
from rattanstile.process.entry.contexts import CallContexts
from rattanstile.process.messages import (
    CallArrived,
    CancelArrived,
    CancelDispatch,
    ChildCallCompleted,
    Dispatch,
    DrainBegan,
    SendReply,
    ServingInput,
    ServingOutput,
    TargetAnswered,
    TargetFailed,
    TargetFailure,
    Ticked,
)
from rattanstile.process.serving.serving import ServingMachine
from rattanstile.process.timers import TimerService
from rattanstile.request.envelope import Call, Cancel
from rattanstile.request.ids import CallId, NodeId

TICK_S = 0.05
MS_PER_S = 1000


class ServingService:
    """Performs the outputs of the serving state machine.

    Args:
        machine: Makes the decisions; only this service passes inputs to it.
        sessions: The connections to the target.
        contexts: What child calls inherit from the calls that make them.
        deliver: Sends each reply to the node that sent the attempt.
    """

    def __init__(
        self,
        machine: ServingMachine,
        sessions: TargetSessions,
        contexts: CallContexts,
        timers: TimerService,
        deliver: Callable[[SendReply], None],
    ) -> None:
        """Start without calls."""
        self.machine = machine
        self._sessions = sessions
        self._contexts = contexts
        self._timers = timers
        self._deliver = deliver
        self._running: dict[CallId, Deferred[TargetResult]] = {}

    def arrive(self, call: Call, sender: NodeId) -> None:
        """Handle an attempt sent by an entry node."""
        self._step(CallArrived(call, sender))

    def cancel(self, cancel: Cancel, sender: NodeId) -> None:
        """Handle the cancellation of an attempt."""
        self._step(CancelArrived(cancel, sender))

    def child_ended(self, child: ChildCallCompleted) -> None:
        """Handle the end of a call made by a running call."""
        self._step(child)

    def drain(self) -> None:
        """Refuse new calls from now on."""
        self._step(DrainBegan())

    @contextmanager
    def running(self) -> Iterator[None]:
        """Tick the state machine; close the target sessions on exit."""
        with self._timers.every(TICK_S, lambda _: self._step(Ticked())):
            try:
                yield
            finally:
                self._sessions.close()

    def _step(self, serving_input: ServingInput) -> None:
        now_s = self._timers.now_s()
        for output in self.machine.step(now_s, serving_input):
            self._perform(now_s, output)

    def _perform(self, now_s: float, output: ServingOutput) -> None:
        match output:
            case Dispatch():
                self._dispatch(now_s, output)
            case SendReply():
                self._deliver(output)
            case CancelDispatch(call_id=call_id):
                self._cancel_dispatch(call_id)

    def _dispatch(self, now_s: float, dispatch: Dispatch) -> None:
        call = dispatch.call
        token_result = self._contexts.begin(now_s, call, dispatch.remaining_ms)
        if token_result.is_err():
            failed = TargetFailed(call.call_id, TargetFailure.NOT_SENT)
            self._timers.after(0, lambda _: self._step(failed))
            return
        running = self._sessions.run(
            TargetRequest(
                method=call.method,
                path=call.path,
                headers=call.headers,
                body=call.body,
                token=token_result.unwrap(),
                timeout_s=dispatch.remaining_ms / MS_PER_S,
            )
        )
        self._running[call.call_id] = running
        running.addErrback(_failure_of)
        running.addCallback(self._handle_result, call.call_id)

    def _handle_result(self, result: TargetResult, call_id: CallId) -> None:
        self._running.pop(call_id, None)
        context_end = self._contexts.end(call_id)
        match result:
            case TargetAnswer():
                self._step(
                    TargetAnswered(
                        call_id=call_id,
                        status=result.status,
                        headers=result.headers,
                        body=result.body,
                        boot_id=result.boot_id,
                        stated_not_run=result.stated_not_run,
                        tries_unspent=context_end.tries_unspent,
                        failed_below=context_end.failed_below,
                    )
                )
            case TargetFailure():
                self._step(TargetFailed(call_id, result))

    def _cancel_dispatch(self, call_id: CallId) -> None:
        running = self._running.get(call_id)
        if running is not None:
            running.cancel()


def _failure_of(failure: Failure) -> TargetFailure:
    failure.trap(CancelledError)
    return TargetFailure.CANCELLED
