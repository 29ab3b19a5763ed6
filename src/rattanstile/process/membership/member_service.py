"""Runs the membership machine: its gossip, its records and what follows."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass

import logbook

from rattanstile.process.configuration.log_client import LogClient
from rattanstile.process.configuration.log_reader import (
    LogReader,
    StreamEvent,
    StreamRecords,
)
from rattanstile.process.control_messages import (
    AppendRecord,
    ControlArrived,
    LogRecordRead,
    SendControl,
)
from rattanstile.process.key_values import key_values
from rattanstile.process.membership.membership import TICK_S, Membership
from rattanstile.process.membership.membership_messages import (
    InterestChanged,
    LeaveBegan,
    MemberLost,
    MembersChanged,
    MembershipInput,
    MembershipMessage,
    MembershipOutput,
    PeerHeard,
)
from rattanstile.process.messages import Ticked
from rattanstile.process.timers import TimerService
from rattanstile.request.envelope import Member
from rattanstile.request.ids import LogOffset, NodeId, ServiceName
from rattanstile.version.records import MEMBERS_STREAM, encode_record

_log = logbook.Logger('member-service')


@dataclass(frozen=True, slots=True)
class MemberPorts:
    """Who learns of the members.

    Attributes:
        changed: Takes word that members of some service changed.
        lost: Takes each incarnation that is not to be waited for.
        send: Takes control messages to other nodes.
    """

    changed: Callable[[], None]
    lost: Callable[[MemberLost], None]
    send: Callable[[SendControl], None]


class MemberService:
    """Performs what the membership machine decides.

    Args:
        machine: Decides; no other part steps it.
        client: Client of the log.
        make_reader: Makes the reader of the stream `members`.
    """

    def __init__(
        self,
        machine: Membership,
        client: LogClient,
        make_reader: Callable[[Callable[[StreamEvent], None]], LogReader],
        timers: TimerService,
        ports: MemberPorts,
    ) -> None:
        """Know this node only."""
        self._machine = machine
        self._client = client
        self._timers = timers
        self._ports = ports
        self._reader = make_reader(self._take)
        self._is_reading = False
        self._next_offset = LogOffset(0)
        self._by_service: dict[ServiceName, tuple[Member, ...]] = {}
        self._interest: frozenset[ServiceName] = frozenset()

    def members(self) -> tuple[Member, ...]:
        """Return the members of all services of interest."""
        return tuple(
            member
            for members in self._by_service.values()
            for member in members
        )

    def live(self) -> tuple[Member, ...]:
        """Return every live member known here."""
        return self._machine.live_members()

    def member(self, node_id: NodeId) -> Member | None:
        """Return what is known of a node, live or not."""
        return self._machine.member(node_id)

    def address_of(self, node_id: NodeId) -> str | None:
        """Return a control address; seeds go by their address."""
        member = self._machine.member(node_id)
        if member is not None:
            return member.control_address
        return node_id if ':' in node_id else None

    def is_followed(self, service: ServiceName) -> bool:
        """Tell whether members of the service are followed here."""
        return service in self._interest

    def follow(self, services: frozenset[ServiceName]) -> None:
        """Follow the members of further services."""
        if not services <= self._interest:
            self._interest |= services
            self._step(InterestChanged(tuple(sorted(self._interest))))

    def receive(self, sender: NodeId, message: MembershipMessage) -> None:
        """Take a message of another node."""
        self._step(ControlArrived(sender, message))

    def heard(self, node_id: NodeId) -> None:
        """Learn that a frame of a node came in."""
        self._step(PeerHeard(node_id))

    def leave(self) -> None:
        """Announce that this node takes no new work."""
        self._step(LeaveBegan())

    @contextmanager
    def running(self) -> Iterator[None]:
        """Give the machine its ticks while the block runs."""
        with self._timers.every(TICK_S, self._tick):
            try:
                yield
            finally:
                self._reader.stop()

    def _tick(self, _: float) -> None:
        self._step(Ticked())
        should_read_log = self._machine.should_read_log()
        if should_read_log and not self._is_reading:
            self._reader.start(self._next_offset)
        elif self._is_reading and not should_read_log:
            self._reader.stop()
        self._is_reading = should_read_log

    def _take(self, event: StreamEvent) -> None:
        if not isinstance(event, StreamRecords):
            return
        self._next_offset = LogOffset(event.first + len(event.records))
        for record in event.records:
            if record is not None:
                self._step(LogRecordRead(MEMBERS_STREAM, record))

    def _step(self, message: MembershipInput) -> None:
        now_s = self._timers.now_s()
        changed = False
        for output in self._machine.step(now_s, message):
            changed |= isinstance(output, MembersChanged)
            self._perform(output)
        if changed:
            self._ports.changed()

    def _perform(self, output: MembershipOutput) -> None:
        match output:
            case MembersChanged(service=service, members=members):
                self._by_service[service] = members
                names = ','.join(sorted(one.node_id for one in members))
                _log.info(
                    key_values(
                        'members_changed', service=service, members=names
                    )
                )
            case MemberLost():
                _log.notice(
                    key_values(
                        'member_lost',
                        node=output.node_id,
                        incarnation=output.incarnation,
                        ended=output.ended,
                    )
                )
                self._ports.lost(output)
            case SendControl():
                self._ports.send(output)
            case AppendRecord():
                self._client.append(
                    output.stream,
                    encode_record(output.record),  # type: ignore[arg-type]
                )
