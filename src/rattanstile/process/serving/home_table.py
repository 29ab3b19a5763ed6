"""The home's table: each call that is not idempotent runs at most once."""

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
EPOCHS_KEPT = 3
MOST_CALLS = 65536
MOST_ANSWER_BYTES = 16 * 1024 * 1024
LARGEST_ANSWER_BYTES = 256 * 1024

_FORGOTTEN_PER_STEP = 16
_MOST_BARE = 256


@dataclass(frozen=True, slots=True)
class HomeLimits:
    """Bounds of a home's table.

    Attributes:
        most_calls: Calls remembered over all epochs.
        most_answer_bytes: Bodies and headers kept over all answers.
        largest_answer_bytes: A larger answer is given to those who wait for
            it and not kept.
    """

    max_calls: int = MOST_CALLS
    max_cached_bytes: int = MOST_ANSWER_BYTES
    largest_answer_bytes: int = LARGEST_ANSWER_BYTES
    epoch_length_s: float = EPOCH_LENGTH_S


@dataclass(frozen=True, slots=True)
class RunIt:
    """The first copy of this call: queue it, and run it at most once."""


@dataclass(frozen=True, slots=True)
class JoinRunning:
    """A copy of a call that is queued or runs; its reply follows."""


@dataclass(frozen=True, slots=True)
class AnswerAgain:
    """The call has ended; `reply` is its answer for this attempt."""

    reply: Reply


@dataclass(frozen=True, slots=True)
class RefusedBefore:
    """The call was refused and never runs; `reply` says so."""

    reply: Reply


@dataclass(frozen=True, slots=True)
class RefusedNow:
    """The call was not run, is not run now and never runs here."""

    reply: Reply


@dataclass(frozen=True, slots=True)
class CannotTell:
    """The call may have run; it is not run now."""

    reply: Reply


Verdict = (
    RunIt | JoinRunning | AnswerAgain | RefusedBefore | RefusedNow | CannotTell
)


@dataclass(slots=True)
class _Entry:
    """One call; `reply` is None while it is queued or runs."""

    fingerprint: bytes
    reply: Reply | None = None
    kept_bytes: int = 0


class HomeTable:
    """Decides for each arriving copy of a call whether it may run.

    The table covers the ids of the last `EPOCHS_KEPT` id epochs. The home
    raises its epoch by its own monotonic clock and accepts no id from outside
    of them, so that an id whose entry is gone can't run again and no two
    clocks are ever compared.

    When the table is full, the home seals its epoch: every id of it that is
    not in the table is refused for good, which needs no memory of each.

    Args:
        node_id: The node whose target runs the calls.
        incarnation: This incarnation of the node; only it may run them.
    """

    def __init__(
        self,
        now_s: float,
        node_id: NodeId,
        incarnation: Incarnation,
        limits: HomeLimits | None = None,
    ) -> None:
        """Start with no call seen, in epoch 1."""
        self._node_id = node_id
        self._incarnation = incarnation
        self._limits = limits or HomeLimits()
        self._id_epoch = 1
        self._epoch_ends_s = now_s + self._limits.epoch_length_s
        self._sealed_epoch = 0
        self._entries: dict[CallId, _Entry] = {}
        self._ids: dict[int, list[CallId]] = {}
        self._expired: deque[CallId] = deque()
        self._kept: OrderedDict[CallId, None] = OrderedDict()
        self._kept_bytes = 0

    def __len__(self) -> int:
        """Return how many calls are remembered."""
        return len(self._entries)

    @property
    def id_epoch(self) -> int:
        """Return the epoch that new ids for this home are to carry."""
        return self._id_epoch

    @property
    def kept_bytes(self) -> int:
        """Return the size of the answers kept."""
        return self._kept_bytes

    def tick(self, now_s: float) -> None:
        """Raise the id epoch when its time is over, and forget old ids."""
        self._forget_some()
        if now_s < self._epoch_ends_s:
            return
        self._id_epoch += 1
        self._epoch_ends_s = now_s + self._limits.epoch_length_s
        expired = self._ids.pop(self._id_epoch - EPOCHS_KEPT, [])
        self._expired.extend(expired)

    def arrive(self, now_s: float, call: Call) -> Verdict:
        """Decide on one copy of a call, before anything else is checked.

        Whoever gets `RunIt` runs the call or not, and then tells `ended`
        how it went, a refusal included.
        """
        self.tick(now_s)
        parsed = parse_call_id(call.call_id).unwrap_or(None)
        if parsed is None or not self._is_home_of(parsed):
            return CannotTell(_unknown(call, Reason.HOME_GONE))
        entry = self._entries.get(call.call_id)
        if entry is not None:
            return _copy_arrived(call, entry)
        if not self._accepts(parsed.id_epoch):
            return CannotTell(_unknown(call, Reason.EXPIRED))
        if parsed.id_epoch <= self._sealed_epoch or self._seal_if_full():
            return RefusedNow(refusal(call, Reason.HOME_FULL))
        self._ids.setdefault(parsed.id_epoch, []).append(call.call_id)
        self._entries[call.call_id] = _Entry(fingerprint_of(call))
        return RunIt()

    def ended(self, now_s: float, call: Call, reply: Reply) -> None:
        """Keep how a call ended.

        A reply `not run` is kept like any other: the call never runs after
        it. The first end stands, but an answer that comes late takes the
        place of `unknown`.
        """
        self.tick(now_s)
        entry = self._entries.get(call.call_id)
        if entry is None:
            return
        if entry.reply is None or (
            entry.reply.outcome is Outcome.UNKNOWN
            and reply.outcome in _ANSWERED
        ):
            self._drop_answer(call.call_id)
            self._keep(entry, reply)

    def _is_home_of(self, parsed: ParsedCallId) -> bool:
        return (
            parsed.home == self._node_id
            and parsed.home_incarnation == self._incarnation
        )

    def _accepts(self, id_epoch: int) -> bool:
        return self._id_epoch - EPOCHS_KEPT < id_epoch <= self._id_epoch

    def _seal_if_full(self) -> bool:
        if len(self._entries) < self._limits.max_calls:
            return False
        self._sealed_epoch = self._id_epoch
        return True

    def _keep(self, entry: _Entry, reply: Reply) -> None:
        if reply.outcome not in _ANSWERED:
            entry.reply = _bare(
                reply.outcome, reply.reason, reply.status, reply.retry_after_ms
            )
            return
        size_bytes = _size_bytes(reply)
        if size_bytes > self._limits.largest_answer_bytes:
            entry.reply = _FORGOTTEN
            return
        entry.reply = reply
        entry.kept_bytes = size_bytes
        self._kept[reply.call_id] = None
        self._kept_bytes += size_bytes
        while self._kept_bytes > self._limits.max_cached_bytes:
            self._drop_answer(next(iter(self._kept)))

    def _drop_answer(self, call_id: CallId) -> None:
        entry = self._entries[call_id]
        self._kept.pop(call_id, None)
        self._kept_bytes -= entry.kept_bytes
        entry.kept_bytes = 0
        if entry.reply is not None and entry.reply.outcome in _ANSWERED:
            entry.reply = _FORGOTTEN

    def _forget_some(self) -> None:
        """Forget a few ids of past epochs, so that no step takes long."""
        for _ in range(min(len(self._expired), _FORGOTTEN_PER_STEP)):
            call_id = self._expired.popleft()
            if self._entries[call_id].reply is not None:
                self._forget(call_id)
            else:
                self._expired.append(call_id)

    def _forget(self, call_id: CallId) -> None:
        self._drop_answer(call_id)
        self._entries.pop(call_id)


_ANSWERED = frozenset((Outcome.WHOLE, Outcome.FAILED))


@lru_cache(maxsize=_MOST_BARE)
def _bare(
    outcome: Outcome,
    reason: Reason | None,
    status: int,
    retry_after_ms: int = 0,
) -> Reply:
    """Return a reply without an answer, shared by all calls that end so."""
    return Reply(
        call_id=CallId(''),
        attempt=0,
        outcome=outcome,
        reason=reason,
        status=status,
        retry_after_ms=retry_after_ms,
    )


_FORGOTTEN = _bare(
    Outcome.UNKNOWN,
    Reason.ANSWER_FORGOTTEN,
    Reason.ANSWER_FORGOTTEN.status,
)


def _copy_arrived(call: Call, entry: _Entry) -> Verdict:
    if entry.fingerprint != fingerprint_of(call):
        return CannotTell(_unknown(call, Reason.KEY_REUSED))
    if entry.reply is None:
        return JoinRunning()
    reply = msgspec.structs.replace(
        entry.reply,
        call_id=call.call_id,
        attempt=call.attempt,
        tries_unspent=call.tries_left,
    )
    if reply.outcome is Outcome.NOT_RUN:
        return RefusedBefore(reply)
    return AnswerAgain(reply)


def _unknown(call: Call, reason: Reason) -> Reply:
    return refusal(call, reason, outcome=Outcome.UNKNOWN)


def _size_bytes(reply: Reply) -> int:
    headers = sum(len(name) + len(text) for name, text in reply.headers)
    return len(reply.body) + headers
