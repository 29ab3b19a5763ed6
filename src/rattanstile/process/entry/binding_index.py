"""Fold of one stream of bindings: which call id an idempotency key has."""

from dataclasses import dataclass
from hashlib import blake2b

import msgspec

from rattanstile.request.ids import (
    CallId,
    LogOffset,
    OrganisationId,
    RecordId,
)

STREAMS = 64

_DIGEST_BYTES = 16


class BindingRecord(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A record that ties an idempotency key to a call id.

    Attributes:
        key_digest: Digest of organisation and key; 16 bytes.
        fingerprint: Digest of the request that the key was sent with.
        refused: The call id that this one replaces; empty for the first.
    """

    record_id: RecordId
    key_digest: bytes
    fingerprint: bytes
    call_id: CallId
    refused: CallId = CallId('')


@dataclass(slots=True)
class Binding:
    """The call id in force for a key.

    Attributes:
        offset: Where the record stands.
    """

    record: BindingRecord
    offset: LogOffset


class BindingIndex:
    """The bindings of one stream, from its oldest record on.

    The first record of a key wins. A later one counts only if it replaces
    the call id in force, which its home proved to be never run.

    A key lives as long as the log keeps its record in force. The log must
    keep records for longer than a home accepts a call id.
    """

    def __init__(self) -> None:
        """Start before the first record."""
        self.next_offset = LogOffset(0)
        self._bindings: dict[bytes, Binding] = {}

    def __len__(self) -> int:
        """Return how many keys are bound."""
        return len(self._bindings)

    def binding(self, key_digest: bytes) -> BindingRecord | None:
        """Return the record in force for a key, or None."""
        binding = self._bindings.get(key_digest)
        return None if binding is None else binding.record

    def fold(self, first: LogOffset, records: tuple[bytes, ...]) -> None:
        """Take records in the order of their offsets.

        Records seen before are passed over. A record that can't be decoded
        binds nothing.
        """
        for offset, text in enumerate(records, start=first):
            if offset >= self.next_offset:
                self._take(LogOffset(offset), text)
                self.next_offset = LogOffset(offset + 1)

    def trim(self, oldest: LogOffset) -> None:
        """Forget the keys of records that the log keeps no more."""
        self.next_offset = max(self.next_offset, oldest)
        for key_digest, binding in list(self._bindings.items()):
            if binding.offset >= oldest:
                return
            self._bindings.pop(key_digest)

    def _take(self, offset: LogOffset, text: bytes) -> None:
        try:
            record = msgspec.msgpack.decode(text, type=BindingRecord)
        except msgspec.MsgspecError:
            return
        binding = self._bindings.get(record.key_digest)
        if binding is not None and record.refused != binding.record.call_id:
            return
        # Kept in the order of the offsets, for `trim`. A replacement whose
        # first record is past retention is taken like a first one.
        self._bindings.pop(record.key_digest, None)
        self._bindings[record.key_digest] = Binding(record, offset)


def key_digest_of(organisation: OrganisationId, key: str) -> bytes:
    """Return the digest of a key in its organisation's own name space."""
    text = f'{len(organisation)}:{organisation}{key}'
    return blake2b(text.encode(), digest_size=_DIGEST_BYTES).digest()


def stream_of(key_digest: bytes) -> str:
    """Return the name of the stream that binds this key."""
    shard = int.from_bytes(key_digest[:4], 'big') % STREAMS
    return f'bindings-{shard:02d}'
