"""Configuration of a fleet whose operators declare routes."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from rattanstile.request.ids import (
    NO_ERA,
    FailureDomainId,
    OrganisationId,
    ServiceName,
    StoreEra,
    TargetVersion,
)


@dataclass(frozen=True, slots=True)
class Share:
    """A service's share of the requests of a route."""

    service: ServiceName
    weight: float


@dataclass(frozen=True, slots=True)
class FleetRoute:
    """How requests for one host and path prefix are handled.

    Attributes:
        shares: One or more services; requests are split by weight.
        idempotent: Whether a request may run more than once.
        timeout_s: Maximum time that a caller waits.
        latency_objective_s: Latency up to which an answer has its full value.
        priority: 0 is the most urgent.
        most_attempts: Maximum number of targets that one request is sent to.
        open_to_all: Whether requests require no key.
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
    """Declared properties of the targets of a service."""

    name: ServiceName
    health_path: str
    max_connections: int
    cold_start_s: float
    cold_calls_per_s: float


@dataclass(frozen=True, slots=True)
class Organisation:
    """An organisation that may call, with its rate and priority.

    Attributes:
        rate_per_s: 0 for no limit.
        priority: Takes precedence over the route's; None to use the route's.
    """

    name: OrganisationId
    keys: frozenset[str]
    rate_per_s: float
    burst_calls: float
    priority: int | None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Size and time limits for callers' requests and connections."""

    head_bytes: int = 16 * 1024
    body_bytes: int = 8 * 1024 * 1024
    head_timeout_s: float = 3
    idle_timeout_s: float = 15


@dataclass(frozen=True, slots=True)
class FleetConfig:
    """One version of the configuration.

    Attributes:
        number: Increases with each version.
        routes: By host and path prefix; each prefix ends with a slash.
        organisations: By key; empty if all keys were withdrawn.
        requires_keys: Whether routes that aren't open to all require a key:
            there are organisations, though none may have a key.
    """

    number: int
    routes: Mapping[str, Mapping[str, FleetRoute]]
    services: Mapping[ServiceName, FleetService]
    organisations: Mapping[str, Organisation]
    limits: CallerLimits
    requires_keys: bool

    @property
    def route_count(self) -> int:
        """Return the number of routes of all hosts."""
        return sum(len(host_routes) for host_routes in self.routes.values())

    @property
    def route_names(self) -> frozenset[str]:
        """Return the names of the routes of all hosts."""
        return frozenset(
            route.name
            for host_routes in self.routes.values()
            for route in host_routes.values()
        )

    def route(self, host: str, path: str) -> FleetRoute | None:
        """Return the route with the longest prefix of the path, if any."""
        host_routes = self.routes.get(host, {})
        end = path.rfind('/')
        while end >= 0:
            found = host_routes.get(path[: end + 1])
            if found is not None:
                return found
            end = path.rfind('/', 0, end)
        return None


@dataclass(frozen=True, slots=True)
class ConfigEntries:
    """A configuration as operators list it, before it is indexed.

    Attributes:
        routes: In the order of the document; of two with the same host and
            prefix, the later one counts.
        organisations: Of two with the same key, the later one counts.
    """

    number: int
    routes: tuple[FleetRoute, ...]
    services: tuple[FleetService, ...]
    organisations: tuple[Organisation, ...]
    limits: CallerLimits

    def config(self) -> FleetConfig:
        """Return the configuration with its entries indexed."""
        routes: dict[str, dict[str, FleetRoute]] = {}
        for route in self.routes:
            routes.setdefault(route.host, {})[route.path_prefix] = route
        return FleetConfig(
            number=self.number,
            routes=routes,
            services={service.name: service for service in self.services},
            organisations={
                key: organisation
                for organisation in self.organisations
                for key in organisation.keys
            },
            limits=self.limits,
            requires_keys=bool(self.organisations),
        )


@dataclass(frozen=True, slots=True)
class RolloutOrder:
    """An order to move a service to another version.

    Attributes:
        version: Version that the service is to move to.
        duration_s: Time within which it is to be decided.
        began_s: Monotonic time of the order, as far as this node knows.
        verdict: Value of the `Verdict` that came with a copy of the order.
    """

    service: ServiceName
    version: TargetVersion
    duration_s: float
    began_s: float = field(default=0.0, compare=False)
    verdict: int = field(default=0, compare=False)


@dataclass(frozen=True, order=True, slots=True)
class LogPosition:
    """Position in the operators' log.

    A store that is restored from a copy assigns offsets again: those of a later
    era are the newer ones.
    """

    era: StoreEra = NO_ERA
    offset: int = 0


@dataclass(frozen=True, slots=True)
class ConfigOrigin:
    """How the configuration in force came to a node, for its log.

    Attributes:
        source: Who sent it; empty before the first configuration.
        in_force_s: Monotonic time at which it came into force; 0 before.
        offset: Offset in the operators' log up to which the source had read.
    """

    source: str = ''
    in_force_s: float = 0
    offset: int = 0


@dataclass(frozen=True, slots=True)
class FleetState:
    """What operators have set, as of one position in their log.

    Attributes:
        offset: Number of log records taken into account.
        config: None before the first configuration.
        document: The configuration as it was published, for relaying.
        evacuated: Failure domains that get no new work.
        origin: How the configuration came here.
        era: Era of the store that the offset belongs to.
        kept: Failure domains of which the log says the opposite since the
            store was restored from a copy.
        orders: Rollouts that operators have ordered, by service.
    """

    offset: int = 0
    config: FleetConfig | None = None
    document: bytes = b''
    evacuated: frozenset[FailureDomainId] = field(default_factory=frozenset)
    origin: ConfigOrigin = field(default_factory=ConfigOrigin, compare=False)
    era: StoreEra = NO_ERA
    kept: frozenset[FailureDomainId] = field(default_factory=frozenset)
    orders: tuple[RolloutOrder, ...] = ()

    @property
    def position(self) -> LogPosition:
        """Return the position up to which the log was taken into account."""
        return LogPosition(self.era, self.offset)

    @property
    def version(self) -> int:
        """Return the number of the configuration; 0 for none."""
        return 0 if self.config is None else self.config.number

    @property
    def is_known(self) -> bool:
        """Return whether anything of the log was taken into account."""
        return self.config is not None or self.offset > 0
