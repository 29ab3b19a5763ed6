"""Plans: what a declaration would change in the version in force."""

import hashlib
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum, unique
from typing import Any

import msgspec

from rattanstile.request.ids import PlanId, VersionNumber
from rattanstile.version.change import (
    DeclarationChange,
    canonicalise,
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
        place: Dotted path, such as ``organisations.vedlott.rate_per_s``.
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
    """The change that an operator may confirm.

    Attributes:
        base: The version that the plan was made against.
        differences: Empty if nothing would change.
    """

    plan_id: PlanId
    base: VersionNumber
    change: DeclarationChange
    differences: tuple[Difference, ...]


def make_plan(
    base: VersionNumber, in_force: Declaration, declared: Declaration
) -> Plan:
    """Return the plan from the version in force to the declaration."""
    return Plan(
        plan_id=plan_id_of(base, declared),
        base=base,
        change=change_between(in_force, declared),
        differences=tuple(differences_between(in_force, declared)),
    )


def plan_id_of(base: VersionNumber, declared: Declaration) -> PlanId:
    """Return a digest of base and declaration, equal for equal plans."""
    encoded = msgspec.msgpack.encode((base, canonicalise(declared)))
    return PlanId(hashlib.sha256(encoded).hexdigest()[:PLAN_ID_CHARS])


def differences_between(
    old: Declaration, new: Declaration
) -> Iterator[Difference]:
    """Yield the differences by item and field, in schema order."""
    before = msgspec.to_builtins(canonicalise(old))
    after = msgspec.to_builtins(canonicalise(new))
    for name in before:
        yield from _differences(name, before[name], after[name])


def _differences(place: str, before: Any, after: Any) -> Iterator[Difference]:
    if before == after:
        return
    match before, after:
        case dict(), dict():
            names = {**before, **after}
            for name in names:
                yield from _member_differences(place, name, before, after)
        case list() | tuple(), list() | tuple():
            yield from _differences(
                place, _by_item_key(before), _by_item_key(after)
            )
        case _:
            yield Difference(
                DifferenceKind.CHANGED,
                place,
                _format_value(before),
                _format_value(after),
            )


def _member_differences(
    place: str, name: str, before: dict[str, Any], after: dict[str, Any]
) -> Iterator[Difference]:
    inner = f'{place}.{name}'
    if name not in before:
        yield Difference(
            DifferenceKind.ADDED, inner, after=_format_value(after[name])
        )
    elif name not in after:
        yield Difference(
            DifferenceKind.REMOVED, inner, before=_format_value(before[name])
        )
    else:
        yield from _differences(inner, before[name], after[name])


def _by_item_key(items: Any) -> dict[str, Any]:
    return {_item_key(item): item for item in items}


def _item_key(item: Any) -> str:
    if not isinstance(item, dict):
        return str(item)
    if 'name' in item:
        return str(item['name'])
    return f'{",".join(item["methods"])}{item["path"]}'


def _format_value(item: object) -> str:
    match item:
        case str():
            return item
        case dict():
            return ' '.join(
                f'{name}={_format_value(inner)}'
                for name, inner in item.items()
                if name != 'name'
            )
        case list() | tuple():
            return f'[{", ".join(_format_value(inner) for inner in item)}]'
    encoded: bytes = msgspec.json.encode(item)
    return encoded.decode()
