"""Settings of a node, in JSON; lines that start with ``//`` are comments."""

import re
from pathlib import Path
from typing import Annotated

import msgspec
from result import Err

from rattanstile.connection.descriptor_budget import (
    descriptor_limit,
    max_reserve,
)
from rattanstile.decoding import decode_untrusted
from rattanstile.errors import SettingsError
from rattanstile.process.mesh.rollout.rollout_bounds import RolloutBounds
from rattanstile.request.ids import FailureDomainId, NodeId, ServiceName

MAX_NODE_ID_BYTES = 255
"""The store takes no longer key for the node's member entry."""
MIN_REQUEST_MEMORY_MB = 56
"""Callers' share holds one body of 8 MB with its copies in transit (24 MB) and
1,000 connections; that of nodes, one call of such a body (16 MB) and 400
connections."""
MAX_DURATION_S = 366 * 24 * 3600

_COMMENT = re.compile(r'^\s*//.*$', re.MULTILINE)
_DURATION = re.compile(r'(\d+(?:\.\d+)?)(ms|s)')


class MeshSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Identity, addresses and limits of a node.

    Attributes:
        node_id: Unique ID of the node.
        service: Service of the target beside the node.
        failure_domain: Failure domain of the VM.
        target_address: Address of the target.
        caller_address: Listen address for requests of callers and the target.
        peer_address: Address at which other nodes connect to this one.
        ready_address: Listen address for readiness checks.
        announcement_address: Listen address for announcements of the target.
        metrics_address: Listen address for reads of the metrics.
        store_address: Address of the platform's store.
        grace: Longest time from SIGTERM to the exit, such as ``6s``.
        rerun_ratio: Reruns allowed for each first send.
        rerun_slack: Reruns of the fleet allowed in addition to the ratio.
        peer_listen_address: Listen address for other nodes, if it differs
            from the address that they connect to; empty for `peer_address`.
        new_fleet: Whether the whole fleet starts for the first time.
        request_memory_mb: Memory for requests of callers, other nodes and the
            target, in megabytes.
        reserved_descriptors: Descriptors that callers don't get; 0 for a part
            of the limit of the process.
        min_progress_bytes_per_s: Progress below which an unfinished request
            gives way to others near a limit.
        expose_share: Share of a service's requests that a version under test
            may get.
        expose_slack: Requests of the fleet that it may get in addition.
        rollback: Time after which a bad version gets no more requests, such as
            ``5s``.
    """

    node_id: NodeId
    service: ServiceName
    failure_domain: FailureDomainId
    target_address: str
    caller_address: str
    peer_address: str
    ready_address: str
    announcement_address: str
    metrics_address: str
    store_address: str
    grace: str
    rerun_ratio: float
    rerun_slack: float
    peer_listen_address: str = ''
    new_fleet: bool = False
    request_memory_mb: int = 88
    reserved_descriptors: int = 0
    min_progress_bytes_per_s: int = 1024
    expose_share: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.1
    expose_slack: Annotated[float, msgspec.Meta(ge=0)] = 50
    rollback: str = '5s'

    @property
    def grace_s(self) -> float:
        """Return the longest time from SIGTERM to the exit, in seconds."""
        return duration_s(self.grace) or 0

    @property
    def rollout_bounds(self) -> RolloutBounds:
        """Return the bounds of what a version under test may get."""
        return RolloutBounds(
            self.expose_share, self.expose_slack, duration_s(self.rollback) or 0
        )


_settings_decoder = msgspec.json.Decoder(MeshSettings)


def duration_s(text: str) -> float | None:
    """Return the seconds of a duration such as ``250ms``; None if invalid."""
    parsed = _DURATION.fullmatch(text)
    if parsed is None:
        return None
    parsed_s = float(parsed.group(1))
    if parsed.group(2) == 'ms':
        parsed_s /= 1000
    return parsed_s if parsed_s <= MAX_DURATION_S else None


def read_mesh_settings(file_name: str) -> MeshSettings:
    """Read and check the settings in a file.

    Raises:
        SettingsError: The file can't be read, or a field is invalid.
    """
    try:
        text = Path(file_name).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(file_name, '$', str(error)) from error
    return parse_mesh_settings(file_name, text)


def parse_mesh_settings(file_name: str, text: str) -> MeshSettings:
    """Parse and check settings.

    Args:
        file_name: Where they come from, for the error message.
        text: The settings in JSON.

    Raises:
        SettingsError: A field is invalid.
    """
    decoded = decode_untrusted(
        _settings_decoder.decode, _COMMENT.sub('', text).encode()
    )
    if isinstance(decoded, Err):
        raise SettingsError(file_name, '$', decoded.err_value.message)
    settings = decoded.ok_value
    if not 0 < len(settings.node_id.encode()) <= MAX_NODE_ID_BYTES:
        raise SettingsError(
            file_name, '$.node_id', f'must have 1 to {MAX_NODE_ID_BYTES} bytes'
        )
    for field, duration in (
        ('grace', settings.grace),
        ('rollback', settings.rollback),
    ):
        if duration_s(duration) is None:
            raise SettingsError(
                file_name,
                f'$.{field}',
                'must be a duration such as 6s or 500ms',
            )
    _check_client_limits(file_name, settings)
    return settings


def _check_client_limits(file_name: str, settings: MeshSettings) -> None:
    if settings.request_memory_mb < MIN_REQUEST_MEMORY_MB:
        raise SettingsError(
            file_name,
            '$.request_memory_mb',
            f'must be at least {MIN_REQUEST_MEMORY_MB}',
        )
    _check_reserve(file_name, settings.reserved_descriptors)
    if settings.min_progress_bytes_per_s <= 0:
        raise SettingsError(
            file_name, '$.min_progress_bytes_per_s', 'must be above 0'
        )


def _check_reserve(file_name: str, reserve: int) -> None:
    if reserve < 0:
        raise SettingsError(
            file_name, '$.reserved_descriptors', 'must be 0 or above'
        )
    limit = descriptor_limit()
    if reserve > max_reserve(limit):
        raise SettingsError(
            file_name,
            '$.reserved_descriptors',
            f'must be at most {max_reserve(limit)}: the process may open'
            f' {limit} descriptors',
        )
