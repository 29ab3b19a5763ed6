"""The plan: what a declaration would change in the version in force."""

import hashlib
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum, unique
from typing import Any

import msgspec

from rattanstile.request.ids import PlanId, VersionNumber
from rattanstile.version.change import (
    DeclarationChange,
    canonical,
    change_between,
)
from rattanstile.version.declaration import Declaration

PLAN_ID_CHARS = 16


@unique
class DifferenceKind(Enum):
    """What happens to an item or a field."""

    ADDED = 'added'
    REMOVED = 'removed'
    CHANGED = 'changed'


@dataclass(frozen=True, slots=True)
class Difference:
    """One item or field that differs.

    Attributes:
        place: Such as ``organisations.vedlott.rate_per_s``.
        before: As text; empty for an added item.
        after: As text; empty for a removed item.
    """

    kind: DifferenceKind
    place: str
    before: str = ''
    after: str = ''

    def __str__(self) -> str:
        """Return the line shown to operators."""
        match self.kind:
            case DifferenceKind.ADDED:
                return f'+ {self.place} {self.after}'.rstrip()
            case DifferenceKind.REMOVED:
                return f'- {self.place} {self.before}'.rstrip()
        return f'~ {self.place}: {self.before} -> {self.after}'


@dataclass(frozen=True, slots=True)
class Plan:
    """What confirming would do.

    Attributes:
        base: The version that the plan was made against.
        differences: Empty where nothing would change.
    """

    plan_id: PlanId
    base: VersionNumber
    change: DeclarationChange
    differences: tuple[Difference, ...]


def make_plan(
    base: VersionNumber, in_force: Declaration, declared: Declaration
) -> Plan:
    """Return the plan that turns the version in force into the declared."""
    return Plan(
        plan_id=plan_id_of(base, declared),
        base=base,
        change=change_between(in_force, declared),
        differences=tuple(differences_between(in_force, declared)),
    )


def plan_id_of(base: VersionNumber, declared: Declaration) -> PlanId:
    """Return the digest of base and declaration: the same for the same plan."""
    encoded = msgspec.msgpack.encode((base, canonical(declared)))
    return PlanId(hashlib.sha256(encoded).hexdigest()[:PLAN_ID_CHARS])


def differences_between(
    old: Declaration, new: Declaration
) -> Iterator[Difference]:
    """Yield what differs, by item and field, in the order of the schema."""
    before = msgspec.to_builtins(canonical(old))
    after = msgspec.to_builtins(canonical(new))
    for name in before:
        yield from _differences(name, before[name], after[name])


def _differences(place: str, before: Any, after: Any) -> Iterator[Difference]:
    if before == after:
        return
    match before, after:
        case dict(), dict():
            names = {**before, **after}
            for name in names:
                yield from _member(place, name, before, after)
        case list() | tuple(), list() | tuple():
            yield from _differences(place, _keyed(before), _keyed(after))
        case _:
            yield Difference(
                DifferenceKind.CHANGED, place, _shown(before), _shown(after)
            )


def _member(
    place: str, name: str, before: dict[str, Any], after: dict[str, Any]
) -> Iterator[Difference]:
    inner = f'{place}.{name}'
    if name not in before:
        yield Difference(DifferenceKind.ADDED, inner, after=_shown(after[name]))
    elif name not in after:
        yield Difference(
            DifferenceKind.REMOVED, inner, before=_shown(before[name])
        )
    else:
        yield from _differences(inner, before[name], after[name])


def _keyed(items: Any) -> dict[str, Any]:
    return {_key(item): item for item in items}


def _key(item: Any) -> str:
    if not isinstance(item, dict):
        return str(item)
    if 'name' in item:
        return str(item['name'])
    return f'{",".join(item["methods"])}{item["path"]}'


def _shown(item: object) -> str:
    match item:
        case str():
            return item
        case dict():
            return ' '.join(
                f'{name}={_shown(inner)}'
                for name, inner in item.items()
                if name != 'name'
            )
        case list() | tuple():
            return f'[{", ".join(_shown(inner) for inner in item)}]'
    encoded: bytes = msgspec.json.encode(item)
    return encoded.decode()
