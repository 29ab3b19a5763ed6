"""Retries: one budget a call tree, edge buckets, memory of gone nodes."""

import logbook

from bench.retry_edge import Edge, EdgeCounts
from bench.retry_tree import Counts, Faults, Tree
from bench.row import Row
from rattanstile.process.membership.unreachable import UnreachableNodes
from rattanstile.process.rates.edge_bucket import EdgeBuckets
from rattanstile.request.outcome import Outcome

HOPS = 24
BUDGET = 3
FAILING_SEEDS = 500
LOSSY_SEEDS = 500
NAIVE_TRIES = 3
MOST_AMPLIFICATION = 1.1
MANY_TRIES = 1e9
FEWEST_WHOLE_AT_SMALL_FAILURE = 0.99
SMALL_FAILURE = 0.05
GONE = ('n1', 'n4')


def rows() -> list[Row]:
    """Return the rows of budget, bucket and memory."""
    with logbook.NullHandler().applicationbound():
        return [
            _last_hop_fails(),
            _lossy_chain(),
            *_lost_replies(),
            _outage(),
            _small_failure(),
            _gone_nodes(),
        ]


def _last_hop_fails() -> Row:
    runs = [
        Tree(seed, HOPS, BUDGET, Faults()).run()
        for seed in range(FAILING_SEEDS)
    ]
    most = max(run.sent.total() for run in runs)
    bound = HOPS + BUDGET
    return Row(
        case=f'{HOPS} hops, last one failing, {FAILING_SEEDS} seeds: attempts',
        figure=f'at most {most}',
        bound=f'at most {bound} in every run',
        held=most <= bound and all(_failed(run) for run in runs),
        baseline=f'{NAIVE_TRIES**HOPS} (three tries at each hop, computed)',
    )


def _failed(run: Counts) -> bool:
    return run.outcome is Outcome.FAILED


def _lossy_chain() -> Row:
    faults = Faults(last_fails=0.3, replies_lost=0.03)
    runs = [
        Tree(seed, HOPS, BUDGET, faults).run() for seed in range(LOSSY_SEEDS)
    ]
    most = max(run.sent.total() for run in runs)
    bound = HOPS * (1 + BUDGET)
    return Row(
        case=f'{HOPS} hops, 3 of 100 replies lost, {LOSSY_SEEDS} seeds:'
        ' attempts, those below a repeated call included',
        figure=f'at most {most}',
        bound=f'at most {bound} in every run',
        held=most <= bound,
        baseline=f'up to {NAIVE_TRIES**HOPS} (three tries at each hop,'
        ' computed)',
    )


def _lost_replies() -> list[Row]:
    faults = Faults(last_fails=0.3, replies_lost=0.01, most_children=3)
    runs = [
        Tree(seed, HOPS, BUDGET, faults).run() for seed in range(LOSSY_SEEDS)
    ]
    most = max(run.retries for run in runs)
    whole = sum(run.outcome is Outcome.WHOLE for run in runs)
    retried = sum(run.retries > 0 for run in runs)
    return [
        Row(
            case=f'{HOPS} hops, lost replies, fan-out, {LOSSY_SEEDS} seeds:'
            ' tries beyond the first',
            figure=f'at most {most} ({retried} trees retried, {whole} whole)',
            bound=f'at most {BUDGET} in every run',
            held=most <= BUDGET and retried > 0,
        ),
        Row(
            case=f'{HOPS} hops, lost replies, fan-out: every tree ends',
            figure=f'{sum(run.outcome is None for run in runs)} without end',
            bound='0',
            held=all(run.outcome is not None for run in runs),
        ),
    ]


def _outage() -> Row:
    counts = Edge(_always).run()
    loose = Edge(_always, buckets=EdgeBuckets(max_tokens=MANY_TRIES)).run()
    return Row(
        case='service that always fails, 200 calls/s: attempts a call',
        figure=f'{counts.amplification:.3f}',
        bound=f'at most {MOST_AMPLIFICATION}',
        held=counts.amplification <= MOST_AMPLIFICATION,
        baseline=f'{loose.amplification:.3f} without edge bucket',
    )


def _small_failure() -> Row:
    counts = Edge(_seldom).run()
    untried = Edge(_seldom, buckets=EdgeBuckets(max_tokens=0)).run()
    return Row(
        case='1 of 20 runs fails: calls that end whole',
        figure=f'{counts.whole_share:.4f} at {counts.amplification:.3f}'
        ' attempts a call',
        bound=f'at least {FEWEST_WHOLE_AT_SMALL_FAILURE}',
        held=counts.whole_share >= FEWEST_WHOLE_AT_SMALL_FAILURE,
        baseline=f'{untried.whole_share:.4f} without retries',
    )


def _gone_nodes() -> Row:
    kept = Edge(_never, gone=GONE, unreachable=UnreachableNodes()).run()
    without = Edge(_never, gone=GONE).run()
    return Row(
        case='2 of 6 nodes gone, connect timeout 1 s, 20 s: latency p99',
        figure=_latency(kept),
        bound='below the figure without the memory',
        held=kept.p99_s < without.p99_s and kept.whole_share == 1,
        baseline=f'{_latency(without)} without the memory',
    )


def _latency(counts: EdgeCounts) -> str:
    return (
        f'{counts.p99_s * 1000:.0f} ms,'
        f' {counts.to_gone} attempts held up, {counts.whole_share:.4f} whole'
    )


def _always(now_s: float) -> float:
    return 1.0


def _seldom(now_s: float) -> float:
    return SMALL_FAILURE


def _never(now_s: float) -> float:
    return 0.0
