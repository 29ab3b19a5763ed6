"""The Twisted reactor with the interfaces that this package uses."""

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
    """What daemons need of a reactor."""


def installed_reactor() -> Reactor:
    """Return the reactor of this process, installing the default one."""
    from twisted.internet import reactor  # noqa: PLC0415

    return cast(Reactor, reactor)
