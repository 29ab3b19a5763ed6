"""Rates over the whole fleet: no window above, few refusals within."""

from collections.abc import Iterator

from bench.rates_demand import Demand, Wrongful, organisations_of
from bench.rates_faults import Schedule
from bench.row import Row

SEEDS = 2000
TOLERANCE_CALLS = 1e-6
RATES_PER_S = (120.0, 80.0, 60.0, 40.0, 20.0, 20.0, 10.0, 10.0)
OUTAGE_RATES_PER_S = (40.0, 20.0, 10.0)
NODES = 8
WARM_S = 30.0
STEADY_SEEDS = (1, 2)
STEADY_S = 40.0
LOSS_SEEDS = (10, 11, 12, 13)
LOSS_S = 10.0
OUTAGE_S = 600.0
STEADY_BOUND = 0.001
LOSS_BOUND = 0.01


def windows() -> Row:
    """Return the worst window over random schedules of faults."""
    above = 0
    worst = 0.0
    admitted = 0
    takeovers = 0
    for seed in range(SEEDS):
        schedule = Schedule(seed)
        excess = schedule.above()
        above += excess > TOLERANCE_CALLS
        worst = max(worst, excess)
        admitted += schedule.admitted()
        takeovers += schedule.takeovers()
    return Row(
        f'rates: {SEEDS} random fault schedules, every organisation greedy',
        f'{above} with a window above, worst by {worst:.2f} calls;'
        f' {admitted} calls admitted, {takeovers} takeovers',
        '0 with a window above',
        above == 0,
    )


def steady() -> Row:
    """Return wrongful refusals at 90% of each rate, without a fault."""
    runs = []
    others = []
    for seed in STEADY_SEEDS:
        demand = Demand(seed, NODES, organisations_of(RATES_PER_S))
        demand.run(WARM_S + STEADY_S)
        runs.append(demand.wrongful(WARM_S, WARM_S + STEADY_S))
        others.append(demand.resplit(WARM_S, WARM_S + STEADY_S))
    return _row('rates: demand 90%, one entry node has most', runs, others)


def owner_lost() -> Row:
    """Return wrongful refusals in the 10 s after an owner is killed."""
    runs = []
    others = []
    for seed in LOSS_SEEDS:
        demand = Demand(seed, NODES, organisations_of(RATES_PER_S))
        demand.run(WARM_S)
        owners = [
            node
            for node in demand.fleet.nodes.values()
            if node.owner.owned_shards(node.now_s())
        ]
        owners[seed % len(owners)].alive = False
        demand.run(WARM_S + LOSS_S)
        runs.append(demand.wrongful(WARM_S, WARM_S + LOSS_S))
        others.append(demand.resplit(WARM_S, WARM_S + LOSS_S))
    return _row(
        f'rates: an owner killed, {LOSS_S:.0f} s after',
        runs,
        others,
        LOSS_BOUND,
    )


def log_down() -> Row:
    """Return wrongful refusals while the log is down and owners live."""
    demand = Demand(5, NODES, organisations_of(OUTAGE_RATES_PER_S))
    demand.run(WARM_S)
    demand.fleet.log.up = False
    demand.run(WARM_S + OUTAGE_S)
    return _row(
        'rates: log down 10 minutes, owners alive',
        [demand.wrongful(WARM_S, WARM_S + OUTAGE_S)],
        [demand.resplit(WARM_S, WARM_S + OUTAGE_S)],
    )


def rows() -> Iterator[Row]:
    """Yield the rows of this bench."""
    yield steady()
    yield owner_lost()
    yield log_down()
    yield windows()


def _row(
    case: str,
    runs: list[Wrongful],
    others: list[Wrongful],
    bound: float = STEADY_BOUND,
) -> Row:
    total = _total(runs)
    other = _total(others)
    return Row(
        case,
        f'{_told(total)} refused within rate',
        f'at most {bound:.1%} of calls',
        total.share() <= bound,
        f're-split by demand: {_told(other)}',
    )


def _told(total: Wrongful) -> str:
    name, share = total.worst()
    return f'{total.share():.3%} (worst organisation {name} {share:.2%})'


def _total(runs: list[Wrongful]) -> Wrongful:
    counts = {
        name: tuple(
            sum(run.counts[name][index] for run in runs) for index in range(3)
        )
        for name in runs[0].counts
    }
    return Wrongful(counts)
