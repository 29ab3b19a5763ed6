"""What differs between two configurations, by meaning."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, fields
from typing import TypeVar

from rattanstile.version.fleet_config import (
    CallerLimits,
    ConfigEntries,
    FleetRoute,
    FleetService,
    Organisation,
    Share,
)

_Entry = TypeVar('_Entry', CallerLimits, FleetRoute, FleetService)
_ORGANISATION_LIMITS = ('rate_per_s', 'burst_calls', 'priority')


@dataclass(frozen=True, slots=True)
class ConfigDifference:
    """One difference.

    Attributes:
        subject: The entry that differs.
        detail: How it differs.
        refuses: Whether requests will be refused that are served now.
    """

    subject: str
    detail: str
    refuses: bool = False


def find_differences(
    in_force: ConfigEntries, proposed: ConfigEntries
) -> Iterator[ConfigDifference]:
    """Yield what a proposed configuration changes."""
    yield from _version_differences(in_force, proposed)
    yield from _route_differences(in_force, proposed)
    yield from _service_differences(in_force, proposed)
    yield from _organisation_differences(in_force, proposed)
    yield from _limit_differences(in_force.limits, proposed.limits)


def _version_differences(
    in_force: ConfigEntries, proposed: ConfigEntries
) -> Iterator[ConfigDifference]:
    if proposed.number <= in_force.number:
        yield ConfigDifference(
            'version',
            f'{proposed.number} is not above {in_force.number}, which is in'
            ' force: nodes will ignore it',
        )


def _limit_differences(
    before: CallerLimits, after: CallerLimits
) -> Iterator[ConfigDifference]:
    for field in _changed_fields(before, after):
        old = getattr(before, field)
        new = getattr(after, field)
        yield ConfigDifference(
            'limits', f'{field}: {old:g} -> {new:g}', refuses=new < old
        )


def _route_differences(
    in_force: ConfigEntries, proposed: ConfigEntries
) -> Iterator[ConfigDifference]:
    before = {(each.host, each.path_prefix): each for each in in_force.routes}
    after = {(each.host, each.path_prefix): each for each in proposed.routes}
    config = proposed.config()
    for at_place, route in before.items():
        if at_place not in after:
            left = config.route(*at_place)
            fate = 'its requests get 404'
            if left is not None:
                fate = f'its requests go to {left.name}'
            yield ConfigDifference(
                _route_subject(route), f'dropped: {fate}', refuses=left is None
            )
    for at_place, route in after.items():
        known = before.get(at_place)
        if known is None:
            yield ConfigDifference(
                _route_subject(route), f'added: to {_shares_text(route.shares)}'
            )
        else:
            yield from _changed_route(known, route)


def _changed_route(
    before: FleetRoute, after: FleetRoute
) -> Iterator[ConfigDifference]:
    subject = _route_subject(after)
    for field in _changed_fields(before, after):
        old = getattr(before, field)
        new = getattr(after, field)
        match field:
            case 'shares':
                detail = f'{_shares_text(old)} -> {_shares_text(new)}'
                yield ConfigDifference(subject, f'moved: {detail}')
            case 'open_to_all':
                text = 'needs no key any more' if new else 'needs a key now'
                yield ConfigDifference(subject, text, refuses=not new)
            case _:
                yield ConfigDifference(subject, f'{field}: {old} -> {new}')


def _service_differences(
    in_force: ConfigEntries, proposed: ConfigEntries
) -> Iterator[ConfigDifference]:
    before = {each.name: each for each in in_force.services}
    after = {each.name: each for each in proposed.services}
    yield from _added_and_dropped('service', before, after)
    for name in sorted(before.keys() & after.keys()):
        for field in _changed_fields(before[name], after[name]):
            old = getattr(before[name], field)
            new = getattr(after[name], field)
            yield ConfigDifference(
                f'service {name}', f'{field}: {old} -> {new}'
            )


def _organisation_differences(
    in_force: ConfigEntries, proposed: ConfigEntries
) -> Iterator[ConfigDifference]:
    before = {each.name: each for each in in_force.organisations}
    after = {each.name: each for each in proposed.organisations}
    if bool(before) != bool(after):
        text = 'need a key now' if after else 'need no key any more'
        yield ConfigDifference(
            'organisations',
            f'routes that are not open to all {text}',
            refuses=bool(after),
        )
    yield from _added_and_dropped('organisation', before, after, refuses=True)
    for name in sorted(before.keys() & after.keys()):
        yield from _changed_organisation(before[name], after[name])


def _changed_organisation(
    before: Organisation, after: Organisation
) -> Iterator[ConfigDifference]:
    subject = f'organisation {after.name}'
    withdrawn = len(before.keys - after.keys)
    granted = len(after.keys - before.keys)
    if withdrawn:
        yield ConfigDifference(
            subject, f'{withdrawn} keys withdrawn', refuses=True
        )
    if granted:
        yield ConfigDifference(subject, f'{granted} keys granted')
    for field in _ORGANISATION_LIMITS:
        old = getattr(before, field)
        new = getattr(after, field)
        if old != new:
            yield ConfigDifference(
                subject,
                f'{field}: {old} -> {new}',
                refuses=_is_lowered(field, old, new),
            )


def _is_lowered(field: str, old: float, new: float) -> bool:
    """Return whether a limit is lowered; a rate of 0 is no limit."""
    if field == 'rate_per_s':
        return 0 < new and (not old or new < old)
    return field == 'burst_calls' and new < old


def _added_and_dropped(
    kind: str,
    before: Iterable[str],
    after: Iterable[str],
    *,
    refuses: bool = False,
) -> Iterator[ConfigDifference]:
    for name in sorted(set(before) - set(after)):
        yield ConfigDifference(f'{kind} {name}', 'dropped', refuses=refuses)
    for name in sorted(set(after) - set(before)):
        yield ConfigDifference(f'{kind} {name}', 'added')


def _changed_fields(before: _Entry, after: _Entry) -> Iterator[str]:
    """Yield the names of the fields that differ."""
    for field in fields(before):
        if getattr(before, field.name) != getattr(after, field.name):
            yield field.name


def _route_subject(route: FleetRoute) -> str:
    return f'route {route.name} ({route.host}{route.path_prefix})'


def _shares_text(shares: Iterable[Share]) -> str:
    return ', '.join(f'{each.service}:{each.weight:g}' for each in shares)
