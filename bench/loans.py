"""Loans: control bytes of one entry node, by organisations that call it."""

from collections.abc import Iterator
from dataclasses import dataclass
from functools import partial
from random import Random

import msgspec

from bench.rates_world import World
from bench.row import Row
from rattanstile.process.control_messages import (
    ControlArrived,
    LogRecordRead,
    SendControl,
)
from rattanstile.process.messages import Ticked
from rattanstile.process.rates.rate_borrower import Borrower
from rattanstile.process.rates.rate_messages import LoanGrant, LoanRequest
from rattanstile.process.rates.rate_owner import TICK_S
from rattanstile.process.rates.rate_shares import shard_count
from rattanstile.request.ids import Incarnation, NodeId
from rattanstile.version.declaration import Organisation
from rattanstile.version.rate_records import OwnerClaimRecord, ProcessId

CALLS_PER_S = 280.0
COUNTED_S = 30.0
LINK_S = 0.003
PLENTY = 1_000_000
CALLING = (1, 8)
BYTES_BOUND = 2048
ME = ProcessId(node_id=NodeId('node-00000'), incarnation=Incarnation(1))


@dataclass(frozen=True, slots=True)
class LoanTraffic:
    """What an entry node and its owners send each other for loans."""

    loans_per_s: float
    bytes_per_s: float


def rows() -> Iterator[Row]:
    """Yield the bytes of loans against the bound of all control."""
    for count in CALLING:
        found = loan_traffic(count)
        yield Row(
            f'loans: control bytes of an entry node, {count} organisations',
            f'{found.bytes_per_s:.0f} B/s, {found.loans_per_s:.0f} loans/s',
            f'at most {BYTES_BOUND} B/s for all control',
            found.bytes_per_s <= BYTES_BOUND,
        )


def size_bytes(message: msgspec.Struct) -> int:
    """Return the size of a message as it travels."""
    return len(msgspec.msgpack.encode(message))


def claim_of(shard: int) -> OwnerClaimRecord:
    """Return a claim of a shard by another process."""
    other = ProcessId(node_id=NodeId('other'), incarnation=Incarnation(1))
    return OwnerClaimRecord(
        record_id=f'c{shard}', shard=shard, epoch=1, owner=other, witnesses=()
    )


def rich_organisations(count: int) -> tuple[Organisation, ...]:
    """Return organisations with plenty, and names of the usual length."""
    return tuple(
        Organisation(
            name=f'organisation-{index}', rate_per_s=1e6, burst_calls=1_000_000
        )
        for index in range(count)
    )


def loan_traffic(count: int) -> LoanTraffic:
    """Count the loans of one entry node whose owners have plenty.

    Args:
        count: Organisations that call it, together `CALLS_PER_S`.
    """
    machine = Borrower(ME, Random(1))
    organisations = rich_organisations(count)
    machine.configure(0.0, organisations, 64, is_first_version=True)
    for shard in range(shard_count(64)):
        machine.step(0.0, LogRecordRead('rates', claim_of(shard)))
    world = World(Random(2))
    moved = [0, 0]

    def carry(outputs) -> None:
        for output in outputs:
            if isinstance(output, SendControl):
                answer = _granted(output.message)
                moved[0] += 1
                moved[1] += size_bytes(output.message) + size_bytes(answer)
                arrived = ControlArrived(output.receiver, answer)
                world.after(LINK_S, partial(take, arrived))

    def take(message) -> None:
        carry(machine.step(world.now_s, message))

    def call() -> None:
        world.after(world.random.expovariate(CALLS_PER_S), call)
        name = world.random.choice(organisations).name
        machine.admit(world.now_s, name, 1)
        carry(machine.take_outputs())

    def tick() -> None:
        world.after(TICK_S, tick)
        take(Ticked())

    call()
    tick()
    world.run(COUNTED_S)
    return LoanTraffic(moved[0] / COUNTED_S, moved[1] / COUNTED_S)


def _granted(request: LoanRequest) -> LoanGrant:
    return LoanGrant(
        shard=request.shard,
        epoch=request.epoch,
        organisation=request.organisation,
        sequence=request.sequence,
        extended=request.held > 0,
        granted=request.requested,
        left=PLENTY,
        retry_after_ms=0,
    )
