"""The dialect of callers: what they ask, and how they are answered."""

from result import Err, Ok, Result

from rattanstile.connection.http_messages import (
    HttpRequest,
    encode_response,
    forwardable_headers,
)
from rattanstile.connection.http_server import BadRequest
from rattanstile.platform import headers
from rattanstile.request.exchange import (
    Answered,
    IncomingRequest,
    Ending,
    NotRun,
    NotRunReason,
    RawHeader,
    Unknown,
    UnknownReason,
)

MAX_DEADLINE_DIGITS = 9
MEMORY_RETRY_S = 0.5

_BAD_REQUESTS = {
    BadRequest.MALFORMED: NotRun(NotRunReason.MALFORMED),
    BadRequest.HEAD_TOO_LARGE: NotRun(NotRunReason.HEAD_TOO_LARGE),
    BadRequest.BODY_TOO_LARGE: NotRun(NotRunReason.BODY_TOO_LARGE),
    BadRequest.NO_MEMORY: NotRun(NotRunReason.OVERLOADED, MEMORY_RETRY_S),
    BadRequest.TOO_SLOW: NotRun(NotRunReason.TOO_SLOW),
}

_STATUS_NOT_RUN = {
    NotRunReason.MALFORMED: 400,
    NotRunReason.KEY_REFUSED: 401,
    NotRunReason.NO_ROUTE: 404,
    NotRunReason.TOO_SLOW: 408,
    NotRunReason.BODY_TOO_LARGE: 413,
    NotRunReason.OVER_RATE: 429,
    NotRunReason.HEAD_TOO_LARGE: 431,
}
_STATUS_NOT_RUN_ELSE = 503
"""Callers take it for a promise, as they do 408 and 429."""
_STATUS_UNKNOWN_DEADLINE = 504
_STATUS_UNKNOWN_ELSE = 502


class PlatformCallers:
    """See `rattanstile.process.mesh.ports.CallerCodec`."""

    def decode(
        self, request: HttpRequest | BadRequest
    ) -> Result[IncomingRequest, NotRun]:
        """Return what a caller asks, or why that can't be understood."""
        if isinstance(request, BadRequest):
            return Err(_BAD_REQUESTS[request])
        request_id = request.header(headers.REQUEST_ID)
        host = request.header(headers.HOST)
        deadline = request.header(headers.DEADLINE_MS) or b'0'
        if (
            not request_id
            or not host
            or not request.path.startswith('/')
            or not deadline.isdigit()
            or len(deadline) > MAX_DEADLINE_DIGITS
        ):
            return Err(NotRun(NotRunReason.MALFORMED))
        return Ok(
            IncomingRequest(
                request_id=request_id.decode('latin-1'),
                method=request.method,
                host=_host_name(host),
                path=request.path,
                headers=forwardable_headers(request.headers, headers.SET_BY_NODE),
                body=request.body,
                key=_key(request.header(headers.AUTHORIZATION)),
                deadline_ms=int(deadline),
            )
        )

    def encode(
        self, request_id: str, ending: Ending, *, closes: bool, is_head: bool
    ) -> bytes:
        """Return the bytes that tell a caller how its request ended."""
        match ending:
            case Answered(answer):
                return encode_response(
                    answer.status,
                    answer.headers,
                    answer.body,
                    phrase=answer.phrase,
                    closes=closes,
                    is_head=is_head,
                )
            case NotRun(reason, retry_after_s):
                status = _STATUS_NOT_RUN.get(reason, _STATUS_NOT_RUN_ELSE)
                return _own_response(
                    request_id, status, retry_after_s, closes=closes
                )
            case Unknown(reason):
                status = _STATUS_UNKNOWN_ELSE
                if reason is UnknownReason.DEADLINE:
                    status = _STATUS_UNKNOWN_DEADLINE
                return _own_response(request_id, status, 0, closes=closes)


def _own_response(
    request_id: str, status: int, retry_after_s: float, *, closes: bool
) -> bytes:
    named: list[RawHeader] = []
    if request_id:
        named.append((headers.REQUEST_ID, request_id.encode('latin-1')))
    if retry_after_s:
        named.append((headers.RETRY_AFTER, b'%.2f' % retry_after_s))
    return encode_response(status, tuple(named), b'', closes=closes)


def _host_name(host: bytes) -> str:
    return host.decode('latin-1').partition(':')[0].lower()


def _key(authorization: bytes | None) -> str | None:
    if authorization is None:
        return None
    text = authorization.decode('latin-1')
    if text[: len(headers.KEY_SCHEME)].lower() != headers.KEY_SCHEME:
        return ''
    return text[len(headers.KEY_SCHEME) :].strip()
