"""Runs a node on the reactor, and takes it down again."""

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

VERIFIED_WITHIN_S = 3.0
OPEN_CHECK_S = 0.05


@contextmanager
def running_node(reactor: Reactor, settings: NodeSettings) -> Iterator[Node]:
    """Run a node on the reactor while the block runs."""
    with ExitStack() as stack:
        metrics = stack.enter_context(opened_metrics(settings))
        core = NodeCore(settings, reactor, metrics)
        built: list[Node] = []
        control = ControlService(
            core.node_id, lambda name: built[0].members.address_of(name)
        )
        control.bus = stack.enter_context(_opened_bus(core, control))
        core.ports.control = control.bus.address
        pool = PeerPool(
            reactor,
            core.timers,
            core.hello,
            lambda event: built[0].router.take(event),
            core.rng,
        )
        address = parse_address(settings.peer_address)
        core.ports.peer = stack.enter_context(
            listening_for_peers(reactor, address.host, address.port, pool)
        )
        node = Node(core, control, pool)
        built.append(node)
        _listen_for_operators(stack, node)
        _open_callers_once(stack, node)
        stack.enter_context(node.running())
        yield node


def _opened_bus(
    core: NodeCore, control: ControlService
) -> AbstractContextManager[ControlBus]:
    address = parse_address(core.settings.control_address)
    return opened_control_bus(
        core.reactor, address.host, address.port, control.receive
    )


def _open_callers_once(stack: ExitStack, node: Node) -> None:
    """Listen for callers from the first verified version, or after a while.

    Until then the target gets no calls either: its own calls to further
    services come in here.
    """

    timers = node.core.timers
    until_s = timers.now_s() + VERIFIED_WITHIN_S

    def open_callers(now_s: float) -> None:
        if node.configuration.admits_keyed() or now_s > until_s:
            _listen_for_callers(stack, node)
        else:
            timers.after(OPEN_CHECK_S, open_callers)

    open_callers(timers.now_s())


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
    for listener in node.on_serving:
        listener()


def _listen_for_operators(stack: ExitStack, node: Node) -> None:
    core = node.core
    node.observe()
    core.ports.operator = stack.enter_context(
        listening_for_operators(
            core.reactor,
            parse_address(core.settings.operator_address),
            node.status,
            core.metrics,
        )
    )
