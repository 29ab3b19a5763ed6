"""Incarnations and id epochs of the homes that call ids may name."""

from collections import OrderedDict
from dataclasses import dataclass

from rattanstile.process.messages import HomeReport
from rattanstile.request.call_id import NO_INCARNATION, ParsedCallId
from rattanstile.request.ids import Incarnation, NodeId

MAX_HOME_REPORT_AGE_S = 45.0
"""A call id issued on an older report could be expired on arrival."""
MAX_HOMES = 4096


@dataclass(slots=True)
class Home:
    """The latest state that a node reported.

    Attributes:
        id_epoch: The node's id epoch at the time of the report.
        reported_s: When the report arrived, in monotonic seconds of this
            node; minus infinity without a valid report.
        gone_incarnation: This incarnation and older ones never answer again.
    """

    incarnation: Incarnation = NO_INCARNATION
    id_epoch: int = 0
    reported_s: float = float('-inf')
    gone_incarnation: Incarnation = NO_INCARNATION


class Homes:
    """Keeps the incarnation and id epoch of the latest nodes reported.

    A node that was evicted is treated as one that never reported: calls to it
    wait for their deadline instead of ending at once, and no call runs twice.

    Args:
        max_homes: Maximum number of nodes kept.
    """

    def __init__(self, max_homes: int = MAX_HOMES) -> None:
        """Start without a report from any node."""
        self._max_homes = max_homes
        self._homes: OrderedDict[NodeId, Home] = OrderedDict()

    def home_of(self, node_id: NodeId) -> Home:
        """Return the latest state of a node, empty if it never reported."""
        return self._homes.get(node_id, Home())

    def seen(self, now_s: float, report: HomeReport) -> bool:
        """Record the state that a node reports.

        Returns:
            True if the report is the first of a later incarnation, so that
            earlier incarnations of the node are gone.
        """
        home = self._touch(report.node_id)
        if report.incarnation < home.incarnation:
            return False
        if report.incarnation <= home.gone_incarnation:
            return False
        is_new = report.incarnation > home.incarnation
        home.incarnation = report.incarnation
        home.id_epoch = (
            report.id_epoch if is_new else max(home.id_epoch, report.id_epoch)
        )
        home.reported_s = now_s
        home.gone_incarnation = max(
            home.gone_incarnation, Incarnation(report.incarnation - 1)
        )
        return is_new

    def gone(self, node_id: NodeId, incarnation: Incarnation) -> None:
        """Record that an incarnation of a node, and older ones, are gone."""
        home = self._touch(node_id)
        home.gone_incarnation = max(home.gone_incarnation, incarnation)
        if home.incarnation <= home.gone_incarnation:
            home.reported_s = float('-inf')

    def is_fresh(self, node_id: NodeId, now_s: float) -> bool:
        """Return whether a call id may name this home without a new query."""
        return now_s - self.home_of(node_id).reported_s <= MAX_HOME_REPORT_AGE_S

    def is_gone(self, parsed: ParsedCallId) -> bool:
        """Return whether the home named in a call id never answers again."""
        home = self.home_of(parsed.home)
        return parsed.home_incarnation <= home.gone_incarnation

    def _touch(self, node_id: NodeId) -> Home:
        """Return a node's entry, created if missing, marked as the newest."""
        home = self._homes.setdefault(node_id, Home())
        self._homes.move_to_end(node_id)
        if len(self._homes) > self._max_homes:
            self._homes.popitem(last=False)
        return home
