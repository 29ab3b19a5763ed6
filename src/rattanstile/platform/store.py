"""Client of the platform's store: a log of records, and newest by key."""

from collections.abc import Callable
from struct import Struct
from typing import TypeVar
from urllib.parse import quote

import msgspec
from result import Err, Ok, Result

from rattanstile.connection.http_client import ExchangeFailure
from rattanstile.connection.http_exchange import HttpExchanger
from rattanstile.connection.http_messages import HttpResponse, encode_request
from rattanstile.connection.peer_messages import PeerMember
from rattanstile.platform.operators import decode_fleet_config
from rattanstile.process.mesh.ports import (
    ConfigPublished,
    ConfigUnreadableError,
    DomainEvacuated,
    FleetMembers,
    HistoryGoneError,
    OperatorRecord,
    OperatorRecords,
    OperatorChange,
    OtherRecord,
    StoreError,
    StoreUnavailableError,
)
from rattanstile.request.ids import FailureDomainId
from rattanstile.version.fleet_config import FleetConfig

CALL_TIMEOUT_S = 1.5
"""The store answers in milliseconds; a slow one in some tenths of a second."""
READ_MARGIN_S = 1.5
READ_MAX_KB = 4096

_OPERATOR_TOPIC = 'keyed.op'
_MEMBER_TOPIC = 'keyed.members'
_CONFIG_KEY = 'config'
_EVACUATE_PREFIX = 'evacuate/'
_OK = 200
_GONE = 410
_LENGTH = Struct('>I')
_ENDS = Struct('>QQ')
_MS_PER_S = 1000

_Found = TypeVar('_Found')


class _Item(msgspec.Struct, rename='camel'):
    """The newest record of a key; `value` is base64 on the wire."""

    key: str
    value: bytes
    offset: int


class _Newest(msgspec.Struct, rename='camel'):
    """A page of newest records."""

    items: list[_Item]
    end: int
    has_more: bool = False


class PlatformStore:
    """See `rattanstile.process.mesh.ports.FleetStore`.

    Args:
        exchanger: Carries the calls to the store's address.
    """

    def __init__(self, exchanger: HttpExchanger) -> None:
        """Keep the carrier."""
        self._exchanger = exchanger

    async def newest_records(self) -> Result[OperatorRecords, StoreError]:
        """Return the newest record of each thing that operators state."""
        newest = await self._newest(_OPERATOR_TOPIC)
        if isinstance(newest, Err):
            return newest
        return Ok(
            OperatorRecords(
                records=tuple(
                    OperatorRecord(item.offset, _word(item.key, item.value))
                    for item in newest.ok_value.items
                ),
                end=newest.ok_value.end,
            )
        )

    async def records_after(
        self, offset: int, wait_s: float
    ) -> Result[OperatorRecords, StoreError]:
        """Return records from an offset on, waiting for the first."""
        wait_ms = int(wait_s * _MS_PER_S)
        read = await self._call(
            'GET',
            f'/v1/log-read?topic={_OPERATOR_TOPIC}&part=0&from={offset}'
            f'&maxKb={READ_MAX_KB}&waitMs={wait_ms}',
            timeout_s=wait_s + READ_MARGIN_S,
        )
        if isinstance(read, Err):
            return read
        return _decoded(_records, read.ok_value, offset)

    async def members(
        self,
    ) -> Result[FleetMembers, StoreError]:
        """Return all nodes that have announced themselves."""
        newest = await self._newest(_MEMBER_TOPIC)
        if isinstance(newest, Err):
            return newest
        read = [_member(item.value) for item in newest.ok_value.items]
        found = {one.node_id: one for one in read if one is not None}
        return Ok(FleetMembers(found, read.count(None)))

    async def announce(self, member: PeerMember) -> Result[None, StoreError]:
        """Let later nodes find this one."""
        return await self._put(member.node_id, msgspec.msgpack.encode(member))

    def decode_config(
        self, document: bytes
    ) -> Result[FleetConfig, ConfigUnreadableError]:
        """Return a published configuration."""
        try:
            return Ok(decode_fleet_config(document))
        except (msgspec.MsgspecError, ValueError) as error:
            return Err(ConfigUnreadableError(str(error)))

    async def _put(self, key: str, content: bytes) -> Result[None, StoreError]:
        name = key.encode()
        record = bytes((len(name),)) + name + content
        put = await self._call(
            'POST',
            f'/v1/log-append?topic={_MEMBER_TOPIC}&part=0',
            _LENGTH.pack(len(record)) + record,
        )
        return put if isinstance(put, Err) else Ok(None)

    async def _newest(self, topic: str) -> Result[_Newest, StoreError]:
        """Return all pages as one, as of the beginning of the first."""
        items: list[_Item] = []
        end: int | None = None
        after = ''
        while True:
            page = await self._call(
                'GET', f'/v1/log-newest?topic={topic}&part=0{after}'
            )
            if isinstance(page, Err):
                return page
            decoded = _decoded(_newest_page, page.ok_value, 0)
            if isinstance(decoded, Err):
                return decoded
            found = decoded.ok_value
            items.extend(found.items)
            end = found.end if end is None else end
            if not found.has_more or not found.items:
                return Ok(_Newest(items, end))
            after = f'&after={quote(found.items[-1].key, safe="")}'

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes = b'',
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> Result[HttpResponse, StoreError]:
        written = encode_request(method, path, ((b'host', b'store'),), body)
        end = await self._exchanger.send(written, timeout_s)
        if isinstance(end, ExchangeFailure):
            return Err(StoreUnavailableError(f'{path}: {end.value}'))
        if end.status == _GONE:
            return Err(HistoryGoneError(path))
        if end.status != _OK:
            return Err(StoreUnavailableError(f'{path}: {end.status}'))
        return Ok(end)


def _decoded(
    decode: Callable[[bytes, int], _Found],
    response: HttpResponse,
    offset: int,
) -> Result[_Found, StoreError]:
    try:
        return Ok(decode(response.body, offset))
    except (msgspec.MsgspecError, ValueError) as error:
        return Err(StoreUnavailableError(f'unreadable answer: {error}'))


def _newest_page(body: bytes, offset: int) -> _Newest:
    return msgspec.json.decode(body, type=_Newest)


def _records(body: bytes, offset: int) -> OperatorRecords:
    """Return the records of a read.

    Raises:
        ValueError: The body is cut short.
    """
    if len(body) < _ENDS.size:
        raise ValueError('no ends')
    end, first = _ENDS.unpack_from(body)
    place = max(offset, first)
    start = _ENDS.size
    found: list[OperatorRecord] = []
    while start < len(body):
        size_bytes = _LENGTH.unpack_from(body, start)[0]
        start += _LENGTH.size
        record = body[start : start + size_bytes]
        if len(record) < size_bytes:
            raise ValueError('a record is cut')
        start += size_bytes
        found.append(OperatorRecord(place, _keyed_word(record)))
        place += 1
    return OperatorRecords(tuple(found), place)


def _keyed_word(record: bytes) -> OperatorChange:
    if not record:
        return OtherRecord()
    name_end = 1 + record[0]
    key = record[1:name_end].decode('utf-8', 'replace')
    return _word(key, record[name_end:])


def _word(key: str, content: bytes) -> OperatorChange:
    if key == _CONFIG_KEY and content:
        return ConfigPublished(content)
    if key.startswith(_EVACUATE_PREFIX):
        domain = FailureDomainId(key[len(_EVACUATE_PREFIX) :])
        return DomainEvacuated(domain, bool(content))
    return OtherRecord()


def _member(content: bytes) -> PeerMember | None:
    try:
        return msgspec.msgpack.decode(content, type=PeerMember)
    except msgspec.MsgspecError:
        # Another writer's entry names no node.
        return None
