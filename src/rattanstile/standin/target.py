"""Stand-in for a target, as its node sees one.

It has slots, a service time, a cold start, child calls through its node, and
switches that simulate faults of targets. It counts runs by the trial ID that
a caller sends, so that a second run of a request can be detected.
"""

import random
from collections import Counter, deque
from collections.abc import Iterator
from contextlib import contextmanager
from enum import Enum, unique
from io import BytesIO

import msgspec
from twisted.internet.defer import (
    CancelledError,
    Deferred,
    gatherResults,
    succeed,
)
from twisted.internet.interfaces import IReactorTime
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure
from twisted.web import http

from rattanstile.process.reactor import Reactor
from rattanstile.standin.child_calls import (
    ChildCall,
    ChildCallClient,
    ChildResult,
)

ADMIN_PREFIX = b'/-/'
IDLE_TIMEOUT_S = 600
BACKLOG = 1024


@unique
class ColdBehaviour(Enum):
    """Behaviour of a cold target that gets more calls than it can handle."""

    FALL_OVER = 'fall-over'
    SLOW = 'slow'


class TargetProfile(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Properties of the stand-in.

    Attributes:
        slots: Calls that run concurrently; further calls are queued.
        service_time_ms: Mean time of one call without its child calls.
        spread: Fraction of the service time by which it varies, up and down.
        cold_slots: Calls, running and queued, that a cold target can handle.
        cold_start_s: Duration of a cold start.
        cold_behaviour: Behaviour beyond `cold_slots`.
        answer_bytes: Minimum length of each response body.
        children: Child calls that are made for each call.
        seed: Seed of the random generator.
    """

    name: str
    slots: int = 100
    service_time_ms: float = 10.0
    spread: float = 0.2
    cold_slots: int = 10
    cold_start_s: float = 5.0
    cold_behaviour: ColdBehaviour = ColdBehaviour.FALL_OVER
    answer_bytes: int = 200
    children: tuple[ChildCall, ...] = ()
    seed: int = 1


class Switches(msgspec.Struct, kw_only=True):
    """Settings and faults that can be changed while the stand-in runs.

    Attributes:
        node_address: Address at which the node on its VM accepts calls.
        slowdown: Factor on the service time.
        draining: Whether new calls are refused without being run.
        failing: Fraction of calls that end with status 500.
        cutting: Fraction of responses that are truncated.
        health_says: Text that the health endpoint returns in any state.
        load_says: Load that the load endpoint returns; negative for the
            actual load.
        silent: Whether the connections that were open when this was set
            ignore requests.
    """

    node_address: str = ''
    slowdown: float = 1.0
    draining: bool = False
    failing: float = 0.0
    cutting: float = 0.0
    health_says: str = 'ok'
    load_says: float = -1.0
    silent: bool = False


class TargetStats(msgspec.Struct, kw_only=True):
    """Counters of the stand-in.

    Attributes:
        over_cold: Calls received beyond the `cold_slots` of a cold target.
        most_at_once: Highest number of calls running or queued at once.
        runs: Number of runs, by trial ID.
    """

    received: int = 0
    completed: int = 0
    cancelled: int = 0
    past_deadline: int = 0
    refused: int = 0
    fell_over: int = 0
    over_cold: int = 0
    most_at_once: int = 0
    key_seen: int = 0
    runs: dict[str, int] = {}


class StandinTarget:
    """State of the stand-in, without the HTTP protocol.

    Args:
        clock: Time source for service times.
    """

    def __init__(
        self,
        profile: TargetProfile,
        clock: IReactorTime,
        calls: ChildCallClient,
    ) -> None:
        """Initialize a cold target."""
        self.profile = profile
        self.switches = Switches()
        self.stats = TargetStats()
        self.runs: Counter[str] = Counter()
        self._clock = clock
        self._child_calls = calls
        self._random = random.Random(profile.seed)
        self._running = 0
        self._queue: deque[Deferred[None]] = deque()
        self._boot_number = 0
        self._started_s = clock.seconds()
        self.silent_channels: set[object] = set()
        self.channels: set[object] = set()

    @property
    def boot_id(self) -> str:
        """Return the ID of the current boot."""
        return f'{self.profile.name}-{self._boot_number}'

    @property
    def cold(self) -> bool:
        """Return whether the target is in its cold start."""
        age_s = self._clock.seconds() - self._started_s
        return age_s < self.profile.cold_start_s

    def restart(self, kept_channel: object = None) -> None:
        """Abort connections and their calls without notice and start cold.

        Args:
            kept_channel: Connection that stays open; None for none.
        """
        self._boot_number += 1
        self._started_s = self._clock.seconds()
        for channel in self.channels - {kept_channel}:
            channel.abortConnection()  # type: ignore[attr-defined]

    def warm_up(self) -> None:
        """End the cold start."""
        self._started_s = self._clock.seconds() - self.profile.cold_start_s

    def apply(self, switches: Switches) -> None:
        """Apply new switches."""
        if switches.silent and not self.switches.silent:
            self.silent_channels = set(self.channels)
        self.switches = switches

    def load(self) -> float:
        """Return the load that the load endpoint reports."""
        if self.switches.load_says >= 0:
            return self.switches.load_says
        return (self._running + len(self._queue)) / self.profile.slots

    def run(
        self, trial_id: str, token: str, deadline_ms: int
    ) -> 'Deferred[ChildResult]':
        """Run one call; fire with the highest status of its child calls."""
        self.stats.received += 1
        if self._exceeds_cold_capacity():
            self._handle_cold_overload()
        if trial_id:
            self.runs[trial_id] += 1
        return Deferred.fromCoroutine(self._run_call(token, deadline_ms))

    async def _run_call(self, token: str, deadline_ms: int) -> ChildResult:
        await self._acquire_slot()
        try:  # a call that is cancelled while it is queued holds no slot
            await self._wait_service_time()
            return await self._call_children(token, deadline_ms)
        finally:
            self._release_slot()

    def _exceeds_cold_capacity(self) -> bool:
        held = self._running + len(self._queue)
        self.stats.most_at_once = max(self.stats.most_at_once, held + 1)
        return self.cold and held >= self.profile.cold_slots

    def _handle_cold_overload(self) -> None:
        self.stats.over_cold += 1
        if self.profile.cold_behaviour is ColdBehaviour.FALL_OVER:
            self.stats.fell_over += 1
            self.restart()

    def _acquire_slot(self) -> 'Deferred[None]':
        if self._running < self.profile.slots:
            self._running += 1
            return succeed(None)
        queued: Deferred[None] = Deferred(self._leave_queue)
        self._queue.append(queued)
        return queued

    def _leave_queue(self, queued: 'Deferred[None]') -> None:
        self._queue.remove(queued)

    def _release_slot(self) -> None:
        if self._queue:
            self._queue.popleft().callback(None)
        else:
            self._running -= 1

    def _wait_service_time(self) -> 'Deferred[None]':
        spread = self.profile.spread
        factor = self._random.uniform(1 - spread, 1 + spread)
        time_ms = self.profile.service_time_ms * self.switches.slowdown
        completion: Deferred[None] = Deferred(lambda _: delayed_call.cancel())
        delayed_call = self._clock.callLater(
            time_ms * factor / 1000, completion.callback, None
        )
        return completion

    async def _call_children(self, token: str, deadline_ms: int) -> ChildResult:
        if not self.profile.children or not self.switches.node_address:
            return ChildResult(status=http.OK)
        calls = [
            Deferred.fromCoroutine(
                self._child_calls.call(
                    self.switches.node_address, child, token, deadline_ms
                )
            )
            for child in self.profile.children
        ]
        results = await gatherResults(calls, consumeErrors=True)
        return max(results, key=lambda result: result.status)

    def random_bool(self, probability: float) -> bool:
        """Return True with a probability."""
        return probability > 0 and self._random.random() < probability


class TargetRequest(http.Request):
    """One HTTP request to the stand-in."""

    target: StandinTarget
    _running: 'Deferred[ChildResult] | None' = None

    def process(self) -> None:
        """Respond to the request; ignore it on a silent channel."""
        if self.channel.transport in self.target.silent_channels:
            return
        if self.path.startswith(ADMIN_PREFIX):
            self._handle_admin_request()
            return
        if self.getHeader('authorization'):
            self.target.stats.key_seen += 1
        if self.target.switches.draining:
            self._refuse()
            return
        self._run()

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        """Cancel the run; the caller has disconnected."""
        if self._running is not None:
            self._running.cancel()
        super().connectionLost(reason)

    def _run(self) -> None:
        deadline_ms = int(self.getHeader('rattanstile-deadline-ms') or 0)
        running = self.target.run(
            self.getHeader('trial-id') or '',
            self.getHeader('rattanstile-call') or '',
            deadline_ms,
        )
        self._running = running
        running.addCallbacks(self._answer, self._run_failed)

    def _answer(self, result: ChildResult) -> None:
        self._running = None
        target = self.target
        if target.random_bool(target.switches.failing):
            result = ChildResult(status=http.INTERNAL_SERVER_ERROR)
        body = self._body()
        self.setResponseCode(result.status)
        self.setHeader(b'content-length', str(len(body)).encode())
        self.setHeader(b'rattanstile-boot', target.boot_id.encode())
        if target.random_bool(target.switches.cutting):
            self.write(body[: len(body) // 2])
            self.channel.transport.abortConnection()  # type: ignore[union-attr]
            return
        target.stats.completed += 1
        self.write(body)
        self.finish()

    def _body(self) -> bytes:
        trial_id = self.getHeader('trial-id') or ''
        return f'{trial_id} '.encode().ljust(
            self.target.profile.answer_bytes, b'a'
        )

    def _run_failed(self, failure: Failure) -> None:
        self._running = None
        if failure.check(CancelledError):
            self.target.stats.cancelled += 1
            return
        self.setResponseCode(http.BAD_GATEWAY)
        self._respond(b'')

    def _refuse(self) -> None:
        self.target.stats.refused += 1
        self.setResponseCode(http.SERVICE_UNAVAILABLE)
        self.setHeader(b'rattanstile-not-run', b'1')
        self._respond(b'')

    def _handle_admin_request(self) -> None:
        target = self.target
        match self.path:
            case b'/-/stats':
                target.stats.runs = dict(target.runs)
                self._respond(msgspec.json.encode(target.stats))
            case b'/-/switch':
                content = self.content or BytesIO()
                changed = msgspec.json.decode(content.read())
                merged = msgspec.to_builtins(target.switches) | changed
                target.apply(msgspec.convert(merged, Switches))
                self._respond(b'{}')
            case b'/-/restart':
                target.restart(kept_channel=self.channel.transport)
                self._respond(b'{}')
            case b'/-/forget':
                target.stats = TargetStats()
                target.runs.clear()
                self._respond(b'{}')
            case b'/-/warm':
                target.warm_up()
                self._respond(b'{}')
            case b'/-/health':
                self._respond(target.switches.health_says.encode())
            case b'/-/load':
                self._respond(f'{target.load():.3f}'.encode())
            case _:
                self.setResponseCode(http.NOT_FOUND)
                self._respond(b'')

    def _respond(self, body: bytes) -> None:
        self.setHeader(b'content-length', str(len(body)).encode())
        self.write(body)
        self.finish()


class TargetChannel(http.HTTPChannel):
    """One connection to the stand-in, registered with it while open."""

    target: StandinTarget

    def connectionMade(self) -> None:  # noqa: N802
        """Register the connection."""
        self.target.channels.add(self.transport)
        super().connectionMade()

    def connectionLost(  # noqa: N802
        self, reason: Failure = connectionDone
    ) -> None:
        """Unregister the connection."""
        self.target.channels.discard(self.transport)
        self.target.silent_channels.discard(self.transport)
        super().connectionLost(reason)


def target_factory(target: StandinTarget) -> http.HTTPFactory:
    """Return the factory of connections to the stand-in."""
    request_class = type('BoundRequest', (TargetRequest,), {'target': target})
    channel_class = type(
        'BoundChannel',
        (TargetChannel,),
        {'target': target, 'requestFactory': request_class},
    )
    factory = http.HTTPFactory(timeout=IDLE_TIMEOUT_S)
    factory.protocol = channel_class  # type: ignore[method-assign]
    return factory


@contextmanager
def running_target(
    reactor: Reactor, profile: TargetProfile, host: str, port: int
) -> Iterator[tuple[StandinTarget, int]]:
    """Serve a stand-in while the block runs; yield it and its port."""
    target = StandinTarget(profile, reactor, ChildCallClient(reactor))
    listening = reactor.listenTCP(
        port,
        target_factory(target),  # type: ignore[arg-type]
        interface=host,
        backlog=BACKLOG,
    )
    try:
        yield target, listening.getHost().port  # type: ignore[attr-defined]
    finally:
        listening.stopListening()
