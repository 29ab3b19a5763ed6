"""Random schedules of faults around greedy organisations."""

from random import Random

from bench.rates_world import Fleet, most_above
from rattanstile.request.ids import OrganisationId
from rattanstile.version.declaration import Organisation
from rattanstile.version.rate_records import OwnerStartedRecord

NODES = 4
LENGTH_S = 4.0
BUSY_TICK_S = 0.05
"""Slower than the machines want: a busy node."""
FAULTS = 4
FAULTS_FROM_S = 0.8
ASK_EVERY_S = 0.05
ASKS = 2
SURGE_ENDS = 0.2
QUIET_S = (0.1, 0.8)


def organisations_of(random: Random) -> tuple[Organisation, ...]:
    """Return one organisation with a small and one with a larger burst."""
    return (
        Organisation(
            name=OrganisationId('small'),
            rate_per_s=random.choice((5.0, 20.0)),
            burst_calls=random.choice((1, 3, 10)),
        ),
        Organisation(
            name=OrganisationId('large'),
            rate_per_s=random.choice((30.0, 60.0)),
            burst_calls=random.choice((20, 60)),
        ),
    )


class Schedule:
    """One seed's faults, on a fleet whose callers take all they get."""

    def __init__(self, seed: int) -> None:
        """Lay out the faults."""
        self.random = Random(seed)
        self.organisations = organisations_of(self.random)
        self.fleet = Fleet(
            seed,
            NODES,
            self.organisations,
            mid_spend_pause=0.01,
            tick_s=BUSY_TICK_S,
        )
        self.fleet.lost_message = self.random.choice((0.0, 0.05, 0.2))
        self.fleet.log.lost_append = self.random.choice((0.0, 0.3))
        self.surges = self.random.random() < 0.5
        for node in range(NODES):
            self.greedy(node)
        for _ in range(FAULTS):
            at_s = self.random.uniform(FAULTS_FROM_S, LENGTH_S)
            fault = self.random.choice(
                (self.pause, self.pause, self.kill, self.cut, self.outage)
            )
            self.fleet.world.at(at_s, fault)

    def above(self) -> float:
        """Run, and return by how much the worst window exceeds its bound."""
        self.fleet.world.run(LENGTH_S)
        return max(
            most_above(
                self.fleet.admissions[one.name],
                one.rate_per_s,
                one.burst_calls,
            )
            for one in self.organisations
        )

    def admitted(self) -> int:
        """Return the calls admitted."""
        return sum(map(len, self.fleet.admissions.values()))

    def takeovers(self) -> int:
        """Return how many owners started after a shard's first."""
        return sum(
            isinstance(record, OwnerStartedRecord) and record.epoch > 1
            for record in self.fleet.log.records
        )

    def greedy(self, index: int) -> None:
        """Ask for every organisation at one node, again and again."""
        node = self.fleet.nodes[index]
        for one in self.organisations:
            for _ in range(ASKS):
                node.request(one.name)
        wait_s = ASK_EVERY_S
        if self.surges and self.random.random() < SURGE_ENDS:
            wait_s = self.random.uniform(*QUIET_S)
        self.fleet.world.after(wait_s, lambda: self.greedy(index))

    def victim(self) -> int:
        """Return a node, mostly one that owns a shard."""
        owners = [
            index
            for index, node in self.fleet.nodes.items()
            if node.owner.owned_shards(node.now_s())
        ]
        return self.random.choice(owners * 3 + list(range(NODES)))

    def pause(self) -> None:
        """Pause a process, past its lease or not."""
        node = self.fleet.nodes[self.victim()]
        if node.paused:
            return
        node.paused = True
        length_s = self.random.choice((0.1, 0.3, 0.5, 0.7, 1.5, 3.0))
        self.fleet.world.after(length_s, node.resume)

    def kill(self) -> None:
        """Kill a process; its node starts another one."""
        index = self.victim()
        node = self.fleet.nodes[index]
        node.alive = False
        node.paused = False
        incarnation = node.me.incarnation + 1
        self.fleet.world.after(
            self.random.uniform(0.05, 1.0),
            lambda: self.fleet.start(index, incarnation),
        )

    def cut(self) -> None:
        """Cut a node off from some of the others, perhaps from the log."""
        index = self.victim()
        others = self.random.sample(
            [one for one in range(NODES) if one != index],
            self.random.randint(1, NODES - 1),
        )
        links = {frozenset((index, other)) for other in others}
        self.fleet.cut |= links
        if self.random.random() < 0.5:
            self.fleet.cut_from_log.add(index)

        def heal() -> None:
            self.fleet.cut -= links
            self.fleet.cut_from_log.discard(index)

        self.fleet.world.after(self.random.uniform(0.3, 3.0), heal)

    def outage(self) -> None:
        """Take the log down for a while."""
        log = self.fleet.log
        log.up = False

        def heal() -> None:
            log.up = True

        self.fleet.world.after(self.random.uniform(0.3, 3.0), heal)
