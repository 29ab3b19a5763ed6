"""Probing and spreading of news within a failure domain.

After A. Das, I. Gupta and A. Motivala, "SWIM: Scalable Weakly-consistent
Infection-style Process Group Membership Protocol", DSN 2002: each period one
member is probed, directly and then through neighbours, and news travels on
the probes. The work of a node does not grow with the number of members.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random

from rattanstile.process.membership.membership_messages import Update
from rattanstile.request.ids import NodeId

PROBE_PERIOD_S = 0.4
ANSWER_WITHIN_S = 0.15
INDIRECT_PROBES = 3
MAX_UPDATES_PER_MESSAGE = 6
SPREAD_FACTOR = 3


@dataclass(slots=True)
class Probe:
    """The member probed in this period.

    Attributes:
        indirect: Whether neighbours were asked to probe it too.
    """

    subject: NodeId
    sequence: int
    sent_s: float
    indirect: bool = False


@dataclass(slots=True)
class Prober:
    """Chooses one member a period, each once before any twice."""

    random: Random
    probe: Probe | None = None
    _sequence: int = 0
    _next_s: float = 0.0
    _order: list[NodeId] = field(default_factory=list)

    def is_due(self, now_s: float) -> bool:
        """Tell whether the period is over."""
        return now_s >= self._next_s

    def begin(self, now_s: float, members: Sequence[NodeId]) -> Probe | None:
        """Begin a period; None without members."""
        self._next_s = now_s + PROBE_PERIOD_S * self.random.uniform(0.9, 1.1)
        self.probe = None
        live_members = set(members)
        while self._order and self._order[-1] not in live_members:
            self._order.pop()
        if not self._order:
            self._order = list(members)
            self.random.shuffle(self._order)
        if self._order:
            self.probe = Probe(self._order.pop(), self.next_sequence(), now_s)
        return self.probe

    def next_sequence(self) -> int:
        """Return a sequence number that no earlier message had."""
        self._sequence += 1
        return self._sequence

    def wants_indirect(self, now_s: float) -> bool:
        """Tell, once, that the member did not answer directly in time."""
        probe = self.probe
        if probe is None or probe.indirect:
            return False
        probe.indirect = now_s >= probe.sent_s + ANSWER_WITHIN_S
        return probe.indirect

    def answered(self, sequence: int) -> None:
        """Take an answer."""
        if self.probe is not None and self.probe.sequence == sequence:
            self.probe = None

    def heard(self, node_id: NodeId) -> None:
        """Take any sign of life of a member."""
        if self.probe is not None and self.probe.subject == node_id:
            self.probe = None

    def abandon(self) -> None:
        """Forget the probe: this process was paused itself."""
        self.probe = None


@dataclass(slots=True)
class News:
    """Updates that still have to be told, the least told first."""

    _told: dict[NodeId, int] = field(default_factory=dict)
    _updates: dict[NodeId, Update] = field(default_factory=dict)

    def add(self, update: Update) -> None:
        """Tell an update from now on, in place of an older one."""
        self._updates[update.node_id] = update
        self._told[update.node_id] = 0

    def take(self, members: int) -> tuple[Update, ...]:
        """Return the updates for one message among so many members."""
        if not self._told:
            return ()
        times = SPREAD_FACTOR * math.ceil(math.log2(members + 2))
        chosen = sorted(self._told, key=self._told.__getitem__)
        chosen = chosen[:MAX_UPDATES_PER_MESSAGE]
        updates = tuple(self._updates[node_id] for node_id in chosen)
        for node_id in chosen:
            self._told[node_id] += 1
            if self._told[node_id] >= times:
                self._told.pop(node_id)
                self._updates.pop(node_id)
        return updates
