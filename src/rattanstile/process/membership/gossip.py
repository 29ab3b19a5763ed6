"""Probing and dissemination of updates within a failure domain.

After A. Das, I. Gupta and A. Motivala, "SWIM: Scalable Weakly-consistent
Infection-style Process Group Membership Protocol", DSN 2002: each period one
member is probed, directly and then through neighbours, and updates are
piggybacked on the probes. The work of a node does not grow with the number of
members.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random

from rattanstile.process.membership.membership_messages import Update
from rattanstile.request.ids import NodeId

PROBE_PERIOD_S = 0.4
ACK_TIMEOUT_S = 0.15
INDIRECT_PROBES = 3
MAX_UPDATES_PER_MESSAGE = 6
DISSEMINATION_FACTOR = 3


@dataclass(slots=True)
class Probe:
    """The probe of the current period.

    Attributes:
        indirect: Whether neighbours were asked to probe the member too.
    """

    subject: NodeId
    sequence: int
    sent_s: float
    indirect: bool = False


@dataclass(slots=True)
class Prober:
    """Selects one member per period, each once before any is repeated."""

    random: Random
    probe: Probe | None = None
    _sequence: int = 0
    _next_s: float = 0.0
    _order: list[NodeId] = field(default_factory=list)

    def is_due(self, now_s: float) -> bool:
        """Return whether the period is over."""
        return now_s >= self._next_s

    def begin(self, now_s: float, members: Sequence[NodeId]) -> Probe | None:
        """Begin a period and return its probe, or None without members."""
        self._next_s = now_s + PROBE_PERIOD_S * self.random.uniform(0.9, 1.1)
        self.probe = None
        current = set(members)
        while self._order and self._order[-1] not in current:
            self._order.pop()
        if not self._order:
            self._order = list(members)
            self.random.shuffle(self._order)
        if self._order:
            self.probe = Probe(self._order.pop(), self.next_sequence(), now_s)
        return self.probe

    def next_sequence(self) -> int:
        """Return a sequence number that no earlier message used."""
        self._sequence += 1
        return self._sequence

    def is_indirect_due(self, now_s: float) -> bool:
        """Return whether to probe through neighbours; true once per probe.

        An indirect probe is due when the member missed the direct timeout.
        """
        probe = self.probe
        if probe is None or probe.indirect:
            return False
        probe.indirect = now_s >= probe.sent_s + ACK_TIMEOUT_S
        return probe.indirect

    def handle_ack(self, sequence: int) -> None:
        """Complete the probe that an `Ack` answers."""
        if self.probe is not None and self.probe.sequence == sequence:
            self.probe = None

    def record_activity(self, node_id: NodeId) -> None:
        """Complete the probe of a member that showed any activity."""
        if self.probe is not None and self.probe.subject == node_id:
            self.probe = None

    def abandon(self) -> None:
        """Drop the probe, because this process itself was paused."""
        self.probe = None


@dataclass(slots=True)
class GossipQueue:
    """Updates still to be disseminated, the least transmitted first."""

    _transmissions: dict[NodeId, int] = field(default_factory=dict)
    _updates: dict[NodeId, Update] = field(default_factory=dict)

    def add(self, update: Update) -> None:
        """Queue an update in place of an older one about the same node."""
        self._updates[update.node_id] = update
        self._transmissions[update.node_id] = 0

    def take(self, members: int) -> tuple[Update, ...]:
        """Return the updates for one message.

        Args:
            members: Number of members, which determines how often each
                update is transmitted.
        """
        if not self._transmissions:
            return ()
        max_transmissions = DISSEMINATION_FACTOR * math.ceil(
            math.log2(members + 2)
        )
        chosen = sorted(
            self._transmissions, key=self._transmissions.__getitem__
        )
        chosen = chosen[:MAX_UPDATES_PER_MESSAGE]
        updates = tuple(self._updates[node_id] for node_id in chosen)
        for node_id in chosen:
            self._transmissions[node_id] += 1
            if self._transmissions[node_id] >= max_transmissions:
                self._transmissions.pop(node_id)
                self._updates.pop(node_id)
        return updates
