"""What the serving machine needs of the table of non-idempotent calls."""

from dataclasses import dataclass
from typing import Protocol

from rattanstile.request.envelope import Call, Reply, refusal
from rattanstile.request.outcome import Reason


@dataclass(frozen=True, slots=True)
class RunCall:
    """The call has never been seen here; it may run."""


@dataclass(frozen=True, slots=True)
class AnswerAtOnce:
    """The call must not run; this reply ends the attempt."""

    reply: Reply


HomeVerdict = RunCall | AnswerAtOnce


class HomeTable(Protocol):
    """Keeps each non-idempotent call to one run at its home."""

    def arrive(self, now_s: float, call: Call) -> HomeVerdict:
        """Decide on an attempt that is neither queued nor running here."""

    def ended(self, now_s: float, call: Call, reply: Reply) -> None:
        """Keep how a call ended, a refusal included."""


class IdempotentOnly:
    """Stands in where there is no table: refuses what needs one."""

    def arrive(self, now_s: float, call: Call) -> HomeVerdict:
        """Refuse the call unrun."""
        return AnswerAtOnce(refusal(call, Reason.NO_TARGET))

    def ended(self, now_s: float, call: Call, reply: Reply) -> None:
        """Keep nothing."""
