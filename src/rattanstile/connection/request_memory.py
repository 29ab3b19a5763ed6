"""Memory that the connections of one address hold for requests."""

from dataclasses import dataclass

MAX_HELD_BYTES = 48 * 1024 * 1024
"""About a sixth of the memory of the smallest VM."""
HEADER_OBJECT_BYTES = 200
"""Memory of a header beside its characters."""


@dataclass(eq=False, slots=True)
class RequestMemory:
    """Counts heads and bodies, from their arrival until they are answered."""

    held_bytes: int = 0

    def hold(self, size_bytes: int) -> bool:
        """Count more bytes if there is room; return whether there was."""
        if self.held_bytes + size_bytes > MAX_HELD_BYTES:
            return False
        self.held_bytes += size_bytes
        return True

    def release(self, body_bytes: int, headers: int) -> None:
        """Release a body, and a number of headers."""
        self.held_bytes -= body_bytes + HEADER_OBJECT_BYTES * headers
