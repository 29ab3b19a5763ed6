"""The retry budget of a call tree, carried down and split."""


class RetryBudget:
    """What one holder may still spend on retries, or lend to work below.

    The budget is a count of tries beyond the first. It is never copied: a
    try is held here, lent, spent or lost. What is lent comes back by
    `returned`, or is lost when the reply is.

    Args:
        tries: Tries that the work above lent to this holder.
    """

    def __init__(self, tries: int) -> None:
        """Hold the tries."""
        self._tries = max(tries, 0)

    @property
    def tries(self) -> int:
        """Return how many tries are held now."""
        return self._tries

    def lend(self) -> int:
        """Take the larger half out and return it.

        The larger half goes down, because only the hop next to a failure
        retries; the rest stays for a reply that is lost on its way up.
        """
        lent = (self._tries + 1) // 2
        self._tries -= lent
        return lent

    def reclaim(self, lent: int, unspent: int) -> None:
        """Take back what is left of a loan; never more than was lent."""
        self._tries += min(max(unspent, 0), lent)

    def spend(self) -> bool:
        """Take one try for a retry; False when none is held."""
        if self._tries == 0:
            return False
        self._tries -= 1
        return True
