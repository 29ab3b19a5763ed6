"""Open-loop load: calls start when they are due, whatever came before."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from rattanstile.process.timers import TimerService
from rattanstile.request.outcome import Outcome
from rattanstile.trial.deployments import (
    READ_PATH,
    WRITE_PATH,
    Deployment,
    ServicePlan,
    organisation_weights,
)
from rattanstile.trial.measures import Ended, Tally

MS_PER_S = 1000
STEP_S = 0.005
LATEST_S = 3.3


@dataclass(frozen=True, slots=True)
class DueCall:
    """One call of the load.

    Attributes:
        entry: Index of the entry node, before the caller's own choice.
    """

    organisation: str
    service: str
    trial_id: str
    is_write: bool
    due_s: float
    entry: int

    @property
    def path(self) -> str:
        """Return the path behind the service's name."""
        return WRITE_PATH if self.is_write else READ_PATH

    @property
    def method(self) -> str:
        """Return the HTTP method."""
        return 'POST' if self.is_write else 'GET'


@dataclass(frozen=True, slots=True)
class Seen:
    """What a caller saw at the end of a call.

    Attributes:
        reason: Why the call did not end whole; empty when it did.
    """

    outcome: Outcome
    reason: str = ''
    body: bytes = b''


class Caller(Protocol):
    """Makes one call; a caller library or plain HTTP."""

    def call(self, due: DueCall) -> 'Deferred[Seen]':
        """Return how the call ended."""


@dataclass(slots=True)
class Demand:
    """Calls a second, to be changed while the load runs.

    Attributes:
        by_service: Factor on the deployment's calls of a service.
        by_organisation: Factor on the calls of an organisation.
    """

    factor: float = 1.0
    by_service: dict[str, float] = field(default_factory=dict)
    by_organisation: dict[str, float] = field(default_factory=dict)


class OpenLoad:
    """Starts calls at a set rate, with gaps drawn from an exponential.

    Args:
        caller: Picks who makes a call.
        seed: Fixes the times, organisations and services of all calls.
    """

    def __init__(
        self,
        deployment: Deployment,
        timers: TimerService,
        caller: Callable[[DueCall], Caller],
        seed: int,
    ) -> None:
        """Prepare the demand of each service and organisation."""
        self.demand = Demand()
        self.tally = Tally()
        self.deployment = deployment
        self._timers = timers
        self._caller = caller
        self._random = random.Random(seed)
        self._started_s = timers.now_s()
        self._next_s = 0.0
        self._count = 0
        self._prefix = f'{seed}'

    def elapsed_s(self) -> float:
        """Return the time since the load began."""
        return self._timers.now_s() - self._started_s

    @property
    def open_calls(self) -> int:
        """Return how many calls have not ended."""
        return self.tally.sent - len(self.tally.ended)

    def step(self, _: float) -> None:
        """Start every call that is due."""
        now_s = self.elapsed_s()
        while self._next_s <= now_s:
            self._start(self._next_s)
            self._next_s += self._random.expovariate(self._rate_per_s())

    def _rate_per_s(self) -> float:
        pairs = self._weights()
        total = sum(weight for _, _, weight in pairs)
        return self.deployment.calls_per_s * self.demand.factor * total

    def _weights(self) -> list[tuple[ServicePlan, str, float]]:
        shares = organisation_weights(self.deployment)
        names = self.deployment.organisations
        return [
            (
                plan,
                name,
                plan.share
                * share
                * self.demand.by_service.get(plan.name, 1.0)
                * self.demand.by_organisation.get(name, 1.0),
            )
            for plan in self.deployment.services
            for name, share in zip(names, shares, strict=True)
        ]

    def _start(self, due_s: float) -> None:
        pairs = self._weights()
        plan, organisation, _ = self._random.choices(
            pairs, weights=[weight for _, _, weight in pairs]
        )[0]
        self._count += 1
        is_write = self._random.random() < plan.write_share
        due = DueCall(
            organisation=organisation,
            service=plan.name,
            trial_id=f'{self._prefix}-{self._count}',
            is_write=is_write,
            due_s=due_s,
            entry=self._random.randrange(1 << 16),
        )
        self.tally.sent += 1
        made = self._caller(due).call(due)
        made.addErrback(_unknown)
        made.addCallback(self._end, due)

    def _end(self, seen: Seen, due: DueCall) -> None:
        client_ms = 2 * self.deployment.client_delay_ms
        spent_s = self.elapsed_s() - due.due_s
        if seen.outcome is Outcome.WHOLE and spent_s > LATEST_S:
            seen = Seen(Outcome.FAILED, 'late')
        answered = seen.body.split(b' ', 1)[0].decode('ascii', 'replace')
        self.tally.add(
            Ended(
                organisation=due.organisation,
                service=due.service,
                trial_id=due.trial_id,
                is_write=due.is_write,
                intended_s=due.due_s,
                latency_ms=spent_s * MS_PER_S + client_ms,
                outcome=seen.outcome,
                reason=seen.reason,
                wrong_answer=seen.outcome is Outcome.WHOLE
                and answered != due.trial_id,
            )
        )


def _unknown(failure: Failure) -> Seen:
    return Seen(Outcome.UNKNOWN, type(failure.value).__name__)
