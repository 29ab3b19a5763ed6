"""State that all components of one node share."""

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from rattanstile.process.decision_log import DecisionLog
from rattanstile.process.mesh.counters import Counters
from rattanstile.process.mesh.rollout.node_rollouts import NodeRollouts
from rattanstile.process.mesh.store.freshness import Freshness
from rattanstile.process.timers import TimerService
from rattanstile.request.ids import FailureDomainId, NodeId
from rattanstile.version.fleet_config import FleetState


@dataclass(frozen=True, slots=True)
class NodeContext:
    """The node's identity, operator state, clock, log and randomness.

    Attributes:
        node_id: ID of the node.
        domain: Failure domain of the node.
        state: Returns the operator state as of the latest applied record.
        timers: Source of monotonic time.
        log: Receives a line for each decision.
        counters: Counts of events since the node started.
        rng: Source of all randomness.
        freshness: Tells whether the operator state is the newest.
        rollouts: Tells which version calls may be sent to.
    """

    node_id: NodeId
    domain: FailureDomainId
    state: Callable[[], FleetState]
    timers: TimerService
    log: DecisionLog
    counters: Counters
    rng: Random
    freshness: Freshness = field(default_factory=Freshness)
    rollouts: NodeRollouts = field(default_factory=NodeRollouts)

    @property
    def version(self) -> int:
        """Return the number of the configuration in force; 0 for none."""
        config = self.state().config
        return 0 if config is None else config.number

    def knows_newest(self, now_s: float) -> bool:
        """Return whether no newer configuration can be in force for long.

        Args:
            now_s: Monotonic seconds.
        """
        if self.version < self.freshness.newest_version:
            return False
        return self.freshness.is_fresh(now_s)
