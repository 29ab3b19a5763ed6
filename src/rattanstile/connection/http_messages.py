"""HTTP/1.1 messages and their bytes, without any meaning of headers."""

from dataclasses import dataclass
from http import HTTPStatus

from rattanstile.request.exchange import RawHeader

ONE_CONNECTION_ONLY = frozenset(
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
"""Headers that end with their connection (RFC 9110, section 7.6.1), and the
length, which the sender of each hop states anew."""

FIRST_ERROR_STATUS = 400

_PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A whole request.

    Attributes:
        headers: With lower-case names.
    """

    method: str
    path: str
    headers: tuple[RawHeader, ...]
    body: bytes
    keeps_alive: bool = True

    def header(self, name: bytes) -> bytes | None:
        """Return the content of the first header of that name."""
        return find_header(self.headers, name)


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A whole response.

    Attributes:
        headers: With lower-case names.
        keeps_alive: Whether the connection carries another request.
    """

    status: int
    phrase: bytes
    headers: tuple[RawHeader, ...]
    body: bytes
    keeps_alive: bool = True

    def header(self, name: bytes) -> bytes | None:
        """Return the content of the first header of that name."""
        return find_header(self.headers, name)


def find_header(headers: tuple[RawHeader, ...], name: bytes) -> bytes | None:
    """Return the content of the first header of that name."""
    for header, content in headers:
        if header == name:
            return content
    return None


NO_NAMES: frozenset[bytes] = frozenset()


def forwardable_headers(
    headers: tuple[RawHeader, ...], ending: frozenset[bytes] = NO_NAMES
) -> tuple[RawHeader, ...]:
    """Return the headers that go on to the next hop.

    Args:
        headers: With lower-case names.
        ending: Further names that end here.
    """
    named = _connection_names(headers)
    return tuple(
        header
        for header in headers
        if header[0] not in ONE_CONNECTION_ONLY
        and header[0] not in ending
        and header[0] not in named
    )


def _connection_names(headers: tuple[RawHeader, ...]) -> frozenset[bytes]:
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
    """Return the bytes of a response with its length stated."""
    parts = [b'HTTP/1.1 %d %s\r\n' % (status, phrase or phrase_of(status))]
    for name, content in headers:
        parts.append(b'%s: %s\r\n' % (name, content))
    if closes:
        parts.append(b'connection: close\r\n')
    parts.append(b'content-length: %d\r\n\r\n' % len(body))
    if not is_head:
        parts.append(body)
    return b''.join(parts)


def encode_request(
    method: str,
    path: str,
    headers: tuple[RawHeader, ...],
    body: bytes = b'',
) -> bytes:
    """Return the bytes of a request; a length is stated only for a body."""
    parts = [f'{method} {path} HTTP/1.1\r\n'.encode('latin-1')]
    for name, content in headers:
        parts.append(b'%s: %s\r\n' % (name, content))
    if body or method in {'POST', 'PUT', 'PATCH'}:
        parts.append(b'content-length: %d\r\n' % len(body))
    parts.append(b'\r\n')
    parts.append(body)
    return b''.join(parts)


def phrase_of(status: int) -> bytes:
    """Return the usual phrase of a status."""
    return _PHRASES.get(status, b'Status')
