"""The version in force, indexed for the checks made for every call."""

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
    """One version with the lookups that the path of a call needs.

    Args:
        number: Number of the version; 0 before any was accepted.
        declaration: What the version says.
    """

    def __init__(self, number: VersionNumber, declaration: Declaration) -> None:
        """Build the indexes."""
        self.number = number
        self.declaration = declaration
        self._organisations = {
            one.name: one for one in declaration.organisations
        }
        self._by_key = {
            digest: one.name
            for one in declaration.organisations
            for digest in one.keys
        }
        self._services = {one.name: one for one in declaration.services}
        self._routes = {
            one.name: _longest_first(one.routes) for one in declaration.services
        }
        self._domains_out = {
            one.name
            for one in declaration.failure_domains
            if not one.in_service
        }
        self._targets_out = set(declaration.targets_out)

    def organisation_of(self, digest: KeyDigest) -> OrganisationId | None:
        """Return whose key this is, or None for an unknown key."""
        return self._by_key.get(digest)

    def organisation(self, name: OrganisationId) -> Organisation | None:
        """Return the organisation of this name, or None."""
        return self._organisations.get(name)

    def service(self, name: ServiceName) -> Service | None:
        """Return the service of this name, or None."""
        return self._services.get(name)

    def route(self, name: ServiceName, method: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix, or None.

        A prefix matches whole segments only, so that what is open to all
        below ``/draws`` does not open ``/drawsheets``.
        """
        for route in self._routes.get(name, ()):
            if route.methods and method not in route.methods:
                continue
            if _lies_below(path, route.path):
                return route
        return None

    def serves(self, target: TargetId, domain: FailureDomainId) -> bool:
        """Tell whether operators have both the target and its domain in."""
        return (
            target not in self._targets_out and domain not in self._domains_out
        )


def _longest_first(routes: tuple[Route, ...]) -> list[Route]:
    return sorted(routes, key=lambda route: len(route.path), reverse=True)


def _lies_below(path: str, prefix: str) -> bool:
    if not path.startswith(prefix):
        return False
    ends_segment = prefix.endswith('/') or len(path) == len(prefix)
    return ends_segment or path[len(prefix)] in SEGMENT_ENDS
