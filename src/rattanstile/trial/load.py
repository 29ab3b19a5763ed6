"""Open-loop load: calls start when due, regardless of earlier calls."""

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
from rattanstile.trial.measures import CompletedCall, Tally

MS_PER_S = 1000
TICK_S = 0.005
MAX_LATENCY_S = 3.3  # a later complete response counts as failed


@dataclass(frozen=True, slots=True)
class ScheduledCall:
    """A call that the load generator starts at its due time.

    Attributes:
        trial_id: Id by which targets count the runs of the call.
        due_s: Intended start, since the start of the load.
        entry: Random number, modulo the number of entry nodes the index of
            the first node to call; its parity selects the kind of caller.
    """

    organisation: str
    service: str
    trial_id: str
    is_write: bool
    due_s: float
    entry: int

    @property
    def path(self) -> str:
        """Return the path that follows the service name."""
        return WRITE_PATH if self.is_write else READ_PATH

    @property
    def method(self) -> str:
        """Return the HTTP method."""
        return 'POST' if self.is_write else 'GET'


@dataclass(frozen=True, slots=True)
class ObservedResult:
    """The result of a call as its caller observed it.

    Attributes:
        reason: Why the outcome is not `Outcome.WHOLE`; empty if it is, or if
            the reply states no outcome.
    """

    outcome: Outcome
    reason: str = ''
    body: bytes = b''


class Caller(Protocol):
    """Makes calls, through the caller library or over plain HTTP."""

    def call(self, scheduled: ScheduledCall) -> 'Deferred[ObservedResult]':
        """Make a call and fire with its result."""


@dataclass(slots=True)
class Demand:
    """Factors on the call rate, which may change while the load runs.

    Attributes:
        factor: Factor on all calls.
        by_service: Factor on the calls to a service.
        by_organisation: Factor on the calls of an organisation.
    """

    factor: float = 1.0
    by_service: dict[str, float] = field(default_factory=dict)
    by_organisation: dict[str, float] = field(default_factory=dict)


class OpenLoopLoad:
    """Starts calls at a given mean rate with exponential intervals.

    Args:
        choose_caller: Returns the caller that makes a scheduled call.
        seed: Seed of the times, organisations and services of all calls.
    """

    def __init__(
        self,
        deployment: Deployment,
        timers: TimerService,
        choose_caller: Callable[[ScheduledCall], Caller],
        seed: int,
    ) -> None:
        """Initialise the load; its time starts now."""
        self.demand = Demand()
        self.tally = Tally()
        self.deployment = deployment
        self._timers = timers
        self._choose_caller = choose_caller
        self._random = random.Random(seed)
        self._started_s = timers.now_s()
        self._next_due_s = 0.0
        self._call_count = 0
        self._trial_id_prefix = f'{seed}'

    def elapsed_s(self) -> float:
        """Return the time since the start of the load, in seconds."""
        return self._timers.now_s() - self._started_s

    @property
    def pending_calls(self) -> int:
        """Return the number of calls in flight."""
        return self.tally.sent - len(self.tally.completed)

    def start_due_calls(self, _: float) -> None:
        """Start every call that is due."""
        now_s = self.elapsed_s()
        while self._next_due_s <= now_s:
            self._start_call(self._next_due_s)
            self._next_due_s += self._random.expovariate(self._rate_per_s())

    def _rate_per_s(self) -> float:
        weighted = self._demand_weights()
        total = sum(weight for _, _, weight in weighted)
        return self.deployment.calls_per_s * self.demand.factor * total

    def _demand_weights(self) -> list[tuple[ServicePlan, str, float]]:
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

    def _start_call(self, due_s: float) -> None:
        weighted = self._demand_weights()
        plan, organisation, _ = self._random.choices(
            weighted, weights=[weight for _, _, weight in weighted]
        )[0]
        self._call_count += 1
        is_write = self._random.random() < plan.write_share
        scheduled = ScheduledCall(
            organisation=organisation,
            service=plan.name,
            trial_id=f'{self._trial_id_prefix}-{self._call_count}',
            is_write=is_write,
            due_s=due_s,
            entry=self._random.randrange(1 << 16),
        )
        self.tally.sent += 1
        deferred = self._choose_caller(scheduled).call(scheduled)
        deferred.addErrback(_unknown_result)
        deferred.addCallback(self._record_result, scheduled)

    def _record_result(
        self, observed: ObservedResult, scheduled: ScheduledCall
    ) -> None:
        client_ms = 2 * self.deployment.client_delay_ms
        latency_s = self.elapsed_s() - scheduled.due_s
        if observed.outcome is Outcome.WHOLE and latency_s > MAX_LATENCY_S:
            observed = ObservedResult(Outcome.FAILED, 'late')
        answered_trial_id = observed.body.split(b' ', 1)[0].decode(
            'ascii', 'replace'
        )
        self.tally.add(
            CompletedCall(
                organisation=scheduled.organisation,
                service=scheduled.service,
                trial_id=scheduled.trial_id,
                is_write=scheduled.is_write,
                intended_s=scheduled.due_s,
                latency_ms=latency_s * MS_PER_S + client_ms,
                outcome=observed.outcome,
                reason=observed.reason,
                wrong_answer=observed.outcome is Outcome.WHOLE
                and answered_trial_id != scheduled.trial_id,
            )
        )


def _unknown_result(failure: Failure) -> ObservedResult:
    return ObservedResult(Outcome.UNKNOWN, type(failure.value).__name__)
