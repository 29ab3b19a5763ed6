"""Control messages and log records: inputs and outputs of state machines."""

from dataclasses import dataclass

import msgspec

from rattanstile.request.ids import NodeId


@dataclass(frozen=True, slots=True)
class ControlArrived:
    """A control message arrived from a node, which may be this node."""

    sender: NodeId
    message: msgspec.Struct


@dataclass(frozen=True, slots=True)
class LogRecordRead:
    """The next record of a log stream, in order of offset, has been read."""

    stream: str
    record: msgspec.Struct


@dataclass(frozen=True, slots=True)
class SendControl:
    """Send a control message to a node, which may be this node."""

    receiver: NodeId
    message: msgspec.Struct


@dataclass(frozen=True, slots=True)
class AppendRecord:
    """Append a record to a log stream.

    The service that runs the state machine tries once; the state machine
    repeats this output until it reads the record from the log.
    """

    stream: str
    record: msgspec.Struct
