"""The scenarios of a trial, and how each runs on nodes or the baseline."""

from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import dataclass
from enum import Enum, unique

import msgspec

from rattanstile.request.outcome import Outcome
from rattanstile.trial.callers import ImmediateRetryCaller
from rattanstile.trial.deployments import Deployment
from rattanstile.trial.faults import (
    ColdRestart,
    DomainOutOfService,
    Fault,
    FaultObservations,
    GreedyOrganisation,
    KillNode,
    LogOutage,
    PauseNode,
    RollingRestart,
    SilentConnections,
    SlowService,
    Surge,
    WithdrawKey,
    end_fault,
    start_fault,
)
from rattanstile.trial.load import Caller, OpenLoopLoad, ScheduledCall
from rattanstile.trial.measures import InvariantCounts
from rattanstile.trial.over_rate import windows_over_rate
from rattanstile.trial.run import TrialRun

FAULT_START_S = 3.0
FAULT_LENGTH_S = 5.0
SURGE_LENGTH_S = 12.0
RECOVERY_WINDOW_S = 3.0
LOAD_SEED = 11
# Calls due this shortly before the end of the faults may already run with the
# restored key.
KEY_RESTORE_MARGIN_S = 1.0


@unique
class Side(Enum):
    """The proxies that the calls go through."""

    NODES = 'rattanstile'
    BASELINE = 'baseline'


@dataclass(frozen=True, slots=True)
class Scenario:
    """A load with faults that start and end while it runs.

    Attributes:
        faults: Faults that start at `FAULT_START_S` and end `fault_length_s`
            later.
        retries: Immediate retries of plain HTTP callers for each call.
        has_baseline: Whether the faults apply to the baseline as well.
    """

    name: str
    faults: Callable[[Deployment], tuple[Fault, ...]]
    retries: int = 0
    has_baseline: bool = True
    fault_length_s: float = FAULT_LENGTH_S


def _downstream_service(deployment: Deployment) -> str:
    """Return the service that is called by other services."""
    return deployment.services[1].name


SCENARIOS = (
    Scenario('steady', lambda _: ()),
    Scenario(
        'surge',
        lambda fleet: (
            Surge(4.0),
            SlowService(_downstream_service(fleet), 5.0),
        ),
        retries=3,
        fault_length_s=SURGE_LENGTH_S,
    ),
    Scenario(
        'greedy',
        lambda fleet: (GreedyOrganisation(fleet.organisations[2], 16.0),),
    ),
    Scenario('domain', lambda _: (DomainOutOfService(0),), has_baseline=False),
    Scenario('log-down', lambda _: (LogOutage(),), has_baseline=False),
    Scenario('kill', lambda fleet: (KillNode(_downstream_service(fleet)),)),
    Scenario('pause', lambda fleet: (PauseNode(_downstream_service(fleet)),)),
    Scenario('replace', lambda _: (RollingRestart(),), has_baseline=False),
    Scenario(
        'key',
        lambda fleet: (WithdrawKey(fleet.organisations[0]),),
        has_baseline=False,
    ),
    Scenario(
        'silent', lambda fleet: (SilentConnections(_downstream_service(fleet)),)
    ),
    # This must be last, since the restarts under the baseline leave the
    # targets cold for the nodes.
    Scenario(
        'cold-start', lambda fleet: (ColdRestart(_downstream_service(fleet)),)
    ),
)
SCENARIOS_BY_NAME = {scenario.name: scenario for scenario in SCENARIOS}


class Measures(msgspec.Struct, frozen=True, kw_only=True):
    """The five measures of one run, and related figures.

    Attributes:
        goodput_per_s: Rate of complete responses over the whole run.
        worst_share: Fraction of calls with a complete response, of the
            worst-served organisation within its rate.
        refused_within_rate: Fraction of refused calls, of organisations within
            their rate.
        during_per_s: Rate of complete responses while the faults lasted.
        after_withdrawal: Calls that got a complete response with a withdrawn
            key.
    """

    scenario: str
    side: str
    sent: int
    demand_per_s: float
    goodput_per_s: float
    recovery_s: float
    worst_share: float
    refused_within_rate: float
    during_per_s: float
    p50_ms: float
    p99_ms: float
    unknown: int
    failed: int
    after_withdrawal: int
    broken: dict[str, int]
    refused: dict[str, int]
    whole_share: dict[str, float]


@dataclass(frozen=True, slots=True)
class RunTimes:
    """When the faults and the load of a run end, since its start."""

    faults_end_s: float
    load_end_s: float


async def run_scenario(
    run: TrialRun, scenario: Scenario, side: Side
) -> Measures:
    """Run a scenario on one side and return its measures."""
    faults = scenario.faults(run.fleet.deployment)
    observations = FaultObservations()
    with ExitStack() as callers:
        caller = _caller_chooser(callers, run, scenario, side)
        with run.load(caller, LOAD_SEED) as load:
            await run.sleep(FAULT_START_S)
            for fault in faults:
                await start_fault(run, load, fault, observations)
            planned_end_s = FAULT_START_S + scenario.fault_length_s
            await run.sleep(max(0.0, planned_end_s - load.elapsed_s()))
            for active_fault in faults:
                await end_fault(run, load, active_fault, observations)
            faults_end_s = load.elapsed_s()
            load_end_s = faults_end_s + RECOVERY_WINDOW_S
            await run.sleep(RECOVERY_WINDOW_S)
        await run.wait_for_pending_calls(load)
    violations = await run.count_violations(load)
    times = RunTimes(faults_end_s, load_end_s)
    return _measures(run, scenario, side, load, violations, observations, times)


def _caller_chooser(
    stack: ExitStack, run: TrialRun, scenario: Scenario, side: Side
) -> Callable[[ScheduledCall], Caller]:
    plain = run.http_caller()
    http: Caller = plain
    if scenario.retries:
        http = ImmediateRetryCaller(plain, scenario.retries, run.timers)
    if side is Side.BASELINE:
        return lambda _: http
    return stack.enter_context(run.both_callers(http))


def _measures(
    run: TrialRun,
    scenario: Scenario,
    side: Side,
    load: OpenLoopLoad,
    violations: InvariantCounts,
    observations: FaultObservations,
    times: RunTimes,
) -> Measures:
    tally = load.tally
    faults_end_s = times.faults_end_s
    load_end_s = times.load_end_s
    within_rate = _organisations_within_rate(run.fleet.deployment, scenario)
    shares = {name: tally.share_whole(name) for name in sorted(within_rate)}
    counts = violations.as_dict()
    if side is Side.NODES:
        counts['over_rate'] = windows_over_rate(tally, run.declaration)
        counts['to_domain_out'] = observations.to_domain_out
    else:
        counts.pop('false_not_run')
    return Measures(
        scenario=scenario.name,
        side=side.value,
        sent=tally.sent,
        demand_per_s=tally.sent / max(load_end_s, 1.0),
        goodput_per_s=tally.whole_per_s(0, load_end_s),
        recovery_s=tally.recovery_s(faults_end_s, load_end_s),
        worst_share=min(shares.values()),
        refused_within_rate=tally.refused_share(within_rate),
        during_per_s=tally.whole_per_s(FAULT_START_S, faults_end_s),
        p50_ms=tally.total.percentile_ms(50),
        p99_ms=tally.total.percentile_ms(99),
        unknown=tally.total.unknown,
        failed=tally.total.failed,
        after_withdrawal=_whole_after_withdrawal(
            load, scenario, observations, faults_end_s
        ),
        broken=counts,
        refused=dict(tally.total.refused),
        whole_share=shares,
    )


def _organisations_within_rate(
    deployment: Deployment, scenario: Scenario
) -> frozenset[str]:
    names = set(deployment.organisations)
    for fault in scenario.faults(deployment):
        match fault:
            case GreedyOrganisation(organisation=organisation):
                names.discard(organisation)
            case WithdrawKey(organisation=organisation):
                names.discard(organisation)
    return frozenset(names)


def _whole_after_withdrawal(
    load: OpenLoopLoad,
    scenario: Scenario,
    observations: FaultObservations,
    faults_end_s: float,
) -> int:
    if not observations.key_withdrawn_s:
        return 0
    withdrawn = {
        fault.organisation
        for fault in scenario.faults(load.deployment)
        if isinstance(fault, WithdrawKey)
    }
    return sum(
        call.outcome is Outcome.WHOLE
        and call.organisation in withdrawn
        and observations.key_withdrawn_s
        < call.intended_s
        < faults_end_s - KEY_RESTORE_MARGIN_S
        for call in load.tally.completed
    )
