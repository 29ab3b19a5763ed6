"""What the log says of a request that the configuration doesn't allow."""

from hashlib import blake2b

from rattanstile.process.mesh.context import NodeContext
from rattanstile.request.exchange import IncomingRequest

MS_PER_S = 1000
KEY_DIGEST_BYTES = 4
NO_KEY = 'absent'


def invalid_request_fields(
    context: NodeContext, caller_request: IncomingRequest, now_s: float
) -> dict[str, object]:
    """Return the state that decided, without the key itself.

    Args:
        context: The node whose operator state refused the request.
        caller_request: The refused request.
        now_s: Monotonic seconds.
    """
    state = context.state()
    config = state.config
    if config is None:
        return {}
    organisation = config.organisations.get(caller_request.key or '')
    return {
        'method': caller_request.method,
        'organisation': organisation.name if organisation else '-',
        'key_digest': _key_digest(caller_request.key),
        'version': config.number,
        'newest_version': max(config.number, context.freshness.newest_version),
        'version_age_ms': int((now_s - state.origin.in_force_s) * MS_PER_S),
        'confirmed_age_ms': _age_ms(context.freshness.age_s(now_s)),
        'source': state.origin.source,
        'offset': state.offset,
        'routes': config.route_count,
        'host_routes': len(config.routes.get(caller_request.host, {})),
        'keys': len(config.organisations),
    }


def _age_ms(age_s: float | None) -> int | str:
    return '-' if age_s is None else int(age_s * MS_PER_S)


def _key_digest(key: str | None) -> str:
    """Return a short digest by which equal keys are recognized."""
    if key is None:
        return NO_KEY
    digest = blake2b(key.encode(), digest_size=KEY_DIGEST_BYTES)
    return digest.hexdigest()
