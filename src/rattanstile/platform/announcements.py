"""How targets announce themselves to the node beside them."""

import re

import msgspec

from rattanstile.connection.http_messages import HttpRequest, encode_response
from rattanstile.connection.http_server import BadRequest
from rattanstile.process.mesh.ports import InvalidAnnouncement
from rattanstile.process.mesh.settings import duration_s
from rattanstile.process.mesh.target_watch import (
    Announcement,
    TargetDeparture,
    TargetState,
)
from rattanstile.request.ids import ServiceName, TargetId

_PATH = re.compile(r'/v1/instances/([^/?]+)/(heartbeat|deregister)')
_JSON = ((b'content-type', b'application/json'),)
_TAKEN = 200
_MALFORMED = 400
_UNKNOWN_PATH = 404


class _Info(msgspec.Struct, rename='camel'):
    """The part of a heartbeat that stays the same."""

    service: str
    slots: int


class _Status(msgspec.Struct, rename='camel'):
    """The part of a heartbeat that changes."""

    state: str
    sequence: int
    cold_remaining: str = '0ms'


class _Heartbeat(msgspec.Struct, rename='camel'):
    """A target's word of itself.

    Attributes:
        born: Milliseconds since the epoch.
    """

    address: str
    info: _Info
    status: _Status
    born: int = 0


class _Deregistration(msgspec.Struct):
    """A target's word that it goes."""

    born: int = 0


class PlatformAnnouncements:
    """See `rattanstile.process.mesh.ports.AnnouncementDialect`.

    Args:
        target_address: Of the target beside the node; others aren't heard.
    """

    def __init__(self, target_address: str) -> None:
        """Keep the address."""
        self._target_address = target_address

    def decode(
        self, request: HttpRequest | BadRequest
    ) -> Announcement | TargetDeparture | InvalidAnnouncement:
        """Return what a target says of itself."""
        if isinstance(request, BadRequest):
            return InvalidAnnouncement(request.value)
        found = _PATH.fullmatch(request.path)
        if found is None or request.method != 'POST':
            return InvalidAnnouncement('unknown path', is_unknown_path=True)
        target_id = TargetId(found.group(1))
        try:
            if found.group(2) == 'deregister':
                return _left(target_id, request.body)
            heartbeat = msgspec.json.decode(request.body, type=_Heartbeat)
        except msgspec.MsgspecError as error:
            return InvalidAnnouncement(str(error))
        return self._announcement(target_id, heartbeat)

    def acknowledge(self, *, closes: bool) -> bytes:
        """Return the bytes that acknowledge it."""
        return encode_response(_TAKEN, _JSON, b'{}', closes=closes)

    def reject(self, rejected: InvalidAnnouncement, *, closes: bool) -> bytes:
        """Return the bytes that say that nothing was taken."""
        status = _UNKNOWN_PATH if rejected.is_unknown_path else _MALFORMED
        return encode_response(status, _JSON, b'{}', closes=closes)

    def _announcement(
        self, target_id: TargetId, heartbeat: _Heartbeat
    ) -> Announcement | InvalidAnnouncement:
        status = heartbeat.status
        cold_s = duration_s(status.cold_remaining)
        if status.state not in {state.value for state in TargetState}:
            return InvalidAnnouncement(f'state {status.state}')
        if cold_s is None or heartbeat.info.slots < 1:
            return InvalidAnnouncement('cold time or slots')
        if heartbeat.address != self._target_address:
            return InvalidAnnouncement(f'address {heartbeat.address}')
        return Announcement(
            target_id=target_id,
            service=ServiceName(heartbeat.info.service),
            address=heartbeat.address,
            slots=heartbeat.info.slots,
            state=TargetState(status.state),
            sequence=status.sequence,
            cold_s=cold_s,
            born_ms=heartbeat.born,
        )


def _left(target_id: TargetId, body: bytes) -> TargetDeparture:
    told = _Deregistration()
    if body:
        told = msgspec.json.decode(body, type=_Deregistration)
    return TargetDeparture(target_id, told.born)
