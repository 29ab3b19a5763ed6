"""Errors of a configuration: entries that nodes refuse or shouldn't take."""

import math
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass

from rattanstile.request.ids import OrganisationId, ServiceName
from rattanstile.version.fleet_config import (
    CallerLimits,
    ConfigEntries,
    FleetRoute,
    FleetService,
    Organisation,
)
from rattanstile.version.review.findings import (
    Finding,
    FindingKind,
    Place,
    Section,
)

MAX_TIMEOUT_S = 3600.0
MAX_RATE_PER_S = 10_000_000.0
MAX_ATTEMPTS = 10
"""More sends of one request than any retry budget allows."""
MAX_PRIORITY = 100
MAX_HEAD_BYTES = 1024 * 1024
MAX_BODY_BYTES = 64 * 1024 * 1024
"""Nodes exchange no larger bodies."""


@dataclass(frozen=True, slots=True)
class _Range:
    """Values that a field may have."""

    lowest: float
    highest: float
    unit: str
    is_lowest_allowed: bool = True

    def allows(self, found: float) -> bool:
        """Return whether a value is within the range."""
        if not math.isfinite(found) or found > self.highest:
            return False
        return found > self.lowest or (
            self.is_lowest_allowed and found == self.lowest
        )

    def text(self) -> str:
        """Return the range as text."""
        first = 'from' if self.is_lowest_allowed else 'above'
        return f'{first} {self.lowest:g} up to {self.highest:g} {self.unit}'


_TIMEOUT = _Range(0, MAX_TIMEOUT_S, 's', is_lowest_allowed=False)
_ROUTE_RANGES = {
    'timeout_s': _TIMEOUT,
    'latency_objective_s': _TIMEOUT,
    'priority': _Range(0, MAX_PRIORITY, 'as the least urgent'),
    'most_attempts': _Range(1, MAX_ATTEMPTS, 'attempts'),
}
_SERVICE_RANGES = {
    'max_connections': _Range(1, 1_000_000, 'connections'),
    'cold_start_s': _Range(0, MAX_TIMEOUT_S, 's'),
    'cold_calls_per_s': _Range(0, MAX_RATE_PER_S, 'calls/s'),
}
_ORGANISATION_RANGES = {
    'rate_per_s': _Range(0, MAX_RATE_PER_S, 'requests/s'),
    'burst_calls': _Range(0, MAX_RATE_PER_S, 'requests'),
}
_LIMIT_RANGES = {
    'head_bytes': _Range(1, MAX_HEAD_BYTES, 'bytes'),
    'body_bytes': _Range(0, MAX_BODY_BYTES, 'bytes'),
    'head_timeout_s': _TIMEOUT,
    'idle_timeout_s': _TIMEOUT,
}

_Entry = FleetRoute | FleetService | Organisation | CallerLimits


def find_errors(entries: ConfigEntries) -> Iterator[Finding]:
    """Yield the errors of a configuration, in the order of its sections."""
    known = {service.name for service in entries.services}
    yield from _duplicate_names(Section.ROUTES, entries.routes)
    yield from _duplicate_places(entries.routes)
    for index, route in enumerate(entries.routes):
        place = Place(Section.ROUTES, index, route.name)
        yield from _range_errors(place, route, _ROUTE_RANGES)
        yield from _unknown_services(place, route, known)
    yield from _duplicate_names(Section.SERVICES, entries.services)
    for index, service in enumerate(entries.services):
        place = Place(Section.SERVICES, index, service.name)
        yield from _range_errors(place, service, _SERVICE_RANGES)
        yield from _health_path_errors(place, service)
    yield from _duplicate_names(Section.ORGANISATIONS, entries.organisations)
    for index, organisation in enumerate(entries.organisations):
        place = Place(Section.ORGANISATIONS, index, organisation.name)
        yield from _range_errors(place, organisation, _ORGANISATION_RANGES)
    yield from _shared_keys(entries.organisations)
    yield from _range_errors(
        Place(Section.LIMITS), entries.limits, _LIMIT_RANGES
    )


def _error(place: Place, problem: str, remedy: str, field: str = '') -> Finding:
    at_field = Place(place.section, place.index, place.name, field)
    return Finding(FindingKind.ERROR, at_field, problem, remedy)


def _range_errors(
    place: Place, entry: _Entry, ranges: dict[str, _Range]
) -> Iterator[Finding]:
    for field, allowed in ranges.items():
        found = getattr(entry, field)
        if not allowed.allows(found):
            yield _error(
                place,
                f'found {found:g}',
                f'set a value {allowed.text()}',
                field,
            )


def _duplicate_names(
    section: Section,
    entries: Sequence[FleetRoute | FleetService | Organisation],
) -> Iterator[Finding]:
    seen: dict[str, int] = {}
    for index, entry in enumerate(entries):
        first = seen.setdefault(entry.name, index)
        if first != index:
            yield _error(
                Place(section, index, entry.name),
                f'the name is that of entry {first} too',
                'give each entry a name of its own',
                'name',
            )


def _duplicate_places(routes: Iterable[FleetRoute]) -> Iterator[Finding]:
    seen: dict[tuple[str, str], str] = {}
    for index, route in enumerate(routes):
        at_place = (route.host, route.path_prefix)
        first = seen.setdefault(at_place, route.name)
        if first != route.name:
            yield _error(
                Place(Section.ROUTES, index, route.name),
                f'host and prefix are those of route {first}, which it hides',
                'remove one of the two, or change its prefix',
                'path_prefix',
            )


def _unknown_services(
    place: Place, route: FleetRoute, known: set[ServiceName]
) -> Iterator[Finding]:
    for share in route.shares:
        if share.service not in known:
            yield _error(
                place,
                f'leads to the service {share.service}, which is not declared',
                'declare the service, or lead the route to another one',
                'shares',
            )


def _health_path_errors(
    place: Place, service: FleetService
) -> Iterator[Finding]:
    if not service.health_path.startswith('/'):
        yield _error(
            place,
            f'found {service.health_path!r}',
            'set a path that begins with /',
            'health_path',
        )


def _shared_keys(organisations: Iterable[Organisation]) -> Iterator[Finding]:
    """Yield the keys of two organisations, without telling the key."""
    owners: dict[str, OrganisationId] = {}
    for index, organisation in enumerate(organisations):
        shared_with = {
            owners.setdefault(key, organisation.name)
            for key in organisation.keys
        } - {organisation.name}
        for owner in sorted(shared_with):
            yield _error(
                Place(Section.ORGANISATIONS, index, organisation.name),
                f'a key is that of {owner} too, which loses it',
                'give each organisation keys of its own',
                'keys',
            )
