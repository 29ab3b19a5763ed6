"""The caller library's connections to entry nodes."""

import random
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from typing import Any, Protocol

import logbook
from twisted.internet.interfaces import IReactorTCP
from twisted.internet.protocol import ClientFactory

from rattanstile.connection.frames import DrainNotice, Hello, Message, Role
from rattanstile.connection.link import CHECK_PERIOD_S, LinkOwner, PeerProtocol
from rattanstile.process.key_values import key_values
from rattanstile.process.timers import TimerService

CONNECT_TIMEOUT_S = 1.0
FIRST_BACKOFF_S = 0.1
MAX_BACKOFF_S = 5.0
WANTED_LINKS = 3

_log = logbook.Logger('entry_links')


class EntryLinksOwner(Protocol):
    """What the connections to entry nodes report to."""

    def entry_ready(self) -> None:
        """Learn that another entry node can be used."""

    def entry_received(self, link: PeerProtocol, message: Message) -> None:
        """Take a message."""

    def entry_lost(self, link: PeerProtocol) -> None:
        """Learn that a connection is closed or silent."""


class EntryLinks:
    """Keeps a few connections to entry nodes open.

    Args:
        reactor: Opens the connections.
        timers: Gives the time for checks and back-off.
        addresses: IP number and port of each entry node.
        owner: Told of messages and of connections that come and go.
        chance: Spreads callers over the entry nodes.
    """

    def __init__(
        self,
        reactor: IReactorTCP,
        timers: TimerService,
        addresses: Sequence[str],
        owner: EntryLinksOwner,
        chance: random.Random,
    ) -> None:
        """Begin without connections."""
        self.reactor = reactor
        self.timers = timers
        self.owner = owner
        self.chance = chance
        self._entries = [_Entry(self, address) for address in addresses]
        self._is_closed = False

    @contextmanager
    def running(self) -> Iterator[None]:
        """Keep connections open while the block runs."""
        self.keep_open()
        with self.timers.every(CHECK_PERIOD_S, self._check):
            try:
                yield
            finally:
                self._is_closed = True
                self._close()

    def pick(self, avoided: PeerProtocol | None = None) -> PeerProtocol | None:
        """Return a connection for the next attempt, or None without any.

        Args:
            avoided: The connection of the attempt before; it is taken again
                only when it is the only one.
        """
        ready = [entry.link for entry in self._entries if entry.is_usable]
        others = [link for link in ready if link is not avoided]
        return self.chance.choice(others or ready) if ready else None

    def keep_open(self) -> None:
        """Open connections until enough are open or being opened."""
        if self._is_closed:
            return
        active = sum(entry.is_active for entry in self._entries)
        now_s = self.timers.now_s()
        idle = [entry for entry in self._entries if entry.may_connect(now_s)]
        self.chance.shuffle(idle)
        for entry in idle[: max(WANTED_LINKS - active, 0)]:
            entry.connect()

    def _check(self, now_s: float) -> None:
        for entry in self._entries:
            if entry.link is not None:
                entry.link.check()
        self.keep_open()

    def _close(self) -> None:
        for entry in self._entries:
            if entry.link is not None:
                entry.link.abort()


class _Entry(LinkOwner):
    """One entry node."""

    def __init__(self, links: EntryLinks, address: str) -> None:
        self.link: PeerProtocol | None = None
        self._links = links
        self._address = address
        self._is_connecting = False
        self._is_draining = False
        self._may_connect_at_s = 0.0
        self._backoff_s = FIRST_BACKOFF_S

    @property
    def is_usable(self) -> bool:
        link = self.link
        return (
            link is not None and link.peer is not None and not self._is_draining
        )

    @property
    def is_active(self) -> bool:
        return self._is_connecting or (
            self.link is not None and not self._is_draining
        )

    def may_connect(self, now_s: float) -> bool:
        return (
            not self._is_connecting
            and self.link is None
            and now_s >= self._may_connect_at_s
        )

    def connect(self) -> None:
        self._is_connecting = True
        host, _, port = self._address.rpartition(':')
        self._links.reactor.connectTCP(
            host.strip('[]'), int(port), _EntryFactory(self), CONNECT_TIMEOUT_S
        )

    def connect_failed(self) -> None:
        self._is_connecting = False
        self._back_off()

    def link_opened(self, link: PeerProtocol) -> None:
        self._is_connecting = False
        self._is_draining = False
        self.link = link

    def link_ready(self, link: PeerProtocol, hello: Hello) -> None:
        _log.info(
            key_values('entry_ready', node=hello.node_id, address=self._address)
        )
        self._backoff_s = FIRST_BACKOFF_S
        self._links.owner.entry_ready()

    def link_received(self, link: PeerProtocol, message: Message) -> None:
        if isinstance(message, DrainNotice):
            self._is_draining = True
            self._links.keep_open()
        else:
            self._links.owner.entry_received(link, message)

    def link_heard_epoch(self, link: PeerProtocol, id_epoch: int) -> None:
        """Take no notice: a grant of ids names the epoch."""

    def link_lost(self, link: PeerProtocol) -> None:
        _log.info(key_values('entry_lost', address=self._address))
        self.link = None
        self._back_off()
        self._links.owner.entry_lost(link)
        self._links.keep_open()

    def _back_off(self) -> None:
        wait_s = self._backoff_s * self._links.chance.uniform(0.5, 1)
        self._may_connect_at_s = self._links.timers.now_s() + wait_s
        self._backoff_s = min(self._backoff_s * 2, MAX_BACKOFF_S)


class _EntryFactory(ClientFactory):
    """Builds the end of one connection to an entry node."""

    noisy = False

    def __init__(self, entry: _Entry) -> None:
        self._entry = entry

    def buildProtocol(self, addr: Any) -> PeerProtocol:  # noqa: N802
        return PeerProtocol(self._entry, _hello)

    def clientConnectionFailed(  # noqa: N802
        self, connector: Any, reason: Any
    ) -> None:
        self._entry.connect_failed()


def _hello() -> Hello:
    return Hello(role=Role.CALLER)
