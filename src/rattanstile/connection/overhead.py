"""Bounds what arrives of an HTTP message beside its body.

A parser holds an unfinished header, chunk extension or trailer itself, so that
a limit on finished ones doesn't bound a header that never ends. Such a one is
bounded by itself too: a long body must not pay for an endless trailer.
"""

MAX_OVERHEAD_BYTES = 64 * 1024
MAX_OVERHEAD_PER_BODY_BYTE = 8
"""A body in chunks of one byte has five further bytes for each."""


class OverheadMeter:
    """Counts the bytes of one message that are not part of its body.

    Attributes:
        received_bytes: All bytes of the message.
        since_body_bytes: Bytes since the last one of the body; the parser may
            hold them.
    """

    def __init__(self) -> None:
        """Start with a new message."""
        self.received_bytes = 0
        self._body_bytes = 0
        self.since_body_bytes = 0

    def reset(self) -> None:
        """Start with a new message."""
        self.received_bytes = 0
        self._body_bytes = 0
        self.since_body_bytes = 0

    def add_received(self, size_bytes: int) -> None:
        """Count bytes as they arrive, body bytes included."""
        self.received_bytes += size_bytes
        self.since_body_bytes += size_bytes

    def add_body(self, size_bytes: int) -> None:
        """Count bytes that turned out to be body bytes."""
        self._body_bytes += size_bytes
        self.since_body_bytes = 0

    def is_exceeded(self, max_bytes: int = MAX_OVERHEAD_BYTES) -> bool:
        """Return whether the message has more overhead than any valid one.

        Args:
            max_bytes: Limit beside what the chunks of a body need.
        """
        if self.since_body_bytes > max_bytes:
            return True
        overhead_bytes = self.received_bytes - self._body_bytes
        allowed_bytes = MAX_OVERHEAD_PER_BODY_BYTE * self._body_bytes
        return overhead_bytes > max_bytes + allowed_bytes
