"""A call that is compared by the version of the target that it was sent to."""

from dataclasses import dataclass

from rattanstile.process.mesh.rollout.version_counts import CountKey
from rattanstile.request.exchange import (
    Answered,
    Ending,
    NotRun,
    NotRunReason,
    Streamed,
    Unknown,
    UnknownReason,
)
from rattanstile.request.ids import FailureDomainId, ServiceName, TargetVersion

_SERVER_ERROR = 500
_FAULTS_OF_TARGET = frozenset(
    (
        UnknownReason.DEADLINE,
        UnknownReason.ANSWER_LOST,
        UnknownReason.ANSWER_SPOILED,
    )
)


@dataclass(frozen=True, slots=True)
class CallSample:
    """A call sent while an order is in force for its service.

    Attributes:
        version: Target version of the order.
        domain: Failure domain of the target.
        sent_s: Monotonic time.
        rtt_s: Round-trip time to another failure domain, which the latencies
            of the versions must not differ by.
        is_new: Whether the target is of the order's version.
        is_paid: Whether it may run on a target of that version.
    """

    service: ServiceName
    version: TargetVersion
    route: str
    domain: FailureDomainId
    sent_s: float
    rtt_s: float
    is_new: bool
    is_paid: bool

    @property
    def label(self) -> str:
        """Return why the call goes to the version, for the log."""
        if not self.is_new:
            return 'old'
        return 'paid' if self.is_paid else 'unpaid'

    @property
    def key(self) -> CountKey:
        """Return the calls that it is counted with."""
        return CountKey(self.route, self.domain, self.is_new)


@dataclass(frozen=True, slots=True)
class SampleEnd:
    """How a call ended.

    Attributes:
        is_answered: Whether a target of the service has answered it.
        is_compared: Whether its end says something of the target.
        is_failed: Whether the target failed it.
    """

    is_answered: bool
    is_compared: bool
    is_failed: bool


NOT_COMPARED = SampleEnd(is_answered=False, is_compared=False, is_failed=False)
FAILED = SampleEnd(is_answered=False, is_compared=True, is_failed=True)


def sample_end(ending: Ending) -> SampleEnd:
    """Return what the ending of a call says of its target.

    Refusals of the node in front of the target come from load. Those of the
    target itself count for both versions, and are compared.
    """
    match ending:
        case Answered(answer):
            return _answered(answer.status)
        case Streamed(status):
            return _answered(status)
        case NotRun(NotRunReason.TARGET_REFUSED):
            return FAILED
        case Unknown(reason) if reason in _FAULTS_OF_TARGET:
            return FAILED
        case _:
            return NOT_COMPARED


def _answered(status: int) -> SampleEnd:
    return SampleEnd(
        is_answered=True,
        is_compared=True,
        is_failed=status >= _SERVER_ERROR,
    )
