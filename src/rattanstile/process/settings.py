"""Settings of a node: JSON with comments, validated at start."""

from ipaddress import ip_address
from pathlib import Path

import json5
import msgspec

from rattanstile.errors import SettingsError

MAX_PORT = 65535
LOG_LEVELS = ('debug', 'info', 'notice', 'warning', 'error')


class LogSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Where log lines go.

    Attributes:
        level: ``debug``, ``info``, ``notice``, ``warning`` or ``error``.
        destination: ``stderr``, ``none`` or a file's path.
    """

    level: str = 'info'
    destination: str = 'stderr'


class MetricsSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Where metrics go besides the operator address.

    Attributes:
        otlp_endpoint: URL of an OTLP/HTTP collector; empty for none.
        export_period_s: Time between two exports.
    """

    otlp_endpoint: str = ''
    export_period_s: float = 15.0


class ConnectionSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Bounds on what connections may take.

    Attributes:
        max_callers: Callers' connections at once.
        max_target_connections: Connections to the target at once.
    """

    max_callers: int = 1200
    max_target_connections: int = 1200


class NodeSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Settings of one node; addresses are IP numbers with a port.

    A port of 0 lets the system choose one; the log tells which.

    Attributes:
        node_id: Name of the node; the same after a restart.
        target_id: Name of the target beside the node.
        caller_address: Where callers' HTTP calls come in.
        peer_address: Where frames of nodes and of the caller library come in.
        control_address: Where control messages of nodes come in.
        operator_address: Where status and metrics are read.
        target_address: Where the target listens.
        log_address: Where the platform's log listens.
        seeds: Control addresses of nodes to join through.
        static_slot: A number below the declaration's `max_nodes` that no
            other node has; the node's place in the part of each rate that
            needs no owner. Negative for none.
        drain_timeout_s: How long a drain waits for running calls.
    """

    node_id: str
    target_id: str
    service: str
    failure_domain: str
    region: str
    target_address: str
    log_address: str
    caller_address: str = '127.0.0.1:0'
    peer_address: str = '127.0.0.1:0'
    control_address: str = '127.0.0.1:0'
    operator_address: str = '127.0.0.1:0'
    seeds: tuple[str, ...] = ()
    static_slot: int = -1
    drain_timeout_s: float = 30.0
    log: LogSettings = LogSettings()
    metrics: MetricsSettings = MetricsSettings()
    connections: ConnectionSettings = ConnectionSettings()


class Address(msgspec.Struct, frozen=True):
    """An IP number and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return the form that settings use."""
        return f'{self.host}:{self.port}'


def parse_address(text: str) -> Address:
    """Split ``127.0.0.1:80`` or ``[::1]:80``.

    Raises:
        ValueError: The host is no IP number, or the port is out of range.
    """
    host, _, port_text = text.rpartition(':')
    host = host.removeprefix('[').removesuffix(']')
    ip_address(host)
    port = int(port_text)
    if not 0 <= port <= MAX_PORT:
        raise ValueError(f'port {port} is not within 0 to {MAX_PORT}')
    return Address(host, port)


def read_settings(file_name: str) -> NodeSettings:
    """Read and validate the settings of a node.

    Raises:
        SettingsError: Names the file, the field, what was found and what
            is allowed.
    """
    try:
        text = Path(file_name).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(file_name, '$', f'cannot be read: {error}')
    return settings_from_text(file_name, text)


def settings_from_text(file_name: str, text: str) -> NodeSettings:
    """Validate the text of a settings file; see `read_settings`."""
    try:
        found = json5.loads(text)
    except ValueError as error:
        raise SettingsError(file_name, '$', f'not JSON: {error}')
    try:
        settings = msgspec.convert(found, NodeSettings)
    except msgspec.ValidationError as error:
        raise _from_validation(file_name, error)
    _check(file_name, settings)
    return settings


def _from_validation(
    file_name: str, error: msgspec.ValidationError
) -> SettingsError:
    problem, _, field = str(error).partition(' - at `')
    return SettingsError(file_name, field.rstrip('`') or '$', problem)


def _check(file_name: str, settings: NodeSettings) -> None:
    for name in ('node_id', 'target_id', 'service', 'failure_domain'):
        _check_name(file_name, name, getattr(settings, name))
    for field in (
        'caller_address',
        'peer_address',
        'control_address',
        'operator_address',
        'target_address',
        'log_address',
    ):
        _check_address(file_name, f'$.{field}', getattr(settings, field))
    for index, seed in enumerate(settings.seeds):
        _check_address(file_name, f'$.seeds[{index}]', seed)
    if settings.log.level not in LOG_LEVELS:
        allowed = ', '.join(LOG_LEVELS)
        raise SettingsError(
            file_name,
            '$.log.level',
            f'found {settings.log.level!r}, allowed are {allowed}',
        )
    _check_bounds(file_name, settings)


def _check_name(file_name: str, field: str, found: str) -> None:
    if not found or not found.replace('-', '').isalnum():
        raise SettingsError(
            file_name,
            f'$.{field}',
            f'found {found!r}, allowed are letters, digits and "-"',
        )


def _check_address(file_name: str, field: str, found: str) -> None:
    try:
        parse_address(found)
    except ValueError as error:
        raise SettingsError(
            file_name,
            field,
            f'found {found!r}, allowed is an IP number and a port,'
            f' such as "127.0.0.1:8000" ({error})',
        )


def _check_bounds(file_name: str, settings: NodeSettings) -> None:
    bounded = (
        ('$.drain_timeout_s', settings.drain_timeout_s),
        ('$.metrics.export_period_s', settings.metrics.export_period_s),
        ('$.connections.max_callers', settings.connections.max_callers),
        (
            '$.connections.max_target_connections',
            settings.connections.max_target_connections,
        ),
    )
    for field, found in bounded:
        if found <= 0:
            raise SettingsError(
                file_name, field, f'found {found}, allowed is above 0'
            )
