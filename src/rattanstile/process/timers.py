"""Timer service: the only source of time that parts subscribe to."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import LoopingCall
from twisted.logger import Logger

_log = Logger('timers')

TICK_S = 0.05
DUE_TOLERANCE_S = 0.001

TickHandler = Callable[[float], None]


class TimerService:
    """Calls handlers with the time of a reactor or of a virtual clock.

    All periodic subscriptions share one wake-up of the process per tick, so
    that an idle node wakes rarely however many parts subscribe.

    Args:
        clock: A Twisted reactor, or ``twisted.internet.task.Clock``.
        tick_s: Seconds between two wake-ups.
    """

    def __init__(self, clock: IReactorTime, tick_s: float = TICK_S) -> None:
        """Create the service; it does not tick before a subscription."""
        self._clock = clock
        self._tick_s = tick_s
        self._subscriptions: list[_Subscription] = []
        self._loop: LoopingCall | None = None

    def now_s(self) -> float:
        """Return monotonic seconds; only differences are meaningful."""
        return self._clock.seconds()

    def after(self, delay_s: float, handler: TickHandler) -> 'Timer':
        """Call the handler once with the time, after a delay in seconds."""
        delayed_call = self._clock.callLater(
            delay_s, lambda: handler(self._clock.seconds())
        )
        return Timer(delayed_call)

    @contextmanager
    def every(self, period_s: float, handler: TickHandler) -> Iterator[None]:
        """Call the handler with the time every period while the block runs.

        Periods have the resolution of a tick; a handler with a shorter period
        is called once per tick. An exception of the handler is logged, and
        the handler is called again after the next period.
        """
        subscription = _Subscription(period_s, handler, self.now_s() + period_s)
        self._subscriptions.append(subscription)
        if self._loop is None:
            self._start()
        try:
            yield
        finally:
            self._subscriptions.remove(subscription)
            if not self._subscriptions:
                self._stop()

    def _start(self) -> None:
        self._loop = LoopingCall(self._tick)
        self._loop.clock = self._clock
        self._loop.start(self._tick_s, now=False)

    def _stop(self) -> None:
        if self._loop is not None:
            self._loop.stop()
            self._loop = None

    def _tick(self) -> None:
        now_s = self._clock.seconds()
        for subscription in tuple(self._subscriptions):
            if subscription.due_s <= now_s + DUE_TOLERANCE_S:
                subscription.due_s = max(
                    subscription.due_s + subscription.period_s, now_s
                )
                _call_handler(subscription.handler, now_s)


@dataclass(eq=False, slots=True)
class _Subscription:
    """A periodic handler; `due_s` is the time of its next call."""

    period_s: float
    handler: TickHandler
    due_s: float


def _call_handler(handler: TickHandler, now_s: float) -> None:
    try:
        handler(now_s)
    except Exception:
        _log.failure('event=timer_handler_failed')


class Timer:
    """A pending call of the timer service."""

    def __init__(self, delayed_call: object) -> None:
        """Wrap a delayed call of Twisted."""
        self._delayed_call = delayed_call

    def cancel(self) -> None:
        """Cancel the call unless it was made or cancelled already."""
        if self._delayed_call.active():  # type: ignore[attr-defined]
            self._delayed_call.cancel()  # type: ignore[attr-defined]
