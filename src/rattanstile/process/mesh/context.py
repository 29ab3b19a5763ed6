"""What all parts of one node share."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from rattanstile.process.decision_log import DecisionLog
from rattanstile.process.mesh.counters import Counters
from rattanstile.process.timers import TimerService
from rattanstile.request.ids import FailureDomainId, NodeId
from rattanstile.version.fleet_config import FleetState


@dataclass(frozen=True, slots=True)
class NodeContext:
    """The node's names, clock, log and chance.

    Attributes:
        state: Gives what operators state, as far as it is known here.
        chance: Source of all randomness.
    """

    node_id: NodeId
    domain: FailureDomainId
    state: Callable[[], FleetState]
    timers: TimerService
    log: DecisionLog
    counters: Counters
    rng: Random

    @property
    def version(self) -> int:
        """Return the number of the configuration in force; 0 for none."""
        config = self.state().config
        return 0 if config is None else config.number
