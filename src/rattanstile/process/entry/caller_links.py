"""Handling of the connections of the caller library."""

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

MAX_OPEN_REQUESTS = 4096

_log = logbook.Logger('caller-links')
RequestHandler = Callable[[EntryRequest], Deferred[Reply]]
_OpenRequests = dict[int, Deferred[Reply]]


class CallerLinks:
    """Runs requests of the caller library and sends the replies.

    Args:
        handle_request: Runs a request; cancelling its Deferred abandons the
            call.
        grants: Grants callers the right to issue call ids.
    """

    def __init__(
        self, handle_request: RequestHandler, grants: HomeGrants
    ) -> None:
        """Start without connections."""
        self._handle_request = handle_request
        self._grants = grants
        self._open_requests: dict[PeerProtocol, _OpenRequests] = {}

    def take(self, event: CallerMessageArrived | CallerLost) -> None:
        """Handle an event of a caller's connection."""
        match event:
            case CallerLost(link=link):
                for pending_reply in list(
                    self._open_requests.pop(link, {}).values()
                ):
                    pending_reply.cancel()
            case CallerMessageArrived(link=link, message=message):
                self._handle_message(link, message)

    def _handle_message(self, link: PeerProtocol, message: Message) -> None:
        match message:
            case CallerRequest():
                self._start_request(link, message)
            case CallerCancel(sequence=sequence):
                pending_reply = self._open_requests.get(link, {}).get(sequence)
                if pending_reply is not None:
                    pending_reply.cancel()
            case IdGrantRequest(service=service, avoided=avoided):
                self._grants.grant(service, link.send, avoided)

    def _start_request(
        self, link: PeerProtocol, request: CallerRequest
    ) -> None:
        open_requests = self._open_requests.setdefault(link, {})
        if len(open_requests) >= MAX_OPEN_REQUESTS:
            link.abort()
            return
        pending_reply = self._handle_request(
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
        open_requests[request.sequence] = pending_reply
        pending_reply.addCallback(self._send_reply, link, request.sequence)
        pending_reply.addErrback(self._handle_failure, link, request.sequence)

    def _send_reply(
        self, reply: Reply, link: PeerProtocol, sequence: int
    ) -> None:
        self._open_requests.get(link, {}).pop(sequence, None)
        try:
            link.send(CallerReply(sequence=sequence, reply=reply))
        except MessageTooLargeError:
            bodiless_reply = _without_body(reply)
            link.send(CallerReply(sequence=sequence, reply=bodiless_reply))

    def _handle_failure(
        self, failure: Failure, link: PeerProtocol, sequence: int
    ) -> None:
        self._open_requests.get(link, {}).pop(sequence, None)
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
