"""Type of the Twisted reactor, with the interfaces that are used here."""

from typing import cast

from twisted.internet.interfaces import (
    IReactorCore,
    IReactorFDSet,
    IReactorFromThreads,
    IReactorTCP,
    IReactorTime,
)


class Reactor(
    IReactorCore, IReactorTCP, IReactorTime, IReactorFDSet, IReactorFromThreads
):
    """Reactor interfaces that the daemons use."""


def installed_reactor() -> Reactor:
    """Return the reactor of this process; install the default if needed."""
    from twisted.internet import reactor  # noqa: PLC0415

    return cast(Reactor, reactor)
