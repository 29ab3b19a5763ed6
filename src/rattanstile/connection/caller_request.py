"""Holds requests of the caller library to the rules of callers' HTTP."""

import re

from msgspec.structs import replace
from result import Err, Ok, Result

from rattanstile.connection.frames import CallerReply, CallerRequest
from rattanstile.connection.http_request import MAX_BODY_BYTES
from rattanstile.connection.http_rules import headers_for_target, normal_path
from rattanstile.request.envelope import Reply
from rattanstile.request.outcome import Outcome, Reason

_METHOD = re.compile('[A-Z]{1,20}')
_SERVICE = re.compile('[0-9A-Za-z._-]+')


def validate_request(
    request: CallerRequest,
) -> Result[CallerRequest, CallerReply]:
    """Return the request as it may go on, or the reply that refuses it.

    Its path is in normal form, and its headers are those that the target may
    see.
    """
    if len(request.body) > MAX_BODY_BYTES:
        return Err(_refusal(request, Reason.TOO_LARGE))
    path = normal_path(request.path)
    if path is None or (request.key and request.key in path):
        return Err(_refusal(request, Reason.MALFORMED))
    if not (
        _METHOD.fullmatch(request.method)
        and _SERVICE.fullmatch(request.service)
    ):
        return Err(_refusal(request, Reason.MALFORMED))
    headers = headers_for_target(request.headers, request.key)
    return Ok(replace(request, path=path, headers=headers))


def _refusal(request: CallerRequest, reason: Reason) -> CallerReply:
    return CallerReply(
        sequence=request.sequence,
        reply=Reply(
            call_id=request.call_id,
            attempt=request.attempt,
            outcome=Outcome.NOT_RUN,
            reason=reason,
            status=reason.status,
        ),
    )
