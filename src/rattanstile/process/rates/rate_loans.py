"""A borrower's account with the owner of a shard under one epoch."""

from dataclasses import dataclass

from rattanstile.process.rates.rate_bucket import LOAN_TERM_S
from rattanstile.process.rates.rate_messages import LoanGrant, LoanRequest
from rattanstile.process.rates.rate_shares import Share
from rattanstile.request.ids import Incarnation, OrganisationId
from rattanstile.version.rate_records import OwnerClaimRecord

MIN_RESPONSE_TIMEOUT_S = 0.006
MAX_RESPONSE_TIMEOUT_S = 0.03
RESPONSE_TIMEOUT_ROUND_TRIPS = 4
ROUND_TRIP_GAIN = 0.2
TIMEOUT_BACKOFF_S = 0.1
MAX_TIMEOUT_BACKOFF_S = 1.0
REFUSAL_BACKOFF_S = 0.1
SETTLE_DELAY_S = 0.03
SCARCE_BELOW_FRACTION = 0.5
UNRESPONSIVE = -1
"""Value of `left` after a timeout or refusal: such an owner is tried last."""


@dataclass(slots=True)
class Account:
    """Tokens held and requested under one epoch.

    Attributes:
        held: Unspent tokens, valid before `valid_until_s`.
        blocked_until_s: No request is sent to this owner before this time.
        left: Tokens that the owner last reported as remaining.
    """

    claim: OwnerClaimRecord
    organisation: OrganisationId
    incarnation: Incarnation
    held: int = 0
    valid_until_s: float = 0.0
    blocked_until_s: float = 0.0
    left: int = 1
    _sequence: int = 0
    _spent: int = 0
    _reported_spent: int = 0
    _requested: int = 0
    _needed: int = 0
    _requested_s: float = 0.0
    _granted_s: float = 0.0
    _round_trip_s: float = MAX_RESPONSE_TIMEOUT_S
    _is_pending: bool = False
    _is_answered: bool = True
    _backoff_s: float = TIMEOUT_BACKOFF_S

    def valid_tokens(self, now_s: float) -> int:
        """Return the number of tokens that may be spent now."""
        return self.held if now_s < self.valid_until_s else 0

    def spend(self) -> None:
        """Spend one token; the caller must check `valid_tokens` first."""
        self.held -= 1
        self._spent += 1

    def pending_tokens(self) -> int:
        """Return the number of tokens in the pending request, or 0."""
        return self._requested if self._is_pending else 0

    def pending_needed_tokens(self) -> int:
        """Return how many pending tokens calls are waiting for."""
        return self._needed if self._is_pending else 0

    def can_request(self, now_s: float) -> bool:
        """Return whether a request may be sent now."""
        return not self._is_pending and now_s >= self.blocked_until_s

    def next_request(
        self, now_s: float, max_held: int, requested: int = 0, needed: int = 0
    ) -> LoanRequest:
        """Build a request that keeps some held tokens and returns the others.

        Args:
            now_s: Monotonic seconds.
            max_held: Maximum number of held tokens to keep.
            requested: Further tokens requested.
            needed: How many of these calls are waiting for.
        """
        self.held = min(self.valid_tokens(now_s), max_held)
        self._sequence += 1
        self._requested = requested
        self._needed = needed
        self._requested_s = now_s
        self._reported_spent = self._spent
        self._is_pending = True
        self._is_answered = False
        return LoanRequest(
            shard=self.claim.shard,
            epoch=self.claim.epoch,
            organisation=self.organisation,
            incarnation=self.incarnation,
            sequence=self._sequence,
            held=self.held,
            spent=self._spent,
            requested=requested,
            needed=needed,
        )

    def apply_grant(self, now_s: float, grant: LoanGrant) -> bool:
        """Apply the grant for the latest request; ignore outdated grants.

        Returns:
            Whether the grant was applied.
        """
        if self._is_answered or grant.sequence != self._sequence:
            return False
        kept = self.held if grant.extended else 0
        self.held = kept + grant.granted
        self.valid_until_s = self._requested_s + LOAN_TERM_S
        self.left = grant.left
        self._granted_s = now_s
        error_s = now_s - self._requested_s - self._round_trip_s
        self._round_trip_s += ROUND_TRIP_GAIN * error_s
        self._is_answered = True
        self._is_pending = False
        self._backoff_s = TIMEOUT_BACKOFF_S
        if grant.granted < self._needed:
            self.blocked_until_s = now_s + grant.retry_after_ms / 1000
        return True

    def apply_refusal(self, now_s: float, sequence: int) -> None:
        """Back off from an owner that holds no lease."""
        if sequence == self._sequence:
            self._is_pending = False
            self.left = UNRESPONSIVE
            self.blocked_until_s = now_s + REFUSAL_BACKOFF_S

    def describe(self, now_s: float) -> str:
        """Return epoch, owner and pending or blocked state for the log."""
        owner = self.claim.owner.node_id
        epoch = f'{self.claim.shard}.{self.claim.epoch}'
        if self._is_pending:
            return f'{epoch}@{owner}:asked-{now_s - self._requested_s:.3f}'
        blocked_s = max(0.0, self.blocked_until_s - now_s)
        return f'{epoch}@{owner}:left-{self.left}-blocked-{blocked_s:.3f}'

    def estimated_left(self, now_s: float, share: Share) -> float:
        """Return an estimate of the tokens that the owner has left.

        The estimate grows at the shard's rate. Otherwise an owner that once
        reported an empty bucket would not be asked again while another one
        has a token, and its bucket would overflow.
        """
        if self.left == UNRESPONSIVE:
            return UNRESPONSIVE
        refilled = (now_s - self._granted_s) * share.rate_per_s
        return min(share.burst_tokens, self.left + refilled)

    def has_to_settle(self, now_s: float, share: Share) -> bool:
        """Return whether to report spent tokens that take space in the bucket.

        An owner with enough tokens left needs no report: its loan expires at
        the end of the term.
        """
        is_idle = (
            self._is_answered and now_s >= self._requested_s + SETTLE_DELAY_S
        )
        is_scarce = self.left < share.burst_tokens * SCARCE_BELOW_FRACTION
        is_unreported = self._reported_spent != self._spent and self.held == 0
        return is_idle and is_unreported and is_scarce

    def time_out(self, now_s: float) -> bool:
        """Stop waiting if the response is overdue; return whether it was."""
        timeout_s = min(
            MAX_RESPONSE_TIMEOUT_S,
            max(
                MIN_RESPONSE_TIMEOUT_S,
                RESPONSE_TIMEOUT_ROUND_TRIPS * self._round_trip_s,
            ),
        )
        if not self._is_pending or now_s < self._requested_s + timeout_s:
            return False
        self._mark_unresponsive(now_s)
        return True

    def _mark_unresponsive(self, now_s: float) -> None:
        self._is_pending = False
        self.left = UNRESPONSIVE
        self.blocked_until_s = now_s + self._backoff_s
        self._backoff_s = min(2 * self._backoff_s, MAX_TIMEOUT_BACKOFF_S)
