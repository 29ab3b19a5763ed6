"""The configuration in force of a fleet whose operators name routes."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from rattanstile.request.ids import (
    FailureDomainId,
    OrganisationId,
    ServiceName,
)


@dataclass(frozen=True, slots=True)
class Share:
    """A service's part of the requests of a route."""

    service: ServiceName
    weight: float


@dataclass(frozen=True, slots=True)
class FleetRoute:
    """How requests for one host and path prefix are handled.

    Attributes:
        shares: One, or several between which requests are split by weight.
        idempotent: Whether a request may run more than once.
        timeout_s: Longest time that a caller is kept waiting.
        latency_objective_s: Time within which an answer has its full worth.
        priority: 0 is the most urgent.
        most_attempts: Targets that one request may be sent to.
        open_to_all: Whether no key is needed.
    """

    name: str
    host: str
    path_prefix: str
    shares: tuple[Share, ...]
    idempotent: bool
    timeout_s: float
    latency_objective_s: float
    priority: int
    most_attempts: int
    open_to_all: bool


@dataclass(frozen=True, slots=True)
class FleetService:
    """What is declared of the targets of a service."""

    name: ServiceName
    health_path: str
    max_connections: int
    cold_start_s: float
    cold_calls_per_s: float


@dataclass(frozen=True, slots=True)
class Organisation:
    """Who may call, how often, and how urgent its requests are.

    Attributes:
        rate_per_s: 0 for no limit.
        priority: Goes before the route's; None for the route's own.
    """

    name: OrganisationId
    keys: frozenset[str]
    rate_per_s: float
    burst_calls: float
    priority: int | None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What callers may send, and how long they may take."""

    head_bytes: int = 16 * 1024
    body_bytes: int = 8 * 1024 * 1024
    head_timeout_s: float = 3
    idle_timeout_s: float = 15


@dataclass(frozen=True, slots=True)
class FleetConfig:
    """One version of the configuration.

    Attributes:
        number: Larger in each later version.
        routes: By host and path prefix; each prefix ends with a slash.
        organisations: By key.
    """

    number: int
    routes: Mapping[str, Mapping[str, FleetRoute]]
    services: Mapping[ServiceName, FleetService]
    organisations: Mapping[str, Organisation]
    limits: CallerLimits

    @property
    def needs_keys(self) -> bool:
        """Tell whether routes that aren't open need a key."""
        return bool(self.organisations)

    def route(self, host: str, path: str) -> FleetRoute | None:
        """Return the route with the longest prefix of the path, if any."""
        of_host = self.routes.get(host, {})
        end = path.rfind('/')
        while end >= 0:
            found = of_host.get(path[: end + 1])
            if found is not None:
                return found
            end = path.rfind('/', 0, end)
        return None


@dataclass(frozen=True, slots=True)
class FleetState:
    """All that operators state, as of one place in their log.

    Attributes:
        offset: Records of the log that are taken into account.
        config: None before the first one.
        document: The configuration as it was published, for relaying.
        evacuated: Failure domains that are to get no new work.
    """

    offset: int = 0
    config: FleetConfig | None = None
    document: bytes = b''
    evacuated: frozenset[FailureDomainId] = field(default_factory=frozenset)
