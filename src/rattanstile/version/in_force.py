"""The version in force, indexed for the checks made on every call."""

from rattanstile.request.ids import (
    FailureDomainId,
    KeyDigest,
    OrganisationId,
    ServiceName,
    TargetId,
    VersionNumber,
)
from rattanstile.version.declaration import (
    Declaration,
    Organisation,
    Route,
    Service,
)

SEGMENT_ENDS = '/?'


class VersionInForce:
    """One version, with the lookups that handling a call requires.

    Args:
        number: Number of the version; 0 before the first is accepted.
        declaration: Content of the version.
    """

    def __init__(self, number: VersionNumber, declaration: Declaration) -> None:
        """Build the indexes."""
        self.number = number
        self.declaration = declaration
        self._organisations = {
            organisation.name: organisation
            for organisation in declaration.organisations
        }
        self._organisations_by_key = {
            digest: organisation.name
            for organisation in declaration.organisations
            for digest in organisation.keys
        }
        self._services = {
            service.name: service for service in declaration.services
        }
        self._routes = {
            service.name: _longest_first(service.routes)
            for service in declaration.services
        }
        self._domains_out_of_service = {
            domain.name
            for domain in declaration.failure_domains
            if not domain.in_service
        }
        self._targets_out_of_service = set(declaration.targets_out)

    def organisation_of(self, digest: KeyDigest) -> OrganisationId | None:
        """Return the organisation of a key, or None for an unknown key."""
        return self._organisations_by_key.get(digest)

    def organisation(self, name: OrganisationId) -> Organisation | None:
        """Return the organisation of this name, or None."""
        return self._organisations.get(name)

    def service(self, name: ServiceName) -> Service | None:
        """Return the service of this name, or None."""
        return self._services.get(name)

    def route(self, name: ServiceName, method: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix, or None.

        A prefix matches whole segments only, so that a route that is open to
        all below ``/draws`` does not open ``/drawsheets``.
        """
        for route in self._routes.get(name, ()):
            if route.methods and method not in route.methods:
                continue
            if _matches_prefix(path, route.path):
                return route
        return None

    def is_in_service(self, target: TargetId, domain: FailureDomainId) -> bool:
        """Return whether both the target and its domain are in service."""
        return (
            target not in self._targets_out_of_service
            and domain not in self._domains_out_of_service
        )


def _longest_first(routes: tuple[Route, ...]) -> list[Route]:
    return sorted(routes, key=lambda route: len(route.path), reverse=True)


def _matches_prefix(path: str, prefix: str) -> bool:
    if not path.startswith(prefix):
        return False
    ends_segment = prefix.endswith('/') or len(path) == len(prefix)
    return ends_segment or path[len(prefix)] in SEGMENT_ENDS
