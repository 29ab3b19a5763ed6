"""A stand-in for a target: a service's worker as nodes meet it.

It has slots, a service time, a cold start, children that it calls through
its node, and switches for the ways in which targets misbehave. It counts
runs by the trial id that a caller sends, so that a second run shows.
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
from rattanstile.standin.child_calls import ChildCall, ChildCalls, ChildResult

ADMIN_PREFIX = b'/-/'
IDLE_TIMEOUT_S = 600
BACKLOG = 1024


@unique
class ColdBehaviour(Enum):
    """What a cold target does with calls beyond what it bears."""

    FALL_OVER = 'fall-over'
    SLOW = 'slow'


class TargetProfile(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """What the stand-in is like.

    Attributes:
        slots: Calls at once when warm; more wait in line.
        service_time_ms: Mean time of one call, children apart.
        spread: Share of the service time by which it varies both ways.
        cold_slots: Calls at once that a cold target bears.
        cold_start_s: Length of a cold start.
        answer_bytes: Length of each answer's body.
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
    """What can be changed while the stand-in runs.

    Attributes:
        node_address: The caller address of the node beside the target.
        slowdown: Factor on the service time.
        draining: New calls are refused unrun.
        failing: Share of calls that end with status 500.
        cutting: Share of answers that are cut short.
        health_says: What the health endpoint claims, whatever is true.
        load_says: What the load endpoint claims; negative for the truth.
        silent: Connections open when this is set say nothing any more.
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
        over_cold: Calls received beyond what a cold target bears.
        most_at_once: Highest number of calls held at once.
        runs: Runs by trial id.
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
    """State of the stand-in, apart from its sockets.

    Args:
        clock: Time source for service times.
    """

    def __init__(
        self, profile: TargetProfile, clock: IReactorTime, calls: ChildCalls
    ) -> None:
        """Start cold."""
        self.profile = profile
        self.switches = Switches()
        self.stats = TargetStats()
        self.runs: Counter[str] = Counter()
        self._clock = clock
        self._calls = calls
        self._random = random.Random(profile.seed)
        self._running = 0
        self._waiting: deque[Deferred[None]] = deque()
        self._boot_number = 0
        self._started_s = clock.seconds()
        self.silent_channels: set[object] = set()
        self.channels: set[object] = set()

    @property
    def boot_id(self) -> str:
        """Return the id of the present boot."""
        return f'{self.profile.name}-{self._boot_number}'

    @property
    def cold(self) -> bool:
        """Tell whether the cold start still lasts."""
        age_s = self._clock.seconds() - self._started_s
        return age_s < self.profile.cold_start_s

    def restart(self, but: object = None) -> None:
        """Begin a cold start without warning; running calls are lost.

        Args:
            but: The one connection that stays open.
        """
        self._boot_number += 1
        self._started_s = self._clock.seconds()
        for channel in self.channels - {but}:
            channel.abortConnection()  # type: ignore[attr-defined]

    def warm_up(self) -> None:
        """End the cold start at once."""
        self._started_s = self._clock.seconds() - self.profile.cold_start_s

    def apply(self, switches: Switches) -> None:
        """Take new switches."""
        if switches.silent and not self.switches.silent:
            self.silent_channels = set(self.channels)
        self.switches = switches

    def load(self) -> float:
        """Return the load as the load endpoint tells it."""
        if self.switches.load_says >= 0:
            return self.switches.load_says
        return (self._running + len(self._waiting)) / self.profile.slots

    def run(
        self, trial_id: str, token: str, deadline_ms: int
    ) -> 'Deferred[ChildResult]':
        """Run one call and fire with the worst result of its children."""
        self.stats.received += 1
        if self._over_cold():
            self._bear_too_much()
        if trial_id:
            self.runs[trial_id] += 1
        return Deferred.fromCoroutine(self._work(token, deadline_ms))

    async def _work(self, token: str, deadline_ms: int) -> ChildResult:
        await self._take_slot()
        try:  # a call cancelled while it waits in line holds no slot
            await self._serve()
            return await self._call_children(token, deadline_ms)
        finally:
            self._release()

    def _over_cold(self) -> bool:
        held = self._running + len(self._waiting)
        self.stats.most_at_once = max(self.stats.most_at_once, held + 1)
        return self.cold and held >= self.profile.cold_slots

    def _bear_too_much(self) -> None:
        self.stats.over_cold += 1
        if self.profile.cold_behaviour is ColdBehaviour.FALL_OVER:
            self.stats.fell_over += 1
            self.restart()

    def _take_slot(self) -> 'Deferred[None]':
        if self._running < self.profile.slots:
            self._running += 1
            return succeed(None)
        waiting: Deferred[None] = Deferred(self._leave_line)
        self._waiting.append(waiting)
        return waiting

    def _leave_line(self, waiting: 'Deferred[None]') -> None:
        self._waiting.remove(waiting)

    def _release(self) -> None:
        if self._waiting:
            self._waiting.popleft().callback(None)
        else:
            self._running -= 1

    def _serve(self) -> 'Deferred[None]':
        spread = self.profile.spread
        factor = self._random.uniform(1 - spread, 1 + spread)
        time_ms = self.profile.service_time_ms * self.switches.slowdown
        served: Deferred[None] = Deferred(lambda _: delayed.cancel())
        delayed = self._clock.callLater(
            time_ms * factor / 1000, served.callback, None
        )
        return served

    async def _call_children(self, token: str, deadline_ms: int) -> ChildResult:
        if not self.profile.children or not self.switches.node_address:
            return ChildResult(status=http.OK)
        calls = [
            Deferred.fromCoroutine(
                self._calls.call(
                    self.switches.node_address, child, token, deadline_ms
                )
            )
            for child in self.profile.children
        ]
        found = await gatherResults(calls, consumeErrors=True)
        return max(found, key=lambda one: one.status)

    def chance(self, share: float) -> bool:
        """Return True with the probability given."""
        return share > 0 and self._random.random() < share


class TargetRequest(http.Request):
    """One HTTP request to the stand-in."""

    target: StandinTarget
    _running: 'Deferred[ChildResult] | None' = None

    def process(self) -> None:
        """Answer the request, or leave it for good on a silent channel."""
        if self.channel.transport in self.target.silent_channels:
            return
        if self.path.startswith(ADMIN_PREFIX):
            self._administer()
            return
        if self.getHeader('authorization'):
            self.target.stats.key_seen += 1
        if self.target.switches.draining:
            self._refuse()
            return
        self._run()

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        """Cancel the work that nobody waits for."""
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
        running.addCallbacks(self._answer, self._stop)

    def _answer(self, found: ChildResult) -> None:
        self._running = None
        target = self.target
        if target.chance(target.switches.failing):
            found = ChildResult(status=http.INTERNAL_SERVER_ERROR)
        body = self._body()
        self.setResponseCode(found.status)
        self.setHeader(b'content-length', str(len(body)).encode())
        self.setHeader(b'rattanstile-boot', target.boot_id.encode())
        if target.chance(target.switches.cutting):
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

    def _stop(self, failure: Failure) -> None:
        self._running = None
        if failure.check(CancelledError):
            self.target.stats.cancelled += 1
            return
        self.setResponseCode(http.BAD_GATEWAY)
        self._end(b'')

    def _refuse(self) -> None:
        self.target.stats.refused += 1
        self.setResponseCode(http.SERVICE_UNAVAILABLE)
        self.setHeader(b'rattanstile-not-run', b'1')
        self._end(b'')

    def _administer(self) -> None:
        target = self.target
        match self.path:
            case b'/-/stats':
                target.stats.runs = dict(target.runs)
                self._end(msgspec.json.encode(target.stats))
            case b'/-/switch':
                content = self.content or BytesIO()
                changed = msgspec.json.decode(content.read())
                merged = msgspec.to_builtins(target.switches) | changed
                target.apply(msgspec.convert(merged, Switches))
                self._end(b'{}')
            case b'/-/restart':
                target.restart(but=self.channel.transport)
                self._end(b'{}')
            case b'/-/forget':
                target.stats = TargetStats()
                target.runs.clear()
                self._end(b'{}')
            case b'/-/warm':
                target.warm_up()
                self._end(b'{}')
            case b'/-/health':
                self._end(target.switches.health_says.encode())
            case b'/-/load':
                self._end(f'{target.load():.3f}'.encode())
            case _:
                self.setResponseCode(http.NOT_FOUND)
                self._end(b'')

    def _end(self, body: bytes) -> None:
        self.setHeader(b'content-length', str(len(body)).encode())
        self.write(body)
        self.finish()


class TargetChannel(http.HTTPChannel):
    """One connection to the stand-in, known to it while it is open."""

    target: StandinTarget

    def connectionMade(self) -> None:  # noqa: N802
        """Make the connection known."""
        self.target.channels.add(self.transport)
        super().connectionMade()

    def connectionLost(  # noqa: N802
        self, reason: Failure = connectionDone
    ) -> None:
        """Forget the connection."""
        self.target.channels.discard(self.transport)
        self.target.silent_channels.discard(self.transport)
        super().connectionLost(reason)


def target_factory(target: StandinTarget) -> http.HTTPFactory:
    """Return the factory of the stand-in's connections."""
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
    """Listen while the block runs; yields the stand-in and its port."""
    target = StandinTarget(profile, reactor, ChildCalls(reactor))
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
