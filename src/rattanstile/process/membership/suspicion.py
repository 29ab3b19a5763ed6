"""Members that did not answer, and when they are taken for lost."""

from dataclasses import dataclass, field

from rattanstile.request.ids import NodeId

SUSPICION_S = 1.5
"""How long a suspected member has to refute."""


@dataclass(slots=True)
class Suspicions:
    """A deadline for each suspected member."""

    _until_s: dict[NodeId, float] = field(default_factory=dict)
    _heard: set[NodeId] = field(default_factory=set)

    def begin(self, now_s: float, node_id: NodeId) -> None:
        """Give a member time to refute."""
        self._until_s.setdefault(node_id, now_s + SUSPICION_S)
        self._heard.discard(node_id)

    def end(self, node_id: NodeId) -> None:
        """Drop the suspicion."""
        self._until_s.pop(node_id, None)

    def heard(self, node_id: NodeId) -> None:
        """Note a sign of life: the member is not taken for lost here."""
        if node_id in self._until_s:
            self._heard.add(node_id)

    def put_off(self, pause_s: float) -> None:
        """Give all more time: this process could not hear them itself."""
        for node_id in self._until_s:
            self._until_s[node_id] += pause_s

    def due(self, now_s: float) -> list[NodeId]:
        """Return, once, the members to be taken for lost."""
        over = [
            node_id
            for node_id, until_s in self._until_s.items()
            if now_s >= until_s
        ]
        for node_id in over:
            self._until_s.pop(node_id)
        return [node_id for node_id in over if node_id not in self._heard]
