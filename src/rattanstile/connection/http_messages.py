"""HTTP/1.1 messages and their encoding; headers are not interpreted."""

from dataclasses import dataclass
from http import HTTPStatus

from rattanstile.request.exchange import RawHeader

HOP_BY_HOP_HEADERS = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'content-length',
    ),
)
"""Headers that apply to a single connection (RFC 9110, section 7.6.1), and the
content length, which the sender of each hop sets itself."""

FIRST_ERROR_STATUS = 400

_PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A complete request.

    Attributes:
        headers: Headers with lower-case names.
    """

    method: str
    path: str
    headers: tuple[RawHeader, ...]
    body: bytes
    keeps_alive: bool = True

    def header(self, name: bytes) -> bytes | None:
        """Return the value of the first header with that name."""
        return find_header(self.headers, name)


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A complete response.

    Attributes:
        phrase: Reason phrase of the status line.
        headers: Headers with lower-case names.
        keeps_alive: Whether the connection can carry another request.
    """

    status: int
    phrase: bytes
    headers: tuple[RawHeader, ...]
    body: bytes
    keeps_alive: bool = True

    def header(self, name: bytes) -> bytes | None:
        """Return the value of the first header with that name."""
        return find_header(self.headers, name)


def find_header(headers: tuple[RawHeader, ...], name: bytes) -> bytes | None:
    """Return the value of the first header with that name."""
    for header, content in headers:
        if header == name:
            return content
    return None


NO_HEADER_NAMES: frozenset[bytes] = frozenset()


def forwardable_headers(
    headers: tuple[RawHeader, ...], excluded: frozenset[bytes] = NO_HEADER_NAMES
) -> tuple[RawHeader, ...]:
    """Return the headers to forward to the next hop.

    Args:
        headers: Headers with lower-case names.
        excluded: Further header names that are not forwarded.
    """
    options = _connection_options(headers)
    return tuple(
        header
        for header in headers
        if header[0] not in HOP_BY_HOP_HEADERS
        and header[0] not in excluded
        and header[0] not in options
    )


def _connection_options(headers: tuple[RawHeader, ...]) -> frozenset[bytes]:
    content = find_header(headers, b'connection')
    if content is None:
        return frozenset()
    return frozenset(name.strip().lower() for name in content.split(b','))


def encode_response(
    status: int,
    headers: tuple[RawHeader, ...],
    body: bytes,
    *,
    phrase: bytes = b'',
    closes: bool = False,
    is_head: bool = False,
) -> bytes:
    """Return an encoded response with its content length.

    Args:
        phrase: Reason phrase; empty for the standard one.
        closes: Whether to announce that the connection closes.
        is_head: Whether the request's method was HEAD; omits the body.
    """
    head = encode_response_head(
        status, headers, len(body), phrase=phrase, closes=closes
    )
    return head if is_head else head + body


def encode_response_head(
    status: int,
    headers: tuple[RawHeader, ...],
    length_bytes: int | None,
    *,
    phrase: bytes = b'',
    closes: bool = False,
) -> bytes:
    """Return the encoded head of a response.

    Args:
        length_bytes: Length of the body; None for one in chunks.
        phrase: Reason phrase; empty for the standard one.
        closes: Whether to announce that the connection closes.
    """
    parts = [b'HTTP/1.1 %d %s\r\n' % (status, phrase or reason_phrase(status))]
    for name, content in headers:
        parts.append(b'%s: %s\r\n' % (name, content))
    if closes:
        parts.append(b'connection: close\r\n')
    if length_bytes is None:
        parts.append(b'transfer-encoding: chunked\r\n\r\n')
    else:
        parts.append(b'content-length: %d\r\n\r\n' % length_bytes)
    return b''.join(parts)


def encode_chunk(part: bytes) -> bytes:
    """Return one chunk of a body; an empty one ends the body."""
    return b'%x\r\n%s\r\n' % (len(part), part)


def encode_request(
    method: str,
    path: str,
    headers: tuple[RawHeader, ...],
    body: bytes = b'',
) -> bytes:
    """Return an encoded request.

    The content length is sent only with a body, or for a method that usually
    has one.
    """
    parts = [f'{method} {path} HTTP/1.1\r\n'.encode('latin-1')]
    for name, content in headers:
        parts.append(b'%s: %s\r\n' % (name, content))
    if body or method in {'POST', 'PUT', 'PATCH'}:
        parts.append(b'content-length: %d\r\n' % len(body))
    parts.append(b'\r\n')
    parts.append(body)
    return b''.join(parts)


def reason_phrase(status: int) -> bytes:
    """Return the standard reason phrase of a status."""
    return _PHRASES.get(status, b'Status')
