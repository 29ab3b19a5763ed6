"""What an entry node knows of the homes that it may name in call ids."""

from collections import OrderedDict
from dataclasses import dataclass

from rattanstile.process.messages import HomeSeen
from rattanstile.request.call_id import NO_INCARNATION, ParsedCallId
from rattanstile.request.ids import Incarnation, NodeId

MAX_HOME_REPORT_AGE_S = 45.0
"""An id issued later after a heartbeat could be too old on its arrival."""
MOST_HOMES = 4096


@dataclass(slots=True)
class Home:
    """What a node told of itself last.

    Attributes:
        id_epoch: The home's id epoch when it was heard.
        heard_s: Monotonic time of this node.
        gone_incarnation: This incarnation and older ones never answer again.
    """

    incarnation: Incarnation = NO_INCARNATION
    id_epoch: int = 0
    heard_s: float = float('-inf')
    gone_incarnation: Incarnation = NO_INCARNATION


class Homes:
    """Keeps incarnation and id epoch of the nodes heard last.

    A node that is forgotten is taken for one never heard: calls to it wait
    for their deadline instead of ending at once, and nothing runs twice.

    Args:
        most_homes: Nodes kept at most.
    """

    def __init__(self, most_homes: int = MOST_HOMES) -> None:
        """Start with no node heard."""
        self._most_homes = most_homes
        self._homes: OrderedDict[NodeId, Home] = OrderedDict()

    def home_of(self, node_id: NodeId) -> Home:
        """Return what the node told last; a blank for one never heard."""
        return self._homes.get(node_id, Home())

    def seen(self, now_s: float, seen: HomeSeen) -> bool:
        """Keep what a node tells of itself.

        Returns:
            True when an earlier incarnation of the node is gone by it.
        """
        home = self._taken(seen.node_id)
        if seen.incarnation < home.incarnation:
            return False
        if seen.incarnation <= home.gone_incarnation:
            return False
        is_new = seen.incarnation > home.incarnation
        home.incarnation = seen.incarnation
        home.id_epoch = (
            seen.id_epoch if is_new else max(home.id_epoch, seen.id_epoch)
        )
        home.heard_s = now_s
        home.gone_incarnation = max(
            home.gone_incarnation, Incarnation(seen.incarnation - 1)
        )
        return is_new

    def gone(self, node_id: NodeId, incarnation: Incarnation) -> None:
        """Keep that an incarnation of a node, or an older one, is gone."""
        home = self._taken(node_id)
        home.gone_incarnation = max(home.gone_incarnation, incarnation)
        if home.incarnation <= home.gone_incarnation:
            home.heard_s = float('-inf')

    def is_fresh(self, node_id: NodeId, now_s: float) -> bool:
        """Tell whether an id may be issued for this home without asking."""
        return now_s - self.home_of(node_id).heard_s <= MAX_HOME_REPORT_AGE_S

    def is_gone(self, parsed: ParsedCallId) -> bool:
        """Tell whether the home named in an id never answers again."""
        home = self.home_of(parsed.home)
        return parsed.home_incarnation <= home.gone_incarnation

    def _taken(self, node_id: NodeId) -> Home:
        """Return a node's entry, made if need be, as the latest one."""
        home = self._homes.setdefault(node_id, Home())
        self._homes.move_to_end(node_id)
        if len(self._homes) > self._most_homes:
            self._homes.popitem(last=False)
        return home
