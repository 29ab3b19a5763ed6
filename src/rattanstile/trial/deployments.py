"""The deployments of the two users that trials start."""

import msgspec

from rattanstile.request.ids import (
    FailureDomainId,
    OrganisationId,
    RegionId,
    ServiceName,
)
from rattanstile.standin.child_calls import ChildCall
from rattanstile.standin.target import TargetProfile
from rattanstile.version.declaration import (
    Declaration,
    FailureDomain,
    Organisation,
    Route,
    Service,
    TargetLimits,
)


class ServicePlan(msgspec.Struct, frozen=True, kw_only=True):
    """A service of a deployment.

    Attributes:
        workers: Number of targets; each has its own node.
        slots: Concurrent calls on one target.
        connections: Limit on connections at a node, separately from
            callers and to its target.
        service_time_ms: Mean service time of a call on its target.
        write_kind: Kind of the route for calls that are not idempotent.
        share: Fraction of the deployment's root calls to this service.
        write_share: Fraction of these calls that are not idempotent.
        children: Calls that a target makes for each call that it runs.
    """

    name: str
    workers: int
    slots: int
    connections: int
    service_time_ms: float
    write_kind: str
    share: float
    write_share: float
    children: tuple[ChildCall, ...] = ()

    @property
    def capacity_per_s(self) -> float:
        """Return the combined capacity of all targets, in calls per second."""
        return self.workers * self.slots * 1000 / self.service_time_ms


class Deployment(msgspec.Struct, frozen=True, kw_only=True):
    """The deployment of one user.

    Attributes:
        domains: Number of failure domains.
        client_delay_ms: One-way delay between clients and nodes.
        calls_per_s: Rate of root calls in the steady state.
    """

    name: str
    region: str
    domains: int
    client_delay_ms: float
    calls_per_s: float
    services: tuple[ServicePlan, ...]
    organisations: tuple[str, ...]

    def domain(self, index: int) -> FailureDomainId:
        """Return the failure domain of the worker with this index."""
        number = index % self.domains + 1
        return FailureDomainId(f'{self.region}-{number}')


VEDLOTT = Deployment(
    name='vedlott',
    region='no-east',
    domains=3,
    client_delay_ms=3.0,
    calls_per_s=120.0,
    organisations=(
        'ostlandet',
        'hedmark',
        'telemark',
        'gjovik',
        'toten',
        'elverum',
        'kongsberg',
        'rena',
    ),
    services=(
        ServicePlan(
            name='draw-results',
            workers=4,
            slots=120,
            connections=850,
            service_time_ms=60,
            write_kind='claim',
            share=0.4,
            write_share=0.0,
            children=(ChildCall(service='map-quotas'),),
        ),
        ServicePlan(
            name='map-quotas',
            workers=4,
            slots=120,
            connections=850,
            service_time_ms=400,
            write_kind='claim',
            share=0.3,
            write_share=0.0,
        ),
        ServicePlan(
            name='claim-registry',
            workers=3,
            slots=160,
            connections=1100,
            service_time_ms=50,
            write_kind='claim',
            share=0.2,
            write_share=0.5,
            children=(ChildCall(service='map-quotas', path='/quota'),),
        ),
        ServicePlan(
            name='stumpage-payment',
            workers=3,
            slots=15,
            connections=200,
            service_time_ms=200,
            write_kind='payment',
            share=0.1,
            write_share=0.8,
        ),
    ),
)

PRAIRIE_CUCKOO = Deployment(
    name='prairie-cuckoo',
    region='prairie',
    domains=3,
    client_delay_ms=8.0,
    calls_per_s=120.0,
    organisations=(
        'shop-bench',
        'road-bench',
        'front-desk',
        'parts-room',
        'regina',
        'moose-jaw',
        'swift-current',
        'weyburn',
    ),
    services=(
        ServicePlan(
            name='repair-status',
            workers=4,
            slots=90,
            connections=650,
            service_time_ms=50,
            write_kind='claim',
            share=0.4,
            write_share=0.0,
            children=(ChildCall(service='parts-catalogue'),),
        ),
        ServicePlan(
            name='parts-catalogue',
            workers=4,
            slots=90,
            connections=650,
            service_time_ms=300,
            write_kind='claim',
            share=0.3,
            write_share=0.1,
        ),
        ServicePlan(
            name='till',
            workers=3,
            slots=130,
            connections=850,
            service_time_ms=80,
            write_kind='payment',
            share=0.2,
            write_share=0.8,
        ),
        ServicePlan(
            name='pickup-scheduling',
            workers=3,
            slots=20,
            connections=230,
            service_time_ms=150,
            write_kind='booking',
            share=0.1,
            write_share=0.6,
            children=(ChildCall(service='repair-status'),),
        ),
    ),
)

DEPLOYMENTS = {
    deployment.name: deployment for deployment in (VEDLOTT, PRAIRIE_CUCKOO)
}
LARGE_ORGANISATION_COUNT = 2
LARGE_ORGANISATION_WEIGHT = 4
RATE_HEADROOM_FACTOR = 6.0
COLD_SLOTS_DIVISOR = 8
COLD_START_S = 5.0
CALL_TIMEOUT_S = 3.0
READ_PATH = '/'
WRITE_PATH = '/write'


def organisation_weights(deployment: Deployment) -> tuple[float, ...]:
    """Return the fraction of the calls that each organisation makes.

    The first `LARGE_ORGANISATION_COUNT` organisations are large.
    """
    weights = [
        LARGE_ORGANISATION_WEIGHT if index < LARGE_ORGANISATION_COUNT else 1
        for index in range(len(deployment.organisations))
    ]
    return tuple(weight / sum(weights) for weight in weights)


def organisation_rate_per_s(deployment: Deployment, index: int) -> float:
    """Return the declared rate of an organisation, in calls per second."""
    share = organisation_weights(deployment)[index]
    return share * deployment.calls_per_s * RATE_HEADROOM_FACTOR


def profile_of(plan: ServicePlan, index: int) -> TargetProfile:
    """Return the stand-in target's profile for a worker of a service."""
    return TargetProfile(
        name=f'{plan.name}-{index}',
        slots=plan.slots,
        service_time_ms=plan.service_time_ms,
        cold_slots=max(1, plan.slots // COLD_SLOTS_DIVISOR),
        cold_start_s=COLD_START_S,
        children=plan.children,
        seed=index + 1,
    )


def declaration_of(deployment: Deployment, keys: dict[str, str]) -> Declaration:
    """Return the declaration of a deployment.

    Args:
        keys: SHA-256 digest of the API key of each organisation.
    """
    organisations = tuple(
        Organisation(
            name=OrganisationId(name),
            rate_per_s=organisation_rate_per_s(deployment, index),
            burst_calls=int(organisation_rate_per_s(deployment, index)),
            keys=(keys[name],),  # type: ignore[arg-type]
        )
        for index, name in enumerate(deployment.organisations)
    )
    return Declaration(
        organisations=organisations,
        services=tuple(_service(plan) for plan in deployment.services),
        failure_domains=tuple(
            FailureDomain(
                name=deployment.domain(index),
                region=RegionId(deployment.region),
            )
            for index in range(deployment.domains)
        ),
        max_nodes=sum(plan.workers for plan in deployment.services) + 2,
    )


def _service(plan: ServicePlan) -> Service:
    return Service(
        name=ServiceName(plan.name),
        routes=(
            Route(path=READ_PATH, kind='lookup', idempotent=True),
            Route(path=WRITE_PATH, kind=plan.write_kind, idempotent=False),
        ),
        limits=TargetLimits(
            slots=plan.slots,
            cold_slots=max(1, plan.slots // COLD_SLOTS_DIVISOR),
            cold_start_s=COLD_START_S,
        ),
        timeout_s=CALL_TIMEOUT_S,
    )
