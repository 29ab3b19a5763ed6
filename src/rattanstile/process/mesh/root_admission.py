"""Refusal of root requests whose trees an overloaded service can't finish.

The load pattern it answers: the deepest service of the call trees is asked
for more than it serves. Work refused there wastes all the work above it, so
the excess is refused where the trees begin, before any of it has run. For
each service a level says how many of the requests that need it are refused:
the least urgent first, and among equals those that need most of it. The level
follows the pressure that answers tell, as an integral controller.
"""

from dataclasses import dataclass, field
from random import Random

from rattanstile.request.exchange import ServiceNeed
from rattanstile.request.ids import ServiceName

RISE_PER_S = 1.0
"""Ranks refused in a second of twice the allowed wait."""
FALL_PER_S = 0.6
MOST_PRESSURE = 2.0
"""Excess beyond this moves the level no faster."""
MOST_REFUSED = 0.85
"""Even the last rank keeps a part: no kind of request starves."""
STALE_S = 1.0
RANK_FORGET_S = 5.0
SHORTEST_RETRY_S = 0.3
LONGEST_RETRY_S = 1.5
RETRY_SHARE = 0.3
"""Part of the time left within which a caller can come back and be served."""


@dataclass(slots=True)
class _Rank:
    """Requests of one rank: priority, then what they take."""

    needed: float
    seen_s: float


@dataclass(slots=True)
class _Level:
    level: float = 0.0
    updated_s: float = 0.0
    ranks: dict[tuple[int, str], _Rank] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Verdict:
    """Whether a root request goes on, and what decided it.

    Attributes:
        service: The overloaded service; empty when none is.
        level: How many ranks are refused.
        rank: The request's own, from the least urgent.
    """

    is_admitted: bool
    service: ServiceName
    level: float
    rank: int
    retry_after_s: float = 0


ADMITTED = Verdict(
    is_admitted=True, service=ServiceName(''), level=0, rank=0
)


class RootAdmission:
    """Levels of one node, by service.

    Args:
        chance: Draws which requests of the marginal rank are refused.
    """

    def __init__(self, chance: Random) -> None:
        """Begin with everything admitted."""
        self._levels: dict[ServiceName, _Level] = {}
        self._chance = chance

    def decide(
        self,
        now_s: float,
        route: str,
        priority: int,
        needs: tuple[ServiceNeed, ...],
        left_s: float,
    ) -> Verdict:
        """Decide on one root request.

        Args:
            now_s: Monotonic seconds.
            route: Name of its route.
            priority: 0 is the most urgent.
            needs: What its tree takes.
            left_s: Time that its caller still waits.
        """
        verdict = ADMITTED
        for need in needs:
            level = self._follow(now_s, route, priority, need)
            if level.level <= 0 or not verdict.is_admitted:
                continue
            rank = _rank_of(level, (priority, route))
            share = min(MOST_REFUSED, max(0.0, level.level - rank))
            if share > 0 and self._chance.random() < share:
                verdict = Verdict(
                    is_admitted=False,
                    service=need.service,
                    level=round(level.level, 2),
                    rank=rank,
                    retry_after_s=self._retry_after_s(left_s),
                )
        return verdict

    def highest(self) -> float:
        """Return the highest level of all services."""
        return max(
            (level.level for level in self._levels.values()), default=0.0
        )

    def _follow(
        self, now_s: float, route: str, priority: int, need: ServiceNeed
    ) -> _Level:
        level = self._levels.get(need.service)
        if level is None:
            level = _Level(updated_s=now_s)
            self._levels[need.service] = level
        level.ranks[priority, route] = _Rank(need.runs, now_s)
        passed_s = min(now_s - level.updated_s, STALE_S)
        level.updated_s = now_s
        excess = min(need.pressure - 1, MOST_PRESSURE)
        gain = RISE_PER_S if excess > 0 else FALL_PER_S
        moved = level.level + gain * excess * passed_s
        if moved < 0 or passed_s >= STALE_S:
            moved = max(0.0, min(moved, level.level))
        level.level = min(moved, float(_count_ranks(level, now_s)))
        return level

    def _retry_after_s(self, left_s: float) -> float:
        longest_s = max(
            SHORTEST_RETRY_S, min(LONGEST_RETRY_S, left_s * RETRY_SHARE)
        )
        return self._chance.uniform(SHORTEST_RETRY_S, longest_s)


def _count_ranks(level: _Level, now_s: float) -> int:
    for key, rank in tuple(level.ranks.items()):
        if now_s - rank.seen_s > RANK_FORGET_S:
            level.ranks.pop(key)
    return len(level.ranks)


def _rank_of(level: _Level, key: tuple[int, str]) -> int:
    """Return how many ranks are refused before this one."""
    own = level.ranks[key]
    return sum(
        1
        for other, rank in level.ranks.items()
        if (other[0], rank.needed, other[1]) > (key[0], own.needed, key[1])
    )
