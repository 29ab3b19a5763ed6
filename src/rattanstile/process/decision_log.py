"""Structured log of decisions on standard output.

One line of key=value pairs for each decision. The volume is bounded for each
kind of line and second, and what was left out is counted in a line of its
own. Writing never blocks: when the reader stops reading, lines are dropped
and counted, and calls go on.
"""

import os
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, unique

from rattanstile.process.key_values import key_values

MAX_PENDING_LINES = 400
"""Lines kept while the reader doesn't read; about 100 KB."""


@unique
class Kind(Enum):
    """Kinds of lines, each with its most lines in a second."""

    PROCESS = 1
    STORE = 2
    CONFIG = 3
    PEER = 4
    TARGET = 5
    RATE = 6
    REFUSED = 7
    FAILED = 8
    SERVED = 9
    PLACED = 10
    PLACED_AGAIN = 11
    ADMISSION = 12


LINES_PER_S = {
    Kind.PROCESS: 100,
    Kind.STORE: 10,
    Kind.CONFIG: 20,
    Kind.PEER: 30,
    Kind.TARGET: 20,
    Kind.RATE: 10,
    Kind.REFUSED: 40,
    Kind.FAILED: 40,
    Kind.SERVED: 4,
    Kind.PLACED: 4,
    Kind.PLACED_AGAIN: 20,
    Kind.ADMISSION: 8,
}
"""Failures and refusals go before successes."""


@dataclass(slots=True)
class _Bucket:
    second: int = 0
    written: int = 0
    left_out: int = 0


class DecisionLog:
    """Writes lines to a file descriptor, within bounds.

    Args:
        node: Written into each line.
        now_s: Seconds since the epoch.
        descriptor: Where the lines go; made non-blocking.
    """

    def __init__(
        self,
        node: str,
        now_s: Callable[[], float],
        descriptor: int = 1,
    ) -> None:
        """Begin with nothing written."""
        self._node = node
        self._now_s = now_s
        self._descriptor = descriptor
        self._buckets = {kind: _Bucket() for kind in Kind}
        self._pending: deque[bytes] = deque()
        self._dropped = 0
        os.set_blocking(descriptor, False)

    def takes(self, kind: Kind) -> bool:
        """Tell whether a line of the kind would be written now.

        A line that wouldn't is counted as left out.
        """
        bucket = self._buckets[kind]
        second = int(self._now_s())
        if bucket.second != second:
            self._begin_second(kind, bucket, second)
        if bucket.written >= LINES_PER_S[kind]:
            bucket.left_out += 1
            return False
        bucket.written += 1
        return True

    def write(self, kind: Kind, event: str, **fields: object) -> None:
        """Write a line, unless too many of its kind were written."""
        if self.takes(kind):
            self._append(event, fields)

    def append(self, event: str, **fields: object) -> None:
        """Write a line whose kind has been asked for with `takes`."""
        self._append(event, fields)

    def flush(self) -> None:
        """Write what waits, as far as the reader takes it."""
        while self._pending:
            line = self._pending[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # Nobody can be told that standard output is closed.
                self._pending.clear()
                return
            if written < len(line):
                self._pending[0] = line[written:]
                return
            self._pending.popleft()

    def _begin_second(self, kind: Kind, bucket: _Bucket, second: int) -> None:
        left_out = bucket.left_out
        bucket.second = second
        bucket.written = 0
        bucket.left_out = 0
        if left_out:
            self._append(
                'lines_left_out', {'kind': kind.name.lower(), 'count': left_out}
            )

    def _append(self, event: str, fields: dict[str, object]) -> None:
        if len(self._pending) >= MAX_PENDING_LINES:
            self._dropped += 1
            return
        if self._dropped:
            dropped = self._dropped
            self._dropped = 0
            self._append('lines_dropped', {'count': dropped})
        line = key_values(event, **fields)
        stamp = f'time={self._now_s():.3f} node={self._node} '
        self._pending.append(f'{stamp}{line}\n'.encode())
        if len(self._pending) == 1:
            self.flush()
