"""Racing confirmations of operators, with answers lost on the way."""

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from result import Err, Ok
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from rattanstile.errors import ConflictError, UncertainError
from rattanstile.process.configuration.log_client import (
    AppendUncertain,
    LogUnavailable,
    ReadBatch,
)
from rattanstile.process.configuration.operators import Confirmation, OperatorCommands
from rattanstile.request.ids import LogOffset, PlanId
from rattanstile.version.declaration import Declaration
from rattanstile.version.records import CONFIGURATION_STREAM

OPERATORS = 4
ROUNDS = 3
ROUND_S = 60.0
DELAY_MAX_S = 0.2
STEP_S = 0.05


@dataclass(slots=True)
class RaceFindings:
    """What the confirmations said against what the log holds.

    Attributes:
        won: Confirmations that made a version.
        lied: Answers that the log contradicts.
    """

    won: int = 0
    conflicts: int = 0
    uncertain: int = 0
    refused: int = 0
    lied: int = 0


@dataclass(slots=True)
class RacingLog:
    """Streams in memory; each request takes time and may lose its answer."""

    clock: Clock
    random: Random
    streams: dict[str, list[bytes]] = field(default_factory=dict)

    def append(self, stream: str, record: bytes) -> Deferred[Any]:
        """Append after a delay; refuse, lose the request or the answer."""
        records = self.streams.setdefault(stream, [])
        faulty = stream == CONFIGURATION_STREAM
        fate = self.random.random() if faulty else 1.0

        def answer() -> Any:
            if fate < 0.1:
                return Err(LogUnavailable('down'))
            if fate < 0.2:
                return Err(AppendUncertain('request lost'))
            records.append(record)
            if fate < 0.4:
                return Err(AppendUncertain('answer lost'))
            return Ok(LogOffset(len(records) - 1))

        return self._later(answer)

    def read(
        self, stream: str, from_offset: LogOffset, wait_s: float
    ) -> Deferred[Any]:
        """Read after a delay, now and then not at all."""

        def answer() -> Any:
            if self.random.random() < 0.02:
                return Err(LogUnavailable('down'))
            records = self.streams.get(stream, [])
            found = tuple(records[from_offset:])
            end = LogOffset(len(records))
            return Ok(ReadBatch(from_offset, found, LogOffset(0), end))

        return self._later(answer, wait_s)

    def _later(
        self, answer: Callable[[], Any], wait_s: float = 0
    ) -> Deferred[Any]:
        ended: Deferred[Any] = Deferred()
        delay_s = wait_s + self.random.uniform(0.001, DELAY_MAX_S)
        self.clock.callLater(delay_s, lambda: ended.callback(answer()))
        return ended


def race(seed: int) -> RaceFindings:
    """Let operators plan and confirm at once, and check what each is told."""
    random = Random(seed)
    clock = Clock()
    log = RacingLog(clock, random)
    findings = RaceFindings()
    operators = [
        OperatorCommands(log, f'operator{place}')  # type: ignore[arg-type]
        for place in range(OPERATORS)
    ]
    for turn in range(ROUNDS):
        told: list[tuple[PlanId, Any]] = []
        for place, operator in enumerate(operators):
            hops = 1 + turn * OPERATORS + place
            planning = _plan_and_confirm(operator, hops, told)
            Deferred.fromCoroutine(planning)
        _let_pass(clock, ROUND_S)
        _judge(log, told, findings)
    return findings


def _let_pass(clock: Clock, over_s: float) -> None:
    until_s = clock.seconds() + over_s
    while clock.seconds() < until_s:
        clock.advance(STEP_S)


async def _plan_and_confirm(
    operator: OperatorCommands, hops: int, told: list[tuple[PlanId, Any]]
) -> None:
    planned = await operator.plan(Declaration(max_hops=hops))
    if isinstance(planned, Err):
        return
    plan_id = planned.ok_value.plan_id
    told.append((plan_id, await operator.confirm(plan_id)))


def _judge(
    log: RacingLog, told: list[tuple[PlanId, Any]], findings: RaceFindings
) -> None:
    calm = RacingLog(Clock(), Random(0), log.streams)
    reading = Deferred.fromCoroutine(
        OperatorCommands(calm, 'judge').state()  # type: ignore[arg-type]
    )
    results: list[Any] = []
    reading.addCallback(results.append)
    _let_pass(calm.clock, 4.0)
    state = results[0].ok_value
    for plan_id, answer in told:
        made = state.version_of(plan_id)
        match answer:
            case Ok(Confirmation(version=version)):
                findings.won += 1
                findings.lied += version != made
            case Err(ConflictError()):
                findings.conflicts += 1
                findings.lied += made is not None
            case Err(UncertainError()):
                findings.uncertain += 1
            case _:
                findings.refused += 1
                findings.lied += made is not None


def races(seeds: int) -> RaceFindings:
    """Add up the races of many seeds."""
    total = RaceFindings()
    for seed in range(seeds):
        seen = race(seed)
        total.won += seen.won
        total.conflicts += seen.conflicts
        total.uncertain += seen.uncertain
        total.refused += seen.refused
        total.lied += seen.lied
    return total
