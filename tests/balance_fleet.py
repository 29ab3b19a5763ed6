"""Model of a service whose callers choose targets by old load reports.

Runs the queue of the node (`TargetQueue`), its load reports and its choice of
a target on a simulated clock, without a network.
"""

import heapq
from dataclasses import dataclass, field
from itertools import count
from random import Random
from statistics import fmean

from mesh_samples import served_call

from rattanstile.connection.peer_messages import TargetLoad
from rattanstile.process.mesh.placement.placement import Candidate
from rattanstile.process.mesh.placement.target_speed import ServiceSpeed
from rattanstile.process.mesh.serving.pass_on import passes_on
from rattanstile.process.mesh.serving.reported_times import ReportedTimes
from rattanstile.process.mesh.serving.target_gate import (
    TargetQueue,
    WaitingCall,
)
from rattanstile.request.exchange import NotRunReason

SHORT_S = 0.015
LONG_S = 0.4
LONG_SHARE = 0.3
SLOW_FACTOR = 2.5
SLOW_SHARE = 0.15
SLOW_S = 0.6
REPORT_PERIOD_S = 0.35
REPORT_DELAY_S = 0.25
"""With the period, reports are 0.25 to 0.6 s old when they are used."""
LINK_S = 0.0005
CROSS_LINK_S = 0.002
OBJECTIVE_S = 1.0
MAX_LOCAL_WAIT_S = 0.3
MAX_MOVES = 4
SAMPLE_PERIOD_S = 0.05
WINDOW_S = 1.0
WARM_UP_S = 2.0


@dataclass(frozen=True)
class Fleet:
    """Size and speeds of a simulated fleet.

    Attributes:
        nodes: Nodes that send calls.
        speeds: Speeds of the targets; domains take them in order.
        load: Offered load as a share of the capacity.
        domain_demand: Demand of each domain over its own capacity, relative
            to the mean.
    """

    nodes: int
    domains: int
    targets: int
    speeds: tuple[float, ...]
    load: float
    domain_demand: tuple[float, ...] = ()
    has_slow_moments: bool = True
    long_share: float = LONG_SHARE
    slots: tuple[int, int] = (54, 79)
    duration_s: float = 6.0


@dataclass(eq=False)
class SimTarget:
    """A target with its queue."""

    index: int
    domain: int
    speed: float
    queue: TargetQueue
    times: ReportedTimes = field(default_factory=ReportedTimes)
    slow_s: float = 0.0
    slow_until_s: float = 0.0
    arrived: int = 0

    def factor(self, now_s):
        slow = SLOW_FACTOR if now_s < self.slow_until_s else 1.0
        return slow / self.speed


@dataclass(eq=False)
class SimCall:
    """A call in progress."""

    node: int
    domain: int
    base_s: float
    arrived_s: float
    noise: float
    moves: int = 0
    tried: set = field(default_factory=set)


@dataclass
class Result:
    """What a run showed.

    Attributes:
        ratio: Busiest target to the mean, by calls taken over own speed and
            slots, averaged over windows of a second.
        momentary_ratio: The same over the speed in each window, which moments
            of slowness reduce.
        occupancy_ratio: The same by calls running and waiting over slots.
        idle: Share of targets with 0.3 of their slots free while another
            target of the service has a queue.
    """

    ratio: float = 0.0
    momentary_ratio: float = 0.0
    occupancy_ratio: float = 0.0
    idle: float = 0.0
    mean_wait_s: float = 0.0
    p99_wait_s: float = 0.0
    mean_latency_s: float = 0.0
    cross_share: float = 0.0
    moves_share: float = 0.0
    lost_share: float = 0.0

    def text(self):
        return (
            f'ratio {self.ratio:.2f} momentary {self.momentary_ratio:.2f} '
            f'occupancy {self.occupancy_ratio:.2f} '
            f'idle {self.idle:.3f} wait {self.mean_wait_s * 1e3:.1f} ms '
            f'p99 {self.p99_wait_s * 1e3:.0f} ms '
            f'latency {self.mean_latency_s * 1e3:.0f} ms '
            f'cross {self.cross_share:.3f} '
            f'moved {self.moves_share:.3f} lost {self.lost_share:.4f}'
        )


class FleetModel:
    """Runs a fleet with one choice of targets.

    Args:
        fleet: Size and speeds.
        choose: The choice, with the arguments of `placement.choose`.
        may_pass_on: Whether a full target passes calls on.
        seed: Seed of all randomness. Arrivals, calls and moments of slowness
            don't depend on the choices.
    """

    def __init__(self, fleet, choose, *, may_pass_on, seed=1):
        self.fleet = fleet
        self.world_rng = Random(seed)
        self.rng = Random(seed)
        self.now_s = 0.0
        self._events = []
        self._sequence = count()
        self.targets = [self._target(k) for k in range(fleet.targets)]
        self.choose = choose
        self.may_pass_on = may_pass_on
        self.views = [self._view(k) for k in range(fleet.nodes)]
        self.siblings = [self._siblings(each) for each in self.targets]
        self.listeners = [[] for _ in self.targets]
        for view in (*self.views, *self.siblings):
            for each in view:
                self.listeners[each.node_id].append(each)
        self.served = {
            (base_s, moves): served_call(
                route='long' if base_s == LONG_S else 'short',
                latency_objective_ms=int(OBJECTIVE_S * 1000),
                moves=moves,
            )
            for base_s in (SHORT_S, LONG_S)
            for moves in range(MAX_MOVES + 1)
        }
        self._waits_s = []
        self._latencies_s = []
        self._ratios = []
        self._own_ratios = []
        self._occupancies = []
        self._occupied = [0.0] * fleet.targets
        self._idle_samples = self._samples = 0
        self._sent = self._crossed = self._moved = self._lost = 0
        self._calls = 0

    def _target(self, index):
        fleet = self.fleet
        queue = TargetQueue()
        queue.slots = self.world_rng.randint(*fleet.slots)
        domain = index * fleet.domains // fleet.targets
        speed = fleet.speeds[index % len(fleet.speeds)]
        return SimTarget(index, domain, speed, queue)

    def _view(self, node):
        domain = node % self.fleet.domains
        near = [each for each in self.targets if each.domain == domain]
        far = [each for each in self.targets if each.domain != domain]
        if len(far) > 3 and len(self.targets) > 4:
            far = self.world_rng.sample(far, 3)
        speed = ServiceSpeed()
        return [
            Candidate(
                each.index,
                'registry',
                each.domain,
                self._load(each, 0.0),
                service_speed=speed,
            )
            for each in (*near, *far)
        ]

    def _siblings(self, target):
        return [
            Candidate(
                each.index, 'registry', each.domain, self._load(each, 0.0)
            )
            for each in self.targets
            if each is not target and each.domain == target.domain
        ]

    # Events

    def at(self, when_s, handler, *args):
        heapq.heappush(
            self._events, (when_s, next(self._sequence), handler, args)
        )

    def run(self):
        """Run the fleet and return what it showed."""
        fleet = self.fleet
        capacity = [
            each.speed * each.queue.limit / self._mean_base_s()
            for each in self.targets
        ]
        demand = fleet.domain_demand or (1.0,) * fleet.domains
        self._domain_weights = [
            demand[domain]
            * sum(
                capacity[each.index]
                for each in self.targets
                if each.domain == domain
            )
            for domain in range(fleet.domains)
        ]
        slow = SLOW_SHARE * (SLOW_FACTOR - 1) if fleet.has_slow_moments else 0
        self._rate_per_s = fleet.load * sum(capacity) / (1 + slow)
        for each in self.targets:
            self.at(
                self.world_rng.random() * REPORT_PERIOD_S, self._report, each
            )
            if fleet.has_slow_moments:
                self.at(self._until_slow_s(), self._slow, each)
        self.at(0.0, self._arrive)
        self.at(SAMPLE_PERIOD_S, self._sample)
        self.at(WARM_UP_S, self._window, True)
        while self._events:
            self.now_s, _, handler, args = heapq.heappop(self._events)
            if self.now_s > fleet.duration_s:
                break
            handler(*args)
        return self._result()

    def _mean_base_s(self):
        share = self.fleet.long_share
        return share * LONG_S + (1 - share) * SHORT_S

    def _until_slow_s(self):
        return self.world_rng.expovariate(
            SLOW_SHARE / (1 - SLOW_SHARE) / SLOW_S
        )

    def _slow(self, target):
        target.slow_until_s = self.now_s + SLOW_S
        window_left_s = WINDOW_S - self.now_s % WINDOW_S
        target.slow_s += min(SLOW_S, window_left_s)
        self.at(target.slow_until_s + self._until_slow_s(), self._slow, target)

    def _arrive(self):
        rng = self.world_rng
        self.at(self.now_s + rng.expovariate(self._rate_per_s), self._arrive)
        domains = self.fleet.domains
        domain = rng.choices(range(domains), self._domain_weights)[0]
        nodes = range(domain, self.fleet.nodes, domains)
        base_s = LONG_S if rng.random() < self.fleet.long_share else SHORT_S
        call = SimCall(
            rng.choice(nodes), domain, base_s, self.now_s, rng.uniform(0.8, 1.2)
        )
        self._calls += 1
        self._place(call)

    def _place(self, call):
        usable = [
            each
            for each in self.views[call.node]
            if each.node_id not in call.tried
        ]
        chosen = self.choose(
            usable, call.domain, MAX_LOCAL_WAIT_S, self.rng, self.now_s
        )
        if chosen is None and call.moves == 1:
            call.tried.clear()
            chosen = self.choose(
                self.views[call.node],
                call.domain,
                MAX_LOCAL_WAIT_S,
                self.rng,
                self.now_s,
            )
        if chosen is None:
            self._lost += 1
            return
        chosen.count_sent()
        self._sent += 1
        self._crossed += chosen.domain != call.domain
        self.at(
            self.now_s + self._link_s(chosen, call),
            self._offered,
            chosen,
            call,
        )

    @staticmethod
    def _link_s(chosen, call):
        return LINK_S if chosen.domain == call.domain else CROSS_LINK_S

    def _offered(self, chosen, call):
        target = self.targets[chosen.node_id]
        served = self.served[call.base_s, call.moves]
        waiting = WaitingCall((chosen, call), served, self.now_s, 1e9)
        reason = None
        if not self.may_pass_on or not passes_on(
            served,
            target.queue,
            self.siblings[target.index],
            target.domain,
        ):
            reason = target.queue.offer(self.now_s, waiting, is_cold=False)
        else:
            reason = NotRunReason.QUEUE_FULL
        if reason:
            self.at(
                self.now_s + self._link_s(chosen, call),
                self._refused,
                chosen,
                call,
                self._load(target, self.now_s),
            )
            return
        target.arrived += 1
        self._start(target)

    def _refused(self, chosen, call, load):
        chosen.update_load(load, self.now_s)
        call.tried.add(chosen.node_id)
        call.moves += 1
        self._moved += 1
        if call.moves >= MAX_MOVES:
            self._lost += 1
            return
        self._place(call)

    def _start(self, target):
        while True:
            waiting = target.queue.take(self.now_s, is_cold=False)
            if waiting is None:
                return
            _, call = waiting.key
            if self.now_s > WARM_UP_S:
                self._waits_s.append(self.now_s - call.arrived_s)
            took_s = call.base_s * call.noise * target.factor(self.now_s)
            self.at(self.now_s + took_s, self._ended, target, waiting)

    def _ended(self, target, waiting):
        target.queue.release(self.now_s, waiting, has_run=True)
        chosen, call = waiting.key
        took_s = self.now_s - waiting.started_s
        target.times.record(self.now_s, waiting.call.route, took_s)
        self._start(target)
        self.at(
            self.now_s + self._link_s(chosen, call),
            self._answered,
            chosen,
            call,
            self._load(target, self.now_s),
        )

    def _answered(self, chosen, call, load):
        chosen.update_load(load, self.now_s)
        if self.now_s > WARM_UP_S:
            self._latencies_s.append(self.now_s - call.arrived_s)

    def _load(self, target, now_s):
        queue = target.queue
        return TargetLoad(
            is_usable=True,
            pending_calls=queue.in_flight + queue.waiting,
            limit=queue.limit,
            service_us=int(queue.service_s * 1e6) if queue.run_count else 0,
            wait_us=int(max(0.0, queue.expected_wait_s(is_cold=False)) * 1e6),
            offered_deci_per_s=int(queue.offered_per_s(now_s) * 10),
            capacity_deci_per_s=int(queue.capacity_per_s(is_cold=False) * 10),
            route_code=target.times.last_code,
            route_deci_ms=target.times.last_deci_ms,
            pace_percent=target.times.pace_percent(now_s),
        )

    def _report(self, target):
        self.at(self.now_s + REPORT_PERIOD_S, self._report, target)
        load = self._load(target, self.now_s)
        self.at(
            self.now_s + REPORT_DELAY_S,
            self._report_received,
            target,
            load,
            self.now_s,
        )

    def _report_received(self, target, load, reported_s):
        for each in self.listeners[target.index]:
            if each.load_received_s < reported_s:
                each.update_load(load, self.now_s)

    # Measures

    def _sample(self):
        self.at(self.now_s + SAMPLE_PERIOD_S, self._sample)
        is_queueing = any(each.queue.waiting for each in self.targets)
        for each in self.targets:
            queue = each.queue
            pending = queue.in_flight + queue.waiting
            self._occupied[each.index] += pending / queue.limit
            if self.now_s > WARM_UP_S:
                self._samples += 1
                is_free = pending < 0.7 * queue.limit
                self._idle_samples += is_queueing and is_free

    def _window(self, is_first=False):
        self.at(self.now_s + WINDOW_S, self._window)
        if not is_first:
            loads = [
                each.arrived / (each.speed * each.queue.limit)
                for each in self.targets
            ]
            self._ratios.append(max(loads) / fmean(loads))
            own = [
                load / (1 - each.slow_s * (1 - 1 / SLOW_FACTOR))
                for load, each in zip(loads, self.targets, strict=True)
            ]
            self._own_ratios.append(max(own) / fmean(own))
            self._occupancies.append(
                max(self._occupied) / fmean(self._occupied)
            )
        for each in self.targets:
            each.arrived = 0
            each.slow_s = max(0.0, each.slow_until_s - self.now_s)
        self._occupied = [0.0] * len(self.targets)

    def _result(self):
        waits_s = sorted(self._waits_s)
        return Result(
            ratio=fmean(self._ratios),
            momentary_ratio=fmean(self._own_ratios),
            occupancy_ratio=fmean(self._occupancies),
            idle=self._idle_samples / max(1, self._samples),
            mean_wait_s=fmean(waits_s),
            p99_wait_s=waits_s[int(len(waits_s) * 0.99)],
            mean_latency_s=fmean(self._latencies_s),
            cross_share=self._crossed / self._sent,
            moves_share=self._moved / self._sent,
            lost_share=self._lost / self._calls,
        )
