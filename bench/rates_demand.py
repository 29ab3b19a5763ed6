"""Demand within every organisation's rate, most of it at one entry node."""

from collections.abc import Iterator
from dataclasses import dataclass
from random import Random

from bench.rates_resplit import Resplit
from bench.rates_world import Fleet
from rattanstile.request.ids import OrganisationId
from rattanstile.version.declaration import Organisation

SHARE_OF_RATE = 0.9
SKEW = 10
BURST_MIN_CALLS = 20
SETTLE_S = 6.0


def organisations_of(
    rates_per_s: tuple[float, ...],
) -> tuple[Organisation, ...]:
    """Return organisations with a burst of a second of their rate, or more."""
    return tuple(
        Organisation(
            name=OrganisationId(f'o{index}'),
            rate_per_s=rate_per_s,
            burst_calls=max(BURST_MIN_CALLS, int(rate_per_s)),
        )
        for index, rate_per_s in enumerate(rates_per_s)
    )


class Demand:
    """Poisson arrivals at a share of each rate, skewed over the nodes."""

    def __init__(
        self, seed: int, nodes: int, organisations: tuple[Organisation, ...]
    ) -> None:
        """Start the fleet; calls come once the owners have started."""
        self.random = Random(seed)
        self.organisations = organisations
        self.fleet = Fleet(seed, nodes, organisations)
        self.counted_from_s = SETTLE_S
        for index, one in enumerate(organisations):
            weights = [1 for _ in range(nodes)]
            weights[index % nodes] = SKEW
            self._source(one, weights)

    def run(self, until_s: float) -> None:
        """Run up to a time."""
        self.fleet.world.run(until_s)

    def wrongful(self, from_s: float, until_s: float) -> 'Wrongful':
        """Count the calls refused although one bucket would admit them.

        The one bucket has the whole rate and burst, sees every arrival at
        once, and knows no failure: what it refuses was over the rate.
        """
        return self._count(self.fleet.refusals, from_s, until_s)

    def resplit(self, from_s: float, until_s: float) -> 'Wrongful':
        """Count the same for the same arrivals under the other design."""
        refusals = {
            one.name: Resplit(one, self.fleet.count).refusals(
                self.fleet.arrivals[one.name]
            )
            for one in self.organisations
        }
        return self._count(refusals, from_s, until_s)

    def _count(
        self,
        refusals: dict[str, set[int]],
        from_s: float,
        until_s: float,
    ) -> 'Wrongful':
        shares: dict[OrganisationId, tuple[int, int, int]] = {}
        for one in self.organisations:
            wrong, over, total = 0, 0, 0
            for arrived_s, number, is_within in _judged(
                self.fleet.arrivals[one.name], one
            ):
                if from_s <= arrived_s < until_s:
                    is_refused = number in refusals[one.name]
                    total += 1
                    over += not is_within
                    wrong += is_refused and is_within
            shares[one.name] = (wrong, over, total)
        return Wrongful(shares)

    def _source(self, one: Organisation, weights: list[int]) -> None:
        world = self.fleet.world
        indexes = range(len(weights))
        rate_per_s = one.rate_per_s * SHARE_OF_RATE

        def arrive() -> None:
            world.after(self.random.expovariate(rate_per_s), arrive)
            index = self.random.choices(indexes, weights)[0]
            self.fleet.nodes[index].request(one.name)

        world.at(SETTLE_S - 1.0, arrive)


def _judged(
    arrivals: list[tuple[float, int, int]], one: Organisation
) -> Iterator[tuple[float, int, bool]]:
    tokens = float(one.burst_calls)
    last_s = 0.0
    for arrived_s, number, _ in arrivals:
        earned = (arrived_s - last_s) * one.rate_per_s
        tokens = min(one.burst_calls, tokens + earned)
        last_s = arrived_s
        is_within = tokens >= 1
        tokens -= is_within
        yield arrived_s, number, is_within


@dataclass(frozen=True, slots=True)
class Wrongful:
    """Calls by organisation: refused wrongfully, over the rate, all."""

    counts: dict[OrganisationId, tuple[int, int, int]]

    def share(self) -> float:
        """Return the share of all calls that were refused wrongfully."""
        total = sum(count[2] for count in self.counts.values())
        return sum(count[0] for count in self.counts.values()) / max(1, total)

    def worst(self) -> tuple[OrganisationId, float]:
        """Return the worst-served organisation and its share."""
        shares = {
            name: count[0] / max(1, count[2])
            for name, count in self.counts.items()
        }
        name = max(shares, key=shares.__getitem__)
        return name, shares[name]
