"""The timer service: the only source of time that parts subscribe to."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager

import logbook
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import LoopingCall

TickHandler = Callable[[float], None]

_log = logbook.Logger('timers')


class TimerService:
    """Hands time to subscribers, from a reactor or from a virtual clock.

    Args:
        clock: A Twisted reactor, or ``twisted.internet.task.Clock``.
    """

    def __init__(self, clock: IReactorTime) -> None:
        """Keep the clock."""
        self._clock = clock

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

        A failure of the handler is logged and the next period still comes.
        """
        looping = LoopingCall(self._guarded, handler)
        looping.clock = self._clock
        looping.start(period_s, now=False)
        try:
            yield
        finally:
            looping.stop()

    def _guarded(self, handler: TickHandler) -> None:
        try:
            handler(self._clock.seconds())
        except Exception:
            _log.exception('event=timer_handler_failed')


class Timer:
    """A pending call of the timer service."""

    def __init__(self, delayed: object) -> None:
        """Keep the delayed call."""
        self._delayed = delayed

    def cancel(self) -> None:
        """Cancel the call unless it has been made."""
        if self._delayed.active():  # type: ignore[attr-defined]
            self._delayed.cancel()  # type: ignore[attr-defined]
