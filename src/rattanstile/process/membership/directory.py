"""Members beyond the own failure domain: summaries and subscriptions.

The first few nodes of each failure domain, by a hash, are its directories.
They know every member, tell each other what changes in their own domains,
and tell the nodes of their domain about the services these subscribe to.
"""

from collections import deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from heapq import nsmallest
from random import Random

import msgspec
import xxhash

from rattanstile.process.control_messages import SendControl
from rattanstile.process.membership.members import Entry, MemberTable, part_of
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

DIRECTORIES = 3
SUMMARY_EVERY_S = 1.0
URGENT_WITHIN_S = 0.3
SUMMARY_ROUND = 3
"""Seconds in which each other domain gets a summary from each directory."""
CHANGES_TOLD = 8
CHANGE_TOLD_S = 6.0
DOMAIN_SILENT_S = 1.0
DOMAIN_LOST_S = 2.0
REQUEST_EVERY_S = 5.0
SUBSCRIPTION_S = 75.0
PAGE_MEMBERS = 64
PROBES = 2


@dataclass(slots=True)
class _Subscription:
    services: tuple[ServiceName, ...]
    until_s: float


@dataclass(slots=True)
class Directory:
    """What a node does for the summary between failure domains.

    Args:
        me: This node.
        table: The members known here.
        random: Chooses receivers.
    """

    me: Member
    table: MemberTable
    random: Random
    lost_domains: set[FailureDomainId] = field(default_factory=set)
    _next_s: float = 0.0
    _turn: int = 0
    _is_urgent: bool = False
    """Whether other domains may send work to a member that is gone."""
    _changes: deque[tuple[float, Update]] = field(
        default_factory=lambda: deque(maxlen=CHANGES_TOLD)
    )
    _asked_s: dict[FailureDomainId, float] = field(default_factory=dict)
    _requested_s: dict[FailureDomainId, float] = field(default_factory=dict)
    _directories: dict[FailureDomainId, tuple[int, list[NodeId]]] = field(
        default_factory=dict
    )
    _subscriptions: dict[NodeId, _Subscription] = field(default_factory=dict)

    def of_domain(self, domain: FailureDomainId) -> list[NodeId]:
        """Return the directories of a failure domain, as known here."""
        change = self.table.change_of(domain)
        live_members = self._directories.get(domain)
        if live_members is None or live_members[0] != change:
            alive = (
                entry.member.node_id
                for entry in self.table.in_domain(domain)
                if entry.state is MemberState.ALIVE
            )
            live_members = (change, nsmallest(DIRECTORIES, alive, key=_weight))
            self._directories[domain] = live_members
        return live_members[1]

    def is_one(self) -> bool:
        """Tell whether this node is a directory of its domain."""
        return self.me.node_id in self.of_domain(self.me.failure_domain)

    def tick(self, now_s: float) -> list[SendControl]:
        """Tell other domains' directories about the own domain."""
        if now_s < self._next_s:
            return []
        self._next_s = now_s + SUMMARY_EVERY_S
        if not self.is_one():
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
            or index % SUMMARY_ROUND == self._turn
            or domain in self._asked_s
        ]
        self._is_urgent = False
        self._turn = (self._turn + 1) % SUMMARY_ROUND
        sends = [send for domain in due for send in self._ask(now_s, domain)]
        return sends + self._find_lost(now_s)

    def changed(self, now_s: float, entry: Entry) -> list[SendControl]:
        """Tell of a change: the own domain's to others, all to subscribers."""
        update = entry.update(with_member=True)
        if entry.member.failure_domain == self.me.failure_domain:
            self._changes.appendleft((now_s, update))
            is_worse = entry.state in {MemberState.LOST, MemberState.LEFT}
            if is_worse:
                self._is_urgent = True
                self._next_s = min(self._next_s, now_s + URGENT_WITHIN_S)
        news = ServiceMembers(entry.member.service, False, (update,))
        return [
            SendControl(node_id, news)
            for node_id, subscription in self._live(now_s)
            if entry.member.service in subscription.services
        ]

    def summary_arrived(
        self, now_s: float, sender: NodeId, message: DomainSummary
    ) -> list[SendControl]:
        """Answer a summary whose changes the table has taken."""
        sends = self._back(now_s, message.domain)
        if message.is_reply_requested:
            sends.append(SendControl(sender, self._summary(now_s, False)))
        is_known = self.table.domain_digest(message.domain) == message.digest
        requested_s = self._requested_s.get(message.domain, float('-inf'))
        is_early = now_s < requested_s + REQUEST_EVERY_S
        if self.is_one() and not is_known and not is_early:
            self._requested_s[message.domain] = now_s
            parts = self.table.part_digests(message.domain)
            request = DomainRequest(message.domain, parts)
            sends.append(SendControl(sender, request))
        return sends

    def request_arrived(
        self, sender: NodeId, message: DomainRequest
    ) -> list[SendControl]:
        """Send the members that the sender may have wrong, in pages."""
        own = self.table.part_digests(message.domain)
        asked = message.digests
        differing = {
            part
            for part, digest in enumerate(own)
            if part >= len(asked) or asked[part] != digest
        }
        updates = [
            entry.update(with_member=True)
            for entry in self.table.in_domain(message.domain)
            if part_of(entry.member.node_id) in differing
        ]
        pages = paginate(updates)
        return [
            SendControl(
                sender,
                DomainMembers(message.domain, page, len(pages), tuple(part)),
            )
            for page, part in enumerate(pages)
        ]

    def subscribe_arrived(
        self, now_s: float, sender: NodeId, message: Subscribe
    ) -> list[SendControl]:
        """Keep a subscription; send the services that the node has wrong."""
        is_new = sender not in self._subscriptions
        self._subscriptions[sender] = _Subscription(
            message.services, now_s + SUBSCRIPTION_S
        )
        sends: list[SendControl] = []
        if self.table.services_digest(message.services) != message.digest:
            sends.extend(
                SendControl(sender, self._service(service))
                for service in message.services
            )
        if is_new:
            for domain in sorted(self.lost_domains):
                sends.append(SendControl(sender, DomainState(domain, True)))
        return sends

    def state_arrived(self, message: DomainState) -> None:
        """Take from a directory that a domain is lost, or is back."""
        if message.lost:
            self.lost_domains.add(message.domain)
        else:
            self.lost_domains.discard(message.domain)

    def _ask(self, now_s: float, domain: FailureDomainId) -> list[SendControl]:
        asked_s = self._asked_s.setdefault(domain, now_s)
        receivers = self.of_domain(domain)
        is_silent = now_s >= asked_s + DOMAIN_SILENT_S
        if is_silent or not receivers:
            receivers = [
                entry.member.node_id
                for entry in self.table.in_domain(domain)
                if entry.state is not MemberState.LEFT
            ]
        count = min(len(receivers), PROBES if is_silent else 1)
        return [
            SendControl(receiver, self._summary(now_s, True))
            for receiver in self.random.sample(receivers, count)
        ]

    def _find_lost(self, now_s: float) -> list[SendControl]:
        silent = [
            domain
            for domain, asked_s in self._asked_s.items()
            if now_s >= asked_s + DOMAIN_LOST_S
            and domain not in self.lost_domains
        ]
        self.lost_domains.update(silent)
        return self._tell_states(now_s, silent, lost=True)

    def _back(self, now_s: float, domain: FailureDomainId) -> list[SendControl]:
        self._asked_s.pop(domain, None)
        if domain not in self.lost_domains:
            return []
        self.lost_domains.discard(domain)
        return self._tell_states(now_s, [domain], lost=False)

    def _tell_states(
        self, now_s: float, domains: Iterable[FailureDomainId], *, lost: bool
    ) -> list[SendControl]:
        return [
            SendControl(node_id, DomainState(domain, lost))
            for domain in domains
            for node_id, _ in self._live(now_s)
        ]

    def _live(self, now_s: float) -> list[tuple[NodeId, _Subscription]]:
        for node_id, subscription in tuple(self._subscriptions.items()):
            if now_s >= subscription.until_s:
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
                if now_s < changed_s + CHANGE_TOLD_S
            ),
        )

    def _service(self, service: ServiceName) -> ServiceMembers:
        entries = self.table.of_service(service)
        updates = tuple(entry.update(with_member=True) for entry in entries)
        return ServiceMembers(service, True, updates)


def paginate(updates: Sequence[Update]) -> list[Sequence[Update]]:
    """Split updates into messages of a bounded size; at least one."""
    starts = range(0, max(1, len(updates)), PAGE_MEMBERS)
    return [updates[start : start + PAGE_MEMBERS] for start in starts]


def _weight(node_id: NodeId) -> int:
    return xxhash.xxh64_intdigest(msgspec.msgpack.encode(node_id))
