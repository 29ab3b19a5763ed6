"""Starts a node on the reactor, and stops it."""

from collections.abc import Iterator
from contextlib import AbstractContextManager, ExitStack, contextmanager

from rattanstile.connection.caller_http import listening_for_callers
from rattanstile.connection.control_bus import ControlBus, opened_control_bus
from rattanstile.connection.peer import PeerPool, listening_for_peers
from rattanstile.process.configuration.operator_http import (
    listening_for_operators,
)
from rattanstile.process.control_service import ControlService
from rattanstile.process.metrics import opened_metrics
from rattanstile.process.node import Node
from rattanstile.process.node_core import NodeCore, NodeState
from rattanstile.process.reactor import Reactor
from rattanstile.process.settings import NodeSettings, parse_address

VERIFICATION_TIMEOUT_S = 3.0
VERIFICATION_CHECK_PERIOD_S = 0.05


@contextmanager
def running_node(reactor: Reactor, settings: NodeSettings) -> Iterator[Node]:
    """Run a node on the reactor while the block runs."""
    with ExitStack() as stack:
        metrics = stack.enter_context(opened_metrics(settings))
        core = NodeCore(settings, reactor, metrics)
        nodes: list[Node] = []
        control = ControlService(
            core.node_id, lambda node_id: nodes[0].members.address_of(node_id)
        )
        control.bus = stack.enter_context(_opened_bus(core, control))
        core.ports.control = control.bus.address
        pool = PeerPool(
            reactor,
            core.timers,
            core.hello,
            lambda event: nodes[0].router.take(event),
            core.rng,
        )
        address = parse_address(settings.peer_address)
        core.ports.peer = stack.enter_context(
            listening_for_peers(reactor, address.host, address.port, pool)
        )
        node = Node(core, control, pool)
        nodes.append(node)
        _listen_for_operators(stack, node)
        _listen_once_verified(stack, node)
        stack.enter_context(node.running())
        yield node


def _opened_bus(
    core: NodeCore, control: ControlService
) -> AbstractContextManager[ControlBus]:
    address = parse_address(core.settings.control_address)
    return opened_control_bus(
        core.reactor, address.host, address.port, control.receive
    )


def _listen_once_verified(stack: ExitStack, node: Node) -> None:
    """Listen for callers once a version is verified, or after a timeout.

    Until then the target gets no calls either, because its own calls to other
    services arrive on this port.
    """

    timers = node.core.timers
    wait_deadline_s = timers.now_s() + VERIFICATION_TIMEOUT_S

    def listen_or_recheck(now_s: float) -> None:
        if node.configuration.admits_keyed() or now_s > wait_deadline_s:
            _listen_for_callers(stack, node)
        else:
            timers.after(VERIFICATION_CHECK_PERIOD_S, listen_or_recheck)

    listen_or_recheck(timers.now_s())


def _listen_for_callers(stack: ExitStack, node: Node) -> None:
    core = node.core
    callers = parse_address(core.settings.caller_address)
    core.ports.caller = stack.enter_context(
        listening_for_callers(
            core.reactor,
            core.timers,
            callers.host,
            callers.port,
            node.handle_http,
            core.settings.connections.max_callers,
        )
    )
    node.state = NodeState.SERVING
    for callback in node.on_serving:
        callback()


def _listen_for_operators(stack: ExitStack, node: Node) -> None:
    core = node.core
    node.register_gauges()
    core.ports.operator = stack.enter_context(
        listening_for_operators(
            core.reactor,
            parse_address(core.settings.operator_address),
            node.status,
            core.metrics,
        )
    )
