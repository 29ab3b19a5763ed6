"""Plain counters of a node; the path of a call only adds to them."""

from collections import Counter
from dataclasses import dataclass, field


@dataclass(eq=False, slots=True)
class Counters:
    """What a node has done since it started.

    Attributes:
        endings: Requests by how they ended.
        runs: Calls that the own target ran.
        refused_here: Calls that this node did not take for its target.
        reruns: Second sends of requests that may have run.
        moves: Attempts that went on to another node without having run.
        probes: Probes of the own target.
        store_calls: Calls of the platform's store by result.
    """

    endings: Counter[str] = field(default_factory=Counter)
    runs: int = 0
    refused_here: int = 0
    reruns: int = 0
    moves: int = 0
    probes: int = 0
    store_calls: Counter[str] = field(default_factory=Counter)
