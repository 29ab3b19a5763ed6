"""Validation of a declaration beyond the types of its fields."""

import math
import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path

from result import Err, Ok, Result

from rattanstile.errors import SettingsError
from rattanstile.request.priority import RequestKind
from rattanstile.version.change import canonicalise
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
INTERNAL_NAME_PREFIX = 'rattanstile'

_NAME = re.compile('[a-z0-9][a-z0-9.-]{0,62}')
_TARGET_ID = re.compile('[A-Za-z0-9][A-Za-z0-9.:_-]{0,127}')
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
        lambda declaration: _validate(str(path), declaration)
    )


def parse_declaration(
    file_name: str, text: str
) -> Result[Declaration, SettingsError]:
    """Parse and check the text of a declaration file."""
    return parse_checked(file_name, text, Declaration).and_then(
        lambda declaration: _validate(file_name, declaration)
    )


def find_problems(declaration: Declaration) -> Iterator[Problem]:
    """Yield each value that is not allowed, in schema order."""
    yield from _organisation_problems(declaration.organisations)
    yield from _service_problems(declaration.services)
    yield from _domain_problems(declaration)
    for index, target in enumerate(declaration.targets_out):
        yield from _pattern_problems(
            f'$.targets_out[{index}]', target, _TARGET_ID
        )
    yield from _duplicate_problems('$.targets_out', declaration.targets_out)
    yield from _range_problems(
        '$.max_nodes', declaration.max_nodes, 1, MAX_NODES
    )
    yield from _range_problems('$.max_hops', declaration.max_hops, 1, MAX_HOPS)
    yield from _range_problems(
        '$.retry_budget', declaration.retry_budget, 0, MAX_RETRY_BUDGET
    )


def _validate(
    file_name: str, declaration: Declaration
) -> Result[Declaration, SettingsError]:
    for problem in find_problems(declaration):
        return Err(SettingsError(file_name, problem.field, problem.problem))
    return Ok(canonicalise(declaration))


def _organisation_problems(
    organisations: tuple[Organisation, ...],
) -> Iterator[Problem]:
    yield from _duplicate_problems(
        '$.organisations', [organisation.name for organisation in organisations]
    )
    seen: dict[str, str] = {}
    for index, organisation in enumerate(organisations):
        field = f'$.organisations[{index}]'
        yield from _name_problems(f'{field}.name', organisation.name)
        yield from _positive_problems(
            f'{field}.rate_per_s', organisation.rate_per_s, MAX_RATE_PER_S
        )
        yield from _range_problems(
            f'{field}.burst_calls', organisation.burst_calls, 1, MAX_BURST_CALLS
        )
        for key_index, digest in enumerate(organisation.keys):
            key_field = f'{field}.keys[{key_index}]'
            yield from _key_problems(key_field, digest, seen)


def _key_problems(
    field: str, digest: str, seen: dict[str, str]
) -> Iterator[Problem]:
    if not is_digest(digest):
        yield Problem(
            field,
            f'found {len(digest)} characters that are not a digest; allowed is'
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
    yield from _duplicate_problems(
        '$.services', [service.name for service in services]
    )
    for index, service in enumerate(services):
        field = f'$.services[{index}]'
        yield from _name_problems(f'{field}.name', service.name)
        yield from _positive_problems(
            f'{field}.timeout_s', service.timeout_s, MAX_TIMEOUT_S
        )
        yield from _limit_problems(f'{field}.limits', service.limits)
        yield from _routes_problems(f'{field}.routes', service.routes)


def _limit_problems(field: str, limits: TargetLimits) -> Iterator[Problem]:
    yield from _range_problems(f'{field}.slots', limits.slots, 1, MAX_SLOTS)
    yield from _range_problems(
        f'{field}.cold_slots', limits.cold_slots, 1, limits.slots
    )
    yield from _positive_problems(
        f'{field}.cold_start_s', limits.cold_start_s, MAX_COLD_START_S
    )


def _routes_problems(
    field: str, routes: tuple[Route, ...]
) -> Iterator[Problem]:
    if not routes:
        yield Problem(field, 'found no route; allowed is at least one route')
    seen: set[tuple[str, str]] = set()
    for index, route in enumerate(routes):
        yield from _route_problems(f'{field}[{index}]', route, seen)


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
        yield from _pattern_problems(f'{field}.methods', method, _METHOD)
    for method in route.methods or ('',):
        if (route.path, method) in seen:
            yield Problem(
                field,
                f'found {method} {route.path} again; each method and'
                ' path is allowed in one route only',
            )
        seen.add((route.path, method))


def _domain_problems(declaration: Declaration) -> Iterator[Problem]:
    domains = declaration.failure_domains
    yield from _duplicate_problems(
        '$.failure_domains', [domain.name for domain in domains]
    )
    for index, domain in enumerate(domains):
        field = f'$.failure_domains[{index}]'
        yield from _name_problems(f'{field}.name', domain.name)
        yield from _name_problems(f'{field}.region', domain.region)


def _name_problems(field: str, name: str) -> Iterator[Problem]:
    yield from _pattern_problems(field, name, _NAME)
    if name.startswith(INTERNAL_NAME_PREFIX):
        yield Problem(
            field,
            f'found {name!r}; names that begin with {INTERNAL_NAME_PREFIX} are'
            ' internal',
        )


def _pattern_problems(
    field: str, text: str, pattern: re.Pattern[str]
) -> Iterator[Problem]:
    if pattern.fullmatch(text) is None:
        yield Problem(field, f'found {text!r}; allowed is {pattern.pattern}')


def _duplicate_problems(field: str, names: Iterable[str]) -> Iterator[Problem]:
    seen: set[str] = set()
    for index, name in enumerate(names):
        if name in seen:
            yield Problem(
                f'{field}[{index}]',
                f'found {name!r} again; each name is allowed once',
            )
        seen.add(name)


def _range_problems(
    field: str, value: int, lowest: int, highest: int
) -> Iterator[Problem]:
    if not lowest <= value <= highest:
        yield Problem(field, f'found {value}; allowed is {lowest} to {highest}')


def _positive_problems(
    field: str, value: float, highest: float
) -> Iterator[Problem]:
    if not (math.isfinite(value) and 0 < value <= highest):
        yield Problem(
            field, f'found {value}; allowed is above 0 up to {highest}'
        )
