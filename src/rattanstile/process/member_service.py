"""Who the members of the fleet are, as the log tells it."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from random import Random
from uuid import uuid4

import logbook

from rattanstile.process.log_client import LogClient
from rattanstile.process.log_reader import (
    LogReader,
    StreamEvent,
    StreamRecords,
)
from rattanstile.process.logs import key_values
from rattanstile.process.reactor import Reactor
from rattanstile.request.envelope import Member
from rattanstile.request.ids import LogOffset, NodeId, RecordId
from rattanstile.version.records import (
    MEMBERS_STREAM,
    JoinRecord,
    LeaveRecord,
    encode_record,
)

_log = logbook.Logger('members')
MembersHandler = Callable[[tuple[Member, ...]], None]


class MemberService:
    """Announces this node and keeps the members that the log names.

    Args:
        own: This node.
        on_change: Takes all members after each change.
    """

    def __init__(
        self,
        own: Member,
        reactor: Reactor,
        log_client: LogClient,
        random: Random,
        on_change: MembersHandler,
    ) -> None:
        """Know this node only."""
        self.members: dict[NodeId, Member] = {own.node_id: own}
        self._own = own
        self._client = log_client
        self._on_change = on_change
        self._reader = LogReader(
            reactor, log_client, MEMBERS_STREAM, random, self._take
        )

    def address_of(self, node_id: NodeId) -> str | None:
        """Return a member's control address, or None when unknown."""
        member = self.members.get(node_id)
        return member.control_address if member else None

    @contextmanager
    def running(self) -> Iterator[None]:
        """Join, and follow the members until the block ends."""
        self._announce(JoinRecord)
        with self._reader.following(LogOffset(0)):
            yield

    def leave(self) -> None:
        """Announce that this node leaves."""
        self._announce(LeaveRecord)

    def _announce(self, kind: type[JoinRecord] | type[LeaveRecord]) -> None:
        record = kind(record_id=RecordId(uuid4().hex), member=self._own)
        self._client.append(MEMBERS_STREAM, encode_record(record))

    def _take(self, event: StreamEvent) -> None:
        if not isinstance(event, StreamRecords):
            return
        before = dict(self.members)
        for record in event.records:
            self._fold(record)
        if before != self.members:
            names = ','.join(sorted(self.members))
            _log.info(key_values('members_changed', members=names))
            self._on_change(tuple(self.members.values()))

    def _fold(self, record: object) -> None:
        match record:
            case JoinRecord(member=member):
                known = self.members.get(member.node_id)
                if known is None or known.incarnation <= member.incarnation:
                    self.members[member.node_id] = member
            case LeaveRecord(member=member):
                known = self.members.get(member.node_id)
                if known and known.incarnation <= member.incarnation:
                    self.members.pop(member.node_id)
