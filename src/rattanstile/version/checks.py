"""Checks of a declaration beyond the types of its fields."""

import math
import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path

from result import Err, Ok, Result

from rattanstile.errors import SettingsError
from rattanstile.request.priority import RequestKind
from rattanstile.version.change import canonical
from rattanstile.version.checked_file import parse_checked, read_checked
from rattanstile.version.declaration import (
    Declaration,
    Organisation,
    Route,
    Service,
    TargetLimits,
)
from rattanstile.version.keys import is_digest

MAX_RATE_PER_S = 10_000_000.0
MAX_BURST_CALLS = 10_000_000
MAX_SLOTS = 100_000
MAX_COLD_START_S = 3_600.0
MAX_TIMEOUT_S = 300.0
MAX_NODES = 100_000
MAX_HOPS = 64
MAX_RETRY_BUDGET = 100
INTERNAL_PREFIX = 'rattanstile'

_NAME = re.compile('[a-z0-9][a-z0-9.-]{0,62}')
_TARGET = re.compile('[A-Za-z0-9][A-Za-z0-9.:_-]{0,127}')
_METHOD = re.compile('[A-Z]{1,16}')
_KINDS = tuple(kind.name.lower() for kind in RequestKind)


@dataclass(frozen=True, slots=True)
class Problem:
    """A value that is not allowed.

    Attributes:
        field: Path of the field, such as ``$.services[0].name``.
        problem: What was found and what is allowed.
    """

    field: str
    problem: str


def read_declaration(path: Path) -> Result[Declaration, SettingsError]:
    """Read and check a declaration file.

    Returns:
        The declaration in canonical order, or the first problem found.
    """
    return read_checked(path, Declaration).and_then(
        lambda read: _checked(str(path), read)
    )


def parse_declaration(
    file_name: str, text: str
) -> Result[Declaration, SettingsError]:
    """Parse and check the text of a declaration file."""
    return parse_checked(file_name, text, Declaration).and_then(
        lambda read: _checked(file_name, read)
    )


def problems_of(declaration: Declaration) -> Iterator[Problem]:
    """Yield each value that is not allowed, in the order of the file."""
    yield from _organisation_problems(declaration.organisations)
    yield from _service_problems(declaration.services)
    yield from _domain_problems(declaration)
    for place, target in enumerate(declaration.targets_out):
        yield from _form(f'$.targets_out[{place}]', target, _TARGET)
    yield from _unique('$.targets_out', declaration.targets_out)
    yield from _within('$.max_nodes', declaration.max_nodes, 1, MAX_NODES)
    yield from _within('$.max_hops', declaration.max_hops, 1, MAX_HOPS)
    yield from _within(
        '$.retry_budget', declaration.retry_budget, 0, MAX_RETRY_BUDGET
    )


def _checked(
    file_name: str, declaration: Declaration
) -> Result[Declaration, SettingsError]:
    for problem in problems_of(declaration):
        return Err(SettingsError(file_name, problem.field, problem.problem))
    return Ok(canonical(declaration))


def _organisation_problems(
    organisations: tuple[Organisation, ...],
) -> Iterator[Problem]:
    yield from _unique('$.organisations', [one.name for one in organisations])
    seen: dict[str, str] = {}
    for place, one in enumerate(organisations):
        field = f'$.organisations[{place}]'
        yield from _name(f'{field}.name', one.name)
        yield from _above_zero(
            f'{field}.rate_per_s', one.rate_per_s, MAX_RATE_PER_S
        )
        yield from _within(
            f'{field}.burst_calls', one.burst_calls, 1, MAX_BURST_CALLS
        )
        for key_place, digest in enumerate(one.keys):
            key_field = f'{field}.keys[{key_place}]'
            yield from _key_problems(key_field, digest, seen)


def _key_problems(
    field: str, digest: str, seen: dict[str, str]
) -> Iterator[Problem]:
    if not is_digest(digest):
        yield Problem(
            field,
            f'found {len(digest)} characters that are no digest; allowed is'
            ' a SHA-256 as 64 lower-case'
            ' hexadecimal digits, as `rattanstile key new` prints it',
        )
    if digest in seen:
        yield Problem(
            field,
            f'found the key of {seen[digest]} again; each key is allowed once',
        )
    seen[digest] = field


def _service_problems(services: tuple[Service, ...]) -> Iterator[Problem]:
    yield from _unique('$.services', [one.name for one in services])
    for place, one in enumerate(services):
        field = f'$.services[{place}]'
        yield from _name(f'{field}.name', one.name)
        yield from _above_zero(
            f'{field}.timeout_s', one.timeout_s, MAX_TIMEOUT_S
        )
        yield from _limits_problems(f'{field}.limits', one.limits)
        yield from _routes_problems(f'{field}.routes', one.routes)


def _limits_problems(field: str, limits: TargetLimits) -> Iterator[Problem]:
    yield from _within(f'{field}.slots', limits.slots, 1, MAX_SLOTS)
    yield from _within(
        f'{field}.cold_slots', limits.cold_slots, 1, limits.slots
    )
    yield from _above_zero(
        f'{field}.cold_start_s', limits.cold_start_s, MAX_COLD_START_S
    )


def _routes_problems(
    field: str, routes: tuple[Route, ...]
) -> Iterator[Problem]:
    if not routes:
        yield Problem(field, 'found none; allowed is at least one route')
    seen: set[tuple[str, str]] = set()
    for place, route in enumerate(routes):
        yield from _route_problems(f'{field}[{place}]', route, seen)


def _route_problems(
    field: str, route: Route, seen: set[tuple[str, str]]
) -> Iterator[Problem]:
    if not route.path.startswith('/'):
        yield Problem(
            f'{field}.path',
            f'found {route.path!r}; allowed is a path that begins with /',
        )
    if route.kind not in _KINDS:
        yield Problem(
            f'{field}.kind',
            f'found {route.kind!r}; allowed are {", ".join(_KINDS)}',
        )
    for method in route.methods:
        yield from _form(f'{field}.methods', method, _METHOD)
    for method in route.methods or ('',):
        if (route.path, method) in seen:
            yield Problem(
                field,
                f'found {method} {route.path} again; a method and path is'
                ' allowed in one route',
            )
        seen.add((route.path, method))


def _domain_problems(declaration: Declaration) -> Iterator[Problem]:
    domains = declaration.failure_domains
    yield from _unique('$.failure_domains', [one.name for one in domains])
    for place, one in enumerate(domains):
        field = f'$.failure_domains[{place}]'
        yield from _name(f'{field}.name', one.name)
        yield from _name(f'{field}.region', one.region)


def _name(field: str, name: str) -> Iterator[Problem]:
    yield from _form(field, name, _NAME)
    if name.startswith(INTERNAL_PREFIX):
        yield Problem(
            field,
            f'found {name!r}; names that begin with {INTERNAL_PREFIX} are'
            ' internal',
        )


def _form(field: str, text: str, form: re.Pattern[str]) -> Iterator[Problem]:
    if form.fullmatch(text) is None:
        yield Problem(field, f'found {text!r}; allowed is {form.pattern}')


def _unique(field: str, names: Iterable[str]) -> Iterator[Problem]:
    seen: set[str] = set()
    for place, name in enumerate(names):
        if name in seen:
            yield Problem(
                f'{field}[{place}]',
                f'found {name!r} again; each name is allowed once',
            )
        seen.add(name)


def _within(
    field: str, found: int, lowest: int, highest: int
) -> Iterator[Problem]:
    if not lowest <= found <= highest:
        yield Problem(field, f'found {found}; allowed is {lowest} to {highest}')


def _above_zero(field: str, found: float, highest: float) -> Iterator[Problem]:
    if not (math.isfinite(found) and 0 < found <= highest):
        yield Problem(
            field, f'found {found}; allowed is above 0 up to {highest}'
        )
