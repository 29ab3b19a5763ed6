"""One entry node under open load against nodes that fail or are gone."""

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from random import Random

from bench.once_log import Loop
from rattanstile.process.entry.chooser import Chooser
from rattanstile.process.entry.entry import EntryIdentity, EntryMachine
from rattanstile.process.membership.unreachable import UnreachableNodes
from rattanstile.process.messages import (
    CallRequested,
    PeerLost,
    ReplyArrived,
    RequestCompleted,
    SendCall,
    Ticked,
)
from rattanstile.process.rates.edge_bucket import EdgeBuckets
from rattanstile.request.envelope import Call, Member, Reply
from rattanstile.request.outcome import Outcome, Reason
from rattanstile.version.declaration import (
    Declaration,
    Route,
    Service,
    TargetLimits,
)
from rattanstile.version.in_force import VersionInForce

SERVICE = 'lookups'
ROUTE = Route()
CALLS_PER_S = 200
DURATION_S = 20
RUN_S = 0.01
CONNECT_TIMEOUT_S = 1.0
DEADLINE_MS = 5000
BUDGET = 3

FailingShare = Callable[[float], float]


@dataclass(slots=True)
class EdgeCounts:
    """What came of the calls.

    Attributes:
        sent: Attempts that entered the service, by time.
        to_gone: Attempts that waited for a node that is gone.
    """

    calls: int = 0
    whole: int = 0
    sent: int = 0
    to_gone: int = 0
    latencies_s: list[float] = field(default_factory=list)

    @property
    def amplification(self) -> float:
        """Return the attempts for each call."""
        return self.sent / self.calls

    @property
    def whole_share(self) -> float:
        """Return the share of calls that ended whole."""
        return self.whole / self.calls

    @property
    def p99_s(self) -> float:
        """Return the 99th percentile of all calls' latency in seconds."""
        ordered = sorted(self.latencies_s)
        return ordered[int(len(ordered) * 0.99)]


class Edge:
    """One entry node and the six nodes of a service.

    Args:
        failing_share: Share of runs that fail, by time.
        gone: Nodes that answer no connection.
    """

    def __init__(
        self,
        failing_share: FailingShare,
        gone: tuple[str, ...] = (),
        buckets: EdgeBuckets | None = None,
        unreachable: UnreachableNodes | None = None,
    ) -> None:
        """Make the entry node."""
        self.loop = Loop()
        self.rng = Random(1)
        self.counts = EdgeCounts()
        self._failing_share = failing_share
        self._gone = gone
        self._connecting: set[str] = set()
        self._began_s: dict[int, float] = {}
        version = _version()
        chooser = Chooser('fd', lambda: version)
        chooser.members_changed(_members(), 0)
        self.entry = EntryMachine(
            EntryIdentity('entry', 1),
            chooser,
            self.rng,
            edge_buckets=buckets,
            unreachable=unreachable,
        )
        self.entry.adopt(version)

    def run(self) -> EdgeCounts:
        """Offer the load and let everything happen."""
        for number in range(CALLS_PER_S * DURATION_S):
            at_s = number / CALLS_PER_S
            self.loop.after(at_s, partial(self._ask, number))
        self.loop.run(DURATION_S + DEADLINE_MS, bool)
        return self.counts

    def _ask(self, number: int) -> None:
        self.counts.calls += 1
        self._began_s[number] = self.loop.now_s
        self._step(
            CallRequested(
                request_id=number,
                call_id='',
                attempt=1,
                organisation='one',
                key_digest='',
                service=SERVICE,
                method='GET',
                path='/',
                headers=(),
                body=b'',
                route=ROUTE,
                remaining_ms=DEADLINE_MS,
                tries_left=BUDGET,
                hops=0,
            )
        )

    def _step(self, entry_input: object) -> None:
        for output in self.entry.step(self.loop.now_s, entry_input):
            match output:
                case SendCall(call=call, receiver=receiver):
                    self._send(call, receiver)
                case RequestCompleted(request_id=number, reply=reply):
                    took_s = self.loop.now_s - self._began_s.pop(number)
                    self.counts.latencies_s.append(took_s)
                    self.counts.whole += reply.outcome is Outcome.WHOLE
        wake_s = self.entry.next_wake_s()
        if wake_s is not None:
            delay_s = max(wake_s - self.loop.now_s, 0)
            self.loop.after(delay_s, self._tick)

    def _tick(self) -> None:
        wake_s = self.entry.next_wake_s()
        if wake_s is not None and wake_s <= self.loop.now_s:
            self._step(Ticked())

    def _send(self, call: Call, receiver: str) -> None:
        if receiver in self._gone:
            self.counts.to_gone += 1
            if receiver not in self._connecting:
                self._connecting.add(receiver)
                refused = partial(self._refused, receiver)
                self.loop.after(CONNECT_TIMEOUT_S, refused)
            return
        self.counts.sent += 1
        fails = self.rng.random() < self._failing_share(self.loop.now_s)
        reply = Reply(
            call_id=call.call_id,
            attempt=call.attempt,
            outcome=Outcome.FAILED if fails else Outcome.WHOLE,
            reason=Reason.TARGET_FAILED if fails else None,
            tries_unspent=call.tries_left,
        )
        arrived = ReplyArrived(reply, receiver)
        self.loop.after(RUN_S, partial(self._step, arrived))

    def _refused(self, receiver: str) -> None:
        self._connecting.discard(receiver)
        self._step(PeerLost(receiver, connected=False))


def _version() -> VersionInForce:
    service = Service(
        name=SERVICE, routes=(ROUTE,), limits=TargetLimits(slots=90)
    )
    return VersionInForce(1, Declaration(services=(service,)))


def _members() -> list[Member]:
    return [
        Member(
            node_id=f'n{number}',
            incarnation=1,
            service=SERVICE,
            failure_domain='fd',
            address='',
        )
        for number in range(6)
    ]
