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
    bare = _merged(
        [_without_keys(one) for one in base.organisations],
        change.organisations,
        change.organisations_removed,
    )
    keys = set(_keys(base)) - set(change.keys_withdrawn)
    return Declaration(
        organisations=_with_keys(bare, keys | set(change.keys_granted)),
        services=_merged(
            base.services, change.services, change.services_removed
        ),
        failure_domains=_merged(
            base.failure_domains,
            change.failure_domains,
            change.failure_domains_removed,
        ),
        targets_out=tuple(
            sorted(
                set(base.targets_out) - set(change.targets_returned)
                | set(change.targets_taken_out)
            )
        ),
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


def _with_keys(
    organisations: Iterable[Organisation], keys: Iterable[GrantedKey]
) -> tuple[Organisation, ...]:
    digests: dict[OrganisationId, list[KeyDigest]] = {}
    for key in keys:
        digests.setdefault(key.organisation, []).append(key.digest)
    return tuple(
        msgspec.structs.replace(one, keys=tuple(sorted(digests[one.name])))
        if one.name in digests
        else one
        for one in organisations
    )


def _put(
    old: Iterable[NamedItem], new: Iterable[NamedItem]
) -> tuple[NamedItem, ...]:
    before: Mapping[str, NamedItem] = {one.name: one for one in old}
    return tuple(one for one in new if before.get(one.name) != one)


def _merged(
    base: Iterable[NamedItem],
    put: Iterable[NamedItem],
    removed: Iterable[str],
) -> tuple[NamedItem, ...]:
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
