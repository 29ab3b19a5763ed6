"""Table of the members that a node stores, and precedence of updates."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

import msgspec
import xxhash

from rattanstile.process.membership.membership_messages import (
    MemberState,
    Update,
)
from rattanstile.request.envelope import Member
from rattanstile.request.ids import FailureDomainId, NodeId, ServiceName

LEFT_RETENTION_S = 600.0
"""Retention of left incarnations; older updates no longer circulate then."""
DIGEST_BUCKETS = 64
_MASK = 0xFFFFFFFF
_BUCKET_MASK = 0xFFFF


@dataclass(slots=True)
class Entry:
    """One incarnation of a node.

    Attributes:
        since_s: When the state was set.
    """

    member: Member
    state: MemberState
    refutation: int
    since_s: float

    def update(self, *, with_member: bool = False) -> Update:
        """Return the update to send to others."""
        return Update(
            self.member.node_id,
            self.member.incarnation,
            self.state,
            self.refutation,
            self.member if with_member else None,
        )


_OrderedNodeIds = dict[NodeId, None]


@dataclass(slots=True)
class MemberTable:
    """Members by node, failure domain and service.

    Groups of node ids are dicts without values. They keep the order of
    insertion, on which random selections from a given seed depend.
    """

    _entries: dict[NodeId, Entry] = field(default_factory=dict)
    _by_domain: dict[FailureDomainId, _OrderedNodeIds] = field(
        default_factory=dict
    )
    _by_service: dict[ServiceName, _OrderedNodeIds] = field(
        default_factory=dict
    )
    _change_counts: dict[FailureDomainId, int] = field(default_factory=dict)
    _digests: dict[FailureDomainId | ServiceName, int] = field(
        default_factory=dict
    )

    def get(self, node_id: NodeId) -> Entry | None:
        """Return the entry of a node."""
        return self._entries.get(node_id)

    def __len__(self) -> int:
        """Return the number of nodes in the table."""
        return len(self._entries)

    def apply(self, now_s: float, update: Update) -> bool:
        """Apply an update about a node.

        Returns:
            Whether it changed the table.
        """
        entry = self._entries.get(update.node_id)
        if entry is None or update.incarnation > entry.member.incarnation:
            return self._add(now_s, update)
        if not _supersedes(update, entry):
            return False
        entry.state = update.state
        entry.refutation = update.refutation
        entry.since_s = now_s
        self._digest_changed(entry.member)
        return True

    def domains(self) -> tuple[FailureDomainId, ...]:
        """Return every failure domain that has or had a member, sorted."""
        return tuple(sorted(self._by_domain))

    def in_domain(self, domain: FailureDomainId) -> Iterator[Entry]:
        """Yield the entries of a failure domain."""
        return self._entries_of(self._by_domain.get(domain, ()))

    def of_service(self, service: ServiceName) -> Iterator[Entry]:
        """Yield the entries of a service."""
        return self._entries_of(self._by_service.get(service, ()))

    def domain_digest(self, domain: FailureDomainId) -> int:
        """Return a digest of a domain's nodes, incarnations and states."""
        if domain not in self._digests:
            self._digests[domain] = digest_of(self.in_domain(domain))
        return self._digests[domain]

    def service_digest(self, service: ServiceName) -> int:
        """Return a digest of a service's nodes, incarnations and states."""
        if service not in self._digests:
            self._digests[service] = digest_of(self.of_service(service))
        return self._digests[service]

    def bucket_digests(self, domain: FailureDomainId) -> tuple[int, ...]:
        """Return a digest of each hash bucket of a domain's members."""
        totals = [0 for _ in range(DIGEST_BUCKETS)]
        for entry in self.in_domain(domain):
            if entry.state is not MemberState.LEFT:
                totals[bucket_of(entry.member.node_id)] += _entry_digest(entry)
        return tuple(total & _BUCKET_MASK for total in totals)

    def services_digest(self, services: Iterable[ServiceName]) -> int:
        """Return a combined digest of several services."""
        return sum(map(self.service_digest, services)) & _MASK

    def change_count(self, domain: FailureDomainId) -> int:
        """Return a number that grows with each change in a domain."""
        return self._change_counts.get(domain, 0)

    def all_entries(self) -> Iterator[Entry]:
        """Yield every entry."""
        return iter(tuple(self._entries.values()))

    def forget(self, node_id: NodeId) -> None:
        """Remove the entry of a node."""
        entry = self._entries.pop(node_id)
        self._digest_changed(entry.member)
        self._by_domain[entry.member.failure_domain].pop(node_id, None)
        self._by_service[entry.member.service].pop(node_id, None)

    def forget_left(self, now_s: float) -> None:
        """Remove members that left more than `LEFT_RETENTION_S` ago."""
        for entry in self.all_entries():
            is_old = now_s > entry.since_s + LEFT_RETENTION_S
            if entry.state is MemberState.LEFT and is_old:
                self.forget(entry.member.node_id)

    def _add(self, now_s: float, update: Update) -> bool:
        if update.member is None:
            return False
        if update.node_id in self._entries:
            self.forget(update.node_id)
        member = update.member
        self._digest_changed(member)
        self._entries[member.node_id] = Entry(
            member, update.state, update.refutation, now_s
        )
        self._by_domain.setdefault(member.failure_domain, {})[
            member.node_id
        ] = None
        self._by_service.setdefault(member.service, {})[member.node_id] = None
        return True

    def _digest_changed(self, member: Member) -> None:
        self._digests.pop(member.failure_domain, None)
        self._digests.pop(member.service, None)
        domain = member.failure_domain
        self._change_counts[domain] = self._change_counts.get(domain, 0) + 1

    def _entries_of(self, node_ids: Iterable[NodeId]) -> Iterator[Entry]:
        return (self._entries[node_id] for node_id in tuple(node_ids))


def bucket_of(node_id: NodeId) -> int:
    """Return the digest bucket of a node within its domain."""
    return xxhash.xxh32_intdigest(node_id.encode()) % DIGEST_BUCKETS


def digest_of(entries: Iterable[Entry]) -> int:
    """Return an order-independent digest of nodes, incarnations and states."""
    total = 0
    for entry in entries:
        if entry.state is not MemberState.LEFT:
            total += _entry_digest(entry)
    return total & _MASK


def _entry_digest(entry: Entry) -> int:
    parts = (
        entry.member.node_id,
        entry.member.incarnation,
        int(entry.state is MemberState.LOST),
    )
    return xxhash.xxh32_intdigest(msgspec.msgpack.encode(parts))


def _supersedes(update: Update, entry: Entry) -> bool:
    if update.incarnation < entry.member.incarnation:
        return False
    if MemberState.LEFT in {update.state, entry.state}:
        return entry.state is not MemberState.LEFT
    return (update.refutation, update.state) > (entry.refutation, entry.state)
