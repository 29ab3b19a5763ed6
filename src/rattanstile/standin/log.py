"""Stand-in for the platform's log: named streams over HTTP.

``POST /streams/NAME/records`` appends the body and returns the offset;
``GET /streams/NAME/records?from=OFFSET&wait_ms=MS`` reads records and waits
for the next one if there are none; ``GET`` and ``POST /admin/switches`` show
and set the simulated faults.
"""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from http import HTTPStatus

import msgspec
from logbook import Logger
from twisted.internet.interfaces import IListeningPort, IReactorTime
from twisted.web.resource import NoResource, Resource
from twisted.web.server import NOT_DONE_YET, Request, Site

from rattanstile.standin.log_store import (
    AppendAnswer,
    LogPage,
    Retention,
    Stream,
)

MAX_READ_RECORDS = 1_000
MAX_WAIT_MS = 30_000
MAX_QUERY_DIGITS = 18

_log = Logger('standin.log')
_json = msgspec.json.Encoder()


class Switches(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Faults that the stand-in simulates.

    Attributes:
        down: Respond to all requests with status 503.
        silent: Ignore requests and never respond.
        delay_s: Delay of each response.
        lose_answers: Append, then close the connection without a response.
        appends_per_s: Rate of appends above which the response is status
            429; 0 for no limit.
        replica_lag_records: Number of newest records that reads don't see.
    """

    down: bool = False
    silent: bool = False
    delay_s: float = 0.0
    lose_answers: bool = False
    appends_per_s: float = 0.0
    replica_lag_records: int = 0


class LogStandin:
    """Streams and simulated faults of the stand-in.

    Args:
        clock: Reactor, or a clock in tests.
    """

    def __init__(
        self,
        clock: IReactorTime,
        retention: Retention | None = None,
        switches: Switches | None = None,
    ) -> None:
        """Initialize without streams."""
        self.clock = clock
        self.switches = switches or Switches()
        self._retention = retention or Retention()
        self._streams: dict[str, Stream] = {}
        self._append_listeners: dict[int, Callable[[], None]] = {}
        self._last_listener_id = 0
        self._tokens = 0.0
        self._refilled_s = clock.seconds()

    def stream(self, name: str) -> Stream:
        """Return a stream; create it on first use."""
        if name not in self._streams:
            self._streams[name] = Stream(self._retention)
        stream = self._streams[name]
        stream.drop_old(self.clock.seconds())
        return stream

    def append(self, name: str, record: bytes) -> int:
        """Append a record, notify the waiting reads and return the offset."""
        offset = self.stream(name).append(self.clock.seconds(), record)
        for listener in list(self._append_listeners.values()):
            listener()
        return offset

    def read(self, name: str, from_offset: int) -> LogPage:
        """Return records as a replica with the simulated lag sees them."""
        return self.stream(name).read(
            from_offset, MAX_READ_RECORDS, self.switches.replica_lag_records
        )

    @property
    def waiting_reads(self) -> int:
        """Return the number of reads that wait for a record."""
        return len(self._append_listeners)

    def add_append_listener(self, listener: Callable[[], None]) -> int:
        """Call the listener at each append; return its ID for the removal."""
        self._last_listener_id += 1
        self._append_listeners[self._last_listener_id] = listener
        return self._last_listener_id

    def remove_append_listener(self, listener_id: int) -> None:
        """Remove a listener; do nothing if there is none with this ID."""
        self._append_listeners.pop(listener_id, None)

    def admit_append(self) -> bool:
        """Return whether the rate limit admits an append, and count it."""
        rate_per_s = self.switches.appends_per_s
        if not rate_per_s:
            return True
        now_s = self.clock.seconds()
        new_tokens = (now_s - self._refilled_s) * rate_per_s
        self._tokens = min(max(rate_per_s, 1.0), self._tokens + new_tokens)
        self._refilled_s = now_s
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class _Root(Resource):
    def __init__(self, log: LogStandin) -> None:
        super().__init__()
        self.putChild(b'streams', _Streams(log))
        admin = Resource()
        admin.putChild(b'switches', _SwitchesResource(log))
        self.putChild(b'admin', admin)


class _Streams(Resource):
    def __init__(self, log: LogStandin) -> None:
        super().__init__()
        self._log_standin = log

    def getChild(self, path: bytes, request: Request) -> Resource:
        """Return the resource for the records of a stream."""
        if request.postpath != [b'records']:
            return NoResource()
        return _Records(self._log_standin, path.decode('ascii', 'replace'))


class _Records(Resource):
    def __init__(self, log: LogStandin, name: str) -> None:
        super().__init__()
        self._log_standin = log
        self._name = name

    def getChild(self, path: bytes, request: Request) -> Resource:
        """Return this resource for the last segment of the path."""
        return self

    def render_POST(self, request: Request) -> int:
        """Append the body as a record."""
        switches = self._log_standin.switches
        if switches.silent:
            return NOT_DONE_YET
        record = request.content.read()  # type: ignore[union-attr]
        if switches.down:
            self._answer(request, HTTPStatus.SERVICE_UNAVAILABLE)
        elif not self._log_standin.admit_append():
            self._answer(request, HTTPStatus.TOO_MANY_REQUESTS)
        else:
            self._append(request, record)
        return NOT_DONE_YET

    def render_GET(self, request: Request) -> int:
        """Return records; wait for the next one if there are none."""
        switches = self._log_standin.switches
        if switches.silent:
            return NOT_DONE_YET
        if switches.down:
            self._answer(request, HTTPStatus.SERVICE_UNAVAILABLE)
            return NOT_DONE_YET
        from_offset = _query_number(request, b'from')
        wait_ms = _query_number(request, b'wait_ms')
        if from_offset is None or wait_ms is None:
            self._answer(request, HTTPStatus.BAD_REQUEST)
            return NOT_DONE_YET
        _Read(self._log_standin, self._name, from_offset, request).start(
            min(wait_ms, MAX_WAIT_MS)
        )
        return NOT_DONE_YET

    def _append(self, request: Request, record: bytes) -> None:
        offset = self._log_standin.append(self._name, record)
        _log.debug('event=appended stream={} offset={}', self._name, offset)
        if self._log_standin.switches.lose_answers:
            request.loseConnection()
            return
        self._answer(
            request,
            HTTPStatus.CREATED,
            _json.encode(AppendAnswer(offset=offset)),
        )

    def _answer(
        self, request: Request, status: HTTPStatus, body: bytes = b''
    ) -> None:
        _answer_later(self._log_standin, request, status, body)


class _Read:
    def __init__(
        self, log: LogStandin, name: str, from_offset: int, request: Request
    ) -> None:
        self._log_standin = log
        self._name = name
        self._from_offset = from_offset
        self._request = request
        self._is_finished = False
        self._listener_id = 0

    def start(self, wait_ms: int) -> None:
        """Respond at once, at the next record, or after the wait."""
        page = self._log_standin.read(self._name, self._from_offset)
        is_past_retention = self._from_offset < page.oldest_offset
        if is_past_retention or page.records or not wait_ms:
            self._finish()
            return
        self._listener_id = self._log_standin.add_append_listener(
            self._finish_if_readable
        )
        self._log_standin.clock.callLater(wait_ms / 1000, self._finish)

    def _finish_if_readable(self) -> None:
        if self._log_standin.read(self._name, self._from_offset).records:
            self._finish()

    def _finish(self) -> None:
        if self._is_finished:
            return
        self._is_finished = True
        self._log_standin.remove_append_listener(self._listener_id)
        page = self._log_standin.read(self._name, self._from_offset)
        is_past_retention = self._from_offset < page.oldest_offset
        status = HTTPStatus.GONE if is_past_retention else HTTPStatus.OK
        _answer_later(
            self._log_standin, self._request, status, _json.encode(page)
        )


class _SwitchesResource(Resource):
    isLeaf = True

    def __init__(self, log: LogStandin) -> None:
        super().__init__()
        self._log_standin = log

    def render_GET(self, request: Request) -> bytes:
        """Return the switches."""
        return _json.encode(self._log_standin.switches)

    def render_POST(self, request: Request) -> bytes:
        """Set the switches named in the body; keep the others."""
        body = request.content.read()  # type: ignore[union-attr]
        merged = msgspec.to_builtins(self._log_standin.switches)
        try:
            merged.update(msgspec.json.decode(body, type=dict))
            self._log_standin.switches = msgspec.convert(merged, Switches)
        except (msgspec.DecodeError, msgspec.ValidationError) as failure:
            request.setResponseCode(HTTPStatus.BAD_REQUEST)
            return str(failure).encode()
        _log.info('event=switches_set switches={}', self._log_standin.switches)
        return _json.encode(self._log_standin.switches)


def _query_number(request: Request, name: bytes) -> int | None:
    """Return a number of the query; 0 if it has none, None if it is invalid."""
    text = (request.args or {}).get(name, [b'0'])[0]
    if not text.isdigit() or len(text) > MAX_QUERY_DIGITS:
        return None
    return int(text)


def _answer_later(
    log: LogStandin, request: Request, status: HTTPStatus, body: bytes
) -> None:
    log.clock.callLater(
        log.switches.delay_s, _answer_now, request, status, body
    )


def _answer_now(request: Request, status: HTTPStatus, body: bytes) -> None:
    if request.channel is None:
        return
    request.setResponseCode(status)
    request.setHeader(b'content-length', str(len(body)).encode())
    request.write(body)
    request.finish()


def site(log: LogStandin) -> Site:
    """Return the HTTP site of a log stand-in."""
    return Site(_Root(log))


@contextmanager
def running_log(
    reactor: object, host: str, port: int, log: LogStandin
) -> Iterator[int]:
    """Serve the log while the block runs; yield the port."""
    listener: IListeningPort = reactor.listenTCP(  # type: ignore[attr-defined]
        port, site(log), interface=host
    )
    try:
        yield listener.getHost().port  # type: ignore[attr-defined]
    finally:
        listener.stopListening()
