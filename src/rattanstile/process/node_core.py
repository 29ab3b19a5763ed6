"""State shared by the parts of a node: ids, clock, ports and metrics."""

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
    """Lifecycle state of a node."""

    STARTING = 'starting'
    SERVING = 'serving'
    DRAINING = 'draining'


class NodePorts:
    """Ports and addresses of the node; 0 or empty until it listens."""

    caller = 0
    peer = 0
    operator = 0
    control = ''


class NodeCore:
    """State shared by the parts of a node.

    Args:
        settings: Validated settings.
        metrics: Counters and gauges of the node.
    """

    def __init__(
        self, settings: NodeSettings, reactor: Reactor, metrics: Metrics
    ) -> None:
        """Create the state; the start time in ms is the incarnation."""
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
        """Return the node id with the incarnation of this process."""
        return ProcessId(node_id=self.node_id, incarnation=self.incarnation)

    def member(self) -> Member:
        """Return the membership entry of this node; valid once it listens."""
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
        """Return the first frame that this node sends on each connection."""
        return Hello(
            role=Role.NODE,
            node_id=self.node_id,
            incarnation=self.incarnation,
            id_epoch=self.home_table.id_epoch,
            failure_domain=self.failure_domain,
            service=self.service,
        )
