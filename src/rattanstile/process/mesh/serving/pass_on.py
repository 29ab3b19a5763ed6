"""Whether a full target passes a call on to another one of its service.

Handles calls that were sent to a target by an old load report and find it
full while others are idle. Such a call is refused once, as not run, before it
waits; its entry node sends it to another target, where it may wait.
"""

from collections.abc import Iterable

from rattanstile.process.mesh.placement.placement import Candidate
from rattanstile.process.mesh.serving.target_gate import TargetQueue
from rattanstile.request.exchange import ServedCall
from rattanstile.request.ids import FailureDomainId

MAX_ROOM_SHARE = 0.8
"""Share of its limit up to which another target is expected to have room when
the call arrives, as its report is old too."""
MAX_FAILING_PERCENT = 15
"""A target that fails its calls looks idle."""


def passes_on(
    call: ServedCall,
    queue: TargetQueue,
    siblings: Iterable[Candidate],
    domain: FailureDomainId,
) -> bool:
    """Return whether another target should take a call.

    Args:
        call: The call that has arrived.
        queue: Queue of the local target, which isn't cold.
        siblings: The known other targets of the service.
        domain: Failure domain of this node; calls aren't passed on to others.
    """
    if call.moves or queue.in_flight + queue.waiting < queue.limit:
        return False
    return any(_has_room(each, domain) for each in siblings)


def _has_room(sibling: Candidate, domain: FailureDomainId) -> bool:
    load = sibling.load
    return (
        sibling.domain == domain
        and load.is_usable
        and not sibling.is_unresponsive
        and not load.cold_ms
        and load.failing_percent <= MAX_FAILING_PERCENT
        and sibling.used_share() < MAX_ROOM_SHARE
    )
