"""Peers that the relay queries, and its queries without a reply."""

from collections.abc import Sequence
from math import ceil
from random import Random

from rattanstile.process.configuration.freshness import NEVER_S
from rattanstile.process.configuration.relay_messages import RelayMember
from rattanstile.request.ids import FailureDomainId, NodeId

MAX_PENDING_QUERIES = 128
MAX_SILENT_NODES = 512
MAX_DOMAINS_PER_ROUND = 9


class QueryTracker:
    """Tracks queries without a reply, each with the time it was sent."""

    def __init__(self) -> None:
        """Start without a query."""
        self._sequence = 0
        self._pending: dict[int, tuple[NodeId, float]] = {}
        self._unanswered: dict[NodeId, int] = {}

    def record_sent(self, now_s: float, receiver: NodeId) -> int:
        """Record a query and return its sequence number."""
        self._sequence += 1
        self._pending[self._sequence] = (receiver, now_s)
        self._unanswered[receiver] = self.unanswered_count(receiver) + 1
        if len(self._pending) > MAX_PENDING_QUERIES:
            self._pending.pop(next(iter(self._pending)))
        if len(self._unanswered) > MAX_SILENT_NODES:
            self._unanswered.pop(next(iter(self._unanswered)))
        return self._sequence

    def record_reply(self, sender: NodeId, sequence: int) -> float | None:
        """Record a reply and return when its query was sent.

        Returns:
            None if no query to this sender with this number is pending.
        """
        receiver, sent_s = self._pending.get(sequence, (None, 0.0))
        if receiver != sender:
            return None
        self._pending.pop(sequence)
        self._unanswered.pop(sender, None)
        return sent_s

    def unanswered_count(self, receiver: NodeId) -> int:
        """Return how many queries a node has left unanswered in a row."""
        return self._unanswered.get(receiver, 0)

    def forget(self, receiver: NodeId) -> None:
        """Reset the count of a silent node, so that it may be tried again."""
        self._unanswered.pop(receiver, None)


class OtherDomains:
    """Members of the other failure domains, queried in turn.

    Args:
        own_domain: Also the domain assumed for unknown nodes.
        random: Selects the members.
    """

    def __init__(self, own_domain: FailureDomainId, random: Random) -> None:
        """Start without members."""
        self._own_domain = own_domain
        self._random = random
        self._domains: dict[NodeId, FailureDomainId] = {}
        self._members: dict[FailureDomainId, list[NodeId]] = {}
        self._round = 0

    def set_members(self, members: tuple[RelayMember, ...]) -> None:
        """Replace the known members."""
        self._domains = {
            member.node_id: member.failure_domain for member in members
        }
        self._members = {}
        for member in members:
            if member.failure_domain != self._own_domain:
                domain_members = self._members.setdefault(
                    member.failure_domain, []
                )
                domain_members.append(member.node_id)

    def domain_of(self, node: NodeId) -> FailureDomainId:
        """Return a node's failure domain."""
        return self._domains.get(node, self._own_domain)

    def next_round(self) -> list[NodeId]:
        """Return one member of each domain whose turn it is."""
        domains = sorted(self._members)
        round_count = ceil(len(domains) / MAX_DOMAINS_PER_ROUND)
        self._round += 1
        return [
            self._random.choice(self._members[domain])
            for index, domain in enumerate(domains)
            if (index + self._round) % round_count == 0
        ]

    def random_member(self) -> list[NodeId]:
        """Return one random member of another domain, or an empty list."""
        if not self._members:
            return []
        domain = self._random.choice(sorted(self._members))
        return [self._random.choice(self._members[domain])]


class ReaderOutages:
    """Latest log outages reported by the other readers of a failure domain.

    A single reader that is cut off must not report an outage for its failure
    domain, since the others may still reach the log: most readers must agree.
    """

    def __init__(self) -> None:
        """Start without any report."""
        self._outages_s: dict[NodeId, float] = {}

    def record_outage(self, reader: NodeId, at_s: float) -> None:
        """Record when a reader sent a read of the log that failed or hung."""
        previous_s = self._outages_s.get(reader, NEVER_S)
        self._outages_s[reader] = max(previous_s, at_s)

    def majority_outage_s(
        self, own_outage_s: float, other_readers: Sequence[NodeId]
    ) -> float:
        """Return the latest outage time that most readers agree on.

        The node itself counts as one of the readers; `NEVER_S` if too few
        reported an outage.
        """
        outages_s = sorted(
            (self._outages_s.get(reader, NEVER_S) for reader in other_readers),
            reverse=True,
        )
        required_others = (len(other_readers) + 1) // 2
        return (
            min(own_outage_s, outages_s[required_others - 1])
            if required_others
            else own_outage_s
        )
