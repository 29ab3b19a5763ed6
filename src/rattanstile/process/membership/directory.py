"""Membership across failure domains: summaries and subscriptions.

The nodes of each failure domain with the lowest hashes of their ids are its
directories. They store every member, exchange summaries of the changes in
their own domains, and notify the nodes of their domain about the services
that these subscribe to.
"""

from collections import deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from heapq import nsmallest
from random import Random

import msgspec
import xxhash

from rattanstile.process.control_messages import SendControl
from rattanstile.process.membership.members import Entry, MemberTable, bucket_of
from rattanstile.process.membership.membership_messages import (
    DomainMembers,
    DomainRequest,
    DomainState,
    DomainSummary,
    MemberState,
    ServiceMembers,
    Subscribe,
    Update,
)
from rattanstile.request.envelope import Member
from rattanstile.request.ids import FailureDomainId, NodeId, ServiceName

DIRECTORIES_PER_DOMAIN = 3
SUMMARY_PERIOD_S = 1.0
MAX_URGENT_DELAY_S = 0.3
SUMMARY_ROUND_PERIODS = 3
"""Periods of 1 s in which a directory sends every other domain a summary."""
MAX_SUMMARY_CHANGES = 8
MAX_CHANGE_AGE_S = 6.0
DOMAIN_SILENT_S = 1.0
DOMAIN_LOST_S = 2.0
MIN_REQUEST_PERIOD_S = 5.0
SUBSCRIPTION_TTL_S = 75.0
MAX_PAGE_MEMBERS = 64
SILENT_DOMAIN_PROBES = 2


@dataclass(slots=True)
class _Subscription:
    services: tuple[ServiceName, ...]
    expires_s: float


@dataclass(slots=True)
class Directory:
    """Exchanges summaries between failure domains.

    Args:
        me: This node.
        table: The members that this node stores.
        random: Selects receivers.
    """

    me: Member
    table: MemberTable
    random: Random
    lost_domains: set[FailureDomainId] = field(default_factory=set)
    _next_summary_s: float = 0.0
    _round_position: int = 0
    _is_urgent: bool = False
    """Whether other domains may still send calls to a lost or left member."""
    _changes: deque[tuple[float, Update]] = field(
        default_factory=lambda: deque(maxlen=MAX_SUMMARY_CHANGES)
    )
    _unanswered_since_s: dict[FailureDomainId, float] = field(
        default_factory=dict
    )
    _last_request_s: dict[FailureDomainId, float] = field(default_factory=dict)
    _directories: dict[FailureDomainId, tuple[int, list[NodeId]]] = field(
        default_factory=dict
    )
    _subscriptions: dict[NodeId, _Subscription] = field(default_factory=dict)

    def directories_of(self, domain: FailureDomainId) -> list[NodeId]:
        """Return the directories of a failure domain, by the local table."""
        change = self.table.change_count(domain)
        cached = self._directories.get(domain)
        if cached is None or cached[0] != change:
            alive = (
                entry.member.node_id
                for entry in self.table.in_domain(domain)
                if entry.state is MemberState.ALIVE
            )
            cached = (
                change,
                nsmallest(DIRECTORIES_PER_DOMAIN, alive, key=_node_hash),
            )
            self._directories[domain] = cached
        return cached[1]

    def is_directory(self) -> bool:
        """Return whether this node is a directory of its domain."""
        return self.me.node_id in self.directories_of(self.me.failure_domain)

    def tick(self, now_s: float) -> list[SendControl]:
        """Return due summaries to other domains and notices of lost domains."""
        if now_s < self._next_summary_s:
            return []
        self._next_summary_s = now_s + SUMMARY_PERIOD_S
        if not self.is_directory():
            return []
        others = [
            domain
            for domain in self.table.domains()
            if domain != self.me.failure_domain
        ]
        due = [
            domain
            for index, domain in enumerate(others)
            if self._is_urgent
            or index % SUMMARY_ROUND_PERIODS == self._round_position
            or domain in self._unanswered_since_s
        ]
        self._is_urgent = False
        self._round_position = (
            self._round_position + 1
        ) % SUMMARY_ROUND_PERIODS
        sends = [
            send
            for domain in due
            for send in self._summary_messages(now_s, domain)
        ]
        return sends + self._mark_lost_domains(now_s)

    def record_change(self, now_s: float, entry: Entry) -> list[SendControl]:
        """Record a change and notify subscribers.

        Changes of the own domain also go into the next summaries.
        """
        update = entry.update(with_member=True)
        if entry.member.failure_domain == self.me.failure_domain:
            self._changes.appendleft((now_s, update))
            is_gone = entry.state in {MemberState.LOST, MemberState.LEFT}
            if is_gone:
                self._is_urgent = True
                self._next_summary_s = min(
                    self._next_summary_s, now_s + MAX_URGENT_DELAY_S
                )
        notification = ServiceMembers(entry.member.service, False, (update,))
        return [
            SendControl(node_id, notification)
            for node_id, subscription in self._active_subscriptions(now_s)
            if entry.member.service in subscription.services
        ]

    def handle_summary(
        self, now_s: float, sender: NodeId, message: DomainSummary
    ) -> list[SendControl]:
        """Respond to a summary whose changes were applied to the table."""
        sends = self._mark_reachable(now_s, message.domain)
        if message.is_reply_requested:
            sends.append(SendControl(sender, self._summary(now_s, False)))
        is_current = self.table.domain_digest(message.domain) == message.digest
        last_request_s = self._last_request_s.get(message.domain, float('-inf'))
        is_too_soon = now_s < last_request_s + MIN_REQUEST_PERIOD_S
        if self.is_directory() and not is_current and not is_too_soon:
            self._last_request_s[message.domain] = now_s
            digests = self.table.bucket_digests(message.domain)
            request = DomainRequest(message.domain, digests)
            sends.append(SendControl(sender, request))
        return sends

    def handle_request(
        self, sender: NodeId, message: DomainRequest
    ) -> list[SendControl]:
        """Send pages of the members that may be outdated at the sender."""
        local_digests = self.table.bucket_digests(message.domain)
        remote_digests = message.digests
        differing = {
            bucket
            for bucket, digest in enumerate(local_digests)
            if bucket >= len(remote_digests) or remote_digests[bucket] != digest
        }
        updates = [
            entry.update(with_member=True)
            for entry in self.table.in_domain(message.domain)
            if bucket_of(entry.member.node_id) in differing
        ]
        pages = paginate(updates)
        return [
            SendControl(
                sender,
                DomainMembers(message.domain, page, len(pages), tuple(members)),
            )
            for page, members in enumerate(pages)
        ]

    def handle_subscribe(
        self, now_s: float, sender: NodeId, message: Subscribe
    ) -> list[SendControl]:
        """Store a subscription; send its services if the digests differ."""
        is_new = sender not in self._subscriptions
        self._subscriptions[sender] = _Subscription(
            message.services, now_s + SUBSCRIPTION_TTL_S
        )
        sends: list[SendControl] = []
        if self.table.services_digest(message.services) != message.digest:
            sends.extend(
                SendControl(sender, self._service_members(service))
                for service in message.services
            )
        if is_new:
            for domain in sorted(self.lost_domains):
                sends.append(SendControl(sender, DomainState(domain, True)))
        return sends

    def handle_domain_state(self, message: DomainState) -> None:
        """Record that a directory reports a domain as lost or reachable."""
        if message.lost:
            self.lost_domains.add(message.domain)
        else:
            self.lost_domains.discard(message.domain)

    def _summary_messages(
        self, now_s: float, domain: FailureDomainId
    ) -> list[SendControl]:
        unanswered_since_s = self._unanswered_since_s.setdefault(domain, now_s)
        receivers = self.directories_of(domain)
        is_silent = now_s >= unanswered_since_s + DOMAIN_SILENT_S
        if is_silent or not receivers:
            receivers = [
                entry.member.node_id
                for entry in self.table.in_domain(domain)
                if entry.state is not MemberState.LEFT
            ]
        count = min(len(receivers), SILENT_DOMAIN_PROBES if is_silent else 1)
        return [
            SendControl(receiver, self._summary(now_s, True))
            for receiver in self.random.sample(receivers, count)
        ]

    def _mark_lost_domains(self, now_s: float) -> list[SendControl]:
        silent = [
            domain
            for domain, unanswered_since_s in self._unanswered_since_s.items()
            if now_s >= unanswered_since_s + DOMAIN_LOST_S
            and domain not in self.lost_domains
        ]
        self.lost_domains.update(silent)
        return self._domain_state_messages(now_s, silent, lost=True)

    def _mark_reachable(
        self, now_s: float, domain: FailureDomainId
    ) -> list[SendControl]:
        self._unanswered_since_s.pop(domain, None)
        if domain not in self.lost_domains:
            return []
        self.lost_domains.discard(domain)
        return self._domain_state_messages(now_s, [domain], lost=False)

    def _domain_state_messages(
        self, now_s: float, domains: Iterable[FailureDomainId], *, lost: bool
    ) -> list[SendControl]:
        return [
            SendControl(node_id, DomainState(domain, lost))
            for domain in domains
            for node_id, _ in self._active_subscriptions(now_s)
        ]

    def _active_subscriptions(
        self, now_s: float
    ) -> list[tuple[NodeId, _Subscription]]:
        for node_id, subscription in tuple(self._subscriptions.items()):
            if now_s >= subscription.expires_s:
                self._subscriptions.pop(node_id)
        return list(self._subscriptions.items())

    def _summary(self, now_s: float, is_reply_requested: bool) -> DomainSummary:
        domain = self.me.failure_domain
        return DomainSummary(
            domain,
            self.table.domain_digest(domain),
            is_reply_requested,
            tuple(
                update
                for changed_s, update in self._changes
                if now_s < changed_s + MAX_CHANGE_AGE_S
            ),
        )

    def _service_members(self, service: ServiceName) -> ServiceMembers:
        entries = self.table.of_service(service)
        updates = tuple(entry.update(with_member=True) for entry in entries)
        return ServiceMembers(service, True, updates)


def paginate(updates: Sequence[Update]) -> list[Sequence[Update]]:
    """Split updates into pages of bounded size, at least one."""
    starts = range(0, max(1, len(updates)), MAX_PAGE_MEMBERS)
    return [updates[start : start + MAX_PAGE_MEMBERS] for start in starts]


def _node_hash(node_id: NodeId) -> int:
    return xxhash.xxh64_intdigest(msgspec.msgpack.encode(node_id))
