"""The timer service: the only source of time that parts subscribe to."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import LoopingCall
from twisted.logger import Logger

_log = Logger('timers')

TICK_S = 0.05
EARLY_S = 0.001

TickHandler = Callable[[float], None]


class TimerService:
    """Hands time to subscribers, from a reactor or from a virtual clock.

    All periods share one wake-up of the process each tick, so that a node at
    rest wakes seldom however many parts subscribe.

    Args:
        clock: A Twisted reactor, or ``twisted.internet.task.Clock``.
        tick_s: Seconds between two wake-ups.
    """

    def __init__(self, clock: IReactorTime, tick_s: float = TICK_S) -> None:
        """Keep the clock."""
        self._clock = clock
        self._tick_s = tick_s
        self._periods: list[_Period] = []
        self._ticking: LoopingCall | None = None

    def now_s(self) -> float:
        """Return monotonic seconds; only differences have a meaning."""
        return self._clock.seconds()

    def after(self, delay_s: float, handler: TickHandler) -> 'Timer':
        """Call the handler once, with the time, after a delay in seconds."""
        delayed = self._clock.callLater(
            delay_s, lambda: handler(self._clock.seconds())
        )
        return Timer(delayed)

    @contextmanager
    def every(self, period_s: float, handler: TickHandler) -> Iterator[None]:
        """Call the handler with the time, each period, while the block runs.

        Periods are kept to the tick; a shorter one is called each tick.
        A failure of the handler is logged and the next period still comes.
        """
        period = _Period(period_s, handler, self.now_s() + period_s)
        self._periods.append(period)
        if self._ticking is None:
            self._start()
        try:
            yield
        finally:
            self._periods.remove(period)
            if not self._periods:
                self._stop()

    def _start(self) -> None:
        self._ticking = LoopingCall(self._tick)
        self._ticking.clock = self._clock
        self._ticking.start(self._tick_s, now=False)

    def _stop(self) -> None:
        if self._ticking is not None:
            self._ticking.stop()
            self._ticking = None

    def _tick(self) -> None:
        now_s = self._clock.seconds()
        for period in tuple(self._periods):
            if period.due_s <= now_s + EARLY_S:
                period.due_s = max(period.due_s + period.period_s, now_s)
                _call(period.handler, now_s)


@dataclass(eq=False, slots=True)
class _Period:
    """A subscription; `due_s` is its next time."""

    period_s: float
    handler: TickHandler
    due_s: float


def _call(handler: TickHandler, now_s: float) -> None:
    try:
        handler(now_s)
    except Exception:
        _log.failure('event=timer_handler_failed')


class Timer:
    """A pending call of the timer service."""

    def __init__(self, delayed: object) -> None:
        """Keep the delayed call."""
        self._delayed = delayed

    def cancel(self) -> None:
        """Cancel the call unless it has been made."""
        if self._delayed.active():  # type: ignore[attr-defined]
            self._delayed.cancel()  # type: ignore[attr-defined]
