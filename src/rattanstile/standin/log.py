"""Stand-in for the platform's log: named streams over HTTP.

``POST /streams/NAME/records`` appends its body and answers the offset;
``GET /streams/NAME/records?from=OFFSET&wait_ms=MS`` reads, waiting for the
next record where none is there; ``GET`` and ``POST /admin/switches`` show and
set the faults that it plays.
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

READ_LIMIT_RECORDS = 1_000
MAX_WAIT_MS = 30_000

_log = Logger('standin.log')
_json = msgspec.json.Encoder()


class Switches(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Faults that the stand-in plays.

    Attributes:
        down: Answer 503 to everything.
        silent: Never answer, and do nothing.
        delay_s: Answer this much later.
        lose_answers: Append, then close the connection without an answer.
        appends_per_s: Answer 429 beyond this; 0 for no limit.
        replica_lag_records: Reads see this many records less.
    """

    down: bool = False
    silent: bool = False
    delay_s: float = 0.0
    lose_answers: bool = False
    appends_per_s: float = 0.0
    replica_lag_records: int = 0


class LogStandin:
    """The streams and the switches.

    Args:
        clock: The reactor, or a clock in tests.
    """

    def __init__(
        self,
        clock: IReactorTime,
        retention: Retention | None = None,
        switches: Switches | None = None,
    ) -> None:
        """Start without any stream."""
        self.clock = clock
        self.switches = switches or Switches()
        self._retention = retention or Retention()
        self._streams: dict[str, Stream] = {}
        self._waiting: dict[int, Callable[[], None]] = {}
        self._waiting_id = 0
        self._tokens = 0.0
        self._filled_s = clock.seconds()

    def stream(self, name: str) -> Stream:
        """Return a stream, made on its first use."""
        if name not in self._streams:
            self._streams[name] = Stream(self._retention)
        stream = self._streams[name]
        stream.drop_old(self.clock.seconds())
        return stream

    def append(self, name: str, record: bytes) -> int:
        """Append a record, wake the readers and return the offset."""
        offset = self.stream(name).append(self.clock.seconds(), record)
        for wake in list(self._waiting.values()):
            wake()
        return offset

    def read(self, name: str, from_offset: int) -> LogPage:
        """Return records as the replica that is asked sees them."""
        return self.stream(name).read(
            from_offset, READ_LIMIT_RECORDS, self.switches.replica_lag_records
        )

    @property
    def waiting(self) -> int:
        """Return how many reads wait for a record."""
        return len(self._waiting)

    def on_append(self, wake: Callable[[], None]) -> int:
        """Call at each append until `forget` is given the number returned."""
        self._waiting_id += 1
        self._waiting[self._waiting_id] = wake
        return self._waiting_id

    def forget(self, waiting_id: int) -> None:
        """Call no more; unknown numbers do nothing."""
        self._waiting.pop(waiting_id, None)

    def takes_append(self) -> bool:
        """Count an append against the rate limit; False beyond it."""
        rate_per_s = self.switches.appends_per_s
        if not rate_per_s:
            return True
        now_s = self.clock.seconds()
        earned = (now_s - self._filled_s) * rate_per_s
        self._tokens = min(max(rate_per_s, 1.0), self._tokens + earned)
        self._filled_s = now_s
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class _Root(Resource):
    def __init__(self, log: LogStandin) -> None:
        super().__init__()
        self.putChild(b'streams', _Streams(log))
        admin = Resource()
        admin.putChild(b'switches', _Admin(log))
        self.putChild(b'admin', admin)


class _Streams(Resource):
    def __init__(self, log: LogStandin) -> None:
        super().__init__()
        self._served = log

    def getChild(self, path: bytes, request: Request) -> Resource:
        """Return the resource of one stream's records."""
        if request.postpath != [b'records']:
            return NoResource()
        return _Records(self._served, path.decode('ascii', 'replace'))


class _Records(Resource):
    def __init__(self, log: LogStandin, name: str) -> None:
        super().__init__()
        self._served = log
        self._name = name

    def getChild(self, path: bytes, request: Request) -> Resource:
        """Return itself for the last part of the path."""
        return self

    def render_POST(self, request: Request) -> int:
        """Append the body as one record."""
        switches = self._served.switches
        if switches.silent:
            return NOT_DONE_YET
        record = request.content.read()  # type: ignore[union-attr]
        if switches.down:
            self._answer(request, HTTPStatus.SERVICE_UNAVAILABLE)
        elif not self._served.takes_append():
            self._answer(request, HTTPStatus.TOO_MANY_REQUESTS)
        else:
            self._append(request, record)
        return NOT_DONE_YET

    def render_GET(self, request: Request) -> int:
        """Read records, waiting for the next one where none is there."""
        switches = self._served.switches
        if switches.silent:
            return NOT_DONE_YET
        if switches.down:
            self._answer(request, HTTPStatus.SERVICE_UNAVAILABLE)
            return NOT_DONE_YET
        from_offset = _number(request, b'from')
        wait_ms = min(_number(request, b'wait_ms'), MAX_WAIT_MS)
        if from_offset is None or wait_ms is None:
            self._answer(request, HTTPStatus.BAD_REQUEST)
            return NOT_DONE_YET
        _Read(self._served, self._name, from_offset, request).start(wait_ms)
        return NOT_DONE_YET

    def _append(self, request: Request, record: bytes) -> None:
        offset = self._served.append(self._name, record)
        _log.debug('event=appended stream={} offset={}', self._name, offset)
        if self._served.switches.lose_answers:
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
        _answer_later(self._served, request, status, body)


class _Read:
    def __init__(
        self, log: LogStandin, name: str, from_offset: int, request: Request
    ) -> None:
        self._served = log
        self._name = name
        self._from_offset = from_offset
        self._request = request
        self._ended = False
        self._waiting_id = 0

    def start(self, wait_ms: int) -> None:
        """Answer at once, or at the next record, or after the wait."""
        page = self._served.read(self._name, self._from_offset)
        past = self._from_offset < page.oldest_offset
        if past or page.records or not wait_ms:
            self._finish()
            return
        self._waiting_id = self._served.on_append(self._woken)
        self._served.clock.callLater(wait_ms / 1000, self._finish)

    def _woken(self) -> None:
        if self._served.read(self._name, self._from_offset).records:
            self._finish()

    def _finish(self) -> None:
        if self._ended:
            return
        self._ended = True
        self._served.forget(self._waiting_id)
        page = self._served.read(self._name, self._from_offset)
        past = self._from_offset < page.oldest_offset
        status = HTTPStatus.GONE if past else HTTPStatus.OK
        _answer_later(self._served, self._request, status, _json.encode(page))


class _Admin(Resource):
    isLeaf = True

    def __init__(self, log: LogStandin) -> None:
        super().__init__()
        self._served = log

    def render_GET(self, request: Request) -> bytes:
        """Show the switches."""
        return _json.encode(self._served.switches)

    def render_POST(self, request: Request) -> bytes:
        """Set the switches named in the body and keep the others."""
        body = request.content.read()  # type: ignore[union-attr]
        merged = msgspec.to_builtins(self._served.switches)
        try:
            merged.update(msgspec.json.decode(body, type=dict))
            self._served.switches = msgspec.convert(merged, Switches)
        except (msgspec.DecodeError, msgspec.ValidationError) as failure:
            request.setResponseCode(HTTPStatus.BAD_REQUEST)
            return str(failure).encode()
        _log.info('event=switches_set switches={}', self._served.switches)
        return _json.encode(self._served.switches)


def _number(request: Request, name: bytes) -> int:
    given = (request.args or {}).get(name, [b'0'])[0]
    return int(given) if given.isdigit() else 0


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
    """Return the HTTP site of a log."""
    return Site(_Root(log))


@contextmanager
def listening(
    reactor: object, host: str, port: int, log: LogStandin
) -> Iterator[int]:
    """Serve the log while the block runs, and yield the port."""
    listener: IListeningPort = reactor.listenTCP(  # type: ignore[attr-defined]
        port, site(log), interface=host
    )
    try:
        yield listener.getHost().port  # type: ignore[attr-defined]
    finally:
        listener.stopListening()
