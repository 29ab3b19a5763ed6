"""Codec of the requests of callers and of the responses to them."""

from result import Err, Ok, Result

from rattanstile.connection.http_messages import (
    HttpRequest,
    encode_chunk,
    encode_response,
    encode_response_head,
    find_header,
    forwardable_headers,
)
from rattanstile.connection.http_server import BadRequest
from rattanstile.platform import headers
from rattanstile.process.mesh.ports import InvalidRequest
from rattanstile.request.exchange import (
    Answered,
    AnswerHead,
    Ending,
    IncomingRequest,
    NotRun,
    NotRunReason,
    RawHeader,
    Streamed,
    Unknown,
    UnknownReason,
)

MAX_DEADLINE_DIGITS = 9
NO_MEMORY_RETRY_AFTER_S = 0.5

_BAD_REQUEST_ENDINGS = {
    BadRequest.MALFORMED: NotRun(NotRunReason.MALFORMED),
    BadRequest.HEAD_TOO_LARGE: NotRun(NotRunReason.HEAD_TOO_LARGE),
    BadRequest.BODY_TOO_LARGE: NotRun(NotRunReason.BODY_TOO_LARGE),
    BadRequest.NO_MEMORY: NotRun(
        NotRunReason.OVERLOADED, NO_MEMORY_RETRY_AFTER_S
    ),
    BadRequest.EVICTED: NotRun(
        NotRunReason.OVERLOADED, NO_MEMORY_RETRY_AFTER_S
    ),
    BadRequest.TOO_SLOW: NotRun(NotRunReason.TOO_SLOW),
}

_NOT_RUN_STATUSES = {
    NotRunReason.MALFORMED: 400,
    NotRunReason.KEY_REFUSED: 401,
    NotRunReason.NO_ROUTE: 404,
    NotRunReason.TOO_SLOW: 408,
    NotRunReason.BODY_TOO_LARGE: 413,
    NotRunReason.OVER_RATE: 429,
    NotRunReason.HEAD_TOO_LARGE: 431,
}
_DEFAULT_NOT_RUN_STATUS = 503
"""Callers take it as a guarantee that the request did not run, as they take 408
and 429."""
_UNKNOWN_DEADLINE_STATUS = 504
_DEFAULT_UNKNOWN_STATUS = 502


class PlatformCallerCodec:
    """See `rattanstile.process.mesh.ports.CallerCodec`."""

    def decode(
        self, request: HttpRequest | BadRequest
    ) -> Result[IncomingRequest, InvalidRequest]:
        """Return the caller's request, or why it can't be decoded."""
        if isinstance(request, BadRequest):
            return Err(InvalidRequest(_BAD_REQUEST_ENDINGS[request]))
        request_id = request.header(headers.REQUEST_ID)
        host = request.header(headers.HOST)
        deadline = request.header(headers.DEADLINE_MS) or b'0'
        if not request_id:
            return _malformed('no request id')
        if not host:
            return _malformed('no host')
        if not request.path.startswith('/'):
            return _malformed('path without slash')
        if not deadline.isdigit() or len(deadline) > MAX_DEADLINE_DIGITS:
            return _malformed('deadline')
        return Ok(
            IncomingRequest(
                request_id=request_id.decode('latin-1'),
                method=request.method,
                host=_host_name(host),
                path=request.path,
                headers=forwardable_headers(
                    request.headers, headers.NOT_FORWARDED
                ),
                body=request.body,
                key=_key(request.header(headers.AUTHORIZATION)),
                deadline_ms=int(deadline),
            )
        )

    def request_id(self, request_headers: tuple[RawHeader, ...]) -> str:
        """Return the identifier in a request's headers; empty for none."""
        request_id = find_header(request_headers, headers.REQUEST_ID) or b''
        return request_id.decode('latin-1')

    def encode_head(self, head: AnswerHead, *, closes: bool) -> bytes:
        """Return the encoded start of an answer in parts."""
        return encode_response_head(
            head.status,
            head.headers,
            head.length_bytes,
            phrase=head.phrase,
            closes=closes,
        )

    def encode_part(self, head: AnswerHead, part: bytes) -> bytes:
        """Return an encoded part of an answer; an empty one ends it."""
        return part if head.length_bytes is not None else encode_chunk(part)

    def encode(
        self, request_id: str, ending: Ending, *, closes: bool, is_head: bool
    ) -> bytes:
        """Return the encoded response that reports the end of a request."""
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
            case Streamed():
                return b''
            case NotRun(reason, retry_after_s):
                status = _NOT_RUN_STATUSES.get(reason, _DEFAULT_NOT_RUN_STATUS)
                return _node_response(
                    request_id, status, retry_after_s, closes=closes
                )
            case Unknown(reason):
                status = _DEFAULT_UNKNOWN_STATUS
                if reason is UnknownReason.DEADLINE:
                    status = _UNKNOWN_DEADLINE_STATUS
                return _node_response(request_id, status, 0, closes=closes)


def _malformed(detail: str) -> Err[InvalidRequest]:
    return Err(InvalidRequest(NotRun(NotRunReason.MALFORMED), detail))


def _node_response(
    request_id: str, status: int, retry_after_s: float, *, closes: bool
) -> bytes:
    response_headers: list[RawHeader] = []
    if request_id:
        response_headers.append(
            (headers.REQUEST_ID, request_id.encode('latin-1'))
        )
    if retry_after_s:
        response_headers.append((headers.RETRY_AFTER, b'%.2f' % retry_after_s))
    return encode_response(status, tuple(response_headers), b'', closes=closes)


def _host_name(host: bytes) -> str:
    return host.decode('latin-1').partition(':')[0].lower()


def _key(authorization: bytes | None) -> str | None:
    if authorization is None:
        return None
    text = authorization.decode('latin-1')
    if text[: len(headers.KEY_SCHEME)].lower() != headers.KEY_SCHEME:
        return ''
    return text[len(headers.KEY_SCHEME) :].strip()
