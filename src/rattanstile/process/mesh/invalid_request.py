"""What the log says of a request that the configuration doesn't allow."""

from hashlib import blake2b

from rattanstile.request.exchange import IncomingRequest
from rattanstile.version.fleet_config import FleetState

MS_PER_S = 1000
KEY_DIGEST_BYTES = 4
NO_KEY = 'absent'


def invalid_request_fields(
    state: FleetState, caller_request: IncomingRequest, now_s: float
) -> dict[str, object]:
    """Return the state that decided, without the key itself.

    Args:
        state: The operator state by which the request was refused.
        caller_request: The refused request.
        now_s: Monotonic seconds.
    """
    config = state.config
    if config is None:
        return {}
    organisation = config.organisations.get(caller_request.key or '')
    return {
        'method': caller_request.method,
        'organisation': organisation.name if organisation else '-',
        'key_digest': _key_digest(caller_request.key),
        'version': config.number,
        'version_age_ms': int((now_s - state.origin.in_force_s) * MS_PER_S),
        'source': state.origin.source,
        'offset': state.offset,
        'routes': config.route_count,
        'host_routes': len(config.routes.get(caller_request.host, {})),
        'keys': len(config.organisations),
    }


def _key_digest(key: str | None) -> str:
    """Return a short digest by which equal keys are recognized."""
    if key is None:
        return NO_KEY
    digest = blake2b(key.encode(), digest_size=KEY_DIGEST_BYTES)
    return digest.hexdigest()
