"""Configuration in force: convergence, withdrawn keys, bytes, races."""

from logbook import NullHandler

from bench.configuration_bytes import relay_bytes
from bench.configuration_races import races
from bench.configuration_schedules import (
    Findings,
    log_outage,
    random_schedules,
    relay_always_open,
    relay_by_majority,
    unheard_acceptance,
)
from bench.row import Row

SEEDS = 2_000
BASELINE_SEEDS = 60
RACES = 200
IN_FORCE_BOUND_S = 4.0
BYTES_BOUND = 2_000
OUTAGE_S = 600.0
UNHEARD_S = 10.0
FLEETS = ((14, 3), (1_400, 18), (14_000, 18))


def rows() -> list[Row]:
    """Measure every case on fixed seeds."""
    with NullHandler():
        seen = random_schedules(SEEDS)
        return [
            _in_force_row(seen),
            _withdrawn_row(seen),
            _outage_row(),
            _unheard_row(),
            _races_row(),
            *(_bytes_row(nodes, domains) for nodes, domains in FLEETS),
        ]


def _in_force_row(seen: Findings) -> Row:
    return Row(
        case=f'configuration: in force after faults, {SEEDS} seeds',
        figure=(
            f'{seen.late} late, slowest {seen.slowest_s:.2f} s,'
            f' {seen.fell} versions fell'
        ),
        bound=f'0 later than {IN_FORCE_BOUND_S:.0f} s, 0 fell',
        held=not seen.late and not seen.fell,
    )


def _withdrawn_row(seen: Findings) -> Row:
    majority = random_schedules(BASELINE_SEEDS, relay_by_majority)
    always = random_schedules(BASELINE_SEEDS, relay_always_open)
    return Row(
        case=f'configuration: key withdrawn under partitions, {SEEDS} seeds',
        figure=(
            f'last admitted {seen.last_admission_s:.2f} s after,'
            f' {seen.closed / seen.samples:.1%} of samples closed'
        ),
        bound=f'{IN_FORCE_BOUND_S:.0f} s',
        held=not seen.admitted_late,
        baseline=(
            f'never closing {always.last_admission_s:.2f} s, by majority'
            f' {majority.last_admission_s:.2f} s ({BASELINE_SEEDS} seeds)'
        ),
    )


def _outage_row() -> Row:
    seen = log_outage(OUTAGE_S)
    return Row(
        case=f'configuration: log down {OUTAGE_S:.0f} s, nodes hear each other',
        figure=(
            f'{seen.closed:.2%} of samples closed to keyed calls;'
            f' a change after it in force in {seen.slowest_s:.2f} s'
        ),
        bound=f'0% closed, {IN_FORCE_BOUND_S:.0f} s',
        held=not seen.closed and seen.slowest_s <= IN_FORCE_BOUND_S,
    )


def _unheard_row() -> Row:
    last_s = unheard_acceptance(UNHEARD_S)
    return Row(
        case='configuration: key withdrawn in a log that no node reaches',
        figure=f'last admitted {last_s:.1f} s after (of {UNHEARD_S:.0f} s)',
        bound=f'{IN_FORCE_BOUND_S:.0f} s',
        held=last_s <= IN_FORCE_BOUND_S,
    )


def _races_row() -> Row:
    seen = races(RACES)
    return Row(
        case=f'configuration: racing confirmations, {RACES} seeds',
        figure=(
            f'{seen.lied} untrue; {seen.won} won, {seen.conflicts} conflicts,'
            f' {seen.uncertain} uncertain, {seen.refused} refused'
        ),
        bound='0 untrue',
        held=not seen.lied and seen.won > 0 and seen.conflicts > 0,
    )


def _bytes_row(nodes: int, domains: int) -> Row:
    seen = relay_bytes(nodes, domains)
    return Row(
        case=f'configuration: relay bytes a second, {nodes} nodes',
        figure=(
            f'worst node {seen.worst:.0f}, mean {seen.mean:.0f}'
            f' (change record {seen.change_bytes} B)'
        ),
        bound=f'{BYTES_BOUND}',
        held=seen.worst <= BYTES_BOUND,
    )
