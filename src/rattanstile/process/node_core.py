"""What the parts of one node share: its names, clock, ports and metrics."""

import time
from enum import Enum, unique
from random import Random, SystemRandom

from rattanstile.connection.frames import Hello, Role
from rattanstile.process.configuration.log_client import LogClient
from rattanstile.process.metrics import Metrics
from rattanstile.process.rates.rate_messages import ProcessId
from rattanstile.process.reactor import Reactor
from rattanstile.process.serving.home_table import HomeTable
from rattanstile.process.settings import NodeSettings, parse_address
from rattanstile.process.timers import TimerService
from rattanstile.request.envelope import Member
from rattanstile.request.ids import (
    FailureDomainId,
    Incarnation,
    NodeId,
    ServiceName,
)

MS_PER_S = 1000


@unique
class NodeState(Enum):
    """Where a node is in its life."""

    STARTING = 'starting'
    SERVING = 'serving'
    DRAINING = 'draining'


class NodePorts:
    """Ports and addresses that the node listens on, once it does."""

    caller = 0
    peer = 0
    operator = 0
    control = ''


class NodeCore:
    """What the parts of a node share.

    Args:
        settings: Validated settings.
        metrics: Where the parts count.
    """

    def __init__(
        self, settings: NodeSettings, reactor: Reactor, metrics: Metrics
    ) -> None:
        """Name this run of the node."""
        self.settings = settings
        self.reactor = reactor
        self.metrics = metrics
        self.timers = TimerService(reactor)
        self.incarnation = Incarnation(int(time.time() * MS_PER_S))
        self.node_id = NodeId(settings.node_id)
        self.service = ServiceName(settings.service)
        self.failure_domain = FailureDomainId(settings.failure_domain)
        self.rng = Random(SystemRandom().getrandbits(64))
        self.log_client = LogClient(reactor, settings.log_address)
        self.ports = NodePorts()
        self.home_table = HomeTable(
            self.timers.now_s(), self.node_id, self.incarnation
        )

    @property
    def process_id(self) -> ProcessId:
        """Return the id of this run of the node."""
        return ProcessId(node_id=self.node_id, incarnation=self.incarnation)

    def member(self) -> Member:
        """Return this node as the others know it, once it listens."""
        peer_host = parse_address(self.settings.peer_address).host
        return Member(
            node_id=self.node_id,
            incarnation=self.incarnation,
            service=self.service,
            failure_domain=self.failure_domain,
            address=f'{peer_host}:{self.ports.peer}',
            control_address=self.ports.control,
        )

    def hello(self) -> Hello:
        """Return what this node says first on each connection."""
        return Hello(
            role=Role.NODE,
            node_id=self.node_id,
            incarnation=self.incarnation,
            id_epoch=self.home_table.id_epoch,
            failure_domain=self.failure_domain,
            service=self.service,
        )
