"""Changes between two declarations, in the form sent to nodes."""

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


class OrganisationKey(msgspec.Struct, frozen=True, array_like=True):
    """A key that is granted to an organisation or withdrawn from it."""

    organisation: OrganisationId
    digest: KeyDigest


class DeclarationChange(
    msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True
):
    """The items that differ between two declarations.

    Attributes:
        organisations: Organisations added or changed, without their keys.
        keys_granted: Keys that an organisation may use from now on.
        keys_withdrawn: Keys that an organisation may no longer use.
        max_nodes: New value, or None if unchanged; likewise `max_hops` and
            `retry_budget`.
    """

    organisations: tuple[Organisation, ...] = ()
    organisations_removed: tuple[OrganisationId, ...] = ()
    keys_granted: tuple[OrganisationKey, ...] = ()
    keys_withdrawn: tuple[OrganisationKey, ...] = ()
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
    """Return the change that turns the old declaration into the new one."""
    old_keys = _keys(old)
    new_keys = _keys(new)
    old_bare = [
        _without_keys(organisation) for organisation in old.organisations
    ]
    new_bare = [
        _without_keys(organisation) for organisation in new.organisations
    ]
    return DeclarationChange(
        organisations=_added_or_changed(old_bare, new_bare),
        organisations_removed=_removed(
            [organisation.name for organisation in old.organisations],
            [organisation.name for organisation in new.organisations],
        ),
        keys_granted=_removed(new_keys, old_keys),
        keys_withdrawn=_removed(old_keys, new_keys),
        services=_added_or_changed(old.services, new.services),
        services_removed=_removed(
            [service.name for service in old.services],
            [service.name for service in new.services],
        ),
        failure_domains=_added_or_changed(
            old.failure_domains, new.failure_domains
        ),
        failure_domains_removed=_removed(
            [domain.name for domain in old.failure_domains],
            [domain.name for domain in new.failure_domains],
        ),
        targets_taken_out=_removed(new.targets_out, old.targets_out),
        targets_returned=_removed(old.targets_out, new.targets_out),
        max_nodes=_new_if_different(old.max_nodes, new.max_nodes),
        max_hops=_new_if_different(old.max_hops, new.max_hops),
        retry_budget=_new_if_different(old.retry_budget, new.retry_budget),
    )


def apply_change(base: Declaration, change: DeclarationChange) -> Declaration:
    """Return the declaration that results from a change to its base.

    Items that a change affects are returned sorted by name with the others of
    their kind, so that equal declarations have the same encoding.
    """
    return Declaration(
        organisations=_organisations(base.organisations, change),
        services=_merge(
            base.services, change.services, change.services_removed
        ),
        failure_domains=_merge(
            base.failure_domains,
            change.failure_domains,
            change.failure_domains_removed,
        ),
        targets_out=_targets_out(base.targets_out, change),
        max_nodes=_new_or_base(change.max_nodes, base.max_nodes),
        max_hops=_new_or_base(change.max_hops, base.max_hops),
        retry_budget=_new_or_base(change.retry_budget, base.retry_budget),
    )


def canonicalise(declaration: Declaration) -> Declaration:
    """Return the declaration with its items sorted by name."""
    return apply_change(
        Declaration(), change_between(Declaration(), declaration)
    )


def _keys(declaration: Declaration) -> list[OrganisationKey]:
    return [
        OrganisationKey(organisation.name, digest)
        for organisation in declaration.organisations
        for digest in organisation.keys
    ]


def _without_keys(organisation: Organisation) -> Organisation:
    return msgspec.structs.replace(organisation, keys=())


def _organisations(
    base: tuple[Organisation, ...], change: DeclarationChange
) -> tuple[Organisation, ...]:
    """Return the organisations, rebuilding only those that change."""
    before = {organisation.name: organisation for organisation in base}
    affected = {
        organisation.name: organisation for organisation in change.organisations
    }
    for key in (*change.keys_withdrawn, *change.keys_granted):
        if key.organisation in before:
            affected.setdefault(key.organisation, before[key.organisation])
    keys = {
        name: set(before[name].keys) if name in before else set()
        for name in affected
    }
    for key in change.keys_withdrawn:
        keys.get(key.organisation, set()).discard(key.digest)
    for key in change.keys_granted:
        keys.get(key.organisation, set()).add(key.digest)
    replacements = tuple(
        msgspec.structs.replace(
            organisation, keys=tuple(sorted(keys[organisation.name]))
        )
        for organisation in affected.values()
    )
    return _merge(base, replacements, change.organisations_removed)


def _targets_out(
    base: tuple[TargetId, ...], change: DeclarationChange
) -> tuple[TargetId, ...]:
    if not change.targets_taken_out and not change.targets_returned:
        return base
    remaining = set(base) - set(change.targets_returned)
    return tuple(sorted(remaining | set(change.targets_taken_out)))


def _added_or_changed(
    old: Iterable[NamedItem], new: Iterable[NamedItem]
) -> tuple[NamedItem, ...]:
    before: Mapping[str, NamedItem] = {item.name: item for item in old}
    return tuple(item for item in new if before.get(item.name) != item)


def _merge(
    base: tuple[NamedItem, ...],
    replacements: tuple[NamedItem, ...],
    removed: tuple[str, ...],
) -> tuple[NamedItem, ...]:
    if not replacements and not removed:
        return base
    items = {item.name: item for item in base}
    items.update({item.name: item for item in replacements})
    for name in removed:
        items.pop(name, None)
    return tuple(items[name] for name in sorted(items))


Comparable = TypeVar('Comparable')


def _removed(
    old: Iterable[Comparable], new: Iterable[Comparable]
) -> tuple[Comparable, ...]:
    new_items = set(new)
    return tuple(item for item in old if item not in new_items)


def _new_if_different(old: int, new: int) -> int | None:
    return None if old == new else new


def _new_or_base(new_value: int | None, base: int) -> int:
    return base if new_value is None else new_value
