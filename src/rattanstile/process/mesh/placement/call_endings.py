"""Endings of requests as peer messages, log outcomes and metric labels."""

from dataclasses import dataclass

from rattanstile.connection.peer_messages import CallResponse, TargetLoad
from rattanstile.process.decision_log import LineKind
from rattanstile.request.exchange import (
    Answered,
    Ending,
    NotRun,
    NotRunReason,
    ServiceUsage,
    Streamed,
    Unknown,
    UnknownReason,
)


@dataclass(frozen=True, slots=True)
class EndingLabel:
    """Name of an ending and the kind of log line that reports it."""

    name: str
    kind: LineKind


def ending_label(ending: Ending) -> EndingLabel:
    """Return the name of an ending and its kind of log line."""
    match ending:
        case Answered(answer):
            if answer.is_success:
                return EndingLabel('whole', LineKind.SERVED)
            return EndingLabel(f'target_{answer.status}', LineKind.FAILED)
        case Streamed(status):
            if 200 <= status < 300:  # noqa: PLR2004
                return EndingLabel('whole', LineKind.SERVED)
            return EndingLabel(f'target_{status}', LineKind.FAILED)
        case NotRun(reason):
            return EndingLabel(reason.name.lower(), LineKind.REFUSED)
        case Unknown(reason):
            return EndingLabel(
                f'unknown_{reason.name.lower()}', LineKind.FAILED
            )


def is_success(ending: Ending) -> bool:
    """Return whether the target answered with a status of 2xx."""
    match ending:
        case Answered(answer):
            return answer.is_success
        case Streamed(status):
            return 200 <= status < 300  # noqa: PLR2004
        case _:
            return False


def decode_ending(message: CallResponse) -> Ending:
    """Return the ending that a peer reported."""
    if message.answer is not None:
        return Answered(message.answer)
    if message.streamed_status:
        return Streamed(message.streamed_status)
    if message.not_run:
        return NotRun(_decode_reason(message))
    return Unknown(_decode_unknown(message.unknown))


def _decode_reason(message: CallResponse) -> NotRunReason:
    """Return the reason, or the one that older nodes treat alike.

    A reason that only newer nodes know still says that the call has not run.
    """
    known = {reason.value for reason in NotRunReason}
    for value in (message.not_run_detail, message.not_run):
        if value in known:
            return NotRunReason(value)
    return NotRunReason.QUEUE_FULL


def _decode_unknown(value: int) -> UnknownReason:
    """Return the reason; one that only newer nodes know is a lost answer."""
    try:
        return UnknownReason(value)
    except ValueError:
        return UnknownReason.ANSWER_LOST


def encode_ending(
    sequence: int,
    ending: Ending,
    load: TargetLoad,
    usage: tuple[ServiceUsage, ...],
) -> CallResponse:
    """Return the message that reports the end of an attempt to a peer."""
    match ending:
        case Answered(answer):
            return CallResponse(sequence, answer, 0, 0, load, usage)
        case Streamed(status):
            return CallResponse(
                sequence, None, 0, 0, load, usage, streamed_status=status
            )
        case NotRun(NotRunReason.RETRY_BUDGET as reason):
            return CallResponse(
                sequence,
                None,
                NotRunReason.QUEUE_FULL.value,
                0,
                load,
                usage,
                not_run_detail=reason.value,
            )
        case NotRun(reason):
            return CallResponse(sequence, None, reason.value, 0, load, usage)
        case Unknown(reason):
            return CallResponse(sequence, None, 0, reason.value, load, usage)
