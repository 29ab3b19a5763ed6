"""Ends of requests as messages to peers, and as words of the log."""

from dataclasses import dataclass

from rattanstile.connection.peer_messages import CallEnded, TargetLoad
from rattanstile.process.decision_log import Kind
from rattanstile.request.exchange import (
    Answered,
    Ending,
    NotRun,
    NotRunReason,
    ServiceUsage,
    Unknown,
    UnknownReason,
)


@dataclass(frozen=True, slots=True)
class Described:
    """A name for an end, and the kind of line that tells it."""

    name: str
    kind: Kind


def described(ending: Ending) -> Described:
    """Return the name of an end."""
    match ending:
        case Answered(answer):
            if answer.is_success:
                return Described('whole', Kind.SERVED)
            return Described(f'target_{answer.status}', Kind.FAILED)
        case NotRun(reason):
            return Described(reason.name.lower(), Kind.REFUSED)
        case Unknown(reason):
            return Described(f'unknown_{reason.name.lower()}', Kind.FAILED)


def ending_of(message: CallEnded) -> Ending:
    """Return the end that a peer tells."""
    if message.answer is not None:
        return Answered(message.answer)
    if message.not_run:
        return NotRun(NotRunReason(message.not_run))
    return Unknown(UnknownReason(message.unknown))


def encode_ending(
    sequence: int,
    ending: Ending,
    load: TargetLoad,
    usage: tuple[ServiceUsage, ...],
) -> CallEnded:
    """Return the message that tells a peer how its attempt ended."""
    match ending:
        case Answered(answer):
            return CallEnded(sequence, answer, 0, 0, load, usage)
        case NotRun(reason):
            return CallEnded(sequence, None, reason.value, 0, load, usage)
        case Unknown(reason):
            return CallEnded(sequence, None, 0, reason.value, load, usage)
