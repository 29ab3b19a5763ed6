"""What a node knows of the load in other failure domains.

The load pattern: calls to a service exceed its targets in one failure domain,
while targets of another one are free. A node can't hear from each target of a
large fleet. So the delegate of each domain sums the load of its targets by
service, and all nodes get the sums of the other domains with the response to
their own reports.
"""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass
from statistics import fmean

from rattanstile.connection.peer_messages import DomainDigest, ServiceDigest
from rattanstile.process.mesh.placement.placement import Candidate
from rattanstile.request.ids import FailureDomainId, ServiceName

MAX_DIGEST_AGE_S = 3.0
"""A digest older than several report periods says nothing of the present."""
ROOM_SHARE = 0.85
"""Offered share of its capacity up to which a domain has room for calls of
others."""
MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class _KnownDigest:
    """A digest and when its delegate worked it out."""

    digest: DomainDigest
    made_s: float
    services: Mapping[ServiceName, ServiceDigest]


class FleetDigests:
    """The latest digest of each failure domain."""

    def __init__(self) -> None:
        """Start without digests."""
        self._known: dict[FailureDomainId, _KnownDigest] = {}

    def record(self, now_s: float, digest: DomainDigest) -> None:
        """Record a digest, unless a later one of its domain is known."""
        made_s = now_s - digest.age_ms / MS_PER_S
        known = self._known.get(digest.domain)
        if known is not None and known.made_s > made_s:
            return
        self._known[digest.domain] = _KnownDigest(
            digest,
            made_s,
            {each.service: each for each in digest.services},
        )

    def of_service(
        self, now_s: float, domain: FailureDomainId, service: ServiceName
    ) -> ServiceDigest | None:
        """Return the load of a service in a domain; None if unknown."""
        known = self._fresh(now_s, domain)
        return None if known is None else known.services.get(service)

    def is_known(self, domain: FailureDomainId) -> bool:
        """Return whether there ever was a digest of a domain."""
        return domain in self._known

    def made_s(self, domain: FailureDomainId) -> float:
        """Return the monotonic time at which a domain's digest was made."""
        known = self._known.get(domain)
        return float('-inf') if known is None else known.made_s

    def ages_s(self, now_s: float) -> dict[FailureDomainId, float]:
        """Return the ages of all digests, in seconds."""
        return {
            domain: now_s - known.made_s
            for domain, known in self._known.items()
        }

    def has_room(
        self, now_s: float, domain: FailureDomainId, service: ServiceName
    ) -> bool | None:
        """Return whether a domain can take calls; None if unknown."""
        digest = self.of_service(now_s, domain, service)
        if digest is None:
            return None
        capacity = digest.capacity_deci_per_s
        return digest.offered_deci_per_s < ROOM_SHARE * capacity

    def node_count(self, now_s: float, domain: FailureDomainId) -> int | None:
        """Return the number of nodes in a domain; None if unknown."""
        known = self._fresh(now_s, domain)
        return None if known is None else known.digest.nodes

    def to_send(
        self,
        now_s: float,
        *,
        without: FailureDomainId,
        services: Collection[ServiceName] | None = None,
    ) -> tuple[DomainDigest, ...]:
        """Return the digests for another node, with their present age.

        Args:
            now_s: Monotonic seconds.
            without: A domain that the receiver knows better.
            services: Services that the receiver uses; None for all.
        """
        return tuple(
            DomainDigest(
                domain,
                int((now_s - known.made_s) * MS_PER_S),
                known.digest.nodes,
                tuple(
                    each
                    for name, each in known.services.items()
                    if services is None or name in services
                ),
            )
            for domain, known in self._known.items()
            if domain != without and now_s - known.made_s <= MAX_DIGEST_AGE_S
        )

    def _fresh(
        self, now_s: float, domain: FailureDomainId
    ) -> _KnownDigest | None:
        known = self._known.get(domain)
        if known is None or now_s - known.made_s > MAX_DIGEST_AGE_S:
            return None
        return known


def service_digest(
    now_s: float, service: ServiceName, nodes: Iterable[Candidate]
) -> ServiceDigest:
    """Return the digest of the nodes of one service.

    Args:
        now_s: Monotonic seconds.
        service: The service of these nodes.
        nodes: All of them in one failure domain.
    """
    found = tuple(nodes)
    usable = [each for each in found if each.load.is_usable]
    capacity = sum(each.load.capacity_deci_per_s for each in usable)
    waits_us = sum(
        each.load.wait_us * each.load.capacity_deci_per_s for each in usable
    )
    cold_s = [
        each.warm_at_s - now_s for each in usable if each.warm_at_s > now_s
    ]
    return ServiceDigest(
        service=service,
        targets=len(found),
        usable=len(usable),
        offered_deci_per_s=sum(each.load.offered_deci_per_s for each in usable),
        capacity_deci_per_s=capacity,
        wait_us=waits_us // capacity if capacity else 0,
        failing_percent=min(
            (each.load.failing_percent for each in usable), default=0
        ),
        cold_ms=int(fmean(cold_s) * MS_PER_S) if cold_s else 0,
    )
