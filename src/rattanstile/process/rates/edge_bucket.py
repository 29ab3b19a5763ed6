"""Limits retries to each service to a fraction of its successes."""

from rattanstile.request.ids import ServiceName

TOKENS_PER_SUCCESS = 0.1
MAX_TOKENS = 10.0


class EdgeBuckets:
    """A token bucket of retries for each service that this node calls.

    Successes add tokens and retries spend them, so that retries stay a
    fraction of the successful traffic and stop when no call succeeds.

    Args:
        tokens_per_success: Tokens that one success adds.
        max_tokens: Capacity and initial number of tokens of a bucket.
    """

    def __init__(
        self,
        tokens_per_success: float = TOKENS_PER_SUCCESS,
        max_tokens: float = MAX_TOKENS,
    ) -> None:
        """Start with full buckets."""
        self._tokens_per_success = tokens_per_success
        self._max_tokens = max_tokens
        self._tokens: dict[ServiceName, float] = {}

    def record_success(self, service: ServiceName) -> None:
        """Add tokens for a complete reply of a service."""
        tokens = self._tokens.get(service)
        if tokens is None:
            return
        self._tokens[service] = min(
            self._max_tokens, tokens + self._tokens_per_success
        )

    def spend(self, service: ServiceName) -> bool:
        """Spend a retry token; return False if less than one is left."""
        tokens = self._tokens.get(service, self._max_tokens)
        if tokens < 1:
            return False
        self._tokens[service] = tokens - 1
        return True
