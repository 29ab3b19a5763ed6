"""Index of the call ids that one stream binds to idempotency keys."""

from dataclasses import dataclass
from hashlib import blake2b

import msgspec
from result import Err

from rattanstile.decoding import decode_untrusted
from rattanstile.request.ids import (
    CallId,
    LogOffset,
    OrganisationId,
    RecordId,
)

STREAM_COUNT = 64

_DIGEST_BYTES = 16


class BindingRecord(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A record that binds an idempotency key to a call id.

    Attributes:
        key_digest: Digest of the organisation and the key, 16 bytes.
        fingerprint: Digest of the request that carried the key.
        refused: The call id that this record replaces; empty for a first
            binding.
    """

    record_id: RecordId
    key_digest: bytes
    fingerprint: bytes
    call_id: CallId
    refused: CallId = CallId('')


_decoder = msgspec.msgpack.Decoder(BindingRecord)


@dataclass(slots=True)
class Binding:
    """The call id in force for a key.

    Attributes:
        offset: Offset of the record in its stream.
    """

    record: BindingRecord
    offset: LogOffset


class BindingIndex:
    """The bindings of one stream, from its oldest retained record on.

    The first record of a key wins. A later record takes effect only if it
    replaces the call id in force, which its home has proved never to run.

    A binding lasts until the log drops the record in force, so the log must
    retain records for longer than a home accepts a call id.
    """

    def __init__(self) -> None:
        """Start before the first record."""
        self.next_offset = LogOffset(0)
        self._bindings: dict[bytes, Binding] = {}

    def __len__(self) -> int:
        """Return the number of bound keys."""
        return len(self._bindings)

    def binding(self, key_digest: bytes) -> BindingRecord | None:
        """Return the record in force for a key, or None."""
        binding = self._bindings.get(key_digest)
        return None if binding is None else binding.record

    def fold(self, first: LogOffset, records: tuple[bytes, ...]) -> None:
        """Apply records in the order of their offsets.

        Records that were applied before are skipped. A record that can't be
        decoded binds nothing.
        """
        for offset, encoded in enumerate(records, start=first):
            if offset >= self.next_offset:
                self._apply(LogOffset(offset), encoded)
                self.next_offset = LogOffset(offset + 1)

    def trim(self, oldest: LogOffset) -> None:
        """Remove the bindings whose records are past retention."""
        self.next_offset = max(self.next_offset, oldest)
        for key_digest, binding in list(self._bindings.items()):
            if binding.offset >= oldest:
                return
            self._bindings.pop(key_digest)

    def _apply(self, offset: LogOffset, encoded: bytes) -> None:
        decoded = decode_untrusted(_decoder.decode, encoded)
        if isinstance(decoded, Err):
            return
        record = decoded.ok_value
        binding = self._bindings.get(record.key_digest)
        if binding is not None and record.refused != binding.record.call_id:
            return
        # `trim` relies on the order of the offsets. A replacement of a record
        # that is past retention counts as a first binding.
        self._bindings.pop(record.key_digest, None)
        self._bindings[record.key_digest] = Binding(record, offset)


def key_digest_of(organisation: OrganisationId, key: str) -> bytes:
    """Return the digest of a key within its organisation's namespace."""
    text = f'{len(organisation)}:{organisation}{key}'
    return blake2b(text.encode(), digest_size=_DIGEST_BYTES).digest()


def stream_of(key_digest: bytes) -> str:
    """Return the name of the stream that holds the bindings of this key."""
    shard = int.from_bytes(key_digest[:4], 'big') % STREAM_COUNT
    return f'bindings-{shard:02d}'
