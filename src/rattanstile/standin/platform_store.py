"""Stand-in for the store: topics, offsets, newest by key, long polls.

It is written from the published protocol and keeps everything in memory.
`StoreStandIn.fault` selects the fault that it simulates.
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

_RECORD_LENGTH = Struct('>I')
_READ_HEADER = Struct('>QQ')
_MS_PER_S = 1000
SLOW_DELAY_S = 0.3


@unique
class StoreFault(Enum):
    """Fault that the store simulates."""

    NONE = 'none'
    DOWN = 'down'
    SILENT = 'silent'
    SLOW = 'slow'
    ANSWERS_LOST = 'answers-lost'


@dataclass(eq=False, slots=True)
class _Topic:
    """Records of one partition.

    Attributes:
        records: All records, also those past retention.
        first_offset: First offset that is within retention.
        waiting_reads: Callbacks that end the long polls of the topic.
    """

    records: list[bytes] = field(default_factory=list)
    first_offset: int = 0
    waiting_reads: list[Callable[[], None]] = field(default_factory=list)

    def append(self, records: list[bytes]) -> int:
        """Append records and return the offset of the first."""
        offset = len(self.records)
        self.records.extend(records)
        for finish_read in tuple(self.waiting_reads):
            finish_read()
        return offset


class StoreStandIn:
    """Responds to the calls of the store's clients.

    Attributes:
        fault: Simulated fault.
        calls: Number of calls received.

    Args:
        timers: Ends the waits of long polls and delays responses.
    """

    def __init__(self, timers: TimerService) -> None:
        """Initialize without records."""
        self.fault = StoreFault.NONE
        self.calls = 0
        self._timers = timers
        self._topics: dict[str, _Topic] = {}

    def put(self, topic: str, key: str, content: bytes) -> None:
        """Append a record as operators do."""
        encoded_key = key.encode()
        self._topic(topic).append(
            [bytes((len(encoded_key),)) + encoded_key + content]
        )

    def expire_records(self) -> None:
        """Expire all records; the newest of each key can still be read."""
        for topic in self._topics.values():
            topic.first_offset = len(topic.records)

    def request_received(
        self, connection: HttpServerConnection, request: ReceivedRequest
    ) -> None:
        """Respond to a call, subject to the fault."""
        self.calls += 1
        match self.fault:
            case StoreFault.DOWN:
                _respond(connection, 503, b'')
            case StoreFault.SILENT:
                return
            case StoreFault.SLOW:
                self._timers.after(
                    SLOW_DELAY_S, lambda _: self._answer(connection, request)
                )
            case _:
                self._answer(connection, request)

    def connection_lost(self, connection: HttpServerConnection) -> None:
        """Discard the long poll of a client that has disconnected."""
        connection.handler_context = None

    def _answer(
        self, connection: HttpServerConnection, request: ReceivedRequest
    ) -> None:
        if not isinstance(request, HttpRequest):
            _respond(connection, 400, b'')
            return
        url = urlsplit(request.path)
        query = dict(parse_qsl(url.query))
        match url.path:
            case '/v1/log-append':
                self._append(connection, query, request.body)
            case '/v1/log-newest':
                self._newest(connection, query)
            case '/v1/log-read':
                self._read(connection, query)
            case _:
                _respond(connection, 404, b'')

    def _append(
        self,
        connection: HttpServerConnection,
        query: dict[str, str],
        body: bytes,
    ) -> None:
        topic = self._topic(query['topic'])
        end = len(topic.records)
        if 'at' in query and int(query['at']) != end:
            _respond(connection, 412, msgspec.json.encode({'end': end}))
            return
        offset = topic.append(_split_records(body))
        if self.fault is StoreFault.ANSWERS_LOST:
            connection.abort()
            return
        end = len(topic.records)
        response_body = msgspec.json.encode({'offset': offset, 'end': end})
        _respond(connection, 200, response_body)

    def _newest(
        self, connection: HttpServerConnection, query: dict[str, str]
    ) -> None:
        topic = self._topic(query['topic'])
        newest: dict[str, tuple[int, bytes]] = {}
        for offset, record in enumerate(topic.records):
            key_end = 1 + record[0]
            key = record[1:key_end].decode()
            newest[key] = (offset, record[key_end:])
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
        self, connection: HttpServerConnection, query: dict[str, str]
    ) -> None:
        topic = self._topic(query['topic'])
        start = int(query['from'])
        if start < topic.first_offset:
            response_body = msgspec.json.encode({'first': topic.first_offset})
            _respond(connection, 410, response_body)
            return
        read = _LongPoll(connection, topic, start)
        connection.handler_context = read
        if start < len(topic.records):
            read.finish()
            return
        topic.waiting_reads.append(read.finish)
        wait_s = int(query.get('waitMs', '0')) / _MS_PER_S
        self._timers.after(wait_s, lambda _: read.finish())

    def _topic(self, name: str) -> _Topic:
        return self._topics.setdefault(name, _Topic())


class _LongPoll:
    """A read that waits for its first record, for a limited time."""

    def __init__(
        self, connection: HttpServerConnection, topic: _Topic, start: int
    ) -> None:
        self._connection = connection
        self._topic = topic
        self._start = start

    def finish(self) -> None:
        if self.finish in self._topic.waiting_reads:
            self._topic.waiting_reads.remove(self.finish)
        if self._connection.handler_context is not self:
            return
        records = self._topic.records
        parts = [_READ_HEADER.pack(len(records), self._topic.first_offset)]
        for record in records[self._start :]:
            parts.append(_RECORD_LENGTH.pack(len(record)))
            parts.append(record)
        _respond(self._connection, 200, b''.join(parts))


def _split_records(body: bytes) -> list[bytes]:
    """Return the records in the body of an append."""
    records: list[bytes] = []
    start = 0
    while start < len(body):
        size_bytes = _RECORD_LENGTH.unpack_from(body, start)[0]
        start += _RECORD_LENGTH.size
        records.append(body[start : start + size_bytes])
        start += size_bytes
    return records


def _respond(
    connection: HttpServerConnection, status: int, body: bytes
) -> None:
    closes = connection.closes_after_response
    connection.respond(
        encode_response(status, (), body, closes=closes), closes=closes
    )
