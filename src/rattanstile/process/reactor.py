"""The Twisted reactor of a process, on a clock that is never set.

Twisted's reactors read the time of day. When that is set back by some seconds,
no timer fires for as long; when it is set forward, timeouts end calls that
have just begun, and leases expire. The clock that never jumps serves both.
"""

import sys
import time
from typing import cast

from twisted.internet.interfaces import (
    IReactorCore,
    IReactorFDSet,
    IReactorFromThreads,
    IReactorTCP,
    IReactorTime,
)

_MODULE = 'twisted.internet.reactor'


class Reactor(
    IReactorCore, IReactorTCP, IReactorTime, IReactorFDSet, IReactorFromThreads
):
    """Reactor interfaces that the daemons use."""


def installed_reactor() -> Reactor:
    """Return the reactor of this process; install one if needed.

    A reactor that the program has installed before keeps its clock, on which
    timers may be pending.
    """
    is_new = _MODULE not in sys.modules
    from twisted.internet import reactor  # noqa: PLC0415

    if is_new:
        setattr(reactor, 'seconds', time.monotonic)  # noqa: B010
    return cast(Reactor, reactor)
