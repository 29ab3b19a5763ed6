"""Nodes that attempts can be sent to, by service."""

from collections.abc import Sequence

from rattanstile.process.mesh.placement.placement import Candidate
from rattanstile.process.mesh.placement.target_speed import ServiceSpeed
from rattanstile.request.ids import NodeId, ServiceName


class CandidateTable:
    """The connected nodes and the last known load of their targets.

    Attributes:
        by_id: All of them.
    """

    def __init__(self) -> None:
        """Start without nodes."""
        self.by_id: dict[NodeId, Candidate] = {}
        self._by_service: dict[ServiceName, list[Candidate]] = {}
        self._speeds: dict[ServiceName, ServiceSpeed] = {}

    def of_service(self, service: ServiceName) -> Sequence[Candidate]:
        """Return the nodes whose targets belong to a service."""
        return self._by_service.get(service, ())

    def services(self) -> Sequence[ServiceName]:
        """Return the services of the nodes."""
        return [name for name, nodes in self._by_service.items() if nodes]

    def usable(self, service: ServiceName) -> list[Candidate]:
        """Return those nodes of a service whose targets accept calls."""
        return [
            each for each in self.of_service(service) if each.load.is_usable
        ]

    def speed_of(self, service: ServiceName) -> ServiceSpeed:
        """Return the mean times of the targets of a service."""
        return self._speeds.setdefault(service, ServiceSpeed())

    def add(self, candidate: Candidate) -> None:
        """Add a node, replacing its earlier entry."""
        self.remove(candidate.node_id)
        self.by_id[candidate.node_id] = candidate
        self._by_service.setdefault(candidate.service, []).append(candidate)
        candidate.service_speed = self.speed_of(candidate.service)
        candidate.service_speed.record(candidate.load, candidate.slowness)

    def remove(self, node_id: NodeId) -> None:
        """Remove a node."""
        candidate = self.by_id.pop(node_id, None)
        if candidate is not None:
            self._by_service[candidate.service].remove(candidate)
            self.speed_of(candidate.service).forget(candidate.slowness)

    def set_service(self, candidate: Candidate, service: ServiceName) -> None:
        """Set the service that a node serves."""
        if candidate.service != service:
            self.remove(candidate.node_id)
            candidate.service = service
            self.add(candidate)

    def accepts_calls(self, node_id: NodeId) -> bool | None:
        """Return whether a node accepts calls; None if it isn't connected."""
        candidate = self.by_id.get(node_id)
        return None if candidate is None else candidate.load.is_usable
