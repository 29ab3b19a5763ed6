"""Returns freed memory of the C library's heap to the system.

glibc keeps what lies below a block that is still in use, and serves large
blocks from there once one of that size was freed, so that memory held by a few
large bodies stays with the process after they are gone.
"""

import ctypes
from collections.abc import Callable

_M_TRIM_THRESHOLD = -1
_M_MMAP_THRESHOLD = -3
MMAP_THRESHOLD_BYTES = 72 * 1024
"""Above what one read of a socket allocates (64 KB)."""
TRIM_THRESHOLD_BYTES = 128 * 1024
"""glibc's initial value; stating it keeps glibc from raising it."""
TRIM_AFTER_BYTES = 4 * 1024 * 1024
"""Freed memory that is worth some milliseconds of trimming."""


TRIMS = 3
CHECKS_BETWEEN_TRIMS = 4
"""Calls end, and their targets' connections close, after the connections of
the callers."""


class HeapTrimmer:
    """Trims the heap when much of what peers held is free again."""

    def __init__(self) -> None:
        """Set up the heap; without effect where the C library can't."""
        self._most_held_bytes = 0
        self._checks_left = 0
        self._trim: Callable[[int], int] | None = None
        try:
            library = ctypes.CDLL(None)
            library.mallopt(_M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES)
            library.mallopt(_M_TRIM_THRESHOLD, TRIM_THRESHOLD_BYTES)
            self._trim = library.malloc_trim
        except (OSError, AttributeError):
            return

    def check(self, held_bytes: int) -> None:
        """Trim some times if much less is held than at most before."""
        self._most_held_bytes = max(self._most_held_bytes, held_bytes)
        if self._most_held_bytes - held_bytes >= TRIM_AFTER_BYTES:
            self._most_held_bytes = held_bytes
            self._checks_left = TRIMS * CHECKS_BETWEEN_TRIMS
        if self._checks_left == 0:
            return
        self._checks_left -= 1
        if self._checks_left % CHECKS_BETWEEN_TRIMS == 0 and self._trim:
            self._trim(0)
