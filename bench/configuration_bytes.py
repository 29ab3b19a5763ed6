"""Bytes that the relay of the configuration costs a node."""

from dataclasses import dataclass
from functools import partial
from random import Random

from bench.configuration_schedules import (
    KEY,
    ORGANISATION,
    change_record,
    first_record,
)
from bench.relay_fleet import Fleet
from rattanstile.process.configuration.relay import TICK_S
from rattanstile.request.ids import KeyDigest, ServiceName
from rattanstile.version.change import DeclarationChange, OrganisationKey
from rattanstile.version.declaration import (
    Organisation,
    Route,
    Service,
    TargetLimits,
)
from rattanstile.version.records import encode_record

BYTES_FROM_S = 14.0
BYTES_OVER_S = 16.5
BESIDE = 4
CHANGES_A_DAY = 16_000
DAY_S = 86_400


@dataclass(frozen=True, slots=True)
class RelayBytes:
    """Bytes a second that nodes send and receive for the relay."""

    mean: float
    worst: float
    change_bytes: int


def relay_bytes(nodes: int, domains: int) -> RelayBytes:
    """Count the messages of one whole domain and a few nodes of each other.

    Args:
        nodes: Nodes of the whole fleet.
        domains: Failure domains that they are spread over.
    """
    whole = {f'node-{place:05}': 'd0' for place in range(-(-nodes // domains))}
    for domain in range(1, domains):
        for place in range(BESIDE):
            whole[f'far-{domain}-{place}'] = f'd{domain}'
    fleet = Fleet(whole, Random(nodes), TICK_S)
    fleet.counts_bytes = True
    fleet.log.append(first_record())
    fleet.run(BYTES_FROM_S)
    for node in fleet.nodes.values():
        node.bytes_moved = 0
    changes = round(BYTES_OVER_S * CHANGES_A_DAY / DAY_S)
    sizes_bytes = []
    for place in range(changes):
        record = change_record(f'{place:016}', place + 1, _change_of(place))
        sizes_bytes.append(len(encode_record(record)))
        at_s = BYTES_FROM_S + BYTES_OVER_S * (place + 0.5) / changes
        fleet.at(at_s, partial(fleet.log.append, record))
    fleet.run(BYTES_FROM_S + BYTES_OVER_S)
    moved = [
        node.bytes_moved / BYTES_OVER_S
        for node in fleet.nodes.values()
        if node.member.failure_domain == 'd0'
    ]
    return RelayBytes(
        sum(moved) / len(moved), max(moved), sum(sizes_bytes) // changes
    )


def _change_of(place: int) -> DeclarationChange:
    """Return a change of a rate, of a key or of a service, in turn."""
    match place % 3:
        case 0:
            return DeclarationChange(
                organisations=(
                    Organisation(
                        name=ORGANISATION,
                        rate_per_s=100.0 + place,
                        burst_calls=50,
                    ),
                ),
            )
        case 1:
            digest = KeyDigest(f'{place:064x}')
            return DeclarationChange(
                keys_granted=(OrganisationKey(ORGANISATION, digest),),
                keys_withdrawn=(KEY,),
            )
    return DeclarationChange(services=(_service('claim-registry', place),))


def _service(name: str, slots: int) -> Service:
    return Service(
        name=ServiceName(name),
        routes=(
            Route(path='/lots'),
            Route(path='/draws', open_to_all=True),
            Route(
                path='/claims',
                methods=('POST',),
                kind='claim',
                idempotent=False,
            ),
        ),
        limits=TargetLimits(slots=slots + 1),
    )
