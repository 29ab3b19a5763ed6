"""Fleets of the two deployments, with the real machines or without."""

from random import Random

from bench.overload_baseline import PassThroughEntry, PassThroughServing
from bench.overload_load import KEY
from bench.overload_model import DOMAINS, Fleet, Node, ServiceShape
from rattanstile.process.entry.chooser import Chooser
from rattanstile.process.entry.entry import EntryIdentity, EntryMachine
from rattanstile.process.entry.shedding import SheddingEntry
from rattanstile.process.membership.unreachable import UnreachableNodes
from rattanstile.process.serving.home_table import HomeTable
from rattanstile.process.serving.limit_controller import (
    DEFAULT_CONTROLLER,
    Controller,
)
from rattanstile.process.serving.limiter import TargetLimiter
from rattanstile.process.serving.serving import ServingIdentity, ServingMachine
from rattanstile.version.declaration import (
    Declaration,
    FailureDomain,
    Organisation,
    Route,
    Service,
    TargetLimits,
)
from rattanstile.version.in_force import VersionInForce

ORGANISATIONS = tuple(f'organisation-{number}' for number in range(8))
LOOKUP = '/look'
TRANSACTION = '/write'
RATE_PER_S = 1000.0

VEDLOTT_CHAIN = (
    ServiceShape('draw', 4, 120, 0.02, child='claims'),
    ServiceShape('claims', 3, 160, 0.02, child='payment'),
    ServiceShape('payment', 3, 15, 0.4),
)
PRAIRIE_CHAIN = (
    ServiceShape('status', 4, 90, 0.02, child='till'),
    ServiceShape('till', 3, 130, 0.02, child='pickup'),
    ServiceShape('pickup', 3, 20, 0.4),
)
VEDLOTT_FAR_S = 0.0005
PRAIRIE_FAR_S = 0.0015


def version_of(shapes: tuple[ServiceShape, ...]) -> VersionInForce:
    """Return the version in force for the shapes of a fleet."""
    declaration = Declaration(
        organisations=tuple(
            Organisation(
                name=name,
                rate_per_s=RATE_PER_S,
                burst_calls=int(RATE_PER_S),
                keys=(KEY.format(name),),
            )
            for name in ORGANISATIONS
        ),
        services=tuple(_service(shape) for shape in shapes),
        failure_domains=tuple(
            FailureDomain(name=f'domain-{index}', region='here')
            for index in range(DOMAINS)
        ),
    )
    return VersionInForce(1, declaration)


def real_fleet(
    shapes: tuple[ServiceShape, ...],
    far_s: float,
    controller: Controller = DEFAULT_CONTROLLER,
) -> Fleet:
    """Return a fleet of the real machines."""
    version = version_of(shapes)

    def machines(node: Node) -> None:
        _set_machines(node, version, controller)

    return Fleet(shapes, version, machines, far_s)


def pass_through_fleet(shapes: tuple[ServiceShape, ...], far_s: float) -> Fleet:
    """Return a fleet of pass-through nodes."""

    def machines(node: Node) -> None:
        node.serving = PassThroughServing()
        node.entry = PassThroughEntry(node)

    return Fleet(shapes, version_of(shapes), machines, far_s, begins_cold=False)


def _service(shape: ServiceShape) -> Service:
    return Service(
        name=shape.name,
        routes=(
            Route(path=LOOKUP, kind='lookup'),
            Route(path=TRANSACTION, kind='payment', idempotent=False),
        ),
        limits=TargetLimits(
            slots=shape.slots,
            cold_slots=shape.cold_slots,
            cold_start_s=shape.cold_start_s,
        ),
    )


def _set_machines(
    node: Node, version: VersionInForce, controller: Controller
) -> None:
    member = node.member
    unreachable = UnreachableNodes()
    rng = Random(member.node_id)
    node.home_table = HomeTable(0.0, member.node_id, member.incarnation)
    limits = version.service(member.service).limits
    node.serving = ServingMachine(
        ServingIdentity(
            member.node_id,
            member.node_id,
            member.failure_domain,
            member.service,
        ),
        lambda: version,
        0.0,
        node.home_table,
        TargetLimiter(limits, 0.0, controller),
    )
    node.chooser = Chooser(member.failure_domain, lambda: version, unreachable)
    entry = EntryMachine(
        EntryIdentity(member.node_id, member.incarnation),
        node.chooser,
        rng,
        unreachable=unreachable,
    )
    entry.adopt(version)
    node.entry = SheddingEntry(entry, lambda: version, rng)
