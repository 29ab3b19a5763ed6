"""Encodes replies to callers as HTTP/1.1 responses."""

from http import HTTPStatus

import msgspec

from rattanstile.connection.http_rules import headers_for_caller
from rattanstile.request.envelope import Reply
from rattanstile.request.outcome import Outcome, Reason

_MS_PER_S = 1000
_BODILESS_STATUSES = frozenset((HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED))
_PHRASES = {int(status): status.phrase for status in HTTPStatus}


class RefusalBody(msgspec.Struct, frozen=True, kw_only=True):
    """JSON body of the reply to a call without a complete answer."""

    outcome: Outcome
    reason: Reason
    retry_after_ms: int = 0


_encoder = msgspec.json.Encoder()


def encode_reply(reply: Reply, *, is_head: bool, keeps_alive: bool) -> bytes:
    """Return the encoded HTTP response for a reply.

    Args:
        is_head: Whether the request's method was HEAD.
        keeps_alive: Whether the connection stays open afterwards.
    """
    body = reply.body
    lines = [
        f'HTTP/1.1 {reply.status} {_PHRASES.get(reply.status, "Unknown")}',
        f'Rattanstile-Outcome: {reply.outcome.value}',
    ]
    if reply.reason is not None:
        lines.extend(_refusal_lines(reply))
        if not body:
            body = _refusal_body(reply, reply.reason)
            lines.append('Content-Type: application/json')
    for name, content in headers_for_caller(reply.headers):
        lines.append(f'{name}: {content}')
    if reply.status in _BODILESS_STATUSES:
        body = b''
    else:
        lines.append(f'Content-Length: {len(body)}')
    if not keeps_alive:
        lines.append('Connection: close')
    lines.append('\r\n')
    head = '\r\n'.join(lines).encode('latin-1')
    return head if is_head else head + body


def _refusal_lines(reply: Reply) -> list[str]:
    lines = []
    if reply.retry_after_ms > 0:
        retry_after_s = -(-reply.retry_after_ms // _MS_PER_S)
        lines.append(f'Retry-After: {retry_after_s}')
    if reply.reason is Reason.KEY_REFUSED:
        lines.append('WWW-Authenticate: Bearer')
    return lines


def _refusal_body(reply: Reply, reason: Reason) -> bytes:
    return _encoder.encode(
        RefusalBody(
            outcome=reply.outcome,
            reason=reason,
            retry_after_ms=reply.retry_after_ms,
        ),
    )
