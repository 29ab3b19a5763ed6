"""Codec of the announcements that a target sends to the node on its VM."""

import re
import time
from collections.abc import Callable
from typing import Annotated

import msgspec
from result import Err

from rattanstile.connection.http_messages import HttpRequest, encode_response
from rattanstile.connection.http_server import BadRequest
from rattanstile.decoding import decode_untrusted
from rattanstile.process.mesh.ports import InvalidAnnouncement
from rattanstile.process.mesh.serving.past_incarnations import TargetDeparture
from rattanstile.process.mesh.serving.target_watch import (
    Announcement,
    TargetState,
)
from rattanstile.process.mesh.settings import duration_s
from rattanstile.request.ids import (
    NO_VERSION,
    ServiceName,
    TargetId,
    TargetVersion,
)

MAX_CLOCK_LEAD_S = 86_400
"""The clock of the VM may have been set back since the target started."""
MAX_SLOTS = 1_000_000
MAX_WHOLE_NUMBER = 2**53
"""Larger ones aren't exact in every program that reads JSON."""

_Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_WHOLE_NUMBER)]
_PATH = re.compile(r'/v1/instances/([^/?]+)/(heartbeat|deregister)')
_JSON_HEADERS = ((b'content-type', b'application/json'),)
_MS_PER_S = 1000
_OK = 200
_BAD_REQUEST = 400
_NOT_FOUND = 404


class _Info(msgspec.Struct, rename='camel'):
    """Constant part of a heartbeat."""

    service: str
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
    version: str = NO_VERSION


class _Status(msgspec.Struct, rename='camel'):
    """Variable part of a heartbeat."""

    state: str
    sequence: _Count
    cold_remaining: str = '0ms'


class _Heartbeat(msgspec.Struct, rename='camel'):
    """Heartbeat of a target.

    Attributes:
        born: Start of the incarnation, in milliseconds since the epoch.
    """

    address: str
    info: _Info
    status: _Status
    born: _Count = 0


class _Deregistration(msgspec.Struct):
    """Notice that a target leaves.

    Attributes:
        born: Start of the incarnation, in milliseconds since the epoch.
    """

    born: _Count = 0


_heartbeat_decoder = msgspec.json.Decoder(_Heartbeat)
_deregistration_decoder = msgspec.json.Decoder(_Deregistration)


class PlatformAnnouncementCodec:
    """See `rattanstile.process.mesh.ports.AnnouncementCodec`.

    Args:
        target_address: Address of the target on this VM. Heartbeats that state
            another address are invalid.
        now_s: Returns the time in seconds since the epoch.
    """

    def __init__(
        self, target_address: str, now_s: Callable[[], float] = time.time
    ) -> None:
        """Initialize for the target at an address."""
        self._target_address = target_address
        self._now_s = now_s

    def decode(
        self, request: HttpRequest | BadRequest
    ) -> Announcement | TargetDeparture | InvalidAnnouncement:
        """Return the announcement or departure of a target."""
        if isinstance(request, BadRequest):
            return InvalidAnnouncement(request.value)
        path_match = _PATH.fullmatch(request.path)
        if path_match is None or request.method != 'POST':
            return InvalidAnnouncement('unknown path', is_unknown_path=True)
        target_id = TargetId(path_match.group(1))
        if path_match.group(2) == 'deregister':
            return self._departure(target_id, request.body)
        heartbeat = decode_untrusted(_heartbeat_decoder.decode, request.body)
        if isinstance(heartbeat, Err):
            return InvalidAnnouncement(heartbeat.err_value.message)
        return self._announcement(target_id, heartbeat.ok_value)

    def acknowledge(self, *, closes: bool) -> bytes:
        """Return the encoded acknowledgement."""
        return encode_response(_OK, _JSON_HEADERS, b'{}', closes=closes)

    def reject(self, rejected: InvalidAnnouncement, *, closes: bool) -> bytes:
        """Return the encoded response that rejects the message."""
        status = _NOT_FOUND if rejected.is_unknown_path else _BAD_REQUEST
        return encode_response(status, _JSON_HEADERS, b'{}', closes=closes)

    def _announcement(
        self, target_id: TargetId, heartbeat: _Heartbeat
    ) -> Announcement | InvalidAnnouncement:
        status = heartbeat.status
        cold_s = duration_s(status.cold_remaining)
        if status.state not in {state.value for state in TargetState}:
            return InvalidAnnouncement(f'unknown state {status.state}')
        if cold_s is None:
            return InvalidAnnouncement('invalid cold time')
        if heartbeat.born > (self._now_s() + MAX_CLOCK_LEAD_S) * _MS_PER_S:
            return InvalidAnnouncement('the target starts in the future')
        if heartbeat.address != self._target_address:
            return InvalidAnnouncement(
                f'not the address of the target: {heartbeat.address}'
            )
        return Announcement(
            target_id=target_id,
            service=ServiceName(heartbeat.info.service),
            address=heartbeat.address,
            slots=heartbeat.info.slots,
            state=TargetState(status.state),
            sequence=status.sequence,
            cold_s=cold_s,
            born_ms=heartbeat.born,
            version=TargetVersion(heartbeat.info.version or NO_VERSION),
            is_born_ahead=heartbeat.born > self._now_s() * _MS_PER_S,
        )

    def _departure(
        self, target_id: TargetId, body: bytes
    ) -> TargetDeparture | InvalidAnnouncement:
        decoded = decode_untrusted(
            _deregistration_decoder.decode, body or b'{}'
        )
        if isinstance(decoded, Err):
            return InvalidAnnouncement(decoded.err_value.message)
        if decoded.ok_value.born:
            return TargetDeparture(target_id, decoded.ok_value.born)
        now_ms = int(self._now_s() * _MS_PER_S)
        return TargetDeparture(target_id, now_ms, is_latest=True)
