"""Metrics of a node in the Prometheus text format."""

from collections.abc import Iterator
from typing import TYPE_CHECKING

from rattanstile.process.mesh.counters import LATENCY_BOUNDS_S, LatencyHistogram
from rattanstile.process.mesh.placement.even_load import (
    BUSY_SHARE,
    busiest_to_mean,
    mean_share,
)
from rattanstile.process.mesh.rollout.node_rollouts import PPM
from rattanstile.process.mesh.serving.target_gate import TargetQueue

if TYPE_CHECKING:
    from rattanstile.process.mesh.node import MeshNode

PREFIX = 'rattanstile'


def metrics_text(node: 'MeshNode') -> str:
    """Return all counters, gauges and histograms, one sample per line."""
    lines = [*_counters(node), *_gauges(node), *_histograms(node)]
    return '\n'.join((*lines, ''))


def _counters(node: 'MeshNode') -> Iterator[str]:
    counters = node.context.counters
    for name, count in sorted(counters.outcomes.items()):
        yield _line('requests_total', count, outcome=name)
    for name, count in sorted(counters.invalid.items()):
        yield _line('requests_invalid_total', count, reason=name)
    for name, count in sorted(counters.not_taken.items()):
        yield _line('calls_not_taken_total', count, reason=name)
    yield _line('runs_total', counters.runs)
    yield _line('reruns_total', counters.reruns)
    yield _line('moves_total', counters.moves)
    for name, count in sorted(counters.repeats.items()):
        yield _line('repeats_total', count, decision=name)
    yield _line('probes_total', counters.probes)
    slots = node.admission.returns.slots
    yield _line('returns_reserved_total', slots.reserved)
    yield _line('returns_claimed_total', slots.claimed)
    yield _line('returns_unclaimed_total', slots.unclaimed)
    yield _line('calls_given_way_total', node.serving.queue.late_count)
    for kind, sent in sorted(node.peers.traffic.counts.items()):
        labels = {
            'message': kind.message,
            'to': 'own_domain' if kind.is_near else 'other_domain',
        }
        yield _line('peer_frames_total', sent.frames, **labels)
        yield _line('peer_bytes_total', sent.size_bytes, **labels)


def _gauges(node: 'MeshNode') -> Iterator[str]:
    now_s = node.timers.now_s()
    serving = node.serving
    yield from _operator_gauges(node, now_s)
    yield from _client_gauges(node)
    yield _line('requests_in_hand', node.entry.in_hand)
    yield from _queue_gauges(serving.queue)
    yield _line('target_usable', int(serving.is_usable))
    yield _line('target_cold', int(serving.watch.is_cold(now_s)))
    yield from _fleet_gauges(node, now_s)
    yield from _rollout_gauges(node)
    for service, left in sorted(node.reruns.left_by_service(now_s).items()):
        yield _line('retry_budget_left', left, service=service)
    candidates = node.links.candidates
    for service in sorted(candidates.services()):
        pool = candidates.usable(service)
        if mean_share(pool) >= BUSY_SHARE:
            yield _line(
                'busiest_to_mean', busiest_to_mean(pool), service=service
            )
    for tight_service in node.admission.services_near_capacity():
        yield _line(
            'let_in', tight_service.let_in, service=tight_service.service
        )


def _fleet_gauges(node: 'MeshNode', now_s: float) -> Iterator[str]:
    yield _line('members_known', len(node.peers.known_members()))
    yield _line('members_connected', len(node.peers.connected()))
    yield _line('peer_connections', len(node.peers.links))
    yield _line('gateway', int(node.links.is_gateway))
    yield _line('delegate', int(node.rates.delegates.is_delegate))
    yield _line('allocator', int(node.rates.delegates.is_allocator))
    for domain, age_s in sorted(node.links.digests.ages_s(now_s).items()):
        yield _line('domain_digest_age_seconds', age_s, domain=domain)


def _queue_gauges(queue: TargetQueue) -> Iterator[str]:
    yield _line('calls_waiting', queue.waiting)
    yield _line('calls_in_flight', queue.in_flight)
    yield _line('target_limit', queue.limit)
    yield _line('target_limit_share', queue.rejections.limit_share)
    yield _line('queue_scarce', int(queue.is_scarce))
    for route, route_time in queue.route_times.known():
        yield _line('route_service_seconds', route_time.mean_s, route=route)


def _rollout_gauges(node: 'MeshNode') -> Iterator[str]:
    for view in node.context.rollouts.views:
        labels = {
            'service': view.order.service,
            'target_version': view.order.version,
        }
        yield _line('rollout_verdict', view.verdict, **labels)
        yield _line('rollout_requests', view.credit.requests, **labels)
        yield _line('rollout_exposed', view.credit.spent_calls, **labels)
        yield _line('rollout_spend_share', view.spend_ppm / PPM, **labels)
    for decided in node.rates.rollouts.decider.orders:
        progress = decided.progress
        labels = {
            'service': progress.order.service,
            'target_version': progress.order.version,
        }
        comparison = progress.comparison
        yield _line('rollout_compared', comparison.new_calls, **labels)
        yield _line('rollout_excess', comparison.excess, **labels)
        yield _line('rollout_evidence', comparison.total, **labels)


def _operator_gauges(node: 'MeshNode', now_s: float) -> Iterator[str]:
    state = node.context.state()
    yield _line('version_in_force', node.context.version)
    yield _line('version_age_seconds', now_s - state.origin.in_force_s)
    confirmed_s = node.context.freshness.age_s(now_s)
    if confirmed_s is not None:
        yield _line('state_confirmed_age_seconds', confirmed_s)
    yield _line('operator_log_offset', state.offset)
    yield _line('store_era', state.era)
    yield _line('kept_evacuations', len(state.kept))


def _client_gauges(node: 'MeshNode') -> Iterator[str]:
    """Return what clients hold, and what gave way to others."""
    memory = node.memory
    shares = (
        ('callers', memory.callers),
        ('nodes', memory.nodes),
        ('targets', memory.targets),
    )
    for name, share in shares:
        yield _line('client_memory_bytes', share.held_bytes, share=name)
        yield _line('client_memory_limit_bytes', share.limit_bytes, share=name)
    for listener, state in node.listeners.items():
        yield _line(
            'client_connections', len(state.connections), listener=listener
        )
        for client_state, count in sorted(
            state.evictions.items(), key=lambda item: item[0].value
        ):
            yield _line(
                'clients_closed_total',
                count,
                listener=listener,
                state=client_state.value,
            )
    yield _line(
        'clients_closed_total',
        node.peers.unnamed_dropped,
        listener='nodes',
        state='unnamed',
    )


def _histograms(node: 'MeshNode') -> Iterator[str]:
    for route, latencies in sorted(node.context.counters.latencies.items()):
        yield from _histogram(route, latencies)


def _histogram(route: str, latencies: LatencyHistogram) -> Iterator[str]:
    total = 0
    bounds = [str(bound_s) for bound_s in LATENCY_BOUNDS_S]
    for bound, count in zip((*bounds, '+Inf'), latencies.counts, strict=True):
        total += count
        yield _line('request_seconds_bucket', total, route=route, le=bound)
    yield _line('request_seconds_sum', latencies.total_s, route=route)
    yield _line('request_seconds_count', total, route=route)


def _line(name: str, sample: float, **labels: str) -> str:
    label_pairs = ','.join(f'{key}="{text}"' for key, text in labels.items())
    label_block = f'{{{label_pairs}}}' if label_pairs else ''
    return f'{PREFIX}_{name}{label_block} {sample:g}'
