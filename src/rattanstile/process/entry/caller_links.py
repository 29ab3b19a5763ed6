"""Serves the connections of the caller library."""

from collections.abc import Callable

import logbook
from twisted.internet.defer import CancelledError, Deferred
from twisted.python.failure import Failure

from rattanstile.connection.frames import (
    CallerCancel,
    CallerReply,
    CallerRequest,
    IdGrantRequest,
    Message,
    MessageTooLargeError,
)
from rattanstile.connection.link import PeerProtocol
from rattanstile.connection.peer import CallerLost, CallerMessageArrived
from rattanstile.process.entry.entry_service import EntryRequest
from rattanstile.process.entry.request_checker import RequestHead
from rattanstile.process.key_values import key_values
from rattanstile.process.serving.home_grants import HomeGrants
from rattanstile.request.envelope import Reply
from rattanstile.request.outcome import Outcome, Reason

MOST_OPEN_REQUESTS = 4096

_log = logbook.Logger('caller-links')
Handle = Callable[[EntryRequest], Deferred[Reply]]
_Open = dict[int, Deferred[Reply]]


class CallerLinks:
    """Takes requests of the caller library and sends their replies.

    Args:
        handle: Runs a request; cancelling its Deferred abandons the call.
        grants: Lets callers issue call ids.
    """

    def __init__(self, handle: Handle, grants: HomeGrants) -> None:
        """Begin without connections."""
        self._handle = handle
        self._grants = grants
        self._open: dict[PeerProtocol, _Open] = {}

    def take(self, event: CallerMessageArrived | CallerLost) -> None:
        """Take an event of a caller's connection."""
        match event:
            case CallerLost(link=link):
                for answer in list(self._open.pop(link, {}).values()):
                    answer.cancel()
            case CallerMessageArrived(link=link, message=message):
                self._take_message(link, message)

    def _take_message(self, link: PeerProtocol, message: Message) -> None:
        match message:
            case CallerRequest():
                self._run(link, message)
            case CallerCancel(sequence=sequence):
                answer = self._open.get(link, {}).get(sequence)
                if answer is not None:
                    answer.cancel()
            case IdGrantRequest(service=service, avoided=avoided):
                self._grants.grant(service, link.send, avoided)

    def _run(self, link: PeerProtocol, request: CallerRequest) -> None:
        open_requests = self._open.setdefault(link, {})
        if len(open_requests) >= MOST_OPEN_REQUESTS:
            link.abort()
            return
        answer = self._handle(
            EntryRequest(
                head=RequestHead(
                    key=request.key,
                    service=request.service,
                    method=request.method,
                    path=request.path,
                    deadline_ms=request.deadline_ms,
                    parent=request.parent,
                ),
                headers=request.headers,
                body=request.body,
                call_id=request.call_id,
                attempt=request.attempt,
            )
        )
        open_requests[request.sequence] = answer
        answer.addCallback(self._answer, link, request.sequence)
        answer.addErrback(self._abandoned, link, request.sequence)

    def _answer(self, reply: Reply, link: PeerProtocol, sequence: int) -> None:
        self._open.get(link, {}).pop(sequence, None)
        try:
            link.send(CallerReply(sequence=sequence, reply=reply))
        except MessageTooLargeError:
            cut = _without_body(reply)
            link.send(CallerReply(sequence=sequence, reply=cut))

    def _abandoned(
        self, failure: Failure, link: PeerProtocol, sequence: int
    ) -> None:
        self._open.get(link, {}).pop(sequence, None)
        if not failure.check(CancelledError):
            _log.error(key_values('request_failed', cause=repr(failure.value)))
            link.abort()


def _without_body(reply: Reply) -> Reply:
    return Reply(
        call_id=reply.call_id,
        attempt=reply.attempt,
        outcome=Outcome.UNKNOWN,
        reason=Reason.ANSWER_CUT,
        status=Reason.ANSWER_CUT.status,
    )
