"""Callers that retry hard, and what their requests came to."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from bench.overload_model import Fleet
from rattanstile.process.entry.entry_call import own_refusal
from rattanstile.process.messages import CallRequested
from rattanstile.request.envelope import Reply
from rattanstile.request.outcome import Outcome, Reason
from rattanstile.version.declaration import Route

RETRY_PAUSE_S = 0.05
CLIENT_S = 0.003
SPAN_S = 0.5
KEY = 'key-of-{}'


class Bucket:
    """Token bucket of one organisation, in front of the fleet."""

    def __init__(self, rate_per_s: float, burst_calls: float) -> None:
        """Begin full."""
        self._rate_per_s = rate_per_s
        self._burst_calls = burst_calls
        self._tokens = burst_calls
        self._at_s = 0.0

    def spend(self, now_s: float) -> bool:
        """Take a token if there is one."""
        earned = (now_s - self._at_s) * self._rate_per_s
        self._tokens = min(self._burst_calls, self._tokens + earned)
        self._at_s = now_s
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


@dataclass(frozen=True, slots=True)
class Stream:
    """Requests of one organisation for one route.

    Attributes:
        rate_per_s: Gives the rate at a time in seconds.
        most_attempts: Attempts that a caller makes for one request.
        timeout_s: Deadline of each attempt.
        tries: Retry budget that the fleet has for one attempt.
        bucket: Limits the rate in front of the fleet.
    """

    organisation: str
    service: str
    path: str
    rate_per_s: Callable[[float], float]
    most_attempts: int = 3
    timeout_s: float = 2.0
    tries: int = 3
    bucket: 'Bucket | None' = None


@dataclass(slots=True)
class Request:
    """One request of a caller, over all its attempts."""

    number: int
    stream: Stream
    begun_s: float
    attempts: int = 0
    attempted_s: float = 0.0
    ended_s: float = 0.0
    outcome: Outcome | None = None
    reasons: list[Reason | None] = field(default_factory=list)

    @property
    def is_whole(self) -> bool:
        """Tell whether the caller has its whole answer."""
        return self.outcome is Outcome.WHOLE


class Callers:
    """Open-loop callers at random nodes of a fleet."""

    def __init__(self, fleet: Fleet, seed: int = 7) -> None:
        """Begin without streams."""
        self.requests: list[Request] = []
        fleet.requests = self.requests
        self._fleet = fleet
        self._rng = Random(seed)
        self._nodes = list(fleet.nodes.values())

    def begin(self, stream: Stream, until_s: float) -> None:
        """Send the requests of a stream up to a time."""
        loop = self._fleet.loop

        def arrive() -> None:
            if loop.now_s >= until_s:
                return
            request = Request(len(self.requests), stream, loop.now_s)
            self.requests.append(request)
            self._attempt(request)
            following()

        def following() -> None:
            rate_per_s = stream.rate_per_s(loop.now_s)
            if rate_per_s > 0:
                loop.after(self._rng.expovariate(rate_per_s), arrive)
            else:
                loop.after(RETRY_PAUSE_S, following)

        following()

    def _attempt(self, request: Request) -> None:
        request.attempts += 1
        request.attempted_s = self._fleet.loop.now_s
        node = self._rng.choice(self._nodes)
        requested = self._requested(request)
        loop = self._fleet.loop

        def ended(reply: Reply) -> None:
            loop.after(CLIENT_S, lambda: self._ended(request, reply))

        bucket = request.stream.bucket
        if bucket and not bucket.spend(loop.now_s):
            ended(own_refusal(requested, Reason.OVER_RATE))
            return
        loop.after(CLIENT_S, lambda: node.request(requested, ended))

    def _ended(self, request: Request, reply: Reply) -> None:
        request.outcome = reply.outcome
        request.ended_s = self._fleet.loop.now_s
        request.reasons.append(reply.reason)
        if reply.outcome is Outcome.WHOLE:
            return
        is_safe = self._route(request.stream).idempotent
        is_safe = is_safe or reply.outcome is Outcome.NOT_RUN
        if is_safe and request.attempts < request.stream.most_attempts:
            self._fleet.loop.after(
                RETRY_PAUSE_S, lambda: self._attempt(request)
            )

    def _route(self, stream: Stream) -> Route:
        version = self._fleet.version
        route = version.route(stream.service, 'GET', stream.path)
        if route is None:
            raise LookupError(stream.service)
        return route

    def _requested(self, request: Request) -> CallRequested:
        stream = request.stream
        return CallRequested(
            request_id=next(self._fleet.request_ids),
            call_id='',
            attempt=1,
            organisation=stream.organisation,
            key_digest=KEY.format(stream.organisation),
            service=stream.service,
            method='GET',
            path=stream.path,
            headers=(),
            body=str(request.number).encode(),
            route=self._route(stream),
            remaining_ms=int(stream.timeout_s * 1000),
            tries_left=stream.tries,
            hops=0,
        )


def steady(rate_per_s: float) -> Callable[[float], float]:
    """Return a constant rate."""
    return lambda now_s: rate_per_s


def stepped(
    before_per_s: float, after_per_s: float, at_s: float
) -> Callable[[float], float]:
    """Return a rate that changes once."""
    return lambda now_s: before_per_s if now_s < at_s else after_per_s


def whole_per_s(
    requests: list[Request], from_s: float, until_s: float
) -> float:
    """Return the whole requests a second by the time of their end."""
    ended = [
        one
        for one in requests
        if one.is_whole and from_s <= one.ended_s < until_s
    ]
    return len(ended) / (until_s - from_s)


def whole_share(requests: list[Request]) -> float:
    """Return the share of the requests that ended whole."""
    if not requests:
        return 1.0
    return sum(one.is_whole for one in requests) / len(requests)


def begun(
    requests: list[Request], from_s: float, until_s: float
) -> list[Request]:
    """Return the requests that callers began in a span."""
    return [one for one in requests if from_s <= one.begun_s < until_s]


def recovered_s(
    requests: list[Request], from_s: float, until_s: float, share: float
) -> float:
    """Return the seconds after which the share of whole requests holds.

    Args:
        requests: All requests.
        from_s: When the fault ended.
        until_s: Begin of the last span looked at.
        share: Least share of whole requests, by the time they began.
    """
    recovered = 0.0
    at_s = from_s
    while at_s < until_s:
        if whole_share(begun(requests, at_s, at_s + SPAN_S)) < share:
            recovered = at_s + SPAN_S - from_s
        at_s += SPAN_S
    return recovered


def reasons(requests: list[Request]) -> Counter[str]:
    """Return how often each reason ended an attempt."""
    return Counter(
        reason.value if reason else 'none'
        for one in requests
        for reason in one.reasons
    )
