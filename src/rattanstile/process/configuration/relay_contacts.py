"""Whom the relay asks, and which of its queries are still unanswered."""

from collections.abc import Sequence
from math import ceil
from random import Random

from rattanstile.process.configuration.freshness import NEVER_S
from rattanstile.process.configuration.relay_messages import RelayMember
from rattanstile.request.ids import FailureDomainId, NodeId

MAX_OPEN_QUERIES = 128
MAX_SILENT_NODES = 512
DOMAINS_A_ROUND = 9


class Queries:
    """Queries sent and not answered, each with its time."""

    def __init__(self) -> None:
        """Start without a query."""
        self._sequence = 0
        self._open: dict[int, tuple[NodeId, float]] = {}
        self._unanswered: dict[NodeId, int] = {}

    def sent(self, now_s: float, receiver: NodeId) -> int:
        """Note a query and return its sequence number."""
        self._sequence += 1
        self._open[self._sequence] = (receiver, now_s)
        self._unanswered[receiver] = self.unanswered(receiver) + 1
        if len(self._open) > MAX_OPEN_QUERIES:
            self._open.pop(next(iter(self._open)))
        if len(self._unanswered) > MAX_SILENT_NODES:
            self._unanswered.pop(next(iter(self._unanswered)))
        return self._sequence

    def answered(self, sender: NodeId, sequence: int) -> float | None:
        """Return when the query was sent, or None if it isn't one's own."""
        receiver, sent_s = self._open.get(sequence, (None, 0.0))
        if receiver != sender:
            return None
        self._open.pop(sequence)
        self._unanswered.pop(sender, None)
        return sent_s

    def unanswered(self, receiver: NodeId) -> int:
        """Return how many queries a node left unanswered since its last."""
        return self._unanswered.get(receiver, 0)

    def forget(self, receiver: NodeId) -> None:
        """Give a silent node another chance when its turn comes again."""
        self._unanswered.pop(receiver, None)


class Elsewhere:
    """Members of the other failure domains, asked in turn.

    Args:
        own_domain: Also the domain told for senders that are not known.
    """

    def __init__(self, own_domain: FailureDomainId, random: Random) -> None:
        """Start without members."""
        self._own_domain = own_domain
        self._random = random
        self._domains: dict[NodeId, FailureDomainId] = {}
        self._members: dict[FailureDomainId, list[NodeId]] = {}
        self._turn = 0

    def set_members(self, members: tuple[RelayMember, ...]) -> None:
        """Replace the members known."""
        self._domains = {
            member.node_id: member.failure_domain for member in members
        }
        self._members = {}
        for member in members:
            if member.failure_domain != self._own_domain:
                near = self._members.setdefault(member.failure_domain, [])
                near.append(member.node_id)

    def domain_of(self, node: NodeId) -> FailureDomainId:
        """Return a node's failure domain."""
        return self._domains.get(node, self._own_domain)

    def next_round(self) -> list[NodeId]:
        """Return one member of each domain whose turn it is."""
        domains = sorted(self._members)
        rounds = ceil(len(domains) / DOMAINS_A_ROUND)
        self._turn += 1
        return [
            self._random.choice(self._members[domain])
            for place, domain in enumerate(domains)
            if (place + self._turn) % rounds == 0
        ]

    def one(self) -> list[NodeId]:
        """Return one member of any other domain, or none."""
        if not self._members:
            return []
        domain = self._random.choice(sorted(self._members))
        return [self._random.choice(self._members[domain])]


class FellowReaders:
    """When the other readers of a failure domain tried the log in vain.

    One reader that is cut off may not speak for its failure domain, since
    the others may hear the log: most of them must agree.
    """

    def __init__(self) -> None:
        """Start without having heard any."""
        self._outages_s: dict[NodeId, float] = {}

    def see_outage(self, reader: NodeId, at_s: float) -> None:
        """Note when a reader tried the log in vain."""
        known_s = self._outages_s.get(reader, NEVER_S)
        self._outages_s[reader] = max(known_s, at_s)

    def agreed_s(self, own_s: float, fellows: Sequence[NodeId]) -> float:
        """Return since when most readers, the own node included, agree."""
        told_s = sorted(
            (self._outages_s.get(fellow, NEVER_S) for fellow in fellows),
            reverse=True,
        )
        others = (len(fellows) + 1) // 2
        return min(own_s, told_s[others - 1]) if others else own_s
