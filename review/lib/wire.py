"""HTTP/1.1 over asyncio streams, as far as the stand-ins need it."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

MAX_HEAD_BYTES = 64 * 1024


@dataclass(frozen=True)
class Message:
    """A request or a response.

    Attributes:
        start: The three parts of the first line.
        headers: Last value of each header, by lower-case name.
    """

    start: tuple[str, str, str]
    headers: dict[str, str]
    body: bytes = b''

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.start[1])


class ClosedError(Exception):
    """The other end closed the connection before a whole message."""


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read one message with a length, in chunks, or without a body.

    Raises:
        ClosedError: The connection ends first.
    """
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, OSError) as error:
        raise ClosedError from error
    lines = head.decode('latin-1').split('\r\n')
    parts = (*lines[0].split(' ', 2), '', '')
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, content = line.partition(':')
            headers[name.strip().lower()] = content.strip()
    try:
        body = await _read_body(reader, headers)
    except (asyncio.IncompleteReadError, OSError) as error:
        raise ClosedError from error
    return Message((parts[0], parts[1], parts[2]), headers, body)


async def _read_body(
    reader: asyncio.StreamReader, headers: dict[str, str]
) -> bytes:
    if 'chunked' not in headers.get('transfer-encoding', ''):
        return await reader.readexactly(int(headers.get('content-length', 0)))
    body = b''
    while True:
        size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
        body += (await reader.readexactly(size + 2))[:-2]
        if not size:
            return body


def encode_request(
    method: str, path: str, headers: dict[str, str], body: bytes = b''
) -> bytes:
    """Return an encoded request."""
    return _encode(f'{method} {path} HTTP/1.1', headers, body)


def encode_response(
    status: int, headers: dict[str, str], body: bytes = b''
) -> bytes:
    """Return an encoded response."""
    return _encode(f'HTTP/1.1 {status} Status', headers, body)


def _encode(first_line: str, headers: dict[str, str], body: bytes) -> bytes:
    lines = [first_line]
    lines += [f'{name}: {content}' for name, content in headers.items()]
    lines += [f'Content-Length: {len(body)}', '', '']
    return '\r\n'.join(lines).encode('latin-1') + body


async def exchange(address: str, encoded: bytes, timeout_s: float) -> Message:
    """Send a request on a new connection and return the response.

    Raises:
        ClosedError: There is no whole response in time.
    """
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            host, _, port = address.rpartition(':')
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(encoded)
            return await read_message(reader)
    except (OSError, TimeoutError) as error:
        raise ClosedError from error
    finally:
        if writer is not None:
            writer.transport.abort()


Handler = Callable[[Message], Awaitable[bytes | None]]


class Server:
    """Handles the requests at one address, one at a time per connection.

    Args:
        handle: Returns the encoded response; None to answer nothing and leave
            the connection open.
    """

    def __init__(self, address: str, handle: Handler) -> None:
        self.address = address
        self._handle = handle
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        host, _, port = self.address.rpartition(':')
        self._server = await asyncio.start_server(
            self._serve, host, int(port), limit=MAX_HEAD_BYTES, backlog=512
        )

    def crash(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                response = await self._handle(request)
                if response is None:
                    continue
                writer.write(response)
                if b'Connection: close' in response.split(b'\r\n\r\n')[0]:
                    writer.close()
                    return
        except ClosedError:
            writer.transport.abort()
        finally:
            self._writers.discard(writer)
