"""Entries of a configuration that can never match anything."""

from collections.abc import Iterator

from rattanstile.version.fleet_config import ConfigEntries, FleetRoute
from rattanstile.version.review.findings import (
    Finding,
    FindingKind,
    Place,
    Section,
)

_NEVER_IN_A_PATH = ('?', '#', ' ', '//', '/../', '/./')
"""Paths are matched without the query, and are normalised by callers."""


def find_unreachable(entries: ConfigEntries) -> Iterator[Finding]:
    """Yield the entries that never match, in the order of the sections."""
    for index, route in enumerate(entries.routes):
        place = Place(Section.ROUTES, index, route.name)
        yield from _unreachable_route(place, route)
    yield from _unused_services(entries)
    yield from _idle_organisations(entries)


def _unreachable(place: Place, problem: str, remedy: str) -> Finding:
    return Finding(FindingKind.UNREACHABLE, place, problem, remedy)


def _unreachable_route(place: Place, route: FleetRoute) -> Iterator[Finding]:
    if any(part in route.path_prefix for part in _NEVER_IN_A_PATH):
        yield _unreachable(
            place,
            f'no path begins with {route.path_prefix!r}',
            'write the path without query, fragment, blanks and dots',
        )
    if not route.host or ':' in route.host or '/' in route.host:
        yield _unreachable(
            place,
            f'no request names the host {route.host!r}',
            'write the name alone, without scheme and port',
        )
    for share in route.shares:
        if not share.weight:
            yield _unreachable(
                place,
                f'{share.service} has the weight 0 and gets no request',
                'remove it from the split, or give it a weight',
            )


def _unused_services(entries: ConfigEntries) -> Iterator[Finding]:
    used = {
        share.service
        for route in entries.routes
        for share in route.shares
        if share.weight
    }
    for index, service in enumerate(entries.services):
        if service.name not in used:
            yield _unreachable(
                Place(Section.SERVICES, index, service.name),
                'no route leads to the service',
                'remove it, or add a route',
            )


def _idle_organisations(entries: ConfigEntries) -> Iterator[Finding]:
    is_all_open = all(route.open_to_all for route in entries.routes)
    for index, organisation in enumerate(entries.organisations):
        place = Place(Section.ORGANISATIONS, index, organisation.name)
        if not organisation.keys:
            yield _unreachable(
                place,
                'it has no key, so that nobody can call for it',
                'add a key, or remove the organisation',
            )
        elif is_all_open:
            yield _unreachable(
                place,
                'all routes are open to all, so that no key is looked at',
                'require keys on a route, or remove the organisation',
            )
        if organisation.burst_calls and not organisation.rate_per_s:
            yield _unreachable(
                place,
                'it has a burst but no rate, which means no limit',
                'set a rate, or remove the burst',
            )
