"""The scenarios of a trial, and one run of each on either side."""

from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import dataclass
from enum import Enum, unique

import msgspec

from rattanstile.request.outcome import Outcome
from rattanstile.trial.callers import HardRetries
from rattanstile.trial.deployments import Deployment
from rattanstile.trial.faults import (
    ColdRestart,
    DomainOut,
    Fault,
    FaultNotes,
    GreedyOrganisation,
    KillNode,
    LogDown,
    PauseNode,
    ReplaceAllNodes,
    SilentConnections,
    SlowService,
    Surge,
    WithdrawKey,
    begin,
    end,
)
from rattanstile.trial.load import Caller, DueCall, OpenLoad
from rattanstile.trial.measures import InvariantCounts
from rattanstile.trial.over_rate import windows_over_rate
from rattanstile.trial.run import TrialRun

FAULT_S = 3.0
FAULT_LENGTH_S = 5.0
SURGE_LENGTH_S = 12.0
REST_S = 3.0
SEED = 11
LAST_BUCKET_S = 1.0


@unique
class Side(Enum):
    """What the calls go through."""

    NODES = 'rattanstile'
    BASELINE = 'baseline'


@dataclass(frozen=True, slots=True)
class Scenario:
    """A load, the faults in the middle of it, and who is compared.

    Attributes:
        faults: Begun at `FAULT_S` and ended `fault_length_s` later.
        retries: Further tries that callers make at once, each time.
        has_baseline: Whether the baseline can meet the faults at all.
    """

    name: str
    faults: Callable[[Deployment], tuple[Fault, ...]]
    retries: int = 0
    has_baseline: bool = True
    fault_length_s: float = FAULT_LENGTH_S


def _deepest(deployment: Deployment) -> str:
    """Return the service that others call."""
    return deployment.services[1].name


SCENARIOS = (
    Scenario('steady', lambda _: ()),
    Scenario(
        'surge',
        lambda fleet: (Surge(4.0), SlowService(_deepest(fleet), 5.0)),
        retries=3,
        fault_length_s=SURGE_LENGTH_S,
    ),
    Scenario(
        'greedy',
        lambda fleet: (GreedyOrganisation(fleet.organisations[2], 16.0),),
    ),
    Scenario('domain', lambda _: (DomainOut(0),), has_baseline=False),
    Scenario('log-down', lambda _: (LogDown(),), has_baseline=False),
    Scenario('kill', lambda fleet: (KillNode(_deepest(fleet)),)),
    Scenario('pause', lambda fleet: (PauseNode(_deepest(fleet)),)),
    Scenario('replace', lambda _: (ReplaceAllNodes(),), has_baseline=False),
    Scenario(
        'key',
        lambda fleet: (WithdrawKey(fleet.organisations[0]),),
        has_baseline=False,
    ),
    Scenario('silent', lambda fleet: (SilentConnections(_deepest(fleet)),)),
    # Last: the baseline's restarts leave the nodes' targets cold.
    Scenario('cold-start', lambda fleet: (ColdRestart(_deepest(fleet)),)),
)
BY_NAME = {one.name: one for one in SCENARIOS}


class Measures(msgspec.Struct, frozen=True, kw_only=True):
    """The five measures, and what belongs to them, of one run.

    Attributes:
        goodput_per_s: Whole answers, over the whole run.
        worst_share: Share of whole answers of the worst-served organisation
            among those within rate.
        refused_within_rate: Share of calls refused of organisations within
            rate.
        during_per_s: Whole answers while the fault lasted.
        after_withdrawal: Calls that ended whole under a withdrawn key.
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
class Window:
    """When the faults of a run had ended, and when its load did."""

    clear_s: float
    until_s: float


async def run_scenario(
    run: TrialRun, scenario: Scenario, side: Side
) -> Measures:
    """Run one scenario on one side and return what it measured."""
    faults = scenario.faults(run.fleet.deployment)
    notes = FaultNotes()
    with ExitStack() as callers:
        caller = _caller(callers, run, scenario, side)
        with run.load(caller, SEED) as load:
            await run.sleep(FAULT_S)
            for fault in faults:
                await begin(run, load, fault, notes)
            planned_s = FAULT_S + scenario.fault_length_s
            await run.sleep(max(0.0, planned_s - load.elapsed_s()))
            for ending in faults:
                await end(run, load, ending, notes)
            clear_s = load.elapsed_s()
            until_s = clear_s + REST_S
            await run.sleep(REST_S)
        await run.last_calls(load)
    broken = await run.count_broken(load)
    window = Window(clear_s, until_s)
    return _measures(run, scenario, side, load, broken, notes, window)


def _caller(
    stack: ExitStack, run: TrialRun, scenario: Scenario, side: Side
) -> Callable[[DueCall], Caller]:
    plain = run.http_caller()
    http: Caller = plain
    if scenario.retries:
        http = HardRetries(plain, scenario.retries, run.timers)
    if side is Side.BASELINE:
        return lambda _: http
    return stack.enter_context(run.both_callers(http))


def _measures(
    run: TrialRun,
    scenario: Scenario,
    side: Side,
    load: OpenLoad,
    broken: InvariantCounts,
    notes: FaultNotes,
    window: Window,
) -> Measures:
    tally = load.tally
    clear_s = window.clear_s
    until_s = window.until_s
    within = _within_rate(run.fleet.deployment, scenario)
    shares = {name: tally.share_whole(name) for name in sorted(within)}
    counts = broken.as_dict()
    if side is Side.NODES:
        counts['over_rate'] = windows_over_rate(tally, run.declaration)
        counts['to_domain_out'] = notes.to_domain_out
    else:
        counts.pop('false_not_run')
    return Measures(
        scenario=scenario.name,
        side=side.value,
        sent=tally.sent,
        demand_per_s=tally.sent / max(until_s, 1.0),
        goodput_per_s=tally.whole_per_s(0, until_s),
        recovery_s=tally.recovery_s(clear_s, until_s),
        worst_share=min(shares.values()),
        refused_within_rate=tally.refused_share(within),
        during_per_s=tally.whole_per_s(FAULT_S, clear_s),
        p50_ms=tally.total.percentile_ms(50),
        p99_ms=tally.total.percentile_ms(99),
        unknown=tally.total.unknown,
        failed=tally.total.failed,
        after_withdrawal=_after_withdrawal(load, scenario, notes, clear_s),
        broken=counts,
        refused=dict(tally.total.refused),
        whole_share=shares,
    )


def _within_rate(deployment: Deployment, scenario: Scenario) -> frozenset[str]:
    names = set(deployment.organisations)
    for fault in scenario.faults(deployment):
        match fault:
            case GreedyOrganisation(organisation=organisation):
                names.discard(organisation)
            case WithdrawKey(organisation=organisation):
                names.discard(organisation)
    return frozenset(names)


def _after_withdrawal(
    load: OpenLoad, scenario: Scenario, notes: FaultNotes, clear_s: float
) -> int:
    if not notes.withdrawn_s:
        return 0
    withdrawn = {
        fault.organisation
        for fault in scenario.faults(load.deployment)
        if isinstance(fault, WithdrawKey)
    }
    return sum(
        ended.outcome is Outcome.WHOLE
        and ended.organisation in withdrawn
        and notes.withdrawn_s < ended.intended_s < clear_s - LAST_BUCKET_S
        for ended in load.tally.ended
    )
