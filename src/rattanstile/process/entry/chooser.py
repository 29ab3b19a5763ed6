"""Choice of the node that serves a call.

Power of two choices (Mitzenmacher, 2001) on the load relative to the limit
and the recent latency; the own failure domain first while it has room; a node
that starts or returns is taken for a cold one until it tells its limit.
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
TOLD_FRESH_S = 1.0
FULL = 0.9
LATENCY_HALF_LIFE_S = 5.0
FIRST_AWAY_S = 0.5
LONGEST_AWAY_S = 8.0
AWAY_REASONS = frozenset(
    (
        Reason.DRAINING,
        Reason.OUT_OF_SERVICE,
        Reason.NO_TARGET,
        Reason.NOT_VERIFIED,
        Reason.TARGET_REFUSED,
    ),
)
"""Refusals that say nothing of load: the node would refuse the next too."""
NONE_EXCLUDED: frozenset[NodeId] = frozenset()
DEFAULT_LIMITS = TargetLimits(slots=16)

_log = logbook.Logger('chooser')


class Unreachable(Protocol):
    """Memory of the nodes that refused connections or timed out."""

    def is_backed_off(self, node_id: NodeId, now_s: float) -> bool:
        """Tell whether the node is not to be tried yet."""


@dataclass(frozen=True, slots=True)
class ChoiceMade:
    """Why a node was chosen; one log line.

    Attributes:
        node_id: The node, or None when none could serve.
        candidates: Nodes in service that could be chosen from.
        near: Whether only the own failure domain was looked at.
        load: Load of the chosen node relative to its limit.
    """

    service: ServiceName
    node_id: NodeId | None
    candidates: int
    near: bool
    load: float

    def line(self) -> str:
        """Return the decision as key=value pairs."""
        return (
            f'event=node_chosen service={self.service}'
            f' node={self.node_id or "-"} candidates={self.candidates}'
            f' near={str(self.near).lower()} load={self.load:.3f}'
        )


@dataclass(slots=True)
class _Peer:
    """What this node knows of one member from its own calls."""

    member: Member
    since_s: float
    outstanding: int = 0
    latency_s: float = 0.0
    told_in_flight: int = 0
    told_limit: int = 0
    told_s: float = float('-inf')
    ended_s: float = 0.0
    away_s: float = 0.0
    away_until_s: float = float('-inf')
    out_of_service: bool = False

    def stay_away(self, now_s: float) -> None:
        self.away_s = min(LONGEST_AWAY_S, max(FIRST_AWAY_S, 2 * self.away_s))
        self.away_until_s = now_s + self.away_s

    def answered(self, now_s: float, latency_s: float) -> None:
        self.away_s = 0.0
        self.away_until_s = now_s
        self.latency_s = self.recent_latency_s(now_s)
        self.latency_s += LATENCY_GAIN * (latency_s - self.latency_s)
        self.ended_s = now_s

    def recent_latency_s(self, now_s: float) -> float:
        """Return the latency, halved over time so that it is tried again."""
        half_lives = (now_s - self.ended_s) / LATENCY_HALF_LIFE_S
        return self.latency_s * math.exp2(-half_lives)


class Chooser:
    """Chooses serving nodes for the calls of one entry node.

    Args:
        failure_domain: Where this node runs.
        in_force: Gives the version in force.
        unreachable: Nodes that are backed off.
    """

    def __init__(
        self,
        failure_domain: FailureDomainId,
        in_force: Callable[[], VersionInForce],
        unreachable: Unreachable | None = None,
    ) -> None:
        """Begin without members."""
        self._failure_domain = failure_domain
        self._in_force = in_force
        self._unreachable = unreachable
        self._peers: dict[NodeId, _Peer] = {}
        self._by_service: dict[ServiceName, list[_Peer]] = {}
        self._now_s = 0.0
        self._rng = Random()

    def members_changed(
        self, members: Sequence[Member], now_s: float | None = None
    ) -> None:
        """Take the list of members; a new incarnation starts its ramp."""
        self._advance(now_s)
        known = self._peers
        self._peers = {one.node_id: self._peer(one) for one in members}
        self._by_service = {}
        for node_id, peer in self._peers.items():
            earlier = known.get(node_id)
            if earlier and earlier.member.incarnation == (
                peer.member.incarnation
            ):
                earlier.member = peer.member
                self._peers[node_id] = earlier
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
        """Return the node to send a call to, or None when there is none.

        Args:
            now_s: Monotonic seconds.
            service: The service that the caller names.
            exclude: Nodes that this call has tried.
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
        _log.info(choice.line())
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
        """Count the end of an attempt.

        Args:
            node: Where it was sent.
            latency_s: Seconds from `sent` to the reply.
            reply: None when the attempt ended without one.
            now_s: Monotonic seconds; the last time known when not given.
        """
        self._advance(now_s)
        peer = self._peers.get(node)
        if peer is None:
            return
        peer.outstanding = max(0, peer.outstanding - 1)
        if reply is None:
            return
        if reply.reason is None:
            peer.answered(self._now_s, latency_s)
        elif reply.reason in AWAY_REASONS:
            peer.stay_away(self._now_s)
        peer.told_in_flight = reply.in_flight
        peer.told_limit = reply.limit
        peer.told_s = self._now_s

    def _advance(self, now_s: float | None) -> None:
        if now_s is not None:
            self._now_s = max(self._now_s, now_s)

    def _peer(self, member: Member) -> _Peer:
        return _Peer(member, self._now_s)

    def _limits(self, service: ServiceName) -> TargetLimits:
        declared = self._in_force().service(service)
        return declared.limits if declared else DEFAULT_LIMITS

    def _is_usable(
        self, peer: _Peer, exclude: frozenset[NodeId], now_s: float
    ) -> bool:
        member = peer.member
        serves = self._in_force().serves(
            TargetId(member.node_id), member.failure_domain
        )
        if peer.out_of_service and serves:
            peer.since_s = now_s
            peer.told_limit = 0
        peer.out_of_service = not serves
        if not serves or member.node_id in exclude:
            return False
        return self._unreachable is None or not self._unreachable.is_backed_off(
            member.node_id, now_s
        )

    def _choose_among(
        self,
        usable: list[_Peer],
        limits: TargetLimits,
        service: ServiceName,
        rng: Random,
    ) -> ChoiceMade:
        willing = [peer for peer in usable if self._now_s >= peer.away_until_s]
        roomy = [peer for peer in willing if self._load(peer, limits) <= FULL]
        near = [
            peer
            for peer in roomy
            if peer.member.failure_domain == self._failure_domain
        ]
        pool = near or roomy or willing or usable
        if not pool:
            return ChoiceMade(service, None, 0, near=False, load=0.0)
        drawn = rng.sample(pool, min(2, len(pool)))
        best = min(drawn, key=lambda peer: self._score(peer, limits))
        return ChoiceMade(
            service=service,
            node_id=best.member.node_id,
            candidates=len(usable),
            near=bool(near),
            load=self._load(best, limits),
        )

    def _load(self, peer: _Peer, limits: TargetLimits) -> float:
        """Return calls on the node over its limit, this call included."""
        is_fresh = self._now_s - peer.told_s < TOLD_FRESH_S
        told = peer.told_in_flight if is_fresh else 0
        calls = max(peer.outstanding, told) + 1
        return calls / self._limit(peer, limits)

    def _limit(self, peer: _Peer, limits: TargetLimits) -> int:
        is_fresh = self._now_s - peer.told_s < TOLD_FRESH_S
        if is_fresh and peer.told_limit:
            return peer.told_limit
        return assumed_limit(limits, peer.since_s, self._now_s)

    def _score(self, peer: _Peer, limits: TargetLimits) -> float:
        latency_s = max(LATENCY_FLOOR_S, peer.recent_latency_s(self._now_s))
        return self._load(peer, limits) * latency_s
