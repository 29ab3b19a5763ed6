"""Retry budget of a call tree, split among child calls."""


class RetryBudget:
    """Retries that a call may still make itself or lend to child calls.

    The budget counts attempts beyond the first. It is never copied: each try
    is held here, lent, spent or lost. Tries that were lent come back through
    `reclaim`, or are lost together with the reply.

    Args:
        tries: Tries that the call above lent to this one.
    """

    def __init__(self, tries: int) -> None:
        """Start with the lent tries; a negative number counts as 0."""
        self._tries = max(tries, 0)

    @property
    def tries(self) -> int:
        """Return the number of tries held now."""
        return self._tries

    def lend(self) -> int:
        """Remove and return the larger half of the tries.

        The larger half goes to the child call, because only the hop next to
        a failure retries; the rest covers a reply that is lost on its way up.
        """
        lent = (self._tries + 1) // 2
        self._tries -= lent
        return lent

    def reclaim(self, lent: int, unspent: int) -> None:
        """Take back the unspent tries of a loan, at most as many as lent."""
        self._tries += min(max(unspent, 0), lent)

    def spend(self) -> bool:
        """Spend one try on a retry; return False when none is held."""
        if self._tries == 0:
            return False
        self._tries -= 1
        return True
