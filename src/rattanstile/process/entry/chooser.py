"""Choice of the node that serves a call.

Power of two choices (Mitzenmacher, 2001) on the product of the load relative
to the limit and the recent latency. Nodes in the own failure domain come first
while they have capacity. A node that starts or returns is assumed to be cold
until it reports its limit.
"""

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random
from typing import Protocol

import logbook

from rattanstile.process.serving.ramp import assumed_limit
from rattanstile.request.envelope import Member, Reply
from rattanstile.request.ids import (
    FailureDomainId,
    NodeId,
    ServiceName,
    TargetId,
)
from rattanstile.request.outcome import Reason
from rattanstile.version.declaration import TargetLimits
from rattanstile.version.in_force import VersionInForce

LATENCY_GAIN = 0.2
LATENCY_FLOOR_S = 0.001
MAX_LOAD_REPORT_AGE_S = 1.0
FULL_LOAD_RATIO = 0.9
LATENCY_HALF_LIFE_S = 5.0
FIRST_BACKOFF_S = 0.5
MAX_BACKOFF_S = 8.0
BACKOFF_REASONS = frozenset(
    (
        Reason.DRAINING,
        Reason.OUT_OF_SERVICE,
        Reason.NO_TARGET,
        Reason.NOT_VERIFIED,
        Reason.TARGET_REFUSED,
    ),
)
"""Refusals unrelated to load: the node would refuse the next call as well."""
NONE_EXCLUDED: frozenset[NodeId] = frozenset()
DEFAULT_LIMITS = TargetLimits(slots=16)

_log = logbook.Logger('chooser')


class UnreachableNodes(Protocol):
    """Nodes that refused connections or timed out."""

    def is_backed_off(self, node_id: NodeId, now_s: float) -> bool:
        """Return whether the node must not be tried yet."""


@dataclass(frozen=True, slots=True)
class NodeChoice:
    """The chosen node and the reasons for the choice, for the log.

    Attributes:
        node_id: The node, or None if no node could serve the call.
        candidates: Number of nodes in service that could be chosen.
        near: Whether only nodes of the own failure domain were compared.
        load: Load of the chosen node relative to its limit, this call
            included.
    """

    service: ServiceName
    node_id: NodeId | None
    candidates: int
    near: bool
    load: float

    def log_line(self) -> str:
        """Return the choice as key=value pairs."""
        return (
            f'event=node_chosen service={self.service}'
            f' node={self.node_id or "-"} candidates={self.candidates}'
            f' near={str(self.near).lower()} load={self.load:.3f}'
        )


@dataclass(slots=True)
class _PeerState:
    """State of one member, as observed by this node's own calls.

    Attributes:
        ramp_start_s: When the member appeared or returned to service.
        outstanding: Attempts of this node without a reply.
        latency_s: Moving average as of `latency_updated_s`.
        reported_in_flight: Calls on the member at `reported_s`.
        reported_limit: Concurrency limit at `reported_s`; 0 if unknown.
        backoff_s: Duration of the latest back-off; 0 after an answer.
    """

    member: Member
    ramp_start_s: float
    outstanding: int = 0
    latency_s: float = 0.0
    reported_in_flight: int = 0
    reported_limit: int = 0
    reported_s: float = float('-inf')
    latency_updated_s: float = 0.0
    backoff_s: float = 0.0
    backoff_until_s: float = float('-inf')
    out_of_service: bool = False

    def back_off(self, now_s: float) -> None:
        self.backoff_s = min(
            MAX_BACKOFF_S, max(FIRST_BACKOFF_S, 2 * self.backoff_s)
        )
        self.backoff_until_s = now_s + self.backoff_s

    def record_answer(self, now_s: float, latency_s: float) -> None:
        self.backoff_s = 0.0
        self.backoff_until_s = now_s
        self.latency_s = self.decayed_latency_s(now_s)
        self.latency_s += LATENCY_GAIN * (latency_s - self.latency_s)
        self.latency_updated_s = now_s

    def decayed_latency_s(self, now_s: float) -> float:
        """Return the latency, decayed so that a slow node is tried again."""
        half_lives = (now_s - self.latency_updated_s) / LATENCY_HALF_LIFE_S
        return self.latency_s * math.exp2(-half_lives)


class Chooser:
    """Chooses serving nodes for the calls of one entry node.

    Args:
        failure_domain: The failure domain of this node.
        in_force: Returns the version in force.
        unreachable: Nodes that are backed off; None to exclude none.
    """

    def __init__(
        self,
        failure_domain: FailureDomainId,
        in_force: Callable[[], VersionInForce],
        unreachable: UnreachableNodes | None = None,
    ) -> None:
        """Start without members."""
        self._failure_domain = failure_domain
        self._in_force = in_force
        self._unreachable = unreachable
        self._peers: dict[NodeId, _PeerState] = {}
        self._by_service: dict[ServiceName, list[_PeerState]] = {}
        self._now_s = 0.0
        self._rng = Random()

    def members_changed(
        self, members: Sequence[Member], now_s: float | None = None
    ) -> None:
        """Replace the members; a new incarnation restarts its load ramp."""
        self._advance(now_s)
        previous_peers = self._peers
        self._peers = {
            member.node_id: self._new_peer(member) for member in members
        }
        self._by_service = {}
        for node_id, peer in self._peers.items():
            previous = previous_peers.get(node_id)
            if previous and previous.member.incarnation == (
                peer.member.incarnation
            ):
                previous.member = peer.member
                self._peers[node_id] = previous
            self._by_service.setdefault(peer.member.service, []).append(
                self._peers[node_id]
            )

    def choose(
        self,
        now_s: float,
        service: ServiceName,
        exclude: frozenset[NodeId] = NONE_EXCLUDED,
        rng: Random | None = None,
    ) -> NodeId | None:
        """Return the node to send a call to, or None if there is none.

        Args:
            now_s: Monotonic seconds.
            service: The service that the caller requests.
            exclude: Nodes to skip, such as those that the call has tried.
            rng: Source of randomness.
        """
        self._advance(now_s)
        usable = [
            peer
            for peer in self._by_service.get(service, ())
            if self._is_usable(peer, exclude, now_s)
        ]
        limits = self._limits(service)
        choice = self._choose_among(usable, limits, service, rng or self._rng)
        _log.info(choice.log_line())
        return choice.node_id

    def sent(self, node: NodeId) -> None:
        """Count an attempt sent to the node."""
        peer = self._peers.get(node)
        if peer:
            peer.outstanding += 1

    def ended(
        self,
        node: NodeId,
        latency_s: float,
        reply: Reply | None,
        now_s: float | None = None,
    ) -> None:
        """Record the end of an attempt.

        Args:
            node: The node that the attempt was sent to.
            latency_s: Seconds from `sent` to the reply.
            reply: None if the attempt ended without one.
            now_s: Monotonic seconds; by default the latest time seen.
        """
        self._advance(now_s)
        peer = self._peers.get(node)
        if peer is None:
            return
        peer.outstanding = max(0, peer.outstanding - 1)
        if reply is None:
            return
        if reply.reason is None:
            peer.record_answer(self._now_s, latency_s)
        elif reply.reason in BACKOFF_REASONS:
            peer.back_off(self._now_s)
        peer.reported_in_flight = reply.in_flight
        peer.reported_limit = reply.limit
        peer.reported_s = self._now_s

    def _advance(self, now_s: float | None) -> None:
        if now_s is not None:
            self._now_s = max(self._now_s, now_s)

    def _new_peer(self, member: Member) -> _PeerState:
        return _PeerState(member, self._now_s)

    def _limits(self, service: ServiceName) -> TargetLimits:
        declared = self._in_force().service(service)
        return declared.limits if declared else DEFAULT_LIMITS

    def _is_usable(
        self, peer: _PeerState, exclude: frozenset[NodeId], now_s: float
    ) -> bool:
        member = peer.member
        is_in_service = self._in_force().is_in_service(
            TargetId(member.node_id), member.failure_domain
        )
        if peer.out_of_service and is_in_service:
            peer.ramp_start_s = now_s
            peer.reported_limit = 0
        peer.out_of_service = not is_in_service
        if not is_in_service or member.node_id in exclude:
            return False
        return self._unreachable is None or not self._unreachable.is_backed_off(
            member.node_id, now_s
        )

    def _choose_among(
        self,
        usable: list[_PeerState],
        limits: TargetLimits,
        service: ServiceName,
        rng: Random,
    ) -> NodeChoice:
        available = [
            peer for peer in usable if self._now_s >= peer.backoff_until_s
        ]
        with_capacity = [
            peer
            for peer in available
            if self._load(peer, limits) <= FULL_LOAD_RATIO
        ]
        near = [
            peer
            for peer in with_capacity
            if peer.member.failure_domain == self._failure_domain
        ]
        pool = near or with_capacity or available or usable
        if not pool:
            return NodeChoice(service, None, 0, near=False, load=0.0)
        sampled = rng.sample(pool, min(2, len(pool)))
        best = min(sampled, key=lambda peer: self._score(peer, limits))
        return NodeChoice(
            service=service,
            node_id=best.member.node_id,
            candidates=len(usable),
            near=bool(near),
            load=self._load(best, limits),
        )

    def _load(self, peer: _PeerState, limits: TargetLimits) -> float:
        """Return calls on the node relative to its limit, with this call."""
        is_fresh = self._now_s - peer.reported_s < MAX_LOAD_REPORT_AGE_S
        reported = peer.reported_in_flight if is_fresh else 0
        calls = max(peer.outstanding, reported) + 1
        return calls / self._limit(peer, limits)

    def _limit(self, peer: _PeerState, limits: TargetLimits) -> int:
        is_fresh = self._now_s - peer.reported_s < MAX_LOAD_REPORT_AGE_S
        if is_fresh and peer.reported_limit:
            return peer.reported_limit
        return assumed_limit(limits, peer.ramp_start_s, self._now_s)

    def _score(self, peer: _PeerState, limits: TargetLimits) -> float:
        latency_s = max(LATENCY_FLOOR_S, peer.decayed_latency_s(self._now_s))
        return self._load(peer, limits) * latency_s
