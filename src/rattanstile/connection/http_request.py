"""Reads callers' HTTP/1.1 requests, within bounds, by httptools' parser."""

from dataclasses import dataclass

import httptools
from result import Err, Ok, Result

from rattanstile.connection.http_rules import (
    headers_for_target,
    normal_path,
)
from rattanstile.request.envelope import Header
from rattanstile.request.ids import ServiceName
from rattanstile.request.outcome import Reason

MAX_HEAD_BYTES = 16 * 1024
MAX_HEADERS = 100
MAX_BODY_BYTES = 1024 * 1024
MAX_ALL_BODIES_BYTES = 24 * 1024 * 1024

STATUS_TIMEOUT = 408
STATUS_HEAD_TOO_LARGE = 431

_ONCE_ONLY = frozenset(
    (
        'authorization',
        'host',
        'idempotency-key',
        'rattanstile-call',
        'rattanstile-deadline-ms',
    ),
)
_VERSIONS = frozenset(('1.0', '1.1'))
_BEARER = 'bearer '
_MAX_DEADLINE_DIGITS = 9


@dataclass(frozen=True, slots=True)
class CallerHttpRequest:
    """A caller's request, whole and well formed.

    Attributes:
        key: The key presented; empty when there is none.
        path: Path behind the service's name, with the query.
        headers: Without those that end here or carry the key.
        idempotency_key: The caller's own; empty when there is none.
        deadline_ms: Time that the caller allows; 0 when it states none.
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
class RequestRefused:
    """Bytes that are no acceptable request; the connection must close."""

    reason: Reason
    status: int
    retry_after_ms: int = 0


Parsed = CallerHttpRequest | RequestRefused

_MALFORMED = RequestRefused(Reason.MALFORMED, Reason.MALFORMED.status)
_TOO_LARGE = RequestRefused(Reason.TOO_LARGE, Reason.TOO_LARGE.status)
_HEAD_TOO_LARGE = RequestRefused(Reason.TOO_LARGE, STATUS_HEAD_TOO_LARGE)
_NO_ROOM = RequestRefused(Reason.SHED, Reason.SHED.status, retry_after_ms=1000)
TIMED_OUT = RequestRefused(Reason.MALFORMED, STATUS_TIMEOUT)


class BodyBudget:
    """Counts the bytes of all bodies held for callers.

    Args:
        limit_bytes: Most bytes held at once.
    """

    def __init__(self, limit_bytes: int = MAX_ALL_BODIES_BYTES) -> None:
        """Begin with nothing held."""
        self.held_bytes = 0
        self._limit_bytes = limit_bytes

    def take(self, size_bytes: int) -> bool:
        """Count bytes as held; False when that would exceed the limit."""
        if self.held_bytes + size_bytes > self._limit_bytes:
            return False
        self.held_bytes += size_bytes
        return True

    def give_back(self, size_bytes: int) -> None:
        """Count bytes as held no longer."""
        self.held_bytes -= size_bytes


class _RefusedError(Exception):
    """Stops httptools' parser from within a callback."""


class RequestParser:
    """Cuts the bytes of one connection into requests.

    The body of each request that it returns is counted in the budget until
    the receiver gives it back; `drop` gives back an unfinished one.
    """

    def __init__(self, bodies: BodyBudget) -> None:
        """Begin before the first request."""
        self.wants_continue = False
        self.is_mid_request = False
        self._bodies = bodies
        self._parser = httptools.HttpRequestParser(self)
        self._parsed: list[Parsed] = []
        self._refusal = _MALFORMED
        self._is_in_head = True
        self._fed_bytes = 0
        self._body_bytes = 0
        self._reset()

    def feed(self, received: bytes) -> list[Parsed]:
        """Return what the bytes complete; a refusal is always the last."""
        self.is_mid_request = True
        self._fed_bytes += len(received)
        try:
            self._parser.feed_data(received)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._parsed.append(self._refusal)
        else:
            self._check_head_size()
        parsed = self._parsed
        self._parsed = []
        return parsed

    def drop(self) -> None:
        """Give back what is held for an unfinished request."""
        self._bodies.give_back(self._body_bytes)
        self._reset()

    def on_message_begin(self) -> None:
        """Begin a request."""
        self.is_mid_request = True
        self._is_in_head = True

    def on_url(self, url: bytes) -> None:
        """Keep a part of the request target."""
        self._url += url
        self._count_head(len(url))

    def on_header(self, name: bytes, content: bytes) -> None:
        """Keep a header."""
        self._count_head(len(name) + len(content))
        if len(self._headers) >= MAX_HEADERS:
            self._refuse(_HEAD_TOO_LARGE)
        try:
            header = (name.decode('ascii').lower(), content.decode('ascii'))
        except UnicodeDecodeError:
            self._refuse(_MALFORMED)
        self._headers.append(header)

    def on_headers_complete(self) -> None:
        """Check the head before any of the body is taken."""
        self._is_in_head = False
        if self._parser.get_http_version() not in _VERSIONS:
            self._refuse(_MALFORMED)
        if self._parser.should_upgrade():
            self._refuse(_MALFORMED)
        for name, content in self._headers:
            if name == 'content-length' and int(content) > MAX_BODY_BYTES:
                self._refuse(_TOO_LARGE)
            elif name == 'expect':
                self.wants_continue = True

    def on_body(self, body: bytes) -> None:
        """Keep a part of the body."""
        size_bytes = self._body_bytes + len(body)
        if size_bytes > MAX_BODY_BYTES:
            self._refuse(_TOO_LARGE)
        if not self._bodies.take(len(body)):
            self._refuse(_NO_ROOM)
        self._body_bytes = size_bytes
        self._body.append(body)

    def on_message_complete(self) -> None:
        """End the request."""
        parsed = self._request()
        if isinstance(parsed, Err):
            self._refuse(parsed.err_value)
            return
        self._parsed.append(parsed.ok_value)
        self._reset()
        self.is_mid_request = False
        self.wants_continue = False
        self._is_in_head = True
        self._fed_bytes = 0

    def _reset(self) -> None:
        self._url = b''
        self._headers: list[Header] = []
        self._head_bytes = 0
        self._body: list[bytes] = []
        self._body_bytes = 0

    def _refuse(self, refusal: RequestRefused) -> None:
        self._refusal = refusal
        raise _RefusedError

    def _count_head(self, size_bytes: int) -> None:
        self._head_bytes += size_bytes
        if self._head_bytes > MAX_HEAD_BYTES:
            self._refuse(_HEAD_TOO_LARGE)

    def _check_head_size(self) -> None:
        # A name or a URL that never ends reaches no callback.
        if self._is_in_head and self._fed_bytes > MAX_HEAD_BYTES * 2:
            self._parsed.append(_HEAD_TOO_LARGE)

    def _request(self) -> Result[CallerHttpRequest, RequestRefused]:
        once = _once_only(self._headers)
        if once is None:
            return Err(_MALFORMED)
        key = _bearer_key(once.get('authorization', ''))
        place = _place(self._url, key)
        if place is None:
            return Err(_MALFORMED)
        version = self._parser.get_http_version()
        if version == '1.1' and 'host' not in once:
            return Err(_MALFORMED)
        deadline = once.get('rattanstile-deadline-ms', '0')
        if not _is_deadline(deadline):
            return Err(_MALFORMED)
        service, path = place
        return Ok(
            CallerHttpRequest(
                key=key,
                service=ServiceName(service),
                method=self._parser.get_method().decode('ascii'),
                path=path,
                headers=headers_for_target(self._headers, key),
                body=b''.join(self._body),
                idempotency_key=once.get('idempotency-key', ''),
                deadline_ms=int(deadline),
                parent=once.get('rattanstile-call', ''),
                keeps_alive=self._parser.should_keep_alive(),
            ),
        )


def _once_only(headers: list[Header]) -> dict[str, str] | None:
    once: dict[str, str] = {}
    for name, content in headers:
        if name in _ONCE_ONLY:
            if name in once:
                return None
            once[name] = content
    return once


def _bearer_key(authorization: str) -> str:
    if authorization[: len(_BEARER)].lower() != _BEARER:
        return ''
    return authorization[len(_BEARER) :].strip()


def _is_deadline(text: str) -> bool:
    return (
        text.isascii()
        and text.isdecimal()
        and len(text) <= _MAX_DEADLINE_DIGITS
    )


def _place(url: bytes, key: str) -> tuple[str, str] | None:
    """Return the service and the path behind it, or None when unsafe."""
    text = normal_path(url.decode('latin-1'))
    if text is None or (key and key in text):
        return None
    path, mark, query = text.partition('?')
    service, _, rest = path[1:].partition('/')
    return service, f'/{rest}{mark}{query}'
