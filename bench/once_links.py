"""Fakes of the connections between nodes: refused, silent, late, doubled."""

from collections.abc import Callable
from enum import Enum, unique
from functools import partial
from random import Random

from bench.once_log import Loop
from bench.once_node import Node
from rattanstile.process.messages import (
    AttemptUnsent,
    CallArrived,
    HomeReport,
    PeerLost,
    ReplyArrived,
)
from rattanstile.request.envelope import Call, Reply
from rattanstile.request.outcome import Outcome


@unique
class Link(Enum):
    """State of the connection from one node to another."""

    CLOSED = 'closed'
    REFUSING = 'refusing'
    OPEN = 'open'
    SILENT = 'silent'


class Links:
    """The connections from each node to each other one."""

    def __init__(self, rng: Random, loop: Loop) -> None:
        """Start with every connection closed."""
        self.rng = rng
        self.loop = loop
        self.nodes: dict[str, Node] = {}
        self.links: dict[tuple[str, str], Link] = {}
        self.refused_ids: set[str] = set()

    def send(
        self, node: Node, receiver: str, deliver: Callable[[Node], None]
    ) -> None:
        """Carry a message over the connection from a node to another."""
        if receiver == node.node_id:
            deliver(node)
            return
        link = self._connected(node, receiver)
        other = self.nodes[receiver]
        if link is Link.OPEN:
            other.later(self._delay_s(), lambda: deliver(other))
        elif link is Link.SILENT and self.rng.random() < 0.4:
            late_s = self.rng.uniform(0.2, 3.0)
            other.later(late_s, lambda: deliver(other))

    def _connected(self, node: Node, receiver: str) -> Link:
        pair = (node.node_id, receiver)
        link = self.links.get(pair, Link.CLOSED)
        if link is not Link.CLOSED:
            return link
        if not self.nodes[receiver].is_up:
            self.links[pair] = Link.REFUSING
            node.later(0.002, lambda: self._refused(node, receiver))
            return Link.REFUSING
        self.links[pair] = Link.OPEN
        self._greet(node, receiver)
        return Link.OPEN

    def _refused(self, node: Node, receiver: str) -> None:
        self.links[node.node_id, receiver] = Link.CLOSED
        node.step_entry(PeerLost(receiver, connected=False))

    def _greet(self, node: Node, receiver: str) -> None:
        other = self.nodes[receiver]

        def greeted() -> None:
            seen = HomeReport(receiver, other.incarnation, other.table.id_epoch)
            node.later(self._delay_s(), lambda: node.step_entry(seen))

        other.later(self._delay_s(), greeted)

    def ask_home(self, node: Node, receiver: str) -> None:
        """Have a node told of the home that it asks for."""
        if receiver == node.node_id:
            seen = HomeReport(receiver, node.incarnation, node.table.id_epoch)
            node.later(0, lambda: node.step_entry(seen))
        elif self._connected(node, receiver) is Link.OPEN:
            self._greet(node, receiver)

    def send_call(self, node: Node, call: Call, receiver: str) -> None:
        """Carry an attempt to its serving node, or fail to begin to."""
        if self.rng.random() < 0.02:
            unsent = AttemptUnsent(call.call_id, call.attempt)
            node.later(0, lambda: node.step_entry(unsent))
            return
        self.send(
            node,
            receiver,
            lambda other: other.step_serving(CallArrived(call, node.node_id)),
        )

    def send_reply(self, node: Node, reply: Reply, receiver: str) -> None:
        """Carry a reply back; it may be lost, late or doubled."""
        if reply.outcome is Outcome.NOT_RUN:
            self.refused_ids.add(reply.call_id)
        entry = self.nodes[receiver]
        arrived = ReplyArrived(reply, node.node_id)
        if receiver == node.node_id:
            entry.later(0, lambda: entry.step_entry(arrived))
            return
        link = self.links.get((receiver, node.node_id), Link.CLOSED)
        copies = 1 if link is Link.OPEN else 0
        fate = self.rng.random()
        if fate < 0.1:
            copies += 1
        step = partial(entry.step_entry, arrived)
        for copy in range(copies):
            late_s = self.rng.uniform(0.1, 3.0) if copy else self._delay_s()
            entry.later(late_s, step)

    def refuse_beside_open(self) -> None:
        """Refuse a second connection to a node that has an open one."""
        open_links = [
            pair for pair, link in self.links.items() if link is Link.OPEN
        ]
        if open_links:
            sender, receiver = self.rng.choice(open_links)
            self._tell_lost(sender, receiver, connected=False)

    def silence(self) -> None:
        """Silence an open connection; its sender finds out later."""
        open_links = [
            pair for pair, link in self.links.items() if link is Link.OPEN
        ]
        if not open_links:
            return
        sender, receiver = self.rng.choice(open_links)
        self.links[sender, receiver] = Link.SILENT
        entry = self.nodes[sender]

        def found() -> None:
            if self.links.get((sender, receiver)) is Link.SILENT:
                self.links[sender, receiver] = Link.CLOSED
                entry.step_entry(PeerLost(receiver, connected=True))

        entry.later(self.rng.uniform(0.1, 0.8), found)

    def _delay_s(self) -> float:
        return self.rng.choice((0.0005, 0.001, 0.004))

    def cut(self, node_id: str) -> None:
        """Cut the connections of a node that was killed."""
        for (sender, receiver), link in list(self.links.items()):
            if sender == node_id:
                self.links.pop((sender, receiver))
            elif receiver == node_id and link is Link.OPEN:
                self.links[sender, receiver] = Link.CLOSED
                self._tell_lost(sender, receiver, connected=True)

    def _tell_lost(
        self, sender: str, receiver: str, *, connected: bool
    ) -> None:
        lost = PeerLost(receiver, connected=connected)
        node = self.nodes[sender]
        node.later(0.001, lambda: node.step_entry(lost))
