"""Encodes, addresses and dispatches the control messages of a node."""

from collections.abc import Callable
from enum import IntEnum, unique
from typing import Any

import logbook
import msgspec
from result import Err

from rattanstile.connection.control_bus import ControlBus
from rattanstile.decoding import decode_untrusted
from rattanstile.process.configuration.relay_messages import RelayMessage
from rattanstile.process.key_values import key_values
from rattanstile.process.membership.membership_messages import MembershipMessage
from rattanstile.process.rates.rate_messages import RateMessage
from rattanstile.request.ids import NodeId

_log = logbook.Logger('control-service')


@unique
class Family(IntEnum):
    """State machine that a control message is for."""

    RELAY = 1
    RATES = 2
    MEMBERSHIP = 3


class ControlEnvelope(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True
):
    """A control message with its sender and family, as sent on the bus."""

    sender: NodeId
    family: Family
    payload: msgspec.Raw


_DECODERS: dict[Family, msgspec.msgpack.Decoder[Any]] = {
    Family.RELAY: msgspec.msgpack.Decoder(RelayMessage),
    Family.RATES: msgspec.msgpack.Decoder(RateMessage),
    Family.MEMBERSHIP: msgspec.msgpack.Decoder(MembershipMessage),
}
_encoder = msgspec.msgpack.Encoder()
_envelope_decoder = msgspec.msgpack.Decoder(ControlEnvelope)

ControlHandler = Callable[[NodeId, Any], None]


class ControlService:
    """Sends control messages by node id and dispatches received ones.

    Args:
        address_of: Returns a node's control address, or None if unknown.
    """

    def __init__(
        self, node_id: NodeId, address_of: Callable[[NodeId], str | None]
    ) -> None:
        """Create the service without a bus and without handlers."""
        self.bus: ControlBus | None = None
        self.handlers: dict[Family, ControlHandler] = {}
        self._node_id = node_id
        self._address_of = address_of

    def send(
        self, family: Family, receiver: NodeId, message: msgspec.Struct
    ) -> None:
        """Send a message to a node; it is dropped if sending fails."""
        address = self._address_of(receiver)
        if address is None:
            _log.debug(key_values('no_control_address', receiver=receiver))
            return
        self.send_to_address(family, address, message)

    def send_to_address(
        self, family: Family, address: str, message: msgspec.Struct
    ) -> None:
        """Send a message to a control address, such as that of a seed."""
        if self.bus is None:
            return
        payload = msgspec.Raw(_encoder.encode(message))
        envelope = ControlEnvelope(
            sender=self._node_id, family=family, payload=payload
        )
        self.bus.send(address, _encoder.encode(envelope))

    def receive(self, encoded: bytes) -> None:
        """Decode a message and pass it to the handler of its family.

        Malformed messages are logged and dropped.
        """
        decoded = decode_untrusted(_decode, encoded)
        if isinstance(decoded, Err):
            cause = decoded.err_value.message
            _log.warning(key_values('control_malformed', cause=cause))
            return
        envelope, message = decoded.ok_value
        handler = self.handlers.get(envelope.family)
        if handler is not None:
            handler(envelope.sender, message)


def _decode(encoded: bytes) -> tuple[ControlEnvelope, Any]:
    envelope = _envelope_decoder.decode(encoded)
    return envelope, _DECODERS[envelope.family].decode(envelope.payload)
