"""Lets callers issue call ids under a home, before their first attempt."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from rattanstile.connection.frames import IdsGranted
from rattanstile.process.entry.chooser import Chooser
from rattanstile.process.entry.homes import FRESH_S
from rattanstile.process.messages import AskHome, HomeSeen
from rattanstile.process.timers import TimerService
from rattanstile.request.ids import (
    NodeId,
    ServiceName,
)

ASK_TIMEOUT_S = 1.0
NO_HOME = NodeId('')

Answer = Callable[[IdsGranted], None]


@dataclass(slots=True)
class _Asked:
    """A caller that waits for a home to be heard."""

    service: ServiceName
    answer: Answer


class HomeGrants:
    """Chooses a home for a caller and tells what its ids must carry.

    Args:
        ask: Has a home tell its incarnation and id epoch.
    """

    def __init__(
        self,
        chooser: Chooser,
        timers: TimerService,
        rng: Random,
        ask: Callable[[AskHome], None],
    ) -> None:
        """Begin with no home heard."""
        self._chooser = chooser
        self._timers = timers
        self._rng = rng
        self._ask = ask
        self._heard: dict[NodeId, tuple[float, HomeSeen]] = {}
        self._waiting: dict[NodeId, list[_Asked]] = {}

    def grant(
        self,
        service: ServiceName,
        answer: Answer,
        avoided: NodeId = NO_HOME,
    ) -> None:
        """Answer with a home, or with an empty one when none is heard.

        Args:
            avoided: A home that left a call of the caller unanswered.
        """
        now_s = self._timers.now_s()
        excluded = frozenset((avoided,))
        home = self._chooser.choose(now_s, service, excluded, self._rng)
        if home is None:
            answer(IdsGranted(service=service, home=NodeId('')))
            return
        heard_s, seen = self._heard.get(home, (0.0, None))
        if seen is not None and now_s - heard_s < FRESH_S:
            answer(self._granted(service, seen))
            return
        asked = _Asked(service, answer)
        self._waiting.setdefault(home, []).append(asked)
        self._timers.after(ASK_TIMEOUT_S, lambda _: self._end(home, asked))
        self._ask(AskHome(home))

    def home_seen(self, seen: HomeSeen) -> None:
        """Keep what a home tells of itself, and answer who waits for it."""
        self._heard[seen.node_id] = (self._timers.now_s(), seen)
        for asked in self._waiting.pop(seen.node_id, []):
            asked.answer(self._granted(asked.service, seen))

    def _granted(self, service: ServiceName, seen: HomeSeen) -> IdsGranted:
        return IdsGranted(
            service=service,
            home=seen.node_id,
            incarnation=seen.incarnation,
            id_epoch=seen.id_epoch,
        )

    def _end(self, home: NodeId, asked: _Asked) -> None:
        waiting = self._waiting.get(home, [])
        if asked in waiting:
            waiting.remove(asked)
            asked.answer(IdsGranted(service=asked.service, home=NodeId('')))
