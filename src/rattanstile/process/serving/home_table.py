"""Deduplication table of a home: runs non-idempotent calls at most once."""

from collections import OrderedDict, deque
from dataclasses import dataclass
from functools import lru_cache

import msgspec

from rattanstile.request.call_id import ParsedCallId, parse_call_id
from rattanstile.request.envelope import Call, Reply, refusal
from rattanstile.request.fingerprint import fingerprint_of
from rattanstile.request.ids import CallId, Incarnation, NodeId
from rattanstile.request.outcome import Outcome, Reason

EPOCH_LENGTH_S = 60.0
RETAINED_EPOCHS = 3
MAX_CALLS = 65536
MAX_CACHED_BYTES = 16 * 1024 * 1024
MAX_CACHED_ANSWER_BYTES = 256 * 1024

_MAX_CHECKED_PER_STEP = 16
_MAX_SHARED_REPLIES = 256


@dataclass(frozen=True, slots=True)
class HomeLimits:
    """Limits of a home's table.

    Attributes:
        max_calls: Most calls in the table, over all epochs.
        max_cached_bytes: Total size of the bodies and headers of all cached
            answers.
        max_cached_answer_bytes: Size of the largest answer that is cached. A
            larger one is sent to the waiting attempts only.
        epoch_length_s: Time for which new ids carry the same id epoch.
    """

    max_calls: int = MAX_CALLS
    max_cached_bytes: int = MAX_CACHED_BYTES
    max_cached_answer_bytes: int = MAX_CACHED_ANSWER_BYTES
    epoch_length_s: float = EPOCH_LENGTH_S


@dataclass(frozen=True, slots=True)
class RunCall:
    """The call is new: queue it and run it at most once."""


@dataclass(frozen=True, slots=True)
class JoinRunning:
    """The call is already queued or running; its reply follows."""


@dataclass(frozen=True, slots=True)
class ReplayReply:
    """The call has ended; `reply` is its outcome for this attempt.

    The reply has the outcome `UNKNOWN` if the answer is no longer cached or
    the call ended without one.
    """

    reply: Reply


@dataclass(frozen=True, slots=True)
class AlreadyRefused:
    """The call was refused before it ran and never runs; `reply` says so."""

    reply: Reply


@dataclass(frozen=True, slots=True)
class NewlyRefused:
    """The call has not run and is refused for good."""

    reply: Reply


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The call may have run, so it is not run now."""

    reply: Reply


Verdict = (
    RunCall
    | JoinRunning
    | ReplayReply
    | AlreadyRefused
    | NewlyRefused
    | OutcomeUnknown
)


@dataclass(slots=True)
class _Entry:
    """One call; `reply` is None while the call is queued or running."""

    fingerprint: bytes
    reply: Reply | None = None
    cached_bytes: int = 0


class HomeTable:
    """Decides for each arriving attempt of a call whether it may run.

    The table covers the ids of the last `RETAINED_EPOCHS` id epochs. The home
    advances its epoch by its own monotonic clock and accepts no new id from
    outside these epochs, so that a call whose entry was evicted can't run
    again. The clocks of two nodes are never compared.

    When the table is full, the home closes its current epoch and all earlier
    ones: every id of them that is not in the table is refused for good, which
    needs no memory for each refused id.

    Args:
        now_s: Monotonic seconds.
        node_id: The node whose target runs the calls.
        incarnation: This incarnation of the node; no other may run them.
        limits: Replaces the default limits.
    """

    def __init__(
        self,
        now_s: float,
        node_id: NodeId,
        incarnation: Incarnation,
        limits: HomeLimits | None = None,
    ) -> None:
        """Start with an empty table, in epoch 1."""
        self._node_id = node_id
        self._incarnation = incarnation
        self._limits = limits or HomeLimits()
        self._id_epoch = 1
        self._epoch_ends_s = now_s + self._limits.epoch_length_s
        self._closed_epoch = 0
        self._entries: dict[CallId, _Entry] = {}
        self._ids_by_epoch: dict[int, list[CallId]] = {}
        self._expired_ids: deque[CallId] = deque()
        self._cached_ids: OrderedDict[CallId, None] = OrderedDict()
        self._cached_bytes = 0

    def __len__(self) -> int:
        """Return the number of calls in the table."""
        return len(self._entries)

    @property
    def id_epoch(self) -> int:
        """Return the epoch that new ids for this home must carry."""
        return self._id_epoch

    @property
    def cached_bytes(self) -> int:
        """Return the total size of the cached answers."""
        return self._cached_bytes

    def tick(self, now_s: float) -> None:
        """Advance the id epoch when it ends, and evict expired ids."""
        self._evict_expired()
        if now_s < self._epoch_ends_s:
            return
        self._id_epoch += 1
        self._epoch_ends_s = now_s + self._limits.epoch_length_s
        expired = self._ids_by_epoch.pop(self._id_epoch - RETAINED_EPOCHS, [])
        self._expired_ids.extend(expired)

    def arrive(self, now_s: float, call: Call) -> Verdict:
        """Return the decision on one attempt of a call.

        This comes before all other checks of the call. After `RunCall`, the
        outcome of the call must be passed to `ended`, even if the call
        is refused without being run.
        """
        self.tick(now_s)
        parsed = parse_call_id(call.call_id).unwrap_or(None)
        if parsed is None or not self._is_home_of(parsed):
            return OutcomeUnknown(_unknown_reply(call, Reason.HOME_GONE))
        entry = self._entries.get(call.call_id)
        if entry is not None:
            return _verdict_on_duplicate(call, entry)
        if not self._accepts_epoch(parsed.id_epoch):
            return OutcomeUnknown(_unknown_reply(call, Reason.EXPIRED))
        if parsed.id_epoch <= self._closed_epoch or self._close_epoch_if_full():
            return NewlyRefused(refusal(call, Reason.HOME_FULL))
        self._ids_by_epoch.setdefault(parsed.id_epoch, []).append(call.call_id)
        self._entries[call.call_id] = _Entry(fingerprint_of(call))
        return RunCall()

    def ended(self, now_s: float, call: Call, reply: Reply) -> None:
        """Record the outcome of a call.

        The outcome `NOT_RUN` is recorded like any other, and the call never
        runs after it. The first outcome is final, except that a late answer
        replaces `UNKNOWN`.
        """
        self.tick(now_s)
        entry = self._entries.get(call.call_id)
        if entry is None:
            return
        if entry.reply is None or (
            entry.reply.outcome is Outcome.UNKNOWN
            and reply.outcome in _ANSWERED_OUTCOMES
        ):
            self._drop_cached_answer(call.call_id)
            self._store_reply(entry, reply)

    def _is_home_of(self, parsed: ParsedCallId) -> bool:
        return (
            parsed.home == self._node_id
            and parsed.home_incarnation == self._incarnation
        )

    def _accepts_epoch(self, id_epoch: int) -> bool:
        return self._id_epoch - RETAINED_EPOCHS < id_epoch <= self._id_epoch

    def _close_epoch_if_full(self) -> bool:
        if len(self._entries) < self._limits.max_calls:
            return False
        self._closed_epoch = self._id_epoch
        return True

    def _store_reply(self, entry: _Entry, reply: Reply) -> None:
        if reply.outcome not in _ANSWERED_OUTCOMES:
            entry.reply = _reply_without_answer(
                reply.outcome, reply.reason, reply.status, reply.retry_after_ms
            )
            return
        size_bytes = _size_bytes(reply)
        if size_bytes > self._limits.max_cached_answer_bytes:
            entry.reply = _ANSWER_FORGOTTEN
            return
        entry.reply = reply
        entry.cached_bytes = size_bytes
        self._cached_ids[reply.call_id] = None
        self._cached_bytes += size_bytes
        while self._cached_bytes > self._limits.max_cached_bytes:
            self._drop_cached_answer(next(iter(self._cached_ids)))

    def _drop_cached_answer(self, call_id: CallId) -> None:
        entry = self._entries[call_id]
        self._cached_ids.pop(call_id, None)
        self._cached_bytes -= entry.cached_bytes
        entry.cached_bytes = 0
        if (
            entry.reply is not None
            and entry.reply.outcome in _ANSWERED_OUTCOMES
        ):
            entry.reply = _ANSWER_FORGOTTEN

    def _evict_expired(self) -> None:
        """Evict expired calls that have ended.

        Checks a bounded number of ids, so that no step takes long.
        """
        for _ in range(min(len(self._expired_ids), _MAX_CHECKED_PER_STEP)):
            call_id = self._expired_ids.popleft()
            if self._entries[call_id].reply is not None:
                self._evict(call_id)
            else:
                self._expired_ids.append(call_id)

    def _evict(self, call_id: CallId) -> None:
        self._drop_cached_answer(call_id)
        self._entries.pop(call_id)


_ANSWERED_OUTCOMES = frozenset((Outcome.WHOLE, Outcome.FAILED))


@lru_cache(maxsize=_MAX_SHARED_REPLIES)
def _reply_without_answer(
    outcome: Outcome,
    reason: Reason | None,
    status: int,
    retry_after_ms: int = 0,
) -> Reply:
    """Return a reply without an answer, shared by calls with this outcome.

    The call id and the attempt are filled in when the reply is sent again.
    """
    return Reply(
        call_id=CallId(''),
        attempt=0,
        outcome=outcome,
        reason=reason,
        status=status,
        retry_after_ms=retry_after_ms,
    )


_ANSWER_FORGOTTEN = _reply_without_answer(
    Outcome.UNKNOWN,
    Reason.ANSWER_FORGOTTEN,
    Reason.ANSWER_FORGOTTEN.status,
)


def _verdict_on_duplicate(call: Call, entry: _Entry) -> Verdict:
    if entry.fingerprint != fingerprint_of(call):
        return OutcomeUnknown(_unknown_reply(call, Reason.KEY_REUSED))
    if entry.reply is None:
        return JoinRunning()
    reply = msgspec.structs.replace(
        entry.reply,
        call_id=call.call_id,
        attempt=call.attempt,
        tries_unspent=call.tries_left,
    )
    if reply.outcome is Outcome.NOT_RUN:
        return AlreadyRefused(reply)
    return ReplayReply(reply)


def _unknown_reply(call: Call, reason: Reason) -> Reply:
    return refusal(call, reason, outcome=Outcome.UNKNOWN)


def _size_bytes(reply: Reply) -> int:
    headers = sum(len(name) + len(text) for name, text in reply.headers)
    return len(reply.body) + headers
