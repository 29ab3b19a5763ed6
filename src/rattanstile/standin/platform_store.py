"""Stand-in of the users' store: topics, offsets, newest by key, long reads.

Written from the published protocol; it keeps everything in memory. Its
troubles are switched on and off by `trouble`.
"""

import base64
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, unique
from struct import Struct
from urllib.parse import parse_qsl, urlsplit

import msgspec

from rattanstile.connection.http_messages import HttpRequest, encode_response
from rattanstile.connection.http_server import (
    HttpServerConnection,
    ReceivedRequest,
)
from rattanstile.process.timers import TimerService

_LENGTH = Struct('>I')
_ENDS = Struct('>QQ')
_MS_PER_S = 1000
SLOW_S = 0.3


@unique
class Trouble(Enum):
    """What is wrong with the store."""

    NONE = 'none'
    DOWN = 'down'
    SILENT = 'silent'
    SLOW = 'slow'
    ANSWERS_LOST = 'answers-lost'


@dataclass(eq=False, slots=True)
class _Topic:
    """Records of one partition; those before `first` are forgotten."""

    records: list[bytes] = field(default_factory=list)
    first: int = 0
    waiting: list[Callable[[], None]] = field(default_factory=list)

    def append(self, records: list[bytes]) -> int:
        """Add records and return the offset of the first."""
        offset = len(self.records)
        self.records.extend(records)
        for wake in tuple(self.waiting):
            wake()
        return offset


class StoreStandIn:
    """Answers the calls of the store.

    Args:
        timers: Wakes long reads.
    """

    def __init__(self, timers: TimerService) -> None:
        """Begin empty."""
        self.trouble = Trouble.NONE
        self.calls = 0
        self._timers = timers
        self._topics: dict[str, _Topic] = {}

    def put(self, topic: str, key: str, content: bytes) -> None:
        """Write a record as operators do."""
        name = key.encode()
        self._topic(topic).append([bytes((len(name),)) + name + content])

    def forget(self) -> None:
        """Drop the history; the newest records stay."""
        for topic in self._topics.values():
            topic.first = len(topic.records)

    def request_received(
        self, connection: HttpServerConnection, request: ReceivedRequest
    ) -> None:
        """Take a call."""
        self.calls += 1
        match self.trouble:
            case Trouble.DOWN:
                _respond(connection, 503, b'')
            case Trouble.SILENT:
                return
            case Trouble.SLOW:
                self._timers.after(
                    SLOW_S, lambda _: self._answer(connection, request)
                )
            case _:
                self._answer(connection, request)

    def connection_lost(self, connection: HttpServerConnection) -> None:
        """A long read whose reader is gone answers nobody."""
        connection.handler_context = None

    def _answer(
        self, connection: HttpServerConnection, request: ReceivedRequest
    ) -> None:
        if not isinstance(request, HttpRequest):
            _respond(connection, 400, b'')
            return
        parts = urlsplit(request.path)
        asked = dict(parse_qsl(parts.query))
        match parts.path:
            case '/v1/log-append':
                self._append(connection, asked, request.body)
            case '/v1/log-newest':
                self._newest(connection, asked)
            case '/v1/log-read':
                self._read(connection, asked)
            case _:
                _respond(connection, 404, b'')

    def _append(
        self,
        connection: HttpServerConnection,
        asked: dict[str, str],
        body: bytes,
    ) -> None:
        topic = self._topic(asked['topic'])
        end = len(topic.records)
        if 'at' in asked and int(asked['at']) != end:
            _respond(connection, 412, msgspec.json.encode({'end': end}))
            return
        offset = topic.append(_cut(body))
        if self.trouble is Trouble.ANSWERS_LOST:
            connection.abort()
            return
        end = len(topic.records)
        told = msgspec.json.encode({'offset': offset, 'end': end})
        _respond(connection, 200, told)

    def _newest(
        self, connection: HttpServerConnection, asked: dict[str, str]
    ) -> None:
        topic = self._topic(asked['topic'])
        newest: dict[str, tuple[int, bytes]] = {}
        for offset, record in enumerate(topic.records):
            name_end = 1 + record[0]
            key = record[1:name_end].decode()
            newest[key] = (offset, record[name_end:])
        items = [
            {
                'key': key,
                'value': base64.b64encode(content).decode(),
                'offset': offset,
            }
            for key, (offset, content) in newest.items()
            if content
        ]
        page = {'items': items, 'hasMore': False, 'end': len(topic.records)}
        _respond(connection, 200, msgspec.json.encode(page))

    def _read(
        self, connection: HttpServerConnection, asked: dict[str, str]
    ) -> None:
        topic = self._topic(asked['topic'])
        start = int(asked['from'])
        if start < topic.first:
            told = msgspec.json.encode({'first': topic.first})
            _respond(connection, 410, told)
            return
        read = _LongRead(connection, topic, start)
        connection.handler_context = read
        if start < len(topic.records):
            read.end()
            return
        topic.waiting.append(read.end)
        wait_s = int(asked.get('waitMs', '0')) / _MS_PER_S
        self._timers.after(wait_s, lambda _: read.end())

    def _topic(self, name: str) -> _Topic:
        return self._topics.setdefault(name, _Topic())


class _LongRead:
    """A read that waits for its first record."""

    def __init__(
        self, connection: HttpServerConnection, topic: _Topic, start: int
    ) -> None:
        self._connection = connection
        self._topic = topic
        self._start = start

    def end(self) -> None:
        if self.end in self._topic.waiting:
            self._topic.waiting.remove(self.end)
        if self._connection.handler_context is not self:
            return
        records = self._topic.records
        parts = [_ENDS.pack(len(records), self._topic.first)]
        for record in records[self._start :]:
            parts.append(_LENGTH.pack(len(record)))
            parts.append(record)
        _respond(self._connection, 200, b''.join(parts))


def _cut(body: bytes) -> list[bytes]:
    """Return the records of an append."""
    found: list[bytes] = []
    start = 0
    while start < len(body):
        size_bytes = _LENGTH.unpack_from(body, start)[0]
        start += _LENGTH.size
        found.append(body[start : start + size_bytes])
        start += size_bytes
    return found


def _respond(
    connection: HttpServerConnection, status: int, body: bytes
) -> None:
    closes = connection.closes_after_response
    connection.respond(
        encode_response(status, (), body, closes=closes), closes=closes
    )
