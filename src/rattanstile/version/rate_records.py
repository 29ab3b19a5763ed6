"""Records of the log stream `rates`: which process owns each shard.

The owner of a shard lends its tokens.
"""

from typing import NewType

import msgspec

from rattanstile.request.ids import Incarnation, NodeId, RecordId

ShardId = NewType('ShardId', int)
Epoch = NewType('Epoch', int)


class ProcessId(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """One run of a node's process."""

    node_id: NodeId
    incarnation: Incarnation


class OwnerClaimRecord(
    msgspec.Struct, frozen=True, kw_only=True, tag='owner-claim'
):
    """A claim of a process to a shard; the first record for an epoch wins.

    Attributes:
        witnesses: The processes whose majority bounds the owner's lease.
    """

    record_id: RecordId
    shard: ShardId
    epoch: Epoch
    owner: ProcessId
    witnesses: tuple[ProcessId, ...]


class OwnerStartedRecord(
    msgspec.Struct, frozen=True, kw_only=True, tag='owner-started'
):
    """The owner of an epoch holds its lease: every earlier lease has ended."""

    record_id: RecordId
    shard: ShardId
    epoch: Epoch


RateRecord = OwnerClaimRecord | OwnerStartedRecord
