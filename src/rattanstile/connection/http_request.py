"""Parses callers' HTTP/1.1 requests with httptools, within size limits."""

from dataclasses import dataclass

import httptools
from result import Err, Ok, Result

from rattanstile.connection.http_rules import (
    headers_for_target,
    normalize_path,
)
from rattanstile.connection.overhead import OverheadMeter
from rattanstile.request.envelope import Header
from rattanstile.request.ids import ServiceName
from rattanstile.request.outcome import Reason

MAX_HEAD_BYTES = 16 * 1024
MAX_HEADERS = 100
MAX_BODY_BYTES = 1024 * 1024
MAX_ALL_BODIES_BYTES = 24 * 1024 * 1024

STATUS_TIMEOUT = 408
STATUS_HEAD_TOO_LARGE = 431

_SINGLE_VALUE_HEADERS = frozenset(
    (
        'authorization',
        'host',
        'idempotency-key',
        'rattanstile-call',
        'rattanstile-deadline-ms',
    ),
)
_HTTP_VERSIONS = frozenset(('1.0', '1.1'))
_BEARER_PREFIX = 'bearer '
_MAX_DEADLINE_DIGITS = 9


@dataclass(frozen=True, slots=True)
class CallerHttpRequest:
    """A complete, well-formed request of a caller.

    Attributes:
        key: Key from the bearer token; empty if there is none.
        path: Path after the service's name, with the query.
        headers: Headers for the target: without those that apply only to
            this connection or node, and without any that contains the key.
        idempotency_key: Key chosen by the caller; empty if there is none.
        deadline_ms: Time that the caller allows; 0 if it states none.
        parent: Token of the call that a target is serving, else empty.
        keeps_alive: Whether the connection stays open afterwards.
    """

    key: str
    service: ServiceName
    method: str
    path: str
    headers: tuple[Header, ...]
    body: bytes
    idempotency_key: str
    deadline_ms: int
    parent: str
    keeps_alive: bool = True


@dataclass(frozen=True, slots=True)
class RequestRefusal:
    """Refusal of an unacceptable request; the connection must close."""

    reason: Reason
    status: int
    retry_after_ms: int = 0


ParseResult = CallerHttpRequest | RequestRefusal

_MALFORMED = RequestRefusal(Reason.MALFORMED, Reason.MALFORMED.status)
_TOO_LARGE = RequestRefusal(Reason.TOO_LARGE, Reason.TOO_LARGE.status)
_HEAD_TOO_LARGE = RequestRefusal(Reason.TOO_LARGE, STATUS_HEAD_TOO_LARGE)
_BUDGET_EXHAUSTED = RequestRefusal(
    Reason.SHED, Reason.SHED.status, retry_after_ms=1000
)
REQUEST_TIMEOUT = RequestRefusal(Reason.MALFORMED, STATUS_TIMEOUT)


class BodyBudget:
    """Counts the buffered body bytes of all callers.

    Args:
        limit_bytes: Maximum number of bytes buffered at once.
    """

    def __init__(self, limit_bytes: int = MAX_ALL_BODIES_BYTES) -> None:
        """Initialize the budget with no bytes reserved."""
        self.held_bytes = 0
        self._limit_bytes = limit_bytes

    def reserve(self, size_bytes: int) -> bool:
        """Reserve bytes; return False if that would exceed the limit."""
        if self.held_bytes + size_bytes > self._limit_bytes:
            return False
        self.held_bytes += size_bytes
        return True

    def release(self, size_bytes: int) -> None:
        """Release reserved bytes."""
        self.held_bytes -= size_bytes


class _RefusedError(Exception):
    """Stops httptools' parser from within a callback."""


class RequestParser:
    """Splits the byte stream of one connection into requests.

    The body of each request that it returns counts against the budget until
    the receiver releases it; `drop` releases that of an incomplete request.
    """

    def __init__(self, body_budget: BodyBudget) -> None:
        """Initialize the parser before the first request."""
        self.expects_continue = False
        self.is_mid_request = False
        self._body_budget = body_budget
        self._parser = httptools.HttpRequestParser(self)
        self._parsed: list[ParseResult] = []
        self._refusal = _MALFORMED
        self._is_in_head = True
        self._overhead = OverheadMeter()
        self._body_bytes = 0
        self._reset_request()

    def feed(self, received: bytes) -> list[ParseResult]:
        """Return the requests completed by the bytes; a refusal comes last."""
        self.is_mid_request = True
        self._overhead.add_received(len(received))
        try:
            self._parser.feed_data(received)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._parsed.append(self._refusal)
        else:
            self._check_overhead()
        parsed = self._parsed
        self._parsed = []
        return parsed

    def drop(self) -> None:
        """Discard an incomplete request and release its body bytes."""
        self._body_budget.release(self._body_bytes)
        self._reset_request()

    def on_message_begin(self) -> None:
        """Record that a request has started."""
        self.is_mid_request = True
        self._is_in_head = True

    def on_url(self, url: bytes) -> None:
        """Append a part of the URL."""
        self._url += url
        self._count_head(len(url))

    def on_header(self, name: bytes, content: bytes) -> None:
        """Append a header."""
        self._count_head(len(name) + len(content))
        if len(self._headers) >= MAX_HEADERS:
            self._refuse(_HEAD_TOO_LARGE)
        try:
            header = (name.decode('ascii').lower(), content.decode('ascii'))
        except UnicodeDecodeError:
            self._refuse(_MALFORMED)
        self._headers.append(header)

    def on_headers_complete(self) -> None:
        """Check the head before any of the body is read."""
        self._is_in_head = False
        if self._parser.get_http_version() not in _HTTP_VERSIONS:
            self._refuse(_MALFORMED)
        if self._parser.should_upgrade():
            self._refuse(_MALFORMED)
        for name, content in self._headers:
            if name == 'content-length' and int(content) > MAX_BODY_BYTES:
                self._refuse(_TOO_LARGE)
            elif name == 'expect':
                self.expects_continue = True

    def on_body(self, body: bytes) -> None:
        """Append a part of the body, within the limits."""
        size_bytes = self._body_bytes + len(body)
        if size_bytes > MAX_BODY_BYTES:
            self._refuse(_TOO_LARGE)
        if not self._body_budget.reserve(len(body)):
            self._refuse(_BUDGET_EXHAUSTED)
        self._body_bytes = size_bytes
        self._overhead.add_body(len(body))
        self._body += body

    def on_message_complete(self) -> None:
        """Validate the complete request and prepare for the next one."""
        parsed = self._request()
        if isinstance(parsed, Err):
            self._refuse(parsed.err_value)
            return
        self._parsed.append(parsed.ok_value)
        self._reset_request()
        self.is_mid_request = False
        self.expects_continue = False
        self._is_in_head = True
        self._overhead.reset()

    def _reset_request(self) -> None:
        self._url = b''
        self._headers: list[Header] = []
        self._head_bytes = 0
        self._body = bytearray()
        self._body_bytes = 0

    def _refuse(self, refusal: RequestRefusal) -> None:
        self._refusal = refusal
        raise _RefusedError

    def _count_head(self, size_bytes: int) -> None:
        self._head_bytes += size_bytes
        if self._head_bytes > MAX_HEAD_BYTES:
            self._refuse(_HEAD_TOO_LARGE)

    def _check_overhead(self) -> None:
        # The parser calls no callback for a header name, URL or trailer that
        # never ends, and holds it.
        max_bytes = MAX_HEAD_BYTES * 2
        is_long_head = (
            self._is_in_head and self._overhead.received_bytes > max_bytes
        )
        if is_long_head or self._overhead.is_exceeded(max_bytes):
            self._parsed.append(_HEAD_TOO_LARGE)

    def _request(self) -> Result[CallerHttpRequest, RequestRefusal]:
        values = _single_values(self._headers)
        if values is None:
            return Err(_MALFORMED)
        key = _bearer_key(values.get('authorization', ''))
        service_and_path = _service_and_path(self._url, key)
        if service_and_path is None:
            return Err(_MALFORMED)
        version = self._parser.get_http_version()
        if version == '1.1' and 'host' not in values:
            return Err(_MALFORMED)
        deadline = values.get('rattanstile-deadline-ms', '0')
        if not _is_valid_deadline(deadline):
            return Err(_MALFORMED)
        service, path = service_and_path
        return Ok(
            CallerHttpRequest(
                key=key,
                service=ServiceName(service),
                method=self._parser.get_method().decode('ascii'),
                path=path,
                headers=headers_for_target(self._headers, key),
                body=bytes(self._body),
                idempotency_key=values.get('idempotency-key', ''),
                deadline_ms=int(deadline),
                parent=values.get('rattanstile-call', ''),
                keeps_alive=self._parser.should_keep_alive(),
            ),
        )


def _single_values(headers: list[Header]) -> dict[str, str] | None:
    values: dict[str, str] = {}
    for name, content in headers:
        if name in _SINGLE_VALUE_HEADERS:
            if name in values:
                return None
            values[name] = content
    return values


def _bearer_key(authorization: str) -> str:
    if authorization[: len(_BEARER_PREFIX)].lower() != _BEARER_PREFIX:
        return ''
    return authorization[len(_BEARER_PREFIX) :].strip()


def _is_valid_deadline(text: str) -> bool:
    return (
        text.isascii()
        and text.isdecimal()
        and len(text) <= _MAX_DEADLINE_DIGITS
    )


def _service_and_path(url: bytes, key: str) -> tuple[str, str] | None:
    """Return the service and the path after it, or None if it is unsafe."""
    text = normalize_path(url.decode('latin-1'))
    if text is None or (key and key in text):
        return None
    path, separator, query = text.partition('?')
    service, _, rest = path[1:].partition('/')
    return service, f'/{rest}{separator}{query}'
