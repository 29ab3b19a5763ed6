"""Token bucket from which a shard's owner lends one organisation's tokens.

Tokens in the bucket plus tokens lent for a term that may not have expired
never exceed the burst. Lent tokens return to the bucket only when the borrower
reports them unspent before the term ends. A loan whose term ends without a
report counts as spent. A report after the term returns nothing, because new
tokens have taken the space in the bucket.
"""

from collections import deque
from dataclasses import dataclass, field

from rattanstile.process.rates.rate_messages import LoanRequest
from rattanstile.process.rates.rate_shares import Share
from rattanstile.version.rate_records import Epoch, ProcessId

LOAN_TERM_S = 0.3
"""Measured from the borrower's request on the borrower's clock."""
OWNER_LOAN_TERM_S = LOAN_TERM_S * 1.03
"""Loan term on the owner's clock: longer, as clocks differ by up to 1%."""
PREFETCH_FRACTION = 0.25
"""Fraction of the remaining tokens that is lent ahead of demand."""
MIN_RETRY_AFTER_MS = 5
MAX_RETRY_AFTER_MS = 1000

BorrowerKey = tuple[ProcessId, Epoch]


@dataclass(slots=True)
class _Account:
    sequence: int = 0
    spent: int = 0
    lent: int = 0
    """Tokens lent that the borrower has not yet reported spent or unspent."""


@dataclass(frozen=True, slots=True)
class Loan:
    """Result of a loan request; the fields are those of `LoanGrant`."""

    extended: bool
    granted: int
    left: int
    retry_after_ms: int


@dataclass(slots=True)
class LendingBucket:
    """A token bucket that lends its tokens for a term and starts empty.

    Attributes:
        updated_s: When the bucket was last refilled, in monotonic seconds.
    """

    updated_s: float
    share: Share
    _tokens: float = 0.0
    _outstanding: int = 0
    _accounts: dict[BorrowerKey, _Account] = field(default_factory=dict)
    _expiries: deque[tuple[float, BorrowerKey, int]] = field(
        default_factory=deque
    )

    @property
    def unspent(self) -> float:
        """Return the tokens in the bucket plus those on loan."""
        return self._tokens + self._outstanding

    def set_share(self, now_s: float, share: Share) -> None:
        """Refill up to now at the old rate, then switch to a new share."""
        self._advance(now_s)
        self.share = share
        self._cap_tokens()

    def lend(
        self, now_s: float, borrower: ProcessId, request: LoanRequest
    ) -> Loan | None:
        """Settle the borrower's account and lend available tokens.

        Returns:
            None for a request that is not newer than the last one answered.
        """
        self._advance(now_s)
        key = (borrower, request.epoch)
        account = self._accounts.setdefault(key, _Account())
        if request.sequence <= account.sequence:
            return None
        extended = self._settle(account, request)
        granted = self._tokens_to_lend(request)
        self._tokens -= granted
        account.lent += granted
        self._outstanding += granted
        self._expiries.append(
            (now_s + OWNER_LOAN_TERM_S, key, request.sequence)
        )
        return Loan(
            extended,
            granted,
            int(self._tokens),
            self._retry_after_ms() if granted < request.needed else 0,
        )

    def _tokens_to_lend(self, request: LoanRequest) -> int:
        """Return the tokens to lend: needed ones first, then a fraction."""
        available = int(self._tokens)
        needed = min(request.needed, available)
        prefetchable = int((available - needed) * PREFETCH_FRACTION)
        return needed + min(
            max(0, request.requested - request.needed), prefetchable
        )

    def _settle(self, account: _Account, request: LoanRequest) -> bool:
        extended = 0 < request.held <= account.lent
        held = request.held if extended else 0
        spent = request.spent - account.spent
        unspent = account.lent - spent - request.held
        self._outstanding += held - account.lent
        account.sequence = request.sequence
        account.spent = request.spent
        account.lent = held
        self._tokens += max(0, unspent)
        self._cap_tokens()
        return extended

    def _advance(self, now_s: float) -> None:
        self._expire_loans(now_s)
        elapsed_s = max(0.0, now_s - self.updated_s)
        self._tokens += elapsed_s * self.share.rate_per_s
        self.updated_s = max(now_s, self.updated_s)
        self._cap_tokens()

    def _expire_loans(self, now_s: float) -> None:
        while self._expiries and self._expiries[0][0] <= now_s:
            _, key, sequence = self._expiries.popleft()
            account = self._accounts.get(key)
            if account is not None and account.sequence == sequence:
                self._outstanding -= account.lent
                self._accounts.pop(key)

    def _cap_tokens(self) -> None:
        room = max(0.0, self.share.burst_tokens - self._outstanding)
        self._tokens = min(self._tokens, room)

    def _retry_after_ms(self) -> int:
        borrowers_ms = len(self._accounts)
        wait_ms = MAX_RETRY_AFTER_MS
        if self.share.rate_per_s > 0:
            missing_tokens = max(0.0, 1.0 - self._tokens)
            wait_ms = int(missing_tokens / self.share.rate_per_s * 1000)
        return min(
            MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, wait_ms, borrowers_ms)
        )
