"""What operators declare: the schema of one version of the configuration."""

import msgspec

from rattanstile.request.ids import (
    FailureDomainId,
    KeyDigest,
    OrganisationId,
    RegionId,
    ServiceName,
    TargetId,
)
from rattanstile.request.priority import RequestKind


class Organisation(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """An organisation that may call.

    Attributes:
        rate_per_s: Calls a second over the whole fleet.
        burst_calls: Calls beyond the rate that may come at once.
        keys: SHA-256 of each key in force, in lower-case hexadecimal.
    """

    name: OrganisationId
    rate_per_s: float
    burst_calls: int
    keys: tuple[KeyDigest, ...] = ()


class Route(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """A set of requests of one service that are treated alike.

    Attributes:
        path: Prefix, of whole segments, of the path behind the service's
            name.
        methods: HTTP methods; empty for all.
        kind: ``background``, ``lookup``, ``claim``, ``payment``, ``booking``.
        open_to_all: Whether a call needs no key.
    """

    path: str = '/'
    methods: tuple[str, ...] = ()
    kind: str = 'lookup'
    idempotent: bool = True
    open_to_all: bool = False

    @property
    def request_kind(self) -> RequestKind:
        """Return the kind as an enum member."""
        return RequestKind[self.kind.upper()]


class TargetLimits(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """What one target of a service bears.

    Attributes:
        slots: Calls at once when warm.
        cold_slots: Calls at once in a cold start.
        cold_start_s: How long a cold start lasts.
    """

    slots: int
    cold_slots: int = 1
    cold_start_s: float = 10.0


class Service(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """A service that targets offer and callers name.

    Attributes:
        timeout_s: Deadline of a call that states none.
    """

    name: ServiceName
    routes: tuple[Route, ...]
    limits: TargetLimits
    timeout_s: float = 5.0


class FailureDomain(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """A failure domain and whether operators have it in service."""

    name: FailureDomainId
    region: RegionId
    in_service: bool = True


class Declaration(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Everything that one version of the configuration says.

    Attributes:
        targets_out: Targets that operators have taken out of service.
        max_nodes: Most nodes the fleet may have; splits the static part of
            each rate.
        max_hops: Most calls that may lie above a call.
        retry_budget: Tries beyond the first that one call tree may spend.
    """

    organisations: tuple[Organisation, ...] = ()
    services: tuple[Service, ...] = ()
    failure_domains: tuple[FailureDomain, ...] = ()
    targets_out: tuple[TargetId, ...] = ()
    max_nodes: int = 64
    max_hops: int = 32
    retry_budget: int = 3
