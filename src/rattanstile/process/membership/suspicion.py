"""Suspected members and when they are declared lost."""

from dataclasses import dataclass, field

from rattanstile.request.ids import NodeId

SUSPICION_TIMEOUT_S = 1.5
"""Time in which a suspected member can refute."""


@dataclass(slots=True)
class Suspicions:
    """Deadlines of the suspected members."""

    _deadlines_s: dict[NodeId, float] = field(default_factory=dict)
    _active: set[NodeId] = field(default_factory=set)

    def begin(self, now_s: float, node_id: NodeId) -> None:
        """Start the time in which a member can refute."""
        self._deadlines_s.setdefault(node_id, now_s + SUSPICION_TIMEOUT_S)
        self._active.discard(node_id)

    def end(self, node_id: NodeId) -> None:
        """Drop the suspicion."""
        self._deadlines_s.pop(node_id, None)

    def record_activity(self, node_id: NodeId) -> None:
        """Record activity of a member: this node does not declare it lost."""
        if node_id in self._deadlines_s:
            self._active.add(node_id)

    def extend_all(self, pause_s: float) -> None:
        """Extend all deadlines by a pause of this process.

        While paused, it could not receive any activity of the members.
        """
        for node_id in self._deadlines_s:
            self._deadlines_s[node_id] += pause_s

    def pop_expired(self, now_s: float) -> list[NodeId]:
        """End the expired suspicions; return the members to declare lost."""
        expired = [
            node_id
            for node_id, deadline_s in self._deadlines_s.items()
            if now_s >= deadline_s
        ]
        for node_id in expired:
            self._deadlines_s.pop(node_id)
        return [node_id for node_id in expired if node_id not in self._active]
