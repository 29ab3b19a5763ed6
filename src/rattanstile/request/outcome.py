"""Outcomes of calls, and reasons for calls without a whole answer."""

from enum import Enum, unique


@unique
class Outcome(Enum):
    """Outcome of a call, which alone determines the caller's next step.

    The idea comes from RFC 2821, section 4.2.1, where the first digit of a
    reply code alone determines the client's next step.
    """

    WHOLE = 'whole'
    NOT_RUN = 'not-run'
    FAILED = 'failed'
    UNKNOWN = 'unknown'


@unique
class Reason(Enum):
    """Why a call did not end with a whole answer."""

    MALFORMED = 'malformed'
    KEY_REFUSED = 'key-refused'
    NO_SUCH_SERVICE = 'no-such-service'
    TOO_LARGE = 'too-large'
    OVER_RATE = 'over-rate'
    SHED = 'shed'
    DEADLINE = 'deadline'
    DRAINING = 'draining'
    OUT_OF_SERVICE = 'out-of-service'
    NO_TARGET = 'no-target'
    LOG_NEEDED = 'log-needed'
    NOT_VERIFIED = 'not-verified'
    HOP_LIMIT = 'hop-limit'
    CANCELLED = 'cancelled'
    TARGET_REFUSED = 'target-refused'
    TARGET_FAILED = 'target-failed'
    ANSWER_CUT = 'answer-cut'
    CONNECTION_LOST = 'connection-lost'
    HOME_GONE = 'home-gone'
    EXPIRED = 'expired'
    HOME_FULL = 'home-full'
    ANSWER_FORGOTTEN = 'answer-forgotten'
    KEY_REUSED = 'key-reused'

    @property
    def status(self) -> int:
        """Return the HTTP status of a reply with this reason."""
        return _STATUS[self]

    @property
    def is_overload(self) -> bool:
        """Return whether it is overload; the hop above must not retry then."""
        return self in _OVERLOAD


_STATUS = {
    Reason.MALFORMED: 400,
    Reason.KEY_REFUSED: 401,
    Reason.NO_SUCH_SERVICE: 404,
    Reason.TOO_LARGE: 413,
    Reason.OVER_RATE: 429,
    Reason.SHED: 503,
    Reason.DEADLINE: 504,
    Reason.DRAINING: 503,
    Reason.OUT_OF_SERVICE: 503,
    Reason.NO_TARGET: 503,
    Reason.LOG_NEEDED: 503,
    Reason.NOT_VERIFIED: 503,
    Reason.HOP_LIMIT: 503,
    Reason.CANCELLED: 503,
    Reason.TARGET_REFUSED: 503,
    Reason.TARGET_FAILED: 502,
    Reason.ANSWER_CUT: 502,
    Reason.CONNECTION_LOST: 504,
    Reason.HOME_GONE: 504,
    Reason.EXPIRED: 504,
    Reason.HOME_FULL: 503,
    Reason.ANSWER_FORGOTTEN: 504,
    Reason.KEY_REUSED: 422,
}
_OVERLOAD = frozenset(
    (
        Reason.OVER_RATE,
        Reason.SHED,
        Reason.DEADLINE,
    ),
)
