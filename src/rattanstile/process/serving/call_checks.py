"""Serving node checks of a call against the version in force."""

from dataclasses import dataclass

from rattanstile.request.envelope import Call
from rattanstile.request.ids import (
    FailureDomainId,
    NodeId,
    ServiceName,
    TargetId,
)
from rattanstile.request.outcome import Reason
from rattanstile.version.in_force import VersionInForce


@dataclass(frozen=True, slots=True)
class ServingIdentity:
    """Identity of a serving node, as given in its settings."""

    node_id: NodeId
    target_id: TargetId
    failure_domain: FailureDomainId
    service: ServiceName


def reason_not_to_run(
    call: Call, identity: ServingIdentity, version: VersionInForce
) -> Reason | None:
    """Return why this node must not run a call, or None if it may.

    Args:
        call: The call, not yet dispatched.
        identity: The serving node.
        version: The version in force.
    """
    if version.number == 0:
        return Reason.NOT_VERIFIED
    is_own = call.service == identity.service
    if not is_own or version.service(call.service) is None:
        return Reason.NO_SUCH_SERVICE
    if not version.is_in_service(identity.target_id, identity.failure_domain):
        return Reason.OUT_OF_SERVICE
    if not _key_is_in_force(call, version):
        return Reason.KEY_REFUSED
    return None


def _key_is_in_force(call: Call, version: VersionInForce) -> bool:
    if call.key_digest:
        owner = version.organisation_of(call.key_digest)
        return owner is not None and owner == call.organisation
    route = version.route(call.service, call.method, call.path)
    return route is not None and route.open_to_all
