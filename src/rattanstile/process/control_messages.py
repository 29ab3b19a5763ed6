"""Messages that the control machines share: to peers, to and from the log."""

from dataclasses import dataclass

import msgspec

from rattanstile.request.ids import NodeId


@dataclass(frozen=True, slots=True)
class ControlArrived:
    """A control message came from a node, this node itself included."""

    sender: NodeId
    message: msgspec.Struct


@dataclass(frozen=True, slots=True)
class LogRecordRead:
    """The next record of a log stream, in the order of its offsets."""

    stream: str
    record: msgspec.Struct


@dataclass(frozen=True, slots=True)
class SendControl:
    """Send a control message to a node, this node itself included."""

    receiver: NodeId
    message: msgspec.Struct


@dataclass(frozen=True, slots=True)
class AppendRecord:
    """Append a record to a log stream.

    The shell tries once; the machine asks again until it reads the record.
    """

    stream: str
    record: msgspec.Struct
