"""Limits of a configuration that contradict each other."""

from collections.abc import Iterator

from rattanstile.version.fleet_config import (
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


def find_contradictions(entries: ConfigEntries) -> Iterator[Finding]:
    """Yield the contradictions, in the order of the sections."""
    for index, route in enumerate(entries.routes):
        yield from _of_route(Place(Section.ROUTES, index, route.name), route)
    for index, service in enumerate(entries.services):
        yield from _of_service(
            Place(Section.SERVICES, index, service.name), service
        )
    for index, organisation in enumerate(entries.organisations):
        yield from _of_organisation(
            Place(Section.ORGANISATIONS, index, organisation.name), organisation
        )
    yield from _of_limits(entries)


def _contradiction(place: Place, problem: str, remedy: str) -> Finding:
    return Finding(FindingKind.CONTRADICTION, place, problem, remedy)


def _of_route(place: Place, route: FleetRoute) -> Iterator[Finding]:
    if route.latency_objective_s > route.timeout_s:
        yield _contradiction(
            place,
            f'the timeout of {route.timeout_s:g} s ends requests before their'
            f' latency objective of {route.latency_objective_s:g} s',
            'raise the timeout, or lower the objective',
        )


def _of_service(place: Place, service: FleetService) -> Iterator[Finding]:
    if service.cold_start_s and not service.cold_calls_per_s:
        yield _contradiction(
            place,
            f'a cold start of {service.cold_start_s:g} s has no cold rate, so'
            ' that nothing is limited',
            'set a cold rate, or remove the cold start',
        )


def _of_organisation(
    place: Place, organisation: Organisation
) -> Iterator[Finding]:
    if organisation.rate_per_s and organisation.burst_calls < 1:
        yield _contradiction(
            place,
            f'a rate of {organisation.rate_per_s:g}/s has a burst of'
            f' {organisation.burst_calls:g}, in which no request has room',
            'set a burst of 1 or more',
        )


def _of_limits(entries: ConfigEntries) -> Iterator[Finding]:
    limits = entries.limits
    place = Place(Section.LIMITS)
    if limits.head_timeout_s > limits.idle_timeout_s:
        yield _contradiction(
            place,
            f'a head may take {limits.head_timeout_s:g} s, longer than a'
            f' connection may be idle ({limits.idle_timeout_s:g} s)',
            'set a header timeout up to the idle timeout',
        )
