"""Repeats calls to the store, with delays."""

from collections.abc import Awaitable, Callable
from random import Random
from typing import TypeVar

from result import Ok, Result
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import deferLater

from rattanstile.process.mesh.ports import StoreError

FIRST_RETRY_DELAY_S = 0.15
MAX_RETRY_DELAY_S = 1.0
"""A store that recovers is detected within one second."""
MIN_JITTER = 0.7
"""Smallest factor on a delay, so that nodes don't call at the same time."""

_Value = TypeVar('_Value')


class StoreRetry:
    """Delays and repeated calls of one node.

    Attributes:
        is_running: Whether calls are repeated; cleared at the end of the node.

    Args:
        clock: Schedules the delays.
        rng: Adds jitter to them.
    """

    def __init__(self, clock: IReactorTime, rng: Random) -> None:
        """Initialize; calls may begin."""
        self.is_running = True
        self._clock = clock
        self._rng = rng

    async def sleep(self, delay_s: float) -> None:
        """Wait for at most this time."""
        jitter = self._rng.uniform(MIN_JITTER, 1)
        await deferLater(self._clock, delay_s * jitter)

    async def spread(self, max_s: float) -> None:
        """Wait for a random part of a time in which all nodes call."""
        await deferLater(self._clock, self._rng.uniform(0, max_s))

    async def until_ok(
        self, call: Callable[[], Awaitable[Result[_Value, StoreError]]]
    ) -> _Value | None:
        """Call until the store answers; None if the node ends before."""
        delay_s = FIRST_RETRY_DELAY_S
        while self.is_running:
            outcome = await call()
            if isinstance(outcome, Ok):
                return outcome.ok_value
            await self.sleep(delay_s)
            delay_s = min(delay_s * 2, MAX_RETRY_DELAY_S)
        return None
