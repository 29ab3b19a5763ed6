"""What the cumulative counts of the domains have grown by.

A delegate that has just taken over reports fewer calls until all of its nodes
have reported to it. Only what exceeds the highest count so far is new.
"""

from collections.abc import Iterable

from rattanstile.connection.peer_messages import RouteCounts
from rattanstile.process.mesh.rollout.version_counts import CountKey
from rattanstile.request.ids import FailureDomainId


class CountIncrements:
    """Highest counts of one order by reporting domain."""

    def __init__(self) -> None:
        """Start without counts."""
        self._highest: dict[tuple[FailureDomainId, CountKey], RouteCounts] = {}

    def added(
        self, reporter: FailureDomainId, reported: Iterable[RouteCounts]
    ) -> tuple[RouteCounts, ...]:
        """Record the counts of a domain and return their growth."""
        growths: list[RouteCounts] = []
        for each in reported:
            key = (reporter, CountKey(each.route, each.domain, each.is_new))
            before = self._highest.get(key)
            if before is None:
                self._highest[key] = each
                growths.append(each)
                continue
            self._highest[key] = _merged(before, each)
            growths.append(growth(before, each))
        return tuple(each for each in growths if each.calls)


def _merged(before: RouteCounts, now: RouteCounts) -> RouteCounts:
    return RouteCounts(
        now.route,
        now.domain,
        now.is_new,
        max(before.calls, now.calls),
        max(before.failed, now.failed),
        tuple(map(max, before.latencies, now.latencies)),
    )


def growth(before: RouteCounts, now: RouteCounts) -> RouteCounts:
    """Return what counts have grown by; no less than nothing."""
    latencies = tuple(
        max(0, count - earlier)
        for earlier, count in zip(before.latencies, now.latencies, strict=False)
    )
    failed = max(0, now.failed - before.failed)
    return RouteCounts(
        now.route,
        now.domain,
        now.is_new,
        sum(latencies) + failed,
        failed,
        latencies,
    )
