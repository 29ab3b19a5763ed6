"""Load of each service over the whole fleet, for admission.

Targets of a failure domain whose nodes are all connected count with their own
reports, those of other domains with the digest. Before the first digest of a
domain, in the first second after a start, its targets are taken to be like the
known ones. A domain whose digests have ended is lost: only the nodes that are
still connected count.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from rattanstile.connection.peer_messages import ServiceDigest
from rattanstile.process.mesh.admission.root_admission import ServiceView
from rattanstile.process.mesh.fleet.fleet_digests import (
    MS_PER_S,
    FleetDigests,
    service_digest,
)
from rattanstile.process.mesh.placement.placement import Candidate
from rattanstile.request.ids import FailureDomainId, ServiceName

NodeCounts = Mapping[ServiceName, Mapping[FailureDomainId, int]]
"""Nodes of each service in each failure domain."""


@dataclass(slots=True)
class _Total:
    """Sums over the failure domains.

    Attributes:
        known: Nodes whose load is included.
        unknown: Nodes whose load is not known.
        wait_work: Waits weighted with capacities.
        warm_at_s: Monotonic times at which cold targets are warm, by domain.
    """

    known: int = 0
    unknown: int = 0
    offered: float = 0
    capacity: float = 0
    wait_work: float = 0
    warm_times_s: list[float] | None = None

    def add(self, digest: ServiceDigest, nodes: int, made_s: float) -> None:
        """Add the load of a domain.

        Args:
            digest: The load of all or some of its nodes.
            nodes: The number of all of them.
            made_s: Monotonic time at which the digest was made.
        """
        if not digest.targets:
            self.unknown += nodes
            return
        scale = nodes / digest.targets
        capacity = digest.capacity_deci_per_s * scale
        self.known += nodes
        self.offered += digest.offered_deci_per_s * scale
        self.capacity += capacity
        self.wait_work += digest.wait_us * capacity
        if digest.cold_ms:
            times_s = self.warm_times_s or []
            self.warm_times_s = [*times_s, made_s + digest.cold_ms / MS_PER_S]

    def view(self, now_s: float) -> ServiceView | None:
        """Return the load of the service; None if it can't be known yet."""
        if not self.known and self.unknown:
            return None
        scale = (self.known + self.unknown) / max(self.known, 1)
        warm_s = [at_s for at_s in self.warm_times_s or () if at_s > now_s]
        return ServiceView(
            offered_per_s=self.offered * scale / 10,
            capacity_per_s=self.capacity * scale / 10,
            wait_s=self.wait_work / self.capacity / 1e6 if self.capacity else 0,
            warm_at_s=sum(warm_s) / len(warm_s) if warm_s else 0,
        )


@dataclass(frozen=True, slots=True)
class FleetKnowledge:
    """What a node knows of the fleet's load.

    Attributes:
        own_domain: Failure domain of this node.
        connected: Connected nodes and this one, by service.
        nodes: All known nodes but this one.
        digests: Load of the failure domains as their delegates report it.
    """

    own_domain: FailureDomainId
    connected: Mapping[ServiceName, list[Candidate]]
    nodes: NodeCounts
    digests: FleetDigests

    def views(self, now_s: float) -> dict[ServiceName, ServiceView | None]:
        """Return the load of each service.

        It is None for a service that has nodes of which nothing is known yet.
        """
        services = set(self.connected) | set(self.nodes)
        return {service: self._view(now_s, service) for service in services}

    def _view(self, now_s: float, service: ServiceName) -> ServiceView | None:
        connected: dict[FailureDomainId, list[Candidate]] = {}
        for candidate in self.connected.get(service, ()):
            connected.setdefault(candidate.domain, []).append(candidate)
        counts = self.nodes.get(service, {})
        total = _Total()
        domains = set(connected) | set(counts)
        for domain in domains:
            found = connected.get(domain, [])
            count = max(len(found), counts.get(domain, 0))
            reported = None
            if len(found) < count:
                reported = self.digests.of_service(now_s, domain, service)
            if reported is not None:
                made_s = self.digests.made_s(domain)
                total.add(reported, reported.targets, made_s)
                continue
            if domain == self.own_domain or self.digests.is_known(domain):
                count = len(found)
            total.add(service_digest(now_s, service, found), count, now_s)
        return total.view(now_s)
