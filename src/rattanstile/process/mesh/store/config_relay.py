"""Relays operator state to nodes that can't read it from the store.

A few nodes of each failure domain read the store (see `store_readers`). Nodes
report the position in the log that they have reached. A node that is behind
another one, and has not caught up within a short delay, requests a copy; so
versions reach the nodes that don't read and those that the store refuses.

After the store was restored from a copy, a node may know more than the log at
its position has: a newer version, or evacuations. Nodes report these as well.
"""

import zlib
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from rattanstile.connection.peer_link import PeerLink
from rattanstile.connection.peer_messages import (
    ConfigNotice,
    ConfigRequest,
    ConfigResponse,
    KeptEvacuation,
    PeerOrder,
)
from rattanstile.connection.peer_pool import PeerPool
from rattanstile.process.mesh.placement.evacuations import Evacuations
from rattanstile.process.mesh.store.freshness import Freshness
from rattanstile.process.mesh.store.operator_state import (
    OperatorState,
    StateCopy,
)
from rattanstile.process.mesh.store.store_readers import StoreReaders
from rattanstile.process.timers import TimerService
from rattanstile.request.ids import NodeId
from rattanstile.version.fleet_config import (
    FleetState,
    LogPosition,
    RolloutOrder,
)

MAX_STORE_READ_LAG_S = 0.4
"""Longest time by which a reader of the store lags behind a change."""
COMPRESSION_LEVEL = 1
"""The fastest level; it still reduces a configuration to a tenth."""
MAX_DOCUMENT_BYTES = 16 * 1024 * 1024
"""Many times a configuration of tens of thousands of routes."""
ANSWER_TIME_S = 0.25
"""Time that an answer of the store may take after its wait."""
MAX_TRANSIT_S = 0.25
"""Time that a report may take to a peer, part of the age that it tells: nodes
that report to each other would else take an old state for a newer one."""
MAX_ANSWER_AGE_S = 1.5
"""Age up to which an answer with records counts as new: no shorter than a wait
of the first reader of a domain, which confirms the state for the others."""
COPY_TIMEOUT_S = 0.5
"""Time to wait for a requested copy before another request is sent; also after
one that can't be unpacked."""
REPLY_PERIOD_S = 0.5
"""Minimum time between reports to a node that lacks what was lost."""
_MS_PER_S = 1000

RelayMessage = ConfigNotice | ConfigRequest | ConfigResponse


@dataclass(frozen=True, slots=True)
class _PeerAhead:
    """A peer that knows what this node doesn't.

    Attributes:
        notice: What the peer last reported.
        since_s: Monotonic time of its first report of being ahead.
    """

    notice: ConfigNotice
    since_s: float


class ConfigRelay:
    """Tracks which nodes are ahead of this one and copies their state.

    Args:
        operator_state: The operator state of this node.
        peers: Connections to the other nodes.
        timers: Source of monotonic time.
        readers: Decides whether this node reads the store itself.
        is_gateway: Returns whether this node connects its failure domain to
            the others, and relays between them.
        rng: Chooses among the nodes that can send a copy.
        freshness: Told when the state of this node is the newest.
    """

    def __init__(
        self,
        operator_state: OperatorState,
        peers: PeerPool,
        timers: TimerService,
        readers: StoreReaders,
        is_gateway: Callable[[], bool],
        rng: Random,
        freshness: Freshness | None = None,
    ) -> None:
        """Initialize with no node ahead."""
        self._operator_state = operator_state
        self._peers = peers
        self._timers = timers
        self._readers = readers
        self._is_gateway = is_gateway
        self._rng = rng
        self._freshness = freshness or Freshness()
        self._can_read = True
        self._read_began_s = 0.0
        self._answered_by_s = 0.0
        self._peers_ahead: dict[NodeId, _PeerAhead] = {}
        self._copy_deadline_s = 0.0
        self._reply_due_s: dict[NodeId, float] = {}
        self._unanswered_id: NodeId | None = None

    def notice(self) -> ConfigNotice:
        """Return what this node has of the operators' state."""
        state = self._operator_state.state
        return ConfigNotice(
            state.offset,
            self.reads,
            state.era,
            state.version,
            tuple(sorted(state.kept)),
            self._confirmed_ms(),
        )

    def broadcast_notice(self) -> None:
        """Report what this node has and whether it reads.

        Only readers and gateways do: the others have their state from them.
        """
        is_gateway = self._is_gateway()
        if self.reads or is_gateway:
            self._peers.broadcast(self.notice(), near_only=not is_gateway)

    def is_reader(self) -> bool:
        """Return whether this node is to read the store itself."""
        return self._readers.is_reader(self._timers.now_s())

    def is_first_reader(self) -> bool:
        """Return whether this node is the first reader of its domain."""
        return self._readers.is_first_reader(self._timers.now_s())

    @property
    def reads(self) -> bool:
        """Return whether this node reads the store and the store answers."""
        return self._can_read and self.is_reader()

    def set_store_readable(self, *, can_read: bool) -> None:
        """Record and report whether this node can read the store."""
        self._can_read = can_read
        self._peers.broadcast(self.notice(), near_only=True)

    def read_begins(self, wait_s: float) -> None:
        """Record that a read of the store begins.

        Its answer may be taken late, after the process was paused. It is no
        newer than the end of the wait that the store is asked for.
        """
        self._read_began_s = self._timers.now_s()
        self._answered_by_s = self._read_began_s + wait_s + ANSWER_TIME_S

    def read_applied(self, *, has_records: bool = False) -> None:
        """Record that the state is the newest as of the read that began.

        A record ends the wait at any time: such an answer may be almost as old
        as the read.
        """
        as_of_s = self._answered_by_s
        if has_records:
            as_of_s = min(as_of_s, self._read_began_s + MAX_ANSWER_AGE_S)
        self._freshness.confirm_by_read(min(self._timers.now_s(), as_of_s))

    def notice_received(self, link: PeerLink, notice: ConfigNotice) -> None:
        """Record what a node has and whether it reads the store."""
        node_id = link.node_id
        self._readers.record_notice(
            self._timers.now_s(), node_id, reads=notice.reads
        )
        self._freshness.version_reported(notice.version)
        if _lacks_what_was_lost(notice, self._operator_state.state):
            self._reply(link)
        if not self._is_ahead(notice):
            self._peers_ahead.pop(node_id, None)
            if notice.era == self._operator_state.state.era:
                self._confirm(notice.confirmed_ms)
            return
        earlier = self._peers_ahead.get(node_id)
        since_s = self._timers.now_s() if earlier is None else earlier.since_s
        self._peers_ahead[node_id] = _PeerAhead(notice, since_s)
        if self._operator_state.state.config is None:
            self._request_copy(self._timers.now_s())

    def check(self, now_s: float) -> None:
        """Report the state when it is due, and request a missing copy."""
        if self._readers.is_heartbeat_due(now_s):
            self.broadcast_notice()
        self._request_copy(now_s)

    def _confirm(self, confirmed_ms: int | None) -> None:
        """Take over when a node had the newest state that this one has too."""
        if confirmed_ms is not None:
            age_s = confirmed_ms / _MS_PER_S
            self._freshness.confirm(self._timers.now_s() - age_s)

    def _confirmed_ms(self) -> int | None:
        age_s = self._freshness.read_age_s(self._timers.now_s())
        if age_s is None:
            return None
        return int((age_s + MAX_TRANSIT_S) * _MS_PER_S)

    def _reply(self, link: PeerLink) -> None:
        now_s = self._timers.now_s()
        if now_s >= self._reply_due_s.get(link.node_id, now_s):
            self._reply_due_s[link.node_id] = now_s + REPLY_PERIOD_S
            link.send(self.notice())

    def _request_copy(self, now_s: float) -> None:
        """Request a copy from a node that has been ahead for long enough."""
        if now_s < self._copy_deadline_s:
            return
        for node_id, ahead in tuple(self._peers_ahead.items()):
            if not self._is_ahead(ahead.notice):
                self._peers_ahead.pop(node_id)
        state = self._operator_state.state
        min_lead_s = 0.0
        if state.config is not None and self.is_reader():
            min_lead_s = MAX_STORE_READ_LAG_S
        links = [
            link
            for node_id, ahead in self._peers_ahead.items()
            if now_s - ahead.since_s >= min_lead_s
            and (link := self._peers.link_to(node_id)) is not None
        ]
        if not links:
            return
        chosen = self._choose_source(links)
        self._peers_ahead.pop(chosen.node_id)
        self._unanswered_id = chosen.node_id
        self._copy_deadline_s = now_s + COPY_TIMEOUT_S
        chosen.send(ConfigRequest(state.offset, state.era, state.version))

    def _choose_source(self, links: list[PeerLink]) -> PeerLink:
        """Return the peer to request a copy from.

        Traffic within a failure domain costs little. A peer that is heard may
        still not be reached: the one that sent no copy is asked last.
        """
        answering = [
            link for link in links if link.node_id != self._unanswered_id
        ]
        near = [
            link
            for link in answering
            if self._readers.is_neighbour(link.node_id)
        ]
        return self._rng.choice(near or answering or links)

    def message(self, link: PeerLink, message: RelayMessage) -> None:
        """Handle a message of another node."""
        match message:
            case ConfigNotice():
                self.notice_received(link, message)
            case ConfigRequest():
                self._send_copy(link, message)
            case ConfigResponse():
                self._copy_received(link, message)

    def _copy_received(self, link: PeerLink, message: ConfigResponse) -> None:
        unpacker = zlib.decompressobj()
        try:
            document = unpacker.decompress(message.packed, MAX_DOCUMENT_BYTES)
        except zlib.error:
            return
        if unpacker.eof:
            self._copy_deadline_s = 0
            position = LogPosition(message.era, message.offset)
            evacuations = self._decode_evacuations(message)
            self._unanswered_id = None
            self._operator_state.apply_copy(
                StateCopy(
                    position,
                    document,
                    evacuations,
                    self._decode_orders(message),
                ),
                f'peer:{link.node_id}',
            )
            if position == self._operator_state.state.position:
                self._confirm(message.confirmed_ms)

    def _decode_evacuations(self, message: ConfigResponse) -> Evacuations:
        now_s = self._timers.now_s()
        kept_until_s = {
            each.domain: now_s + each.left_ms / _MS_PER_S
            for each in message.kept
        }
        in_log = frozenset(message.evacuated) ^ frozenset(kept_until_s)
        return Evacuations(in_log, kept_until_s, frozenset(message.settled))

    def _decode_orders(
        self, message: ConfigResponse
    ) -> tuple[RolloutOrder, ...] | None:
        if message.orders is None:
            return None
        now_s = self._timers.now_s()
        return tuple(
            RolloutOrder(
                each.service,
                each.version,
                each.duration_ms / _MS_PER_S,
                now_s - each.age_ms / _MS_PER_S,
                each.verdict,
            )
            for each in message.orders
        )

    def _send_copy(self, link: PeerLink, request: ConfigRequest) -> None:
        state = self._operator_state.state
        position = LogPosition(request.era, request.offset)
        is_newer = (
            state.position > position
            or state.version > request.version
            or (state.position == position and state.kept)
        )
        if not is_newer:
            return
        now_s = self._timers.now_s()
        evacuations = self._operator_state.evacuations
        kept = tuple(
            KeptEvacuation(domain, max(0, int((until_s - now_s) * _MS_PER_S)))
            for domain, until_s in evacuations.kept_until_s.items()
        )
        link.send(
            ConfigResponse(
                state.offset,
                zlib.compress(state.document, COMPRESSION_LEVEL),
                tuple(state.evacuated),
                state.era,
                kept,
                tuple(evacuations.settled),
                self._confirmed_ms(),
                tuple(
                    _peer_order(
                        now_s, order, self._operator_state.verdict_on(order)
                    )
                    for order in state.orders
                ),
            )
        )

    def _is_ahead(self, notice: ConfigNotice) -> bool:
        """Return whether a node has what this one doesn't."""
        state = self._operator_state.state
        position = LogPosition(notice.era, notice.offset)
        if position > state.position or notice.version > state.version:
            return True
        known = state.kept | self._operator_state.evacuations.settled
        return position == state.position and not known.issuperset(notice.kept)


def _peer_order(now_s: float, order: RolloutOrder, verdict: int) -> PeerOrder:
    return PeerOrder(
        order.service,
        order.version,
        int(order.duration_s * _MS_PER_S),
        max(0, int((now_s - order.began_s) * _MS_PER_S)),
        verdict,
    )


def _lacks_what_was_lost(notice: ConfigNotice, state: FleetState) -> bool:
    """Return whether a node that isn't behind in the log lacks what it lost.

    Nodes that don't read the log report only this without being asked.
    """
    position = LogPosition(notice.era, notice.offset)
    if position < state.position:
        return False
    return notice.version < state.version or (
        position == state.position and not state.kept.issubset(notice.kept)
    )
