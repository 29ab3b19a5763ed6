"""How long ago a node's operator state was known to be the newest.

Callers don't repeat a request after a refusal such as that of an unknown key.
Only a node that can't have missed a newer version may say it: otherwise the
key or route may just have been added.
"""

MAX_CONFIRMED_AGE_S = 3.0
"""Longer than the first reader of a domain polls the store and reports it, one
after the other."""


class Freshness:
    """The last time for which the store confirmed a node's operator state.

    Attributes:
        newest_version: Largest number of a configuration that a peer has
            reported; a store restored from a copy may confirm an older one.
    """

    def __init__(self) -> None:
        """Start unconfirmed."""
        self.newest_version = 0
        self._confirmed_s: float | None = None
        self._read_s: float | None = None

    def confirm_by_read(self, as_of_s: float) -> None:
        """Record that a read of this node has shown the state to be newest."""
        self._read_s = max(as_of_s, self._read_s or as_of_s)
        self.confirm(as_of_s)

    def confirm(self, as_of_s: float) -> None:
        """Record that the state was the newest at a monotonic time."""
        if self._confirmed_s is None or as_of_s > self._confirmed_s:
            self._confirmed_s = as_of_s

    def version_reported(self, version: int) -> None:
        """Record the number of the configuration of a peer."""
        self.newest_version = max(self.newest_version, version)

    def age_s(self, now_s: float) -> float | None:
        """Return the seconds since the state was the newest; None if never."""
        if self._confirmed_s is None:
            return None
        return max(0.0, now_s - self._confirmed_s)

    def read_age_s(self, now_s: float) -> float | None:
        """Return the seconds since a read of this node confirmed the state.

        Only these are reported: nodes that passed on what they heard would make
        a confirmation younger on each way between them.
        """
        return None if self._read_s is None else max(0.0, now_s - self._read_s)

    def is_fresh(self, now_s: float) -> bool:
        """Return whether no newer state can have been in force for long."""
        age_s = self.age_s(now_s)
        return age_s is not None and age_s <= MAX_CONFIRMED_AGE_S
