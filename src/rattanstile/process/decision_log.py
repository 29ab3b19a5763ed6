"""Structured log of decisions on standard output.

Each decision is one line of key=value pairs. The number of lines per second
is bounded for each kind; lines beyond that are counted in a line of their
own. Writes never block: if the reader stops reading, lines are dropped and
counted, and calls are not delayed.
"""

import os
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, unique

from rattanstile.process.key_values import key_values

MAX_PENDING_LINES = 400
"""Lines buffered while the reader does not read; about 100 KB."""


@unique
class LineKind(Enum):
    """Kinds of lines, each with its own limit of lines per second.

    Attributes:
        CLIENT: Connections and requests that gave way to others.
        INVALID: Refusals that no retry can change, which must not be left
            out because of many others.
    """

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
    INVALID = 13
    CLIENT = 14


MAX_LINES_PER_S = {
    LineKind.PROCESS: 100,
    LineKind.STORE: 10,
    LineKind.CONFIG: 20,
    LineKind.PEER: 30,
    LineKind.TARGET: 20,
    LineKind.RATE: 10,
    LineKind.REFUSED: 40,
    LineKind.FAILED: 40,
    LineKind.SERVED: 4,
    LineKind.PLACED: 4,
    LineKind.PLACED_AGAIN: 20,
    LineKind.ADMISSION: 8,
    LineKind.INVALID: 20,
    LineKind.CLIENT: 5,
}
"""Failures and refusals have higher limits than successes."""


@dataclass(slots=True)
class _LineCounter:
    second: int = 0
    written: int = 0
    left_out: int = 0


class DecisionLog:
    """Writes lines to a file descriptor, bounded in rate and memory.

    Args:
        node: Name of the node, written on each line.
        now_s: Returns the time in seconds since the epoch.
        descriptor: File descriptor for the lines; made non-blocking.
    """

    def __init__(
        self,
        node: str,
        now_s: Callable[[], float],
        descriptor: int = 1,
    ) -> None:
        """Make the descriptor non-blocking."""
        self._node = node
        self._now_s = now_s
        self._descriptor = descriptor
        self._counters = {kind: _LineCounter() for kind in LineKind}
        self._pending: deque[bytes] = deque()
        self._dropped = 0
        os.set_blocking(descriptor, False)

    def reserve_line(self, kind: LineKind) -> bool:
        """Return whether a line of the kind may be written now, and count it.

        A line that may not be written is counted as left out.
        """
        counter = self._counters[kind]
        second = int(self._now_s())
        if counter.second != second:
            self._start_second(kind, counter, second)
        if counter.written >= MAX_LINES_PER_S[kind]:
            counter.left_out += 1
            return False
        counter.written += 1
        return True

    def write(self, kind: LineKind, event: str, **fields: object) -> None:
        """Write a line unless the limit of its kind is reached."""
        if self.reserve_line(kind):
            self._append(event, fields)

    def append(self, event: str, **fields: object) -> None:
        """Write a line without counting it against the limit of its kind."""
        self._append(event, fields)

    def flush(self) -> None:
        """Write pending lines until the descriptor would block."""
        while self._pending:
            line = self._pending[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # Standard output is closed, so the error can't be reported.
                self._pending.clear()
                return
            if written < len(line):
                self._pending[0] = line[written:]
                return
            self._pending.popleft()

    def _start_second(
        self, kind: LineKind, counter: _LineCounter, second: int
    ) -> None:
        left_out = counter.left_out
        counter.second = second
        counter.written = 0
        counter.left_out = 0
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
        prefix = f'time={self._now_s():.3f} node={self._node} '
        self._pending.append(f'{prefix}{line}\n'.encode())
        if len(self._pending) == 1:
            self.flush()
