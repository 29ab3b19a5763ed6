"""Random schedules of faults against the configuration in force."""

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from random import Random

from bench.relay_fleet import Fleet
from rattanstile.process.configuration.freshness import Freshness
from rattanstile.process.configuration.relay import Relay
from rattanstile.process.configuration.relay_messages import RelayMember
from rattanstile.request.ids import (
    KeyDigest,
    NodeId,
    OrganisationId,
    PlanId,
    RecordId,
    VersionNumber,
)
from rattanstile.version.change import DeclarationChange, OrganisationKey
from rattanstile.version.declaration import Organisation
from rattanstile.version.fold import Fold
from rattanstile.version.records import ConfigurationRecord

SEEDS = 2_000
IN_FORCE_BOUND_S = 4.0
WARM_S = 2.0
FAULTS_S = 7.5
WITHDRAWN_WITHIN_S = 3.5
SETTLE_S = 4.5
SAMPLE_S = 0.2
ORGANISATION = OrganisationId('vedlott')
KEY = OrganisationKey(ORGANISATION, KeyDigest('0' * 64))

SMALL = {f'{domain}{place}': domain for domain in 'abc' for place in range(3)}


@dataclass(slots=True)
class Findings:
    """What one seed, or all of them, showed."""

    fell: int = 0
    late: int = 0
    slowest_s: float = 0.0
    last_admission_s: float = 0.0
    admitted_late: int = 0
    samples: int = 0
    closed: int = 0
    late_seeds: list[int] = field(default_factory=list)

    def add(self, other: 'Findings') -> None:
        """Take the findings of one more seed in."""
        self.fell += other.fell
        self.late += other.late
        self.slowest_s = max(self.slowest_s, other.slowest_s)
        self.last_admission_s = max(
            self.last_admission_s, other.last_admission_s
        )
        self.admitted_late += other.admitted_late
        self.samples += other.samples
        self.closed += other.closed
        self.late_seeds.extend(other.late_seeds)


def first_record() -> ConfigurationRecord:
    """Return the record that grants the key."""
    return ConfigurationRecord(
        record_id=RecordId('first'),
        base=VersionNumber(0),
        plan_id=PlanId('first'),
        change=DeclarationChange(
            organisations=(
                Organisation(
                    name=ORGANISATION, rate_per_s=100.0, burst_calls=50
                ),
            ),
            keys_granted=(KEY,),
        ),
    )


def change_record(
    name: str, base: int, change: DeclarationChange
) -> ConfigurationRecord:
    """Return a record that changes something."""
    return ConfigurationRecord(
        record_id=RecordId(name),
        base=VersionNumber(base),
        plan_id=PlanId(name),
        change=change,
    )


WITHDRAWAL = DeclarationChange(keys_withdrawn=(KEY,))


class Trial:
    """One seed: a small fleet under a random schedule of faults."""

    def __init__(
        self, seed: int, make_relay: Callable[[RelayMember, Random], Relay]
    ) -> None:
        """Start the fleet with one version in the log."""
        self.random = Random(seed)
        self.fleet = Fleet(SMALL, self.random, make_relay=make_relay)
        self.fleet.log.append(first_record())
        self.accepted_s: dict[int, float] = {1: 0.0}
        self.withdrawn_s: float | None = None
        self.findings = Findings()
        self._disturbed: list[tuple[float, float, NodeId]] = []
        self._log_gone: list[tuple[float, float]] = []
        self._names = 0

    def run(self) -> Findings:
        """Run the schedule and return what was seen."""
        fleet = self.fleet
        end_s = WARM_S + FAULTS_S
        faults = self.random.randint(1, 3)
        while faults:
            faults -= 1
            began_s = self.random.uniform(WARM_S - 1, end_s - 1)
            over_s = self.random.uniform(began_s + 0.5, end_s)
            self._fault(began_s, over_s)
        changes = self.random.randint(1, 4)
        while changes:
            changes -= 1
            fleet.at(self.random.uniform(WARM_S, end_s), self._change)
        withdrawal_s = WARM_S + self.random.uniform(0, WITHDRAWN_WITHIN_S)
        fleet.at(withdrawal_s, self._withdraw)
        fleet.at(end_s, self._heal)
        total_s = end_s + SETTLE_S
        sample_s = WARM_S
        while sample_s < total_s:
            fleet.run(sample_s)
            self._sample()
            sample_s += SAMPLE_S
        fleet.run(total_s)
        self._judge()
        return self.findings

    # faults

    def _fault(self, began_s: float, over_s: float) -> None:
        name = self.random.choice(list(self.fleet.nodes))
        domain = self.random.choice('abc')
        kind = self.random.choice(
            ('loss', 'kill', 'domain', 'node', 'log', 'lag', 'pause', 'split')
        )
        getattr(self, f'_fault_{kind}')(began_s, over_s, name, domain)

    def _fault_loss(
        self, began_s: float, over_s: float, name: NodeId, domain: str
    ) -> None:
        self.fleet.at(began_s, lambda: setattr(self.fleet, 'loss', 0.2))

    def _fault_kill(
        self, began_s: float, over_s: float, name: NodeId, domain: str
    ) -> None:
        self._disturbed.append((began_s, over_s, name))
        self.fleet.at(began_s, lambda: self.fleet.kill(name))
        self.fleet.at(over_s, lambda: self.fleet.restart(name))

    def _fault_pause(
        self, began_s: float, over_s: float, name: NodeId, domain: str
    ) -> None:
        self._disturbed.append((began_s, over_s, name))
        self.fleet.at(began_s, lambda: self.fleet.pause(name))
        self.fleet.at(over_s, lambda: self.fleet.resume(name))

    def _fault_node(
        self, began_s: float, over_s: float, name: NodeId, domain: str
    ) -> None:
        self._disturb_until_healed(began_s, (name,))
        for far in ('a', 'b', 'c', 'log'):
            self.fleet.at(began_s, partial(self.fleet.cut, name, far))

    def _fault_domain(
        self, began_s: float, over_s: float, name: NodeId, domain: str
    ) -> None:
        """Cut a failure domain from the log alone."""
        self.fleet.at(began_s, lambda: self.fleet.cut(domain, 'log'))
        if self.random.random() < 0.6:
            self._fault_split(began_s, over_s, name, domain)

    def _fault_split(
        self, began_s: float, over_s: float, name: NodeId, domain: str
    ) -> None:
        """Cut a failure domain from the other two."""
        self._disturb_until_healed(began_s, tuple(self.fleet.nodes))
        for far in 'abc':
            if far != domain:
                self.fleet.at(began_s, partial(self.fleet.cut, domain, far))
        if self.random.random() < 0.5:
            for other in 'abc':
                if other != domain:
                    self.fleet.at(
                        began_s, partial(self.fleet.cut, other, 'log')
                    )

    def _fault_log(
        self, began_s: float, over_s: float, name: NodeId, domain: str
    ) -> None:
        self._log_gone.append((began_s, over_s))
        self.fleet.at(began_s, lambda: setattr(self.fleet.log, 'down', True))
        self.fleet.at(over_s, lambda: setattr(self.fleet.log, 'down', False))

    def _fault_lag(
        self, began_s: float, over_s: float, name: NodeId, domain: str
    ) -> None:
        """Let a failure domain read an old replica, or one that stopped."""
        lag = self.random.randint(0, 3)
        log = self.fleet.log

        def begin() -> None:
            for node, its_domain in SMALL.items():
                if its_domain != domain:
                    continue
                if lag:
                    log.lag_records[NodeId(node)] = lag
                else:
                    log.stopped_at[NodeId(node)] = len(log.records)

        self.fleet.at(began_s, begin)

    def _heal(self) -> None:
        self.fleet.heal()
        for name, node in self.fleet.nodes.items():
            self.fleet.resume(name)
            if not node.alive:
                self.fleet.restart(name)

    def _disturb_until_healed(
        self, began_s: float, names: tuple[NodeId, ...]
    ) -> None:
        self._disturbed.extend(
            (began_s, WARM_S + FAULTS_S, name) for name in names
        )

    # changes

    def _change(self) -> None:
        self._names += 1
        name = f'change{self._names}'
        rate = DeclarationChange(
            organisations=(
                Organisation(
                    name=ORGANISATION,
                    rate_per_s=100.0 + self._names,
                    burst_calls=50,
                ),
            ),
        )
        base = len(self.accepted_s)
        if not self._append(change_record(name, base, rate), base):
            return
        if self.random.random() < 0.5:
            self.fleet.log.append(change_record(name, base, rate))
        if self.random.random() < 0.5:
            loser = DeclarationChange(max_hops=1)
            self.fleet.log.append(change_record(f'{name}b', base, loser))

    def _withdraw(self) -> None:
        base = len(self.accepted_s)
        record = change_record('withdrawal', base, WITHDRAWAL)
        if self._append(record, base):
            self.withdrawn_s = self.fleet.now_s
        else:
            self.fleet.at(self.fleet.now_s + 0.5, self._withdraw)

    def _append(self, record: ConfigurationRecord, base: int) -> bool:
        if not self.fleet.reaches_log():
            return False
        self.fleet.log.append(record)
        self.accepted_s[base + 1] = self.fleet.now_s
        return True

    # checks

    def _sample(self) -> None:
        now_s = self.fleet.now_s
        for node in self.fleet.nodes.values():
            if not node.alive or node.paused:
                continue
            fold = node.relay.fold
            admits = fold.verified and node.relay.freshness.admits(now_s)
            self.findings.samples += 1
            self.findings.closed += not admits
            holds = any(
                KEY.digest in one.keys for one in fold.declaration.organisations
            )
            if admits and holds and self.withdrawn_s is not None:
                late_s = now_s - self.withdrawn_s
                self.findings.last_admission_s = max(
                    self.findings.last_admission_s, late_s
                )
                self.findings.admitted_late += late_s > IN_FORCE_BOUND_S

    def _judge(self) -> None:
        for name, node in self.fleet.nodes.items():
            self.findings.fell += node.fell
            for version, accepted_s in self.accepted_s.items():
                counted_s = self._counted_from_s(name, accepted_s)
                self._judge_version(node.in_force_s, version, counted_s)

    def _judge_version(
        self, in_force_s: dict[int, float], version: int, counted_s: float
    ) -> None:
        reached_s = min(
            (at_s for one, at_s in in_force_s.items() if one >= version),
            default=float('inf'),
        )
        took_s = reached_s - counted_s
        self.findings.slowest_s = max(self.findings.slowest_s, took_s)
        self.findings.late += took_s > IN_FORCE_BOUND_S

    def _counted_from_s(self, name: NodeId, accepted_s: float) -> float:
        """Return from when on the node had a way to learn of a version."""
        counted_s = max(accepted_s, self.fleet.nodes[name].started_s)
        windows = [
            (began_s, over_s)
            for began_s, over_s, node in self._disturbed
            if node == name
        ]
        for began_s, over_s in sorted((*windows, *self._log_gone)):
            if began_s <= counted_s + IN_FORCE_BOUND_S and over_s > counted_s:
                counted_s = over_s
        return counted_s


def _holds_key(fold: Fold) -> bool:
    return any(KEY.digest in one.keys for one in fold.declaration.organisations)


def random_schedules(
    seeds: int = SEEDS,
    make_relay: Callable[[RelayMember, Random], Relay] = Relay,
) -> Findings:
    """Run the random schedules and add up what was seen."""
    total = Findings()
    for seed in range(seeds):
        seen = Trial(seed, make_relay).run()
        if seen.late or seen.admitted_late or seen.fell:
            seen.late_seeds.append(seed)
        total.add(seen)
    return total


def relay_by_majority(member: RelayMember, random: Random) -> Relay:
    """Return a relay that goes on when most domains do not hear the log."""
    freshness = Freshness(member.failure_domain, required_share=0.5)
    return Relay(member, random, freshness)


def relay_always_open(member: RelayMember, random: Random) -> Relay:
    """Return a relay whose node never closes to keyed calls."""
    freshness = Freshness(member.failure_domain, max_evidence_age_s=1e9)
    return Relay(member, random, freshness)


# schedules of one kind


@dataclass(frozen=True, slots=True)
class OutageSeen:
    """What a long outage of the log did.

    Attributes:
        closed: Share of samples at which a node refused keyed calls.
        slowest_s: When a change after it was in force at the last node.
    """

    closed: float
    slowest_s: float


def log_outage(outage_s: float) -> OutageSeen:
    """Let the log be down for long while every node hears every other."""
    fleet = Fleet(SMALL, Random(1))
    fleet.log.append(first_record())
    fleet.run(WARM_S)
    fleet.log.down = True
    samples = []
    while fleet.now_s < WARM_S + outage_s:
        fleet.run(fleet.now_s + 1)
        samples.extend(_closed(fleet))
    fleet.log.down = False
    accepted_s = fleet.now_s
    fleet.log.append(change_record('after', 1, WITHDRAWAL))
    fleet.run(accepted_s + SETTLE_S)
    reached_s = [node.in_force_s[2] for node in fleet.nodes.values()]
    return OutageSeen(
        closed=sum(samples) / len(samples),
        slowest_s=max(reached_s) - accepted_s,
    )


def unheard_acceptance(cut_s: float) -> float:
    """Withdraw a key while the log takes appends but no node reaches it.

    Returns:
        How long after the withdrawal the key was last admitted, in seconds.
    """
    fleet = Fleet(SMALL, Random(1))
    fleet.log.append(first_record())
    fleet.run(WARM_S)
    for domain in 'abc':
        fleet.cut(domain, 'log')
    fleet.log.append(change_record('unheard', 1, WITHDRAWAL))
    last_s = fleet.now_s
    while fleet.now_s < WARM_S + cut_s:
        fleet.run(fleet.now_s + SAMPLE_S)
        if not all(_closed(fleet)):
            last_s = fleet.now_s
    return last_s - WARM_S


def _closed(fleet: Fleet) -> list[bool]:
    return [
        not node.relay.freshness.admits(fleet.now_s)
        for node in fleet.nodes.values()
    ]
