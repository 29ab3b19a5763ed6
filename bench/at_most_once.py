"""At most once: silent connections, kills, pauses, lost and late answers."""

from collections import Counter
from dataclasses import dataclass, field

import logbook

from bench.once_world import World
from bench.row import Row
from rattanstile.request.outcome import Outcome

SEEDS = 2000
BASELINE_SEEDS = 200
FEWEST_SEEDS_WITH_A_WHOLE = 0.95


@dataclass(slots=True)
class Tally:
    """What was seen over all seeds."""

    seeds: int = 0
    seeds_with_a_whole: int = 0
    ran_again: list[int] = field(default_factory=list)
    false_not_run: list[int] = field(default_factory=list)
    refused_and_ran: list[int] = field(default_factory=list)
    wrong_answers: list[int] = field(default_factory=list)
    unended: list[int] = field(default_factory=list)
    outcomes: Counter[tuple[str, str]] = field(default_factory=Counter)

    def count(self, seed: int, world: World) -> None:
        """Count what one seed came to."""
        self.seeds += 1
        endings = [one.told[-1] for one in world.operations if one.told]
        self.seeds_with_a_whole += Outcome.WHOLE in endings
        if world.ran_ids & world.refused_ids:
            self.refused_and_ran.append(seed)
        for one in world.operations:
            ending = one.told[-1].value if one.told else 'none'
            self.outcomes[one.mode, ending] += 1
            if one.runs > 1:
                self.ran_again.append(seed)
            if one.runs and one.told_not_run:
                self.false_not_run.append(seed)
            if one.wrong_answers:
                self.wrong_answers.append(seed)
            if not one.is_over:
                self.unended.append(seed)

    def table(self) -> str:
        """Return how the calls ended."""
        ended: Counter[str] = Counter()
        for (_, ending), calls in self.outcomes.items():
            ended[ending] += calls
        total = sum(ended.values())
        return ', '.join(
            f'{ending} {calls / total:.1%}'
            for ending, calls in sorted(ended.items())
        )


def measured(seeds: int, *, idempotent: bool = False) -> Tally:
    """Run seeds and return what was seen."""
    tally = Tally()
    with logbook.NullHandler().applicationbound():
        for seed in range(seeds):
            world = World(seed, idempotent=idempotent)
            world.run()
            tally.count(seed, world)
    return tally


def rows() -> list[Row]:
    """Return the invariant rows, and the one that refusing all would fail."""
    tally = measured(SEEDS)
    naive = measured(BASELINE_SEEDS, idempotent=True)
    invariants = [
        ('runs beyond one of a call', tally.ran_again, naive.ran_again),
        ('false not-run', tally.false_not_run, naive.false_not_run),
        (
            'call ids that a home refused and that ran',
            tally.refused_and_ran,
            naive.refused_and_ran,
        ),
        ('answers to the wrong call', tally.wrong_answers, naive.wrong_answers),
        ('calls without an end', tally.unended, naive.unended),
    ]
    held = [
        Row(
            case=f'at most once, {SEEDS} seeds of faults: {name}',
            figure=_seeds(found),
            bound='0',
            held=not found,
            baseline=f'{len(other)} in {BASELINE_SEEDS} seeds',
        )
        for name, found, other in invariants
    ]
    share = tally.seeds_with_a_whole / tally.seeds
    return [
        *held,
        Row(
            case='at most once: seeds with at least one whole answer',
            figure=f'{share:.1%} ({tally.table()})',
            bound=f'at least {FEWEST_SEEDS_WITH_A_WHOLE:.0%}',
            held=share >= FEWEST_SEEDS_WITH_A_WHOLE,
            baseline=naive.table(),
        ),
    ]


def _seeds(found: list[int]) -> str:
    if not found:
        return '0'
    return f'{len(found)} (seeds {found[:5]})'
