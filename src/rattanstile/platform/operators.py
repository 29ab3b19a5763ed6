"""Decoder of the configurations that operators publish."""

import msgspec
from result import Err

from rattanstile.decoding import decode_untrusted
from rattanstile.process.mesh.rollout.rollout_verdict import (
    RolloutState,
    RolloutStatus,
)
from rattanstile.process.mesh.settings import duration_s
from rattanstile.request.ids import OrganisationId, ServiceName, TargetVersion
from rattanstile.version.fleet_config import (
    CallerLimits,
    ConfigEntries,
    FleetConfig,
    FleetRoute,
    FleetService,
    Organisation,
    RolloutOrder,
    Share,
)


class _WireStruct(msgspec.Struct, rename='camel'):
    """Base of the structs whose fields are in camel case on the wire."""


class _Split(_WireStruct):
    """One service of a traffic split."""

    service: str
    weight: float


class _Route(_WireStruct):
    """A route to a service, or to several of a traffic split.

    Attributes:
        service: Ignored if `traffic_split` has entries.
    """

    name: str
    host: str
    path_prefix: str
    route_type: str
    timeout: str
    target_latency: str = '0ms'
    priority: int = 0
    service: str = ''
    traffic_split: list[_Split] = []
    max_attempts: int = 1
    public: bool = False


class _Service(_WireStruct):
    """A service.

    Attributes:
        cold_per_s: Calls per second that a cold target can handle.
    """

    name: str
    health_path: str = '/'
    max_connections: int = 64
    cold_start: str = '0ms'
    cold_per_s: float = 0


class _Limits(_WireStruct):
    """Limits on the requests of callers."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 8 * 1024 * 1024
    header_timeout: str = '3s'
    idle_timeout: str = '15s'


class _Tenant(_WireStruct):
    """An organisation and its keys."""

    name: str
    api_keys: list[str] = []
    priority: int | None = None
    rate_per_s: float = 0
    burst: float = 0


class _Config(_WireStruct):
    """A configuration."""

    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] = []


FIELD_NAMES = {
    'organisations': 'tenants',
    'number': 'version',
    'path_prefix': 'pathPrefix',
    'shares': 'trafficSplit',
    'timeout_s': 'timeout',
    'latency_objective_s': 'targetLatency',
    'most_attempts': 'maxAttempts',
    'health_path': 'healthPath',
    'max_connections': 'maxConnections',
    'cold_start_s': 'coldStart',
    'cold_calls_per_s': 'coldPerS',
    'keys': 'apiKeys',
    'rate_per_s': 'ratePerS',
    'burst_calls': 'burst',
    'head_bytes': 'maxHeaderBytes',
    'body_bytes': 'maxBodyBytes',
    'head_timeout_s': 'headerTimeout',
    'idle_timeout_s': 'idleTimeout',
}
"""Names in the document of the fields that have another name here."""


class _Rollout(_WireStruct):
    """An order to move a service to another version."""

    service: str
    target_version: str
    duration: str


class _RolloutStatus(_WireStruct):
    """Status of the latest order of a service."""

    target_version: str
    state: RolloutState


_IDEMPOTENT_ROUTE_TYPES = frozenset(('safe', 'download'))
"""Downloads differ from safe requests only in the size of their answers."""
_decoder = msgspec.json.Decoder(_Config)
_rollout_decoder = msgspec.json.Decoder(_Rollout)
_status_decoder = msgspec.json.Decoder(_RolloutStatus)


def decode_fleet_config(document: bytes) -> FleetConfig:
    """Decode a published configuration.

    Raises:
        msgspec.MsgspecError: The document is not a valid configuration.
        ValueError: A duration is invalid, or a route matches no request or
            leads to no service.
    """
    return decode_entries(document).config()


def decode_entries(document: bytes) -> ConfigEntries:
    """Decode the entries of a configuration; raises as the function above."""
    config = _decoder.decode(document)
    return ConfigEntries(
        number=config.version,
        routes=tuple(map(_route, config.routes)),
        services=tuple(map(_service, config.services)),
        organisations=tuple(map(_organisation, config.tenants)),
        limits=_limits(config.limits),
    )


def decode_rollout_order(document: bytes) -> RolloutOrder:
    """Decode an order to move a service to another version.

    Raises:
        msgspec.MsgspecError: The document is not a valid order.
        ValueError: The duration is invalid or there is no version.
    """
    rollout = _rollout_decoder.decode(document)
    if not rollout.target_version:
        raise ValueError('no target version')
    return RolloutOrder(
        ServiceName(rollout.service),
        TargetVersion(rollout.target_version),
        _parse_duration_s(rollout.duration),
    )


def encode_rollout_status(status: RolloutStatus) -> bytes:
    """Encode the status of the latest order of a service."""
    return msgspec.json.encode(_RolloutStatus(status.version, status.state))


def decode_rollout_status(
    service: ServiceName, document: bytes
) -> RolloutStatus | None:
    """Decode a status; None if another writer wrote something else."""
    decoded = decode_untrusted(_status_decoder.decode, document)
    if isinstance(decoded, Err):
        return None
    status = decoded.ok_value
    return RolloutStatus(
        service, TargetVersion(status.target_version), status.state
    )


def _route(route: _Route) -> FleetRoute:
    if route.traffic_split:
        shares = tuple(
            Share(ServiceName(split.service), split.weight)
            for split in route.traffic_split
        )
    else:
        shares = (Share(ServiceName(route.service), 1),)
    _check_route(route, shares)
    timeout_s = _parse_duration_s(route.timeout)
    return FleetRoute(
        name=route.name,
        host=route.host.lower(),
        path_prefix=route.path_prefix,
        shares=shares,
        idempotent=route.route_type in _IDEMPOTENT_ROUTE_TYPES,
        timeout_s=timeout_s,
        latency_objective_s=_parse_duration_s(route.target_latency)
        or timeout_s,
        priority=route.priority,
        most_attempts=route.max_attempts,
        open_to_all=route.public,
    )


def _check_route(route: _Route, shares: tuple[Share, ...]) -> None:
    prefix = route.path_prefix
    if not (prefix.startswith('/') and prefix.endswith('/')):
        raise ValueError(f'route {route.name}: invalid prefix {prefix}')
    if not all(share.service and share.weight >= 0 for share in shares):
        raise ValueError(f'route {route.name}: invalid service or weight')
    if not any(share.weight for share in shares):
        raise ValueError(f'route {route.name}: all weights are 0')


def _service(service: _Service) -> FleetService:
    return FleetService(
        name=ServiceName(service.name),
        health_path=service.health_path,
        max_connections=service.max_connections,
        cold_start_s=_parse_duration_s(service.cold_start),
        cold_calls_per_s=service.cold_per_s,
    )


def _organisation(tenant: _Tenant) -> Organisation:
    return Organisation(
        name=OrganisationId(tenant.name),
        keys=frozenset(tenant.api_keys),
        rate_per_s=tenant.rate_per_s,
        burst_calls=tenant.burst,
        priority=tenant.priority,
    )


def _limits(limits: _Limits) -> CallerLimits:
    return CallerLimits(
        head_bytes=limits.max_header_bytes,
        body_bytes=limits.max_body_bytes,
        head_timeout_s=_parse_duration_s(limits.header_timeout),
        idle_timeout_s=_parse_duration_s(limits.idle_timeout),
    )


def _parse_duration_s(text: str) -> float:
    parsed_s = duration_s(text)
    if parsed_s is None:
        raise ValueError(f'invalid duration: {text}')
    return parsed_s
