"""Stand-in of the platform's store: a log with keyed topics."""

import asyncio
import base64
import json
from struct import Struct
from urllib.parse import parse_qsl, urlsplit

from wire import Message, Server, encode_response

_LENGTH = Struct('>I')
_ENDS = Struct('>QQ')
_PAGE_ITEMS = 500


class Store:
    """The store; it loses nothing and answers at once."""

    def __init__(self, address: str) -> None:
        self._topics: dict[str, list[bytes]] = {}
        self._is_appended = asyncio.Condition()
        self.server = Server(address, self._handle)

    async def put(self, key: str, value: object) -> None:
        """Write a record as the operator does; the return acknowledges it."""
        encoded_key = key.encode()
        record = bytes((len(encoded_key),)) + encoded_key
        if value is not None:
            record += json.dumps(value, separators=(',', ':')).encode()
        await self._append('keyed.op', [record])

    async def _append(self, topic: str, records: list[bytes]) -> int:
        async with self._is_appended:
            log = self._topics.setdefault(topic, [])
            log.extend(records)
            self._is_appended.notify_all()
        return len(log)

    async def _handle(self, request: Message) -> bytes:
        url = urlsplit(request.start[1])
        query = dict(parse_qsl(url.query))
        topic = query.get('topic', '')
        if url.path == '/v1/log-append':
            if topic in {'keyed.op', 'keyed.servers'}:
                return _respond(403, {})
            records = _split(request.body)
            end = await self._append(topic, records)
            return _respond(200, {'offset': end - len(records), 'end': end})
        if url.path == '/v1/log-newest':
            return self._newest(topic, query.get('after', ''))
        if url.path == '/v1/log-read':
            return await self._read(topic, query)
        return _respond(404, {})

    def _newest(self, topic: str, after: str) -> bytes:
        log = self._topics.get(topic, [])
        newest = {}
        for offset, record in enumerate(log):
            end = 1 + record[0]
            newest[record[1:end].decode()] = (offset, record[end:])
        keys = sorted(key for key, (_, value) in newest.items() if value)
        keys = [key for key in keys if key > after]
        items = [
            {
                'key': key,
                'value': base64.b64encode(newest[key][1]).decode(),
                'offset': newest[key][0],
            }
            for key in keys[:_PAGE_ITEMS]
        ]
        has_more = len(keys) > _PAGE_ITEMS
        return _respond(
            200, {'items': items, 'hasMore': has_more, 'end': len(log)}
        )

    async def _read(self, topic: str, query: dict[str, str]) -> bytes:
        start = int(query['from'])
        wait_s = int(query.get('waitMs', 0)) / 1000
        if start > len(self._topics.get(topic, [])):
            return _respond(410, {'first': 0})
        try:
            async with asyncio.timeout(wait_s), self._is_appended:
                await self._is_appended.wait_for(
                    lambda: len(self._topics.get(topic, [])) > start
                )
        except TimeoutError:
            pass
        log = self._topics.get(topic, [])
        body = _ENDS.pack(len(log), 0)
        for record in log[start:]:
            body += _LENGTH.pack(len(record)) + record
        return encode_response(200, {'Store-Era': '1'}, body)


def _respond(status: int, document: object) -> bytes:
    headers = {'Content-Type': 'application/json', 'Store-Era': '1'}
    return encode_response(status, headers, json.dumps(document).encode())


def _split(body: bytes) -> list[bytes]:
    records = []
    start = 0
    while start < len(body):
        end = start + 4 + _LENGTH.unpack_from(body, start)[0]
        records.append(body[start + 4 : end])
        start = end
    return records
