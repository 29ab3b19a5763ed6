"""Shapes of clients that hold resources of a node, as data.

A client sends a head and a body of a given form and stops at a given place;
its connection stays open. Every shape is within the documented limits of heads
and bodies until it stops.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum, unique

MAX_PART_BYTES = 64 * 1024
"""Chunks are sent together in parts of about this size."""
_FRAME_LENGTH_BYTES = 4


@unique
class CrowdListener(Enum):
    """Listener of a node that the clients connect to."""

    CALLERS = 'callers'
    NODES = 'nodes'
    ANNOUNCEMENTS = 'announcements'


@unique
class CrowdStop(Enum):
    """Place after which a client sends nothing more."""

    IN_HEAD = 'in-head'
    IN_BODY = 'in-body'
    IN_TRAILER = 'in-trailer'
    COMPLETE = 'complete'


@dataclass(frozen=True, slots=True)
class CrowdShape:
    """What each client of a crowd sends.

    Attributes:
        connections: Number of clients, with one connection each.
        path: Path of the request; its query tells a stand-in how to answer.
        headers: Headers beside the required ones.
        header_bytes: Length of the value of each such header.
        body_bytes: Length of the body, or of the frame sent to a node.
        chunk_bytes: Length of a chunk; 0 for a body with a content length.
        extension_bytes: Length of the extension of each chunk.
        trailer_bytes: Length of the trailer.
        stop: Place after which nothing more is sent.
        pipelined: Requests that follow the first one at once.
        parts_per_s: Parts sent each second, a header or a chunk each; 0 to
            send as fast as the node reads.
        reads: Whether the client reads what it is sent.
    """

    name: str
    connections: int
    path: str = '/lookup/crowd'
    headers: int = 0
    header_bytes: int = 0
    body_bytes: int = 0
    chunk_bytes: int = 0
    extension_bytes: int = 0
    trailer_bytes: int = 0
    stop: CrowdStop = CrowdStop.IN_BODY
    pipelined: int = 0
    parts_per_s: float = 0.0
    reads: bool = True
    listener: CrowdListener = CrowdListener.CALLERS


CROWD_SHAPES = (
    CrowdShape('one-byte-chunks', 200, body_bytes=30_000, chunk_bytes=1),
    CrowdShape('small-chunks', 200, body_bytes=30_000, chunk_bytes=2),
    CrowdShape('large-chunks', 300, body_bytes=90_000, chunk_bytes=65_536),
    CrowdShape(
        'extensions',
        300,
        body_bytes=1_000,
        chunk_bytes=100,
        extension_bytes=700,
    ),
    CrowdShape(
        'trailers',
        300,
        body_bytes=1_000,
        chunk_bytes=100,
        trailer_bytes=12_000,
        stop=CrowdStop.IN_TRAILER,
    ),
    CrowdShape(
        'many-headers',
        300,
        headers=1_500,
        header_bytes=1,
        stop=CrowdStop.IN_HEAD,
    ),
    CrowdShape(
        'slow-heads',
        300,
        headers=30,
        header_bytes=10,
        stop=CrowdStop.IN_HEAD,
        parts_per_s=1.0,
    ),
    CrowdShape(
        'pipelined',
        100,
        path='/lookup/crowd?ms=300',
        body_bytes=80_000,
        stop=CrowdStop.COMPLETE,
        pipelined=6,
    ),
    CrowdShape(
        'unread-answers',
        300,
        path='/lookup/crowd?bytes=400000',
        stop=CrowdStop.COMPLETE,
        pipelined=7,
        reads=False,
    ),
    CrowdShape(
        'large-bodies',
        10,
        path='/claims/crowd?ms=300',
        body_bytes=8 * 1024 * 1024,
        stop=CrowdStop.COMPLETE,
    ),
    CrowdShape(
        'unknown-nodes',
        300,
        body_bytes=16_000,
        listener=CrowdListener.NODES,
    ),
    CrowdShape(
        'announcements',
        300,
        body_bytes=60_000,
        chunk_bytes=2,
        listener=CrowdListener.ANNOUNCEMENTS,
    ),
)
CROWD_SHAPES_BY_NAME = {shape.name: shape for shape in CROWD_SHAPES}


@dataclass(frozen=True, slots=True)
class CrowdIdentity:
    """What the clients state so that a node reads their requests.

    Attributes:
        host: Host that the routes of the configuration name.
        key: Key of an organisation; empty for none.
    """

    host: str
    key: str = ''


def crowd_parts(
    shape: CrowdShape, identity: CrowdIdentity, request_id: str
) -> Iterator[bytes]:
    """Yield what one client sends, in parts."""
    if shape.listener is CrowdListener.NODES:
        yield from _frame_parts(shape)
        return
    yield _first_lines(shape, identity, request_id)
    yield from _header_parts(shape)
    if shape.stop is CrowdStop.IN_HEAD:
        return
    yield b'\r\n'
    yield from _body_parts(shape)
    if shape.stop is CrowdStop.COMPLETE:
        for number in range(shape.pipelined):
            later_id = f'{request_id}-{number}'
            yield _first_lines(shape, identity, later_id)
            yield b''.join(_header_parts(shape))
            yield b'\r\n'
            yield from _body_parts(shape)


def _first_lines(
    shape: CrowdShape, identity: CrowdIdentity, request_id: str
) -> bytes:
    lines = [
        f'POST {shape.path} HTTP/1.1',
        f'Host: {identity.host}',
        f'Request-Id: {request_id}',
        'Request-Deadline-Ms: 5000',
    ]
    if identity.key:
        lines.append(f'Authorization: Token {identity.key}')
    if shape.chunk_bytes:
        lines.append('Transfer-Encoding: chunked')
    elif shape.stop is not CrowdStop.IN_HEAD:
        lines.append(f'Content-Length: {shape.body_bytes}')
    return '\r\n'.join((*lines, '')).encode()


def _header_parts(shape: CrowdShape) -> Iterator[bytes]:
    header = b'a: %s\r\n' % (b'b' * shape.header_bytes)
    if shape.parts_per_s:
        for _ in range(shape.headers):
            yield header
    else:
        yield header * shape.headers


def _body_parts(shape: CrowdShape) -> Iterator[bytes]:
    if shape.chunk_bytes:
        yield from _chunk_parts(shape)
        return
    sent_bytes = shape.body_bytes
    if shape.stop is CrowdStop.IN_BODY:
        sent_bytes -= 1
    while sent_bytes > 0:
        size_bytes = min(sent_bytes, MAX_PART_BYTES)
        sent_bytes -= size_bytes
        yield b'x' * size_bytes


def _chunk_parts(shape: CrowdShape) -> Iterator[bytes]:
    extension = b''
    if shape.extension_bytes:
        extension = b';e=%s' % (b'x' * shape.extension_bytes)
    chunk = b'%x%s\r\n%s\r\n' % (
        shape.chunk_bytes,
        extension,
        b'x' * shape.chunk_bytes,
    )
    chunks = shape.body_bytes // shape.chunk_bytes
    at_once = 1
    if not shape.parts_per_s:
        at_once = max(1, MAX_PART_BYTES // len(chunk))
    while chunks > 0:
        number = min(chunks, at_once)
        chunks -= number
        yield chunk * number
    if shape.stop is CrowdStop.IN_TRAILER:
        yield b'0\r\nt: %s' % (b'x' * shape.trailer_bytes)
    elif shape.stop is CrowdStop.COMPLETE:
        yield b'0\r\n\r\n'


def _frame_parts(shape: CrowdShape) -> Iterator[bytes]:
    length = shape.body_bytes.to_bytes(_FRAME_LENGTH_BYTES, 'big')
    yield length
    yield b'\x00' * (shape.body_bytes - 1)
