"""The owner's account of one organisation's part of a shard.

Tokens in the bucket and tokens lent for a term that may still run are
together never more than the burst. What was lent comes back only by the
borrower's word; a term that ends without it ends the loan, as spent. A word
that comes after the term gives nothing back: new tokens have taken the room.
"""

from collections import deque
from dataclasses import dataclass, field

from rattanstile.process.rates.rate_messages import LoanRequest
from rattanstile.process.rates.rate_shares import Share
from rattanstile.version.rate_records import Epoch, ProcessId

LOAN_TERM_S = 0.3
"""From the borrower's request, by the borrower's clock."""
LENT_FOR_S = LOAN_TERM_S * 1.03
"""The owner's view of the term: longer, as clocks differ by up to 1%."""
AHEAD_FRACTION = 0.25
"""Part of the tokens left that is lent before a call needs it."""
RETRY_MIN_MS = 5
RETRY_MAX_MS = 1000

BorrowerKey = tuple[ProcessId, Epoch]


@dataclass(slots=True)
class _Account:
    sequence: int = 0
    spent: int = 0
    lent: int = 0
    """Tokens that the borrower has not accounted for."""


@dataclass(frozen=True, slots=True)
class Loan:
    """What a request got; fields as in `LoanGrant`."""

    extended: bool
    granted: int
    left: int
    retry_after_ms: int


@dataclass(slots=True)
class LendingBucket:
    """A token bucket that lends; it starts empty.

    Attributes:
        updated_s: When the tokens were last counted.
    """

    updated_s: float
    share: Share
    _tokens: float = 0.0
    _outstanding: int = 0
    _accounts: dict[BorrowerKey, _Account] = field(default_factory=dict)
    _terms: deque[tuple[float, BorrowerKey, int]] = field(default_factory=deque)

    @property
    def unspent(self) -> float:
        """Return the tokens here and those that may still be spent."""
        return self._tokens + self._outstanding

    def set_share(self, now_s: float, share: Share) -> None:
        """Count up to now by the old share, then take another one."""
        self._advance(now_s)
        self.share = share
        self._cap()

    def lend(
        self, now_s: float, borrower: ProcessId, request: LoanRequest
    ) -> Loan | None:
        """Settle the borrower's account and lend what there is.

        Returns:
            None for a request that is older than one already answered.
        """
        self._advance(now_s)
        key = (borrower, request.epoch)
        account = self._accounts.setdefault(key, _Account())
        if request.sequence <= account.sequence:
            return None
        extended = self._settle(account, request)
        granted = self._granted(request)
        self._tokens -= granted
        account.lent += granted
        self._outstanding += granted
        self._terms.append((now_s + LENT_FOR_S, key, request.sequence))
        return Loan(
            extended,
            granted,
            int(self._tokens),
            self._retry_after_ms() if granted < request.needed else 0,
        )

    def _granted(self, request: LoanRequest) -> int:
        """Return the tokens to lend: those needed first, then a part."""
        here = int(self._tokens)
        needed = min(request.needed, here)
        spare = int((here - needed) * AHEAD_FRACTION)
        return needed + min(max(0, request.requested - request.needed), spare)

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
        self._cap()
        return extended

    def _advance(self, now_s: float) -> None:
        self._end_terms(now_s)
        passed_s = max(0.0, now_s - self.updated_s)
        self._tokens += passed_s * self.share.rate_per_s
        self.updated_s = max(now_s, self.updated_s)
        self._cap()

    def _end_terms(self, now_s: float) -> None:
        while self._terms and self._terms[0][0] <= now_s:
            _, key, sequence = self._terms.popleft()
            account = self._accounts.get(key)
            if account is not None and account.sequence == sequence:
                self._outstanding -= account.lent
                self._accounts.pop(key)

    def _cap(self) -> None:
        room = max(0.0, self.share.burst_tokens - self._outstanding)
        self._tokens = min(self._tokens, room)

    def _retry_after_ms(self) -> int:
        crowd_ms = len(self._accounts)
        wait_ms = RETRY_MAX_MS
        if self.share.rate_per_s > 0:
            missing = max(0.0, 1.0 - self._tokens)
            wait_ms = int(missing / self.share.rate_per_s * 1000)
        return min(RETRY_MAX_MS, max(RETRY_MIN_MS, wait_ms, crowd_ms))
