"""What changes from one declaration to the next, as travels to nodes."""

from collections.abc import Iterable, Mapping
from typing import Protocol, TypeVar

import msgspec

from rattanstile.request.ids import (
    FailureDomainId,
    KeyDigest,
    OrganisationId,
    ServiceName,
    TargetId,
)
from rattanstile.version.declaration import (
    Declaration,
    FailureDomain,
    Organisation,
    Service,
)


class _Named(Protocol):
    @property
    def name(self) -> str: ...


NamedItem = TypeVar('NamedItem', bound=_Named)


class GrantedKey(msgspec.Struct, frozen=True, array_like=True):
    """A key that an organisation may use from now on."""

    organisation: OrganisationId
    digest: KeyDigest


class DeclarationChange(
    msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True
):
    """The items that differ between two declarations.

    Attributes:
        organisations: Added or changed ones, without their keys.
        keys_granted: Keys that are new to an organisation.
        keys_withdrawn: Keys that an organisation may no longer use.
        max_nodes: Set where it differs; the same holds for the next two.
    """

    organisations: tuple[Organisation, ...] = ()
    organisations_removed: tuple[OrganisationId, ...] = ()
    keys_granted: tuple[GrantedKey, ...] = ()
    keys_withdrawn: tuple[GrantedKey, ...] = ()
    services: tuple[Service, ...] = ()
    services_removed: tuple[ServiceName, ...] = ()
    failure_domains: tuple[FailureDomain, ...] = ()
    failure_domains_removed: tuple[FailureDomainId, ...] = ()
    targets_taken_out: tuple[TargetId, ...] = ()
    targets_returned: tuple[TargetId, ...] = ()
    max_nodes: int | None = None
    max_hops: int | None = None
    retry_budget: int | None = None


def change_between(old: Declaration, new: Declaration) -> DeclarationChange:
    """Return what turns the old declaration into the new one."""
    old_keys = _keys(old)
    new_keys = _keys(new)
    old_bare = [_without_keys(one) for one in old.organisations]
    new_bare = [_without_keys(one) for one in new.organisations]
    return DeclarationChange(
        organisations=_put(old_bare, new_bare),
        organisations_removed=_removed(
            [one.name for one in old.organisations],
            [one.name for one in new.organisations],
        ),
        keys_granted=_removed(new_keys, old_keys),
        keys_withdrawn=_removed(old_keys, new_keys),
        services=_put(old.services, new.services),
        services_removed=_removed(
            [one.name for one in old.services],
            [one.name for one in new.services],
        ),
        failure_domains=_put(old.failure_domains, new.failure_domains),
        failure_domains_removed=_removed(
            [one.name for one in old.failure_domains],
            [one.name for one in new.failure_domains],
        ),
        targets_taken_out=_removed(new.targets_out, old.targets_out),
        targets_returned=_removed(old.targets_out, new.targets_out),
        max_nodes=_differing(old.max_nodes, new.max_nodes),
        max_hops=_differing(old.max_hops, new.max_hops),
        retry_budget=_differing(old.retry_budget, new.retry_budget),
    )


def apply_change(base: Declaration, change: DeclarationChange) -> Declaration:
    """Return the declaration that a change makes of its base.

    Items come out sorted by name, so that equal declarations encode alike.
    """
    return Declaration(
        organisations=_organisations(base.organisations, change),
        services=_merged(
            base.services, change.services, change.services_removed
        ),
        failure_domains=_merged(
            base.failure_domains,
            change.failure_domains,
            change.failure_domains_removed,
        ),
        targets_out=_targets_out(base.targets_out, change),
        max_nodes=_chosen(change.max_nodes, base.max_nodes),
        max_hops=_chosen(change.max_hops, base.max_hops),
        retry_budget=_chosen(change.retry_budget, base.retry_budget),
    )


def canonical(declaration: Declaration) -> Declaration:
    """Return the declaration with its items sorted by name."""
    return apply_change(
        Declaration(), change_between(Declaration(), declaration)
    )


def _keys(declaration: Declaration) -> list[GrantedKey]:
    return [
        GrantedKey(one.name, digest)
        for one in declaration.organisations
        for digest in one.keys
    ]


def _without_keys(organisation: Organisation) -> Organisation:
    return msgspec.structs.replace(organisation, keys=())


def _organisations(
    base: tuple[Organisation, ...], change: DeclarationChange
) -> tuple[Organisation, ...]:
    """Return the organisations, building only those anew that change."""
    before = {one.name: one for one in base}
    touched = {one.name: one for one in change.organisations}
    for key in (*change.keys_withdrawn, *change.keys_granted):
        if key.organisation in before:
            touched.setdefault(key.organisation, before[key.organisation])
    keys = {
        name: set(before[name].keys) if name in before else set()
        for name in touched
    }
    for key in change.keys_withdrawn:
        keys.get(key.organisation, set()).discard(key.digest)
    for key in change.keys_granted:
        keys.get(key.organisation, set()).add(key.digest)
    put = tuple(
        msgspec.structs.replace(one, keys=tuple(sorted(keys[one.name])))
        for one in touched.values()
    )
    return _merged(base, put, change.organisations_removed)


def _targets_out(
    base: tuple[TargetId, ...], change: DeclarationChange
) -> tuple[TargetId, ...]:
    if not change.targets_taken_out and not change.targets_returned:
        return base
    kept = set(base) - set(change.targets_returned)
    return tuple(sorted(kept | set(change.targets_taken_out)))


def _put(
    old: Iterable[NamedItem], new: Iterable[NamedItem]
) -> tuple[NamedItem, ...]:
    before: Mapping[str, NamedItem] = {one.name: one for one in old}
    return tuple(one for one in new if before.get(one.name) != one)


def _merged(
    base: tuple[NamedItem, ...],
    put: tuple[NamedItem, ...],
    removed: tuple[str, ...],
) -> tuple[NamedItem, ...]:
    if not put and not removed:
        return base
    items = {one.name: one for one in base}
    items.update({one.name: one for one in put})
    for name in removed:
        items.pop(name, None)
    return tuple(items[name] for name in sorted(items))


Comparable = TypeVar('Comparable')


def _removed(
    old: Iterable[Comparable], new: Iterable[Comparable]
) -> tuple[Comparable, ...]:
    kept = set(new)
    return tuple(one for one in old if one not in kept)


def _differing(old: int, new: int) -> int | None:
    return None if old == new else new


def _chosen(changed: int | None, base: int) -> int:
    return base if changed is None else changed
