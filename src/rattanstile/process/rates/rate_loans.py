"""A borrower's loan from one owner's epoch of a shard."""

from dataclasses import dataclass

from rattanstile.process.rates.rate_bucket import LOAN_TERM_S
from rattanstile.process.rates.rate_messages import LoanGrant, LoanRequest
from rattanstile.process.rates.rate_shares import Share
from rattanstile.request.ids import Incarnation, OrganisationId
from rattanstile.version.rate_records import OwnerClaimRecord

ANSWER_MIN_S = 0.006
ANSWER_MAX_S = 0.03
ANSWER_FACTOR = 4
ROUND_TRIP_GAIN = 0.2
SILENT_BACKOFF_S = 0.1
SILENT_BACKOFF_MAX_S = 1.0
REFUSED_BACKOFF_S = 0.1
SETTLE_AFTER_S = 0.03
PLENTY_FRACTION = 0.5
SILENT = -1
"""Left at an owner that did not answer: it is asked last."""


@dataclass(slots=True)
class Account:
    """What was lent under one epoch, and what was asked for.

    Attributes:
        held: Unspent tokens, valid before `until_s`.
        blocked_until_s: Before it nothing is asked of this owner.
        left: Tokens that the owner last had left.
    """

    claim: OwnerClaimRecord
    organisation: OrganisationId
    incarnation: Incarnation
    held: int = 0
    until_s: float = 0.0
    blocked_until_s: float = 0.0
    left: int = 1
    _sequence: int = 0
    _spent: int = 0
    _reported: int = 0
    _wanted: int = 0
    _needed: int = 0
    _asked_s: float = 0.0
    _told_s: float = 0.0
    _round_trip_s: float = ANSWER_MAX_S
    _is_awaited: bool = False
    _is_answered: bool = True
    _backoff_s: float = SILENT_BACKOFF_S

    def valid(self, now_s: float) -> int:
        """Return the tokens that may be spent now."""
        return self.held if now_s < self.until_s else 0

    def spend(self) -> None:
        """Spend one token; the caller has looked at `valid`."""
        self.held -= 1
        self._spent += 1

    def awaited(self) -> int:
        """Return the tokens asked for and not yet answered."""
        return self._wanted if self._is_awaited else 0

    def awaited_needed(self) -> int:
        """Return those of them that calls wait for."""
        return self._needed if self._is_awaited else 0

    def can_ask(self, now_s: float) -> bool:
        """Tell whether a request may be sent now."""
        return not self._is_awaited and now_s >= self.blocked_until_s

    def ask(
        self, now_s: float, kept_max: int, requested: int = 0, needed: int = 0
    ) -> LoanRequest:
        """Give up all but some tokens and ask for others."""
        self.held = min(self.valid(now_s), kept_max)
        self._sequence += 1
        self._wanted = requested
        self._needed = needed
        self._asked_s = now_s
        self._reported = self._spent
        self._is_awaited = True
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

    def granted(self, now_s: float, grant: LoanGrant) -> bool:
        """Take the answer to the latest request; others are out of date.

        Returns:
            Whether the grant was taken.
        """
        if self._is_answered or grant.sequence != self._sequence:
            return False
        kept = self.held if grant.extended else 0
        self.held = kept + grant.granted
        self.until_s = self._asked_s + LOAN_TERM_S
        self.left = grant.left
        self._told_s = now_s
        gain = now_s - self._asked_s - self._round_trip_s
        self._round_trip_s += ROUND_TRIP_GAIN * gain
        self._is_answered = True
        self._is_awaited = False
        self._backoff_s = SILENT_BACKOFF_S
        if grant.granted < self._needed:
            self.blocked_until_s = now_s + grant.retry_after_ms / 1000
        return True

    def refused(self, now_s: float, sequence: int) -> None:
        """Leave an owner alone that holds no lease."""
        if sequence == self._sequence:
            self._is_awaited = False
            self.left = SILENT
            self.blocked_until_s = now_s + REFUSED_BACKOFF_S

    def state(self, now_s: float) -> str:
        """Return epoch, owner and what is awaited or blocked, for the log."""
        owner = self.claim.owner.node_id
        epoch = f'{self.claim.shard}.{self.claim.epoch}'
        if self._is_awaited:
            return f'{epoch}@{owner}:asked-{now_s - self._asked_s:.3f}'
        blocked_s = max(0.0, self.blocked_until_s - now_s)
        return f'{epoch}@{owner}:left-{self.left}-blocked-{blocked_s:.3f}'

    def likely_left(self, now_s: float, share: Share) -> float:
        """Return an estimate of the tokens that the owner has left.

        Without growth an owner once seen empty would not be asked again
        while another has one token, and its bucket would run over.
        """
        if self.left == SILENT:
            return SILENT
        earned = (now_s - self._told_s) * share.rate_per_s
        return min(share.burst_tokens, self.left + earned)

    def has_to_settle(self, now_s: float, share: Share) -> bool:
        """Tell whether tokens spent still take room that the owner needs.

        An owner with plenty left needs none: the term ends the loan.
        """
        is_idle = self._is_answered and now_s >= self._asked_s + SETTLE_AFTER_S
        is_scarce = self.left < share.burst_tokens * PLENTY_FRACTION
        is_lent = self._reported != self._spent and self.held == 0
        return is_idle and is_lent and is_scarce

    def give_up(self, now_s: float) -> bool:
        """Tell whether the answer is overdue, and then stop waiting for it."""
        within_s = min(
            ANSWER_MAX_S, max(ANSWER_MIN_S, ANSWER_FACTOR * self._round_trip_s)
        )
        if not self._is_awaited or now_s < self._asked_s + within_s:
            return False
        self._silence(now_s)
        return True

    def _silence(self, now_s: float) -> None:
        self._is_awaited = False
        self.left = SILENT
        self.blocked_until_s = now_s + self._backoff_s
        self._backoff_s = min(2 * self._backoff_s, SILENT_BACKOFF_MAX_S)
