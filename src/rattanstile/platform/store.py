"""Client of the platform's store: a log of records, and the newest by key."""

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from operator import attrgetter
from struct import Struct
from typing import TypeVar
from urllib.parse import quote

import msgspec
from result import Err, Ok, Result

from rattanstile.connection.http_client import ExchangeFailure
from rattanstile.connection.http_exchange import HttpExchanger
from rattanstile.connection.http_messages import HttpResponse, encode_request
from rattanstile.connection.peer_messages import PeerMember
from rattanstile.decoding import decode_untrusted
from rattanstile.platform.headers import STORE_ERA
from rattanstile.platform.operators import (
    decode_fleet_config,
    decode_rollout_order,
    decode_rollout_status,
    encode_rollout_status,
)
from rattanstile.process.mesh.ports import (
    ConfigPublished,
    ConfigUnreadableError,
    DomainEvacuated,
    EndMovedError,
    FleetMembers,
    HistoryGoneError,
    OperatorChange,
    OperatorRecord,
    OperatorRecords,
    OtherRecord,
    RolloutOrdered,
    RolloutStatuses,
    RolloutWithdrawn,
    StoreError,
    StoreUnavailableError,
)
from rattanstile.process.mesh.rollout.rollout_verdict import RolloutStatus
from rattanstile.request.ids import (
    NO_ERA,
    FailureDomainId,
    NodeId,
    ServiceName,
    StoreEra,
)
from rattanstile.version.fleet_config import FleetConfig

CALL_TIMEOUT_S = 1.5
"""The store responds in milliseconds; in tenths of a second when it is slow."""
READ_TIMEOUT_MARGIN_S = 1.5
MAX_READ_KB = 4096

_OPERATOR_TOPIC = 'keyed.op'
_MEMBER_TOPIC = 'keyed.members'
_STATUS_TOPIC = 'keyed.status'
_ROLLOUT_PREFIX = 'rollout/'
_CONFIG_KEY = 'config'
_EVACUATE_PREFIX = 'evacuate/'
_OK = 200
_GONE = 410
_END_MOVED = 412
_RECORD_LENGTH = Struct('>I')
_READ_HEADER = Struct('>QQ')
_MS_PER_S = 1000
_MAX_ERA_DIGITS = 18
_member_decoder = msgspec.msgpack.Decoder(PeerMember)

_Decoded = TypeVar('_Decoded')


class _Item(msgspec.Struct, rename='camel'):
    """The newest record of a key.

    Attributes:
        value: In base64 on the wire.
    """

    key: str
    value: bytes
    offset: int


class _NewestPage(msgspec.Struct, rename='camel'):
    """One page of the newest record of each key.

    Attributes:
        items: See `_Item`; decoded one by one, as other writers may have
            written some of them.
        end: Offset of the next record of the log.
    """

    items: list[msgspec.Raw]
    end: int
    has_more: bool = False


@dataclass(frozen=True, slots=True)
class _Answer:
    """A successful response.

    Attributes:
        era: Era of the store that sent it.
    """

    body: bytes
    era: StoreEra


@dataclass(frozen=True, slots=True)
class _PageAnswer:
    """A page, and the era of the store that sent it."""

    page: _NewestPage
    era: StoreEra


@dataclass(slots=True)
class _AllNewest:
    """Newest record of each key, of all pages.

    Attributes:
        end: Offset of the next record of the log, of the first page.
        era: Era of the store that sent them.
        unreadable: Number of items that can't be decoded.
    """

    end: int
    era: StoreEra
    items: list[_Item] = field(default_factory=list)
    unreadable: int = 0

    def add(self, page_items: list[msgspec.Raw]) -> str | None:
        """Add the items of a page; return its last key, None if it has none."""
        last_key = None
        for raw in page_items:
            decoded = decode_untrusted(_item_decoder.decode, raw)
            if isinstance(decoded, Err):
                self.unreadable += 1
                continue
            last_key = decoded.ok_value.key
            self.items.append(decoded.ok_value)
        return last_key


_item_decoder = msgspec.json.Decoder(_Item)
_page_decoder = msgspec.json.Decoder(_NewestPage)


class PlatformStore:
    """See `rattanstile.process.mesh.ports.FleetStore`.

    Args:
        exchanger: Sends the calls to the store's address.
    """

    def __init__(self, exchanger: HttpExchanger) -> None:
        """Initialize the client."""
        self._exchanger = exchanger

    async def newest_records(self) -> Result[OperatorRecords, StoreError]:
        """Return the newest record of each key of the operators' log."""
        newest = await self._read_newest(_OPERATOR_TOPIC)
        if isinstance(newest, Err):
            return newest
        if newest.ok_value.unreadable:
            return Err(StoreUnavailableError('an unreadable record'))
        return Ok(
            OperatorRecords(
                records=tuple(
                    OperatorRecord(
                        item.offset, _decode_change(item.key, item.value)
                    )
                    for item in newest.ok_value.items
                ),
                end=newest.ok_value.end,
                era=newest.ok_value.era,
            )
        )

    async def records_after(
        self, offset: int, wait_s: float
    ) -> Result[OperatorRecords, StoreError]:
        """Return the records from an offset on; wait for the first one."""
        wait_ms = int(wait_s * _MS_PER_S)
        answer = await self._call(
            'GET',
            f'/v1/log-read?topic={_OPERATOR_TOPIC}&part=0&from={offset}'
            f'&maxKb={MAX_READ_KB}&waitMs={wait_ms}',
            timeout_s=wait_s + READ_TIMEOUT_MARGIN_S,
        )
        if isinstance(answer, Err):
            return answer
        era = answer.ok_value.era
        decoded = _decode_response(_decode_records, answer.ok_value, offset)
        return decoded.map(lambda records: replace(records, era=era))

    async def members(
        self,
    ) -> Result[FleetMembers, StoreError]:
        """Return all nodes that have announced themselves, oldest first.

        An entry of another writer names no node: one that can't be decoded,
        or whose key isn't the ID of the node.
        """
        newest = await self._read_newest(_MEMBER_TOPIC)
        if isinstance(newest, Err):
            return newest
        by_id: dict[NodeId, PeerMember] = {}
        unreadable = newest.ok_value.unreadable
        for item in sorted(newest.ok_value.items, key=attrgetter('offset')):
            member = _decode_member(item.value)
            if member is None or member.node_id != item.key:
                unreadable += 1
            else:
                by_id[member.node_id] = member
        return Ok(FleetMembers(by_id, unreadable, newest.ok_value.era))

    async def announce(
        self, member: PeerMember
    ) -> Result[StoreEra, StoreError]:
        """Store an entry by which other nodes find this one."""
        return await self._append(
            f'{_MEMBER_TOPIC}&part=0',
            member.node_id,
            msgspec.msgpack.encode(member),
        )

    async def rollout_statuses(
        self,
    ) -> Result[RolloutStatuses, StoreError]:
        """Return the newest status of each service.

        Records of others, which can't be decoded, are no status.
        """
        newest = await self._read_newest(_STATUS_TOPIC)
        if isinstance(newest, Err):
            return newest
        by_service: dict[ServiceName, RolloutStatus] = {}
        for item in newest.ok_value.items:
            if item.key.startswith(_ROLLOUT_PREFIX):
                service = ServiceName(item.key[len(_ROLLOUT_PREFIX) :])
                status = decode_rollout_status(service, item.value)
                if status is not None:
                    by_service[service] = status
        read = newest.ok_value
        return Ok(RolloutStatuses(by_service, read.end, read.era))

    async def append_rollout_status(
        self, status: RolloutStatus, end: int
    ) -> Result[StoreEra, StoreError]:
        """Append a status if the log of statuses still ends at an offset."""
        return await self._append(
            f'{_STATUS_TOPIC}&part=0&at={end}',
            f'{_ROLLOUT_PREFIX}{status.service}',
            encode_rollout_status(status),
        )

    def decode_config(
        self, document: bytes
    ) -> Result[FleetConfig, ConfigUnreadableError]:
        """Decode a published configuration."""
        return decode_untrusted(decode_fleet_config, document).map_err(
            lambda error: ConfigUnreadableError(error.message)
        )

    async def _append(
        self, topic_query: str, key: str, content: bytes
    ) -> Result[StoreEra, StoreError]:
        encoded_key = key.encode()
        record = bytes((len(encoded_key),)) + encoded_key + content
        answer = await self._call(
            'POST',
            f'/v1/log-append?topic={topic_query}',
            _RECORD_LENGTH.pack(len(record)) + record,
        )
        return answer.map(lambda acknowledged: acknowledged.era)

    async def _read_newest(self, topic: str) -> Result[_AllNewest, StoreError]:
        """Return all pages as one, with the `end` of the first page.

        Pages of different eras are of different logs, and an error.
        """
        answer = await self._read_page(topic, '')
        if isinstance(answer, Err):
            return answer
        page = answer.ok_value.page
        newest = _AllNewest(page.end, answer.ok_value.era)
        after_key: str | None = None
        while True:
            last_key = newest.add(page.items)
            if not page.has_more or not page.items:
                return Ok(newest)
            if last_key is None or last_key == after_key:
                return Err(StoreUnavailableError('a page does not lead on'))
            after_key = last_key
            answer = await self._read_page(
                topic, f'&after={quote(after_key, safe="")}'
            )
            if isinstance(answer, Err):
                return answer
            if answer.ok_value.era != newest.era:
                return Err(StoreUnavailableError('restored between two pages'))
            page = answer.ok_value.page

    async def _read_page(
        self, topic: str, after_query: str
    ) -> Result[_PageAnswer, StoreError]:
        answer = await self._call(
            'GET', f'/v1/log-newest?topic={topic}&part=0{after_query}'
        )
        if isinstance(answer, Err):
            return answer
        era = answer.ok_value.era
        decoded = _decode_response(_decode_newest, answer.ok_value, 0)
        return decoded.map(lambda page: _PageAnswer(page, era))

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes = b'',
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> Result[_Answer, StoreError]:
        encoded = encode_request(method, path, ((b'host', b'store'),), body)
        result = await self._exchanger.send(encoded, timeout_s)
        if isinstance(result, ExchangeFailure):
            return Err(StoreUnavailableError(f'{path}: {result.value}'))
        era = _decode_era(result)
        if era is None:
            return Err(StoreUnavailableError(f'{path}: invalid era'))
        if result.status == _GONE:
            return Err(HistoryGoneError(path, era))
        if result.status == _END_MOVED:
            return Err(EndMovedError(path))
        if result.status != _OK:
            return Err(StoreUnavailableError(f'{path}: status {result.status}'))
        return Ok(_Answer(result.body, era))


def _decode_era(response: HttpResponse) -> StoreEra | None:
    """Return the era that a response names; None if it can't be read.

    A store that is never restored from a copy names none.
    """
    content = response.header(STORE_ERA)
    if content is None:
        return NO_ERA
    if not content.isdigit() or len(content) > _MAX_ERA_DIGITS:
        return None
    return StoreEra(int(content))


def _decode_response(
    decode: Callable[[bytes, int], _Decoded], answer: _Answer, offset: int
) -> Result[_Decoded, StoreError]:
    return decode_untrusted(
        lambda body: decode(body, offset), answer.body
    ).map_err(
        lambda error: StoreUnavailableError(
            f'invalid response: {error.message}'
        )
    )


def _decode_newest(body: bytes, offset: int) -> _NewestPage:
    return _page_decoder.decode(body)


def _decode_records(body: bytes, offset: int) -> OperatorRecords:
    """Return the records in the response to a read.

    Raises:
        ValueError: The body is truncated.
    """
    if len(body) < _READ_HEADER.size:
        raise ValueError('the header of the response is truncated')
    end, first = _READ_HEADER.unpack_from(body)
    next_offset = max(offset, first)
    position = _READ_HEADER.size
    records: list[OperatorRecord] = []
    while position < len(body):
        if position + _RECORD_LENGTH.size > len(body):
            raise ValueError('the length of a record is truncated')
        size_bytes = _RECORD_LENGTH.unpack_from(body, position)[0]
        position += _RECORD_LENGTH.size
        record = body[position : position + size_bytes]
        if len(record) < size_bytes:
            raise ValueError('a record is truncated')
        position += size_bytes
        records.append(
            OperatorRecord(next_offset, _decode_keyed_change(record))
        )
        next_offset += 1
    return OperatorRecords(
        tuple(records), next_offset, has_more=next_offset < end
    )


def _decode_keyed_change(record: bytes) -> OperatorChange:
    if not record:
        return OtherRecord()
    key_end = 1 + record[0]
    key = record[1:key_end].decode('utf-8', 'replace')
    return _decode_change(key, record[key_end:])


def _decode_change(key: str, content: bytes) -> OperatorChange:
    if key == _CONFIG_KEY and content:
        return ConfigPublished(content)
    if key.startswith(_EVACUATE_PREFIX):
        domain = FailureDomainId(key[len(_EVACUATE_PREFIX) :])
        return DomainEvacuated(domain, bool(content))
    if key.startswith(_ROLLOUT_PREFIX):
        return _decode_rollout(key[len(_ROLLOUT_PREFIX) :], content)
    return OtherRecord()


def _decode_rollout(service: str, content: bytes) -> OperatorChange:
    if not content:
        return RolloutWithdrawn(ServiceName(service))
    decoded = decode_untrusted(decode_rollout_order, content)
    if isinstance(decoded, Err) or decoded.ok_value.service != service:
        return OtherRecord()
    return RolloutOrdered(decoded.ok_value)


def _decode_member(content: bytes) -> PeerMember | None:
    """Return the node that an entry names; None if it names none.

    Entries may come from other writers.
    """
    decoded = decode_untrusted(_member_decoder.decode, content)
    if isinstance(decoded, Err):
        return None
    member = decoded.ok_value
    return member if member.has_address else None
