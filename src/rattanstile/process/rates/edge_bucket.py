"""Retries towards one service, held to a share of its successes."""

from rattanstile.request.ids import ServiceName

TRIES_PER_SUCCESS = 0.1
MOST_TRIES = 10.0


class EdgeBuckets:
    """A token bucket for each service that this node calls.

    Successes fill a bucket and retries empty it, so that retries stay a
    share of the traffic that works and end when nothing works.

    Args:
        tries_per_success: Tokens that one success adds.
        most_tries: Tokens that a bucket holds at most, and at first.
    """

    def __init__(
        self,
        tries_per_success: float = TRIES_PER_SUCCESS,
        max_tokens: float = MOST_TRIES,
    ) -> None:
        """Start with full buckets."""
        self._tries_per_success = tries_per_success
        self._most_tries = max_tokens
        self._tokens: dict[ServiceName, float] = {}

    def record_success(self, service: ServiceName) -> None:
        """Count a whole answer of this service."""
        tokens = self._tokens.get(service)
        if tokens is None:
            return
        self._tokens[service] = min(
            self._most_tries, tokens + self._tries_per_success
        )

    def spend(self, service: ServiceName) -> bool:
        """Take one token for a retry; False when there is less than one."""
        tokens = self._tokens.get(service, self._most_tries)
        if tokens < 1:
            return False
        self._tokens[service] = tokens - 1
        return True
