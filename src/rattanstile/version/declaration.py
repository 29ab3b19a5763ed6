"""Schema of the configuration that operators declare."""

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
    """An organisation that may send calls.

    Attributes:
        rate_per_s: Calls per second across the whole fleet.
        burst_calls: Calls beyond the rate that may arrive at once.
        keys: SHA-256 of each valid key, in lower-case hexadecimal.
    """

    name: OrganisationId
    rate_per_s: float
    burst_calls: int
    keys: tuple[KeyDigest, ...] = ()


class Route(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Requests to one service that are handled alike.

    Attributes:
        path: Prefix of whole segments, matched against the path that follows
            the service's name.
        methods: HTTP methods; empty for all.
        kind: ``background``, ``lookup``, ``claim``, ``payment`` or
            ``booking``.
        open_to_all: Whether calls require no key.
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
    """Concurrency limits of one target of a service.

    Attributes:
        slots: Concurrent calls when warm.
        cold_slots: Concurrent calls in a cold start.
        cold_start_s: Duration of a cold start.
    """

    slots: int
    cold_slots: int = 1
    cold_start_s: float = 10.0


class Service(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """A service that targets provide and callers address by name.

    Attributes:
        timeout_s: Time allowed to a call that states no deadline.
    """

    name: ServiceName
    routes: tuple[Route, ...]
    limits: TargetLimits
    timeout_s: float = 5.0


class FailureDomain(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """A failure domain, and whether operators have put it in service."""

    name: FailureDomainId
    region: RegionId
    in_service: bool = True


class Declaration(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """The whole content of one version of the configuration.

    Attributes:
        targets_out: Targets that operators have taken out of service.
        max_nodes: Maximum number of nodes in the fleet; determines how the
            static part of each rate is split.
        max_hops: Maximum number of calls above a call in its call tree.
        retry_budget: Attempts beyond the first that one call tree may use.
    """

    organisations: tuple[Organisation, ...] = ()
    services: tuple[Service, ...] = ()
    failure_domains: tuple[FailureDomain, ...] = ()
    targets_out: tuple[TargetId, ...] = ()
    max_nodes: int = 64
    max_hops: int = 32
    retry_budget: int = 3
