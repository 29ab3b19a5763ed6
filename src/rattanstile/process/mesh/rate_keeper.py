"""Admission by the rate of each organisation, over all nodes together.

Each node holds a part of each organisation's rate, as a fraction that is in
force for whatever rate operators set. One node of those that are connected
collects what is asked where and shares the fractions out anew, in proportion
to demand. A node that hears nothing for a while goes back to an even part.
"""

from dataclasses import dataclass

from rattanstile.request.ids import NodeId, OrganisationId, ServiceName
from rattanstile.version.fleet_config import Organisation

PART_LASTS_S = 4.0
"""How long a part is kept without news."""
DEMAND_WINDOW_S = 1.0
EVEN_SHARE = 0.15
"""Part of each rate that is spread evenly, for demand that just begins."""
RATE_SHARE = 1.03
BURST_SHARE = 1.1
SPARE_CALLS = 12.0
"""A little more than rate and burst is handed out: what is spread over many
nodes is never used up everywhere, and the fleet may admit a tenth more."""
SHORTEST_RETRY_S = 0.2
LONGEST_RETRY_S = 2.0
NODE_FORGOTTEN_S = 20.0


@dataclass(slots=True)
class _Bucket:
    tokens: float
    filled_s: float
    part: float
    part_until_s: float = 0.0
    asked: float = 0.0
    demand_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class RateVerdict:
    """Whether a request is within its organisation's rate here."""

    is_admitted: bool
    tokens: float
    part: float
    retry_after_s: float = 0


class RateKeeper:
    """The parts of all rates that this node holds."""

    def __init__(self) -> None:
        """Begin with even parts of a fleet of one."""
        self._nodes = 1
        self._buckets: dict[OrganisationId, _Bucket] = {}
        self._measured_s = 0.0

    def nodes_known(self, count: int) -> None:
        """Learn how many nodes share each rate."""
        self._nodes = max(1, count)

    def take(self, now_s: float, organisation: Organisation) -> RateVerdict:
        """Admit a request, if the node's part of the rate allows it."""
        if not organisation.rate_per_s:
            return RateVerdict(is_admitted=True, tokens=0, part=1)
        bucket = self._filled(now_s, organisation)
        bucket.asked += 1
        if bucket.tokens >= 1:
            bucket.tokens -= 1
            return RateVerdict(
                is_admitted=True, tokens=bucket.tokens, part=bucket.part
            )
        rate_per_s = max(bucket.part * organisation.rate_per_s, 0.1)
        wait_s = (1 - bucket.tokens) / rate_per_s
        return RateVerdict(
            is_admitted=False,
            tokens=bucket.tokens,
            part=bucket.part,
            retry_after_s=min(
                LONGEST_RETRY_S, max(SHORTEST_RETRY_S, wait_s)
            ),
        )

    def give_back(self, organisation: Organisation) -> None:
        """Return what a request took that has not run."""
        bucket = self._buckets.get(organisation.name)
        if bucket is not None:
            bucket.tokens += 1

    def demand(self, now_s: float) -> dict[OrganisationId, float]:
        """Return the requests a second of each organisation, smoothed."""
        passed_s = now_s - self._measured_s
        self._measured_s = now_s
        if passed_s <= 0:
            return {}
        gain = min(1.0, passed_s / DEMAND_WINDOW_S)
        found: dict[OrganisationId, float] = {}
        for name, bucket in self._buckets.items():
            seen_per_s = bucket.asked / passed_s
            bucket.asked = 0
            bucket.demand_per_s += gain * (seen_per_s - bucket.demand_per_s)
            if bucket.demand_per_s > 0.05:  # noqa: PLR2004
                found[name] = round(bucket.demand_per_s, 2)
        return found

    def shared(
        self, now_s: float, parts: dict[OrganisationId, float]
    ) -> None:
        """Take the parts that this node holds from now on."""
        for name, part in parts.items():
            bucket = self._buckets.get(name)
            if bucket is not None:
                bucket.part = part
                bucket.part_until_s = now_s + PART_LASTS_S

    def _filled(self, now_s: float, organisation: Organisation) -> _Bucket:
        bucket = self._buckets.get(organisation.name)
        if bucket is None:
            bucket = _Bucket(tokens=1, filled_s=now_s, part=1 / self._nodes)
            self._buckets[organisation.name] = bucket
        if now_s > bucket.part_until_s:
            bucket.part = 1 / self._nodes
        passed_s = now_s - bucket.filled_s
        bucket.filled_s = now_s
        rate_per_s = organisation.rate_per_s * RATE_SHARE
        bucket.tokens += passed_s * bucket.part * rate_per_s
        deepest = (
            bucket.part * organisation.burst_calls * BURST_SHARE
            + SPARE_CALLS / self._nodes
        )
        bucket.tokens = min(bucket.tokens, max(1.0, deepest))
        return bucket


@dataclass(slots=True)
class _Report:
    demand_per_s: dict[OrganisationId, float]
    calls_per_s: dict[ServiceName, float]
    told_s: float


class RateSharer:
    """Shares the rates out among the nodes that report to this one."""

    def __init__(self) -> None:
        """Begin without reports."""
        self._reports: dict[NodeId, _Report] = {}

    def reported(
        self,
        now_s: float,
        node_id: NodeId,
        demand_per_s: dict[OrganisationId, float],
        calls_per_s: dict[ServiceName, float],
    ) -> None:
        """Take what a node is asked."""
        self._reports[node_id] = _Report(demand_per_s, calls_per_s, now_s)

    def calls_per_s(self) -> dict[ServiceName, float]:
        """Return what all reports together say of each service."""
        totals: dict[ServiceName, float] = {}
        for report in self._reports.values():
            for name, calls in report.calls_per_s.items():
                totals[name] = round(totals.get(name, 0.0) + calls, 1)
        return totals

    def parts_of(
        self, now_s: float, node_id: NodeId, nodes_known: int
    ) -> dict[OrganisationId, float]:
        """Return the parts of the rates that a node may hand out.

        Nodes that are known and don't report may go on with an even part.
        """
        self._forget(now_s)
        fleet = max(nodes_known, len(self._reports))
        reachable = len(self._reports) / fleet
        own = self._reports[node_id].demand_per_s
        totals: dict[OrganisationId, float] = {}
        for report in self._reports.values():
            for name, demand in report.demand_per_s.items():
                totals[name] = totals.get(name, 0.0) + demand
        return {
            name: round(
                _part(own.get(name, 0.0), total, fleet, reachable), 4
            )
            for name, total in totals.items()
        }

    def _forget(self, now_s: float) -> None:
        for node_id, report in tuple(self._reports.items()):
            if now_s - report.told_s > PART_LASTS_S:
                self._reports.pop(node_id)


def _part(
    demand: float, total: float, fleet: int, reachable: float
) -> float:
    even = EVEN_SHARE / fleet
    by_demand = (1 - EVEN_SHARE) * reachable * demand / total
    return even + by_demand
