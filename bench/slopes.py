"""Slopes of the control machines: time, bytes and memory as things grow."""

import gc
import sys
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from bench.loans import (
    CALLS_PER_S,
    COUNTED_S,
    ME,
    claim_of,
    loan_traffic,
    rich_organisations,
    size_bytes,
)
from bench.membership_sample import SampledFleet, update_of
from bench.membership_world import VirtualMember, member_of
from bench.rates_demand import Demand, organisations_of
from bench.relay_fleet import Fleet
from rattanstile.process.configuration.relay import TICK_S as RELAY_TICK_S
from rattanstile.process.configuration.relay import Relay
from rattanstile.process.configuration.relay_messages import ReadLog
from rattanstile.process.configuration.relay_tree import MAX_READERS
from rattanstile.process.control_messages import (
    LogRecordRead,
)
from rattanstile.process.membership.members import MemberTable
from rattanstile.process.messages import Ticked
from rattanstile.process.rates.rate_borrower import Borrower
from rattanstile.process.rates.rate_bucket import LendingBucket
from rattanstile.process.rates.rate_candidate import MAX_WITNESSES
from rattanstile.process.rates.rate_lease import RENEW_PERIOD_S
from rattanstile.process.rates.rate_messages import (
    LeaseRequest,
    LeaseGrant,
    LoanGrant,
    LoanRequest,
    StaticSlotChanged,
)
from rattanstile.process.rates.rate_owner import TICK_S, RateOwner
from rattanstile.process.rates.rate_shares import Share, shard_count
from rattanstile.process.serving.home_table import HomeTable
from rattanstile.request.call_id import CallIdIssuer
from rattanstile.request.envelope import Call, Reply
from rattanstile.request.ids import Incarnation, NodeId
from rattanstile.request.outcome import Outcome
from rattanstile.version.declaration import Declaration, Organisation
from rattanstile.version.in_force import VersionInForce
from rattanstile.version.rate_records import ProcessId

MEMBERSHIP_SIZES = ((14, 3, 4), (140, 3, 8), (1400, 18, 66), (14_000, 18, 660))
WARM_S = 10.0
BORROWERS = (14, 140, 1400, 14_000)
RELAY_SIZES = ((14, 3), (1400, 18), (14_000, 18))
ORGANISATIONS = (8, 80, 800)
ENTRY_ORGANISATIONS = (1, 8, 80)
REPEATS = 2000


@dataclass(frozen=True, slots=True)
class Slope:
    """One measured point.

    Attributes:
        size: What grows, and how far.
        figure: What was measured, with its unit.
    """

    role: str
    size: str
    figure: str


def spent_us(action: Callable[[], object], repeats: int = REPEATS) -> float:
    """Return the processor time of one run of an action."""
    started_s = time.process_time()
    for _ in range(repeats):
        action()
    return (time.process_time() - started_s) / repeats * 1e6


def kept_bytes(build: Callable[[], object]) -> int:
    """Return the memory that what an action builds holds."""
    gc.collect()
    tracemalloc.start()
    built = build()
    gc.collect()
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del built
    return held


def membership() -> list[Slope]:
    """Return time, bytes and memory of gossip members and directories."""
    slopes = []
    for members, domains, services in MEMBERSHIP_SIZES:
        fleet = SampledFleet(1, members, domains, services)
        fleet.world.run(WARM_S)
        meters = [_Meter(node) for node in fleet.live()]
        fleet.world.run(WARM_S + COUNTED_S)
        directories = set(next(iter(fleet.live())).machine.directories())
        for role, is_one in (('gossip member', False), ('directory', True)):
            chosen = [
                meter
                for meter in meters
                if (meter.node.member.node_id in directories) is is_one
            ]
            if chosen:
                slopes.append(_membership_slope(role, members, chosen))
    slopes.append(_table_memory())
    return slopes


class _Meter:
    """Counts what one node spends and moves from now on."""

    def __init__(self, node: VirtualMember) -> None:
        """Wrap the node's machine."""
        self.node = node
        self.spent_s = 0.0
        self.steps = 0
        self._bytes = node.traffic.total()
        self._step = node.machine.step
        node.machine.step = self._timed  # type: ignore[method-assign]

    def _timed(self, now_s, message):
        started_s = time.perf_counter()
        outputs = self._step(now_s, message)
        self.spent_s += time.perf_counter() - started_s
        self.steps += 1
        return outputs

    def bytes_per_s(self) -> float:
        """Return bytes sent and received a second."""
        return (self.node.traffic.total() - self._bytes) / COUNTED_S

    def core_share(self) -> float:
        """Return the share of a core."""
        return self.spent_s / COUNTED_S


def _membership_slope(role: str, members: int, meters: list[_Meter]) -> Slope:
    count = len(meters)
    share = sum(meter.core_share() for meter in meters) / count
    steps = sum(meter.steps for meter in meters) / count / COUNTED_S
    moved = max(meter.bytes_per_s() for meter in meters)
    return Slope(
        role,
        f'{members} members',
        f'{share:.3%} of a core, {steps:.0f} steps/s,'
        f' {moved:.0f} B/s at the busiest',
    )


def _table_memory() -> Slope:
    members = 14_000

    def build() -> MemberTable:
        table = MemberTable()
        for index in range(members):
            table.apply(0.0, update_of(member_of(index, 18, 660)))
        return table

    held = kept_bytes(build)
    return Slope(
        'directory',
        f'table of {members} members',
        f'{held / 1e6:.1f} MB, {held / members:.0f} B a member',
    )


def owner() -> list[Slope]:
    """Return time and memory of a shard's bucket by its borrowers."""
    slopes = []
    for borrowers in BORROWERS:
        bucket = LendingBucket(0.0, Share(1e6, 1e6))
        clock = _Clock(0.3 / borrowers)
        processes = [
            ProcessId(
                node_id=NodeId(f'node-{index:05}'), incarnation=Incarnation(1)
            )
            for index in range(borrowers)
        ]

        def ask(bucket=bucket, clock=clock, processes=processes) -> None:
            count = clock.count
            borrower = processes[count % len(processes)]
            bucket.lend(clock.next_s(), borrower, _request(count + 1))

        spent_us(ask, borrowers)
        cost_us = spent_us(ask, max(borrowers, REPEATS))
        slopes.append(
            Slope(
                'rate owner',
                f'{borrowers} borrowers of one organisation',
                f'{cost_us:.1f} us a loan',
            )
        )
    held = kept_bytes(lambda: _lent_bucket(BORROWERS[-1]))
    slopes.append(
        Slope(
            'rate owner',
            f'{BORROWERS[-1]} accounts',
            f'{held / BORROWERS[-1]:.0f} B an account',
        )
    )
    slopes.extend(_messages())
    slopes.append(_idle_owner())
    return slopes


@dataclass(slots=True)
class _Clock:
    step_s: float
    count: int = 0

    def next_s(self) -> float:
        self.count += 1
        return self.count * self.step_s


def _request(sequence: int) -> LoanRequest:
    return LoanRequest(
        shard=100,
        epoch=20,
        organisation='organisation-1',
        incarnation=Incarnation(1_700_000_000_000),
        sequence=sequence,
        held=0,
        spent=sequence,
        requested=5,
        needed=1,
    )


def _lent_bucket(borrowers: int) -> LendingBucket:
    bucket = LendingBucket(0.0, Share(1e6, 1e6))
    for index in range(borrowers):
        process = ProcessId(
            node_id=NodeId(f'node-{index:05}'), incarnation=Incarnation(1)
        )
        bucket.lend(0.1, process, _request(1))
    return bucket


def _messages() -> list[Slope]:
    grant = LoanGrant(
        shard=100,
        epoch=20,
        organisation='organisation-1',
        sequence=1000,
        extended=True,
        granted=5,
        left=100,
        retry_after_ms=0,
    )
    lease = LeaseRequest(shard=100, epoch=20, sequence=1000, witness=ME)
    vouch = LeaseGrant(shard=100, epoch=20, sequence=1000)
    loan_bytes = size_bytes(_request(1000)) + size_bytes(grant)
    lease_bytes = size_bytes(lease) + size_bytes(vouch)
    owner_bytes = lease_bytes * MAX_WITNESSES / RENEW_PERIOD_S
    return [
        Slope('rate owner', 'a loan', f'{loan_bytes} B asked and granted'),
        Slope(
            'rate owner',
            'a lease on one shard',
            f'{owner_bytes:.0f} B/s at the owner,'
            f' {owner_bytes / MAX_WITNESSES:.0f} at a witness',
        ),
    ]


def _idle_owner() -> Slope:
    max_nodes = 16_384
    machine = RateOwner(ME, 'domain-00')
    machine.configure(
        0.0, organisations_of((100.0,)), max_nodes, is_first_version=True
    )
    for shard in range(shard_count(max_nodes)):
        machine.step(0.0, LogRecordRead('rates', claim_of(shard)))
    clock = _Clock(TICK_S)
    cost_us = spent_us(lambda: machine.step(clock.next_s(), Ticked()))
    return Slope(
        'every node',
        f'standing by for {shard_count(max_nodes)} shards',
        f'{cost_us / 1e6 / TICK_S:.3%} of a core',
    )


def entry() -> list[Slope]:
    """Return time and messages of the entry node's side of the rates."""
    slopes = [_admission(count) for count in ORGANISATIONS]
    loans = [_loans(count) for count in ENTRY_ORGANISATIONS]
    return [*slopes, *loans, _loans_per_call()]


def _admission(count: int) -> Slope:
    machine = Borrower(ME, Random(1))
    organisations = rich_organisations(count)
    machine.configure(0.0, organisations, 64, is_first_version=True)
    machine.step(0.0, StaticSlotChanged(0))
    clock = _Clock(0.01)
    name = organisations[0].name
    admit_us = spent_us(lambda: machine.admit(clock.next_s(), name, 1))
    tick_us = spent_us(lambda: machine.step(clock.next_s(), Ticked()))
    return Slope(
        'entry',
        f'{count} organisations',
        f'{admit_us:.1f} us a call admitted at once,'
        f' {tick_us / 1e6 / TICK_S:.3%} of a core for ticks',
    )


def _loans(count: int) -> Slope:
    found = loan_traffic(count)
    return Slope(
        'entry',
        f'{CALLS_PER_S:.0f} calls/s of {count} organisations',
        f'{found.loans_per_s:.0f} loans/s, {found.bytes_per_s:.0f} B/s',
    )


def _loans_per_call() -> Slope:
    demand = Demand(1, 8, organisations_of((120.0, 80.0, 60.0, 20.0)))
    demand.run(20.0)
    before = demand.fleet.messages
    arrived = sum(map(len, demand.fleet.arrivals.values()))
    demand.run(30.0)
    calls = sum(map(len, demand.fleet.arrivals.values())) - arrived
    messages = demand.fleet.messages - before
    return Slope(
        'entry',
        '8 nodes, 4 organisations at 90% of 280 calls/s',
        f'{messages / calls:.2f} messages a call, leases included',
    )


def relay() -> list[Slope]:
    """Return time, reads and appends of relay nodes and log readers."""
    slopes = []
    for nodes, domains in RELAY_SIZES:
        near = [f'node-{place:05}' for place in range(-(-nodes // domains))]
        places = dict.fromkeys(near, 'd0')
        for domain in range(1, domains):
            for place in range(MAX_READERS):
                places[f'far-{domain}-{place}'] = f'd{domain}'
        fleet = Fleet(places, Random(nodes), RELAY_TICK_S)
        fleet.run(WARM_S)
        meters = [_RelayMeter(node.relay) for node in fleet.nodes.values()]
        marks = fleet.marks
        fleet.run(WARM_S + COUNTED_S)
        shares = {True: [0.0], False: [0.0]}
        for meter in meters:
            share = meter.spent_s / COUNTED_S
            shares[meter.relay.reads_log].append(share)
        reads = sum(meter.reads for meter in meters) / COUNTED_S
        slopes.append(
            Slope(
                'relay',
                f'{nodes} nodes, no change of the configuration',
                f'{max(shares[False]):.3%} of a core at the busiest node,'
                f' {max(shares[True]):.3%} at a log reader;'
                f' fleet: {reads:.0f} reads/s of the log,'
                f' {(fleet.marks - marks) / COUNTED_S:.1f} appends/s',
            )
        )
    return slopes


class _RelayMeter:
    """Counts what one relay spends, and its reads, from now on."""

    def __init__(self, relay: Relay) -> None:
        """Wrap the machine."""
        self.relay = relay
        self.spent_s = 0.0
        self.reads = 0
        self._step = relay.step
        relay.step = self._timed  # type: ignore[method-assign]

    def _timed(self, now_s, relay_input):
        started_s = time.perf_counter()
        outputs = self._step(now_s, relay_input)
        self.spent_s += time.perf_counter() - started_s
        self.reads += sum(isinstance(one, ReadLog) for one in outputs)
        return outputs


def home() -> list[Slope]:
    """Return time and memory of a home's table."""
    ids = CallIdIssuer(NodeId('node-00000'), Incarnation(1_700_000_000_000))
    table = HomeTable(0.0, NodeId('node-00000'), Incarnation(1_700_000_000_000))
    calls = [_call(ids) for _ in range(REPEATS)]
    left = iter(calls)
    cost_us = spent_us(lambda: _run_once(table, next(left)))

    def build() -> HomeTable:
        fresh = HomeTable(
            0.0, NodeId('node-00000'), Incarnation(1_700_000_000_000)
        )
        for call in calls:
            _run_once(fresh, call)
        return fresh

    held = kept_bytes(build)
    return [
        Slope(
            'serving node',
            'a call that is not idempotent',
            f'{cost_us:.1f} us, {held / REPEATS:.0f} B kept beside the call id'
            ' and a body of 100 B',
        )
    ]


def _call(ids: CallIdIssuer) -> Call:
    return Call(
        call_id=ids.issue(
            NodeId('node-00000'), Incarnation(1_700_000_000_000), 1
        ).render(),
        attempt=1,
        organisation='organisation-1',
        key_digest='d' * 64,
        service='service-001',
        method='POST',
        path='/claims',
        idempotent=False,
        remaining_ms=5000,
        home=NodeId('node-00000'),
    )


def _run_once(table: HomeTable, call: Call) -> None:
    table.arrive(1.0, call)
    reply = Reply(
        call_id=call.call_id, attempt=1, outcome=Outcome.WHOLE, body=b'x' * 100
    )
    table.ended(1.0, call, reply)


def version() -> list[Slope]:
    """Return memory of a version in force by its organisations."""
    return [_version(count) for count in ORGANISATIONS]


def _version(count: int) -> Slope:
    organisations = tuple(
        Organisation(
            name=f'organisation-{index}',
            rate_per_s=100.0,
            burst_calls=100,
            keys=(f'{index:064}', f'{index + count:064}'),
        )
        for index in range(count)
    )
    declared = Declaration(organisations=organisations)
    held = kept_bytes(lambda: VersionInForce(1, declared))
    return Slope(
        'every node',
        f'version of {count} organisations with 2 keys each',
        f'{size_bytes(declared)} B encoded, {held / 1024:.0f} KiB of indexes',
    )


def main() -> int:
    """Measure every slope and print it.

    Returns:
        0.
    """
    for measure in (membership, relay, owner, entry, home, version):
        for slope in measure():
            print(f'{slope.role:14} | {slope.size:48} | {slope.figure}')
    return 0


if __name__ == '__main__':
    sys.exit(main())
