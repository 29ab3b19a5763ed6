"""Settings of a node: JSON with comments, validated at startup."""

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
        destination: ``stderr``, ``none`` or the path of a file.
    """

    level: str = 'info'
    destination: str = 'stderr'


class MetricsSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Export of metrics, in addition to the operator address.

    Attributes:
        otlp_endpoint: URL of an OTLP/HTTP collector; empty for none.
        export_period_s: Seconds between two exports.
    """

    otlp_endpoint: str = ''
    export_period_s: float = 15.0


class ConnectionSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Bounds on the number of connections.

    Attributes:
        max_callers: Maximum of concurrent connections from callers.
        max_target_connections: Maximum of concurrent connections to the
            target.
    """

    max_callers: int = 1200
    max_target_connections: int = 1200


class NodeSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Settings of one node; an address is an IP address with a port.

    Port 0 lets the system choose a port; the ready line on standard output
    names it.

    Attributes:
        node_id: Name of the node; stays the same after a restart.
        target_id: Name of the target beside the node.
        caller_address: Listens for HTTP calls from callers.
        peer_address: Listens for frames from nodes and the caller library.
        control_address: Listens for control messages from nodes.
        operator_address: Serves status and metrics.
        target_address: Address that the target listens on.
        log_address: Address that the platform's log listens on.
        seeds: Control addresses of nodes to join through.
        static_slot: A number below the declaration's `max_nodes` that no
            other node has; this node's slot in the part of each rate that
            is split without an owner. Negative for none.
        drain_timeout_s: Maximum seconds that a drain waits for running calls.
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
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return the address as written in settings."""
        return f'{self.host}:{self.port}'


def parse_address(text: str) -> Address:
    """Parse an address such as ``127.0.0.1:80`` or ``[::1]:80``.

    Raises:
        ValueError: The host is no IP address, or the port is out of range.
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
        SettingsError: The file can't be read or is invalid; names the file,
            the field, the value found and the values allowed.
    """
    try:
        text = Path(file_name).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(file_name, '$', f'cannot be read: {error}')
    return settings_from_text(file_name, text)


def settings_from_text(file_name: str, text: str) -> NodeSettings:
    """Validate the text of a settings file; see `read_settings`."""
    try:
        parsed = json5.loads(text)
    except (ValueError, RecursionError) as error:
        raise SettingsError(file_name, '$', f'not JSON: {error}')
    try:
        settings = msgspec.convert(parsed, NodeSettings)
    except msgspec.ValidationError as error:
        raise _settings_error(file_name, error)
    _validate(file_name, settings)
    return settings


def _settings_error(
    file_name: str, error: msgspec.ValidationError
) -> SettingsError:
    problem, _, field = str(error).partition(' - at `')
    return SettingsError(file_name, field.rstrip('`') or '$', problem)


def _validate(file_name: str, settings: NodeSettings) -> None:
    for name in ('node_id', 'target_id', 'service', 'failure_domain'):
        _validate_name(file_name, name, getattr(settings, name))
    for field in (
        'caller_address',
        'peer_address',
        'control_address',
        'operator_address',
        'target_address',
        'log_address',
    ):
        _validate_address(file_name, f'$.{field}', getattr(settings, field))
    for index, seed in enumerate(settings.seeds):
        _validate_address(file_name, f'$.seeds[{index}]', seed)
    if settings.log.level not in LOG_LEVELS:
        allowed = ', '.join(LOG_LEVELS)
        raise SettingsError(
            file_name,
            '$.log.level',
            f'found {settings.log.level!r}, allowed are {allowed}',
        )
    _validate_bounds(file_name, settings)


def _validate_name(file_name: str, field: str, value: str) -> None:
    if not value or not value.replace('-', '').isalnum():
        raise SettingsError(
            file_name,
            f'$.{field}',
            f'found {value!r}, allowed are letters, digits and "-"',
        )


def _validate_address(file_name: str, field: str, value: str) -> None:
    try:
        parse_address(value)
    except ValueError as error:
        raise SettingsError(
            file_name,
            field,
            f'found {value!r}, allowed is an IP address and a port,'
            f' such as "127.0.0.1:8000" ({error})',
        )


def _validate_bounds(file_name: str, settings: NodeSettings) -> None:
    positive_values = (
        ('$.drain_timeout_s', settings.drain_timeout_s),
        ('$.metrics.export_period_s', settings.metrics.export_period_s),
        ('$.connections.max_callers', settings.connections.max_callers),
        (
            '$.connections.max_target_connections',
            settings.connections.max_target_connections,
        ),
    )
    for field, value in positive_values:
        if value <= 0:
            raise SettingsError(
                file_name, field, f'found {value}, allowed is above 0'
            )
