"""Stand-in for the store: topics, offsets, newest by key, long polls.

It is written from the published protocol and keeps everything in memory.
`StoreStandIn.fault` selects the fault that it simulates. It can be restored
from an older copy of itself: what was appended since is lost, its offsets are
assigned again, and the era in all responses rises by one.
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
from rattanstile.platform.headers import STORE_ERA
from rattanstile.process.timers import TimerService

_RECORD_LENGTH = Struct('>I')
_READ_HEADER = Struct('>QQ')
_MS_PER_S = 1000
SLOW_DELAY_S = 0.3
_FOREIGN_TOPICS = ('keyed.op', 'keyed.servers')
"""Topics of operators and targets, who append again what was lost."""


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
        waiting_reads: Long polls of the topic.
    """

    records: list[bytes] = field(default_factory=list)
    first_offset: int = 0
    waiting_reads: list['_LongPoll'] = field(default_factory=list)

    def append(self, records: list[bytes]) -> int:
        """Append records and return the offset of the first."""
        offset = len(self.records)
        self.records.extend(records)
        for read in tuple(self.waiting_reads):
            read.finish()
        return offset

    def truncate(self, end: int) -> list[bytes]:
        """Remove and return the records from an offset on."""
        lost = self.records[end:]
        del self.records[end:]
        self.first_offset = min(self.first_offset, end)
        for read in tuple(self.waiting_reads):
            read.abort()
        return lost


class StoreStandIn:
    """Responds to the calls of the store's clients.

    Attributes:
        fault: Simulated fault.
        calls: Number of calls received.
        era: Rises by one each time that the store is restored.

    Args:
        timers: Ends the waits of long polls and delays responses.
    """

    def __init__(self, timers: TimerService) -> None:
        """Initialize without records."""
        self.fault = StoreFault.NONE
        self.calls = 0
        self.era = 1
        self._timers = timers
        self._topics: dict[str, _Topic] = {}
        self._copied_ends: dict[str, int] = {}
        self._lost: dict[str, list[bytes]] = {}

    def put(self, topic: str, key: str, content: bytes) -> None:
        """Append a record as operators do; they are served while it is silent.

        A read that waits then gets no answer any more.
        """
        encoded_key = key.encode()
        if self.fault is StoreFault.SILENT:
            self._topic(topic).waiting_reads.clear()
        self._topic(topic).append(
            [bytes((len(encoded_key),)) + encoded_key + content]
        )

    def expire_records(self) -> None:
        """Expire all records; the newest of each key can still be read."""
        for topic in self._topics.values():
            topic.first_offset = len(topic.records)

    def copy(self) -> None:
        """Make the copy that the store is restored from."""
        self._copied_ends = {
            name: len(topic.records) for name, topic in self._topics.items()
        }

    def restore(self) -> None:
        """Continue from the last copy, or without any record."""
        self.era += 1
        for name, topic in self._topics.items():
            lost = topic.truncate(self._copied_ends.get(name, 0))
            if name in _FOREIGN_TOPICS:
                self._lost.setdefault(name, []).extend(lost)

    def append_lost(self) -> None:
        """Append the newest lost record of each key, as their writers do."""
        for name, lost in self._lost.items():
            newest = {record[: 1 + record[0]]: record for record in lost}
            self._topic(name).append(list(newest.values()))
        self._lost.clear()

    def keys(self, topic: str) -> list[str]:
        """Return the keys of the records of a topic."""
        records = self._topics.get(topic, _Topic()).records
        return sorted(
            {record[1 : 1 + record[0]].decode() for record in records}
        )

    def contents(self, topic: str, key: str) -> list[str]:
        """Return the contents of all records of a key, oldest first."""
        encoded_key = key.encode()
        prefix = bytes((len(encoded_key),)) + encoded_key
        return [
            record[len(prefix) :].decode()
            for record in self._topics.get(topic, _Topic()).records
            if record.startswith(prefix)
        ]

    def request_received(
        self, connection: HttpServerConnection, request: ReceivedRequest
    ) -> None:
        """Respond to a call, subject to the fault."""
        self.calls += 1
        match self.fault:
            case StoreFault.DOWN:
                self._respond(connection, 503, b'')
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
            self._respond(connection, 400, b'')
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
                self._respond(connection, 404, b'')

    def _append(
        self,
        connection: HttpServerConnection,
        query: dict[str, str],
        body: bytes,
    ) -> None:
        topic = self._topic(query['topic'])
        end = len(topic.records)
        if 'at' in query and int(query['at']) != end:
            self._respond(connection, 412, msgspec.json.encode({'end': end}))
            return
        offset = topic.append(_split_records(body))
        if self.fault is StoreFault.ANSWERS_LOST:
            connection.abort()
            return
        end = len(topic.records)
        response_body = msgspec.json.encode({'offset': offset, 'end': end})
        self._respond(connection, 200, response_body)

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
        self._respond(connection, 200, msgspec.json.encode(page))

    def _read(
        self, connection: HttpServerConnection, query: dict[str, str]
    ) -> None:
        topic = self._topic(query['topic'])
        start = int(query['from'])
        if not topic.first_offset <= start <= len(topic.records):
            response_body = msgspec.json.encode({'first': topic.first_offset})
            self._respond(connection, 410, response_body)
            return
        read = _LongPoll(connection, topic, start, self._respond)
        connection.handler_context = read
        if start < len(topic.records):
            read.finish()
            return
        topic.waiting_reads.append(read)
        wait_s = int(query.get('waitMs', '0')) / _MS_PER_S
        self._timers.after(wait_s, lambda _: read.finish())

    def _topic(self, name: str) -> _Topic:
        return self._topics.setdefault(name, _Topic())

    def _respond(
        self, connection: HttpServerConnection, status: int, body: bytes
    ) -> None:
        closes = connection.closes_after_response
        headers = ((STORE_ERA, str(self.era).encode()),)
        connection.respond(
            encode_response(status, headers, body, closes=closes),
            closes=closes,
        )


class _LongPoll:
    """A read that waits for its first record, for a limited time."""

    def __init__(
        self,
        connection: HttpServerConnection,
        topic: _Topic,
        start: int,
        respond: Callable[[HttpServerConnection, int, bytes], None],
    ) -> None:
        self._connection = connection
        self._topic = topic
        self._start = start
        self._respond = respond

    def abort(self) -> None:
        self._topic.waiting_reads.remove(self)
        if self._connection.handler_context is self:
            self._connection.abort()

    def finish(self) -> None:
        if self in self._topic.waiting_reads:
            self._topic.waiting_reads.remove(self)
        if self._connection.handler_context is not self:
            return
        records = self._topic.records
        parts = [_READ_HEADER.pack(len(records), self._topic.first_offset)]
        for record in records[self._start :]:
            parts.append(_RECORD_LENGTH.pack(len(record)))
            parts.append(record)
        self._respond(self._connection, 200, b''.join(parts))


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
