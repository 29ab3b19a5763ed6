"""Runs the two rate machines: what this node borrows, owns and vouches for."""

from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass

import logbook
import msgspec

from rattanstile.process.control_messages import (
    AppendRecord,
    ControlArrived,
    LogRecordRead,
    SendControl,
)
from rattanstile.process.key_values import key_values
from rattanstile.process.messages import Ticked
from rattanstile.process.rates.rate_borrower import Borrower
from rattanstile.process.rates.rate_messages import (
    Admitted,
    Denied,
    Granted,
    OverRate,
    OwnerOutput,
    ProcessGone,
    RatePeersChanged,
    StaticSlotChanged,
    Verdict,
)
from rattanstile.process.rates.rate_owner import TICK_S, RateOwner
from rattanstile.process.timers import TimerService
from rattanstile.request.ids import NodeId, OrganisationId
from rattanstile.version.in_force import VersionInForce
from rattanstile.version.rate_records import ShardId

RETRY_AFTER_MS = 100

_log = logbook.Logger('rate-service')


@dataclass(frozen=True, slots=True)
class Admission:
    """Whether a root call is within its rate.

    Attributes:
        waits: The answer follows by `rate_decided`.
        retry_after_ms: When to try again, where the call was refused.
    """

    granted: bool = False
    waits: bool = False
    retry_after_ms: int = 0


RateDecided = Callable[[int, int | None], None]
RateInput = ControlArrived | LogRecordRead | RatePeersChanged


class RateService:
    """Performs what the borrower and the owner of this node decide.

    Args:
        send: Takes control messages to other nodes.
        append: Takes records for the log.
    """

    def __init__(
        self,
        node_id: NodeId,
        borrower: Borrower,
        owner: RateOwner,
        timers: TimerService,
        send: Callable[[SendControl], None],
        append: Callable[[AppendRecord], None],
    ) -> None:
        """Begin without a version: every organisation is over its rate."""
        self.owner = owner
        self.borrower = borrower
        self.decided: RateDecided = _nobody_waits
        self._node_id = node_id
        self._timers = timers
        self._send = send
        self._append = append
        self._owned: tuple[ShardId, ...] = ()

    def admit(
        self, now_s: float, organisation: OrganisationId, number: int
    ) -> Admission:
        """Decide on a root call, or say that it has to wait."""
        verdict = self.borrower.admit(now_s, organisation, number)
        admission = self._admission(verdict)
        # After the clock was read: a message that tells the token as unspent
        # must not leave before the token's fate is settled.
        self._perform(self.borrower.take_outputs())
        return admission

    def _admission(self, verdict: Verdict) -> Admission:
        match verdict:
            case Admitted(valid_until_s=valid_until_s):
                return self._in_time(valid_until_s)
            case OverRate(retry_after_ms=retry_after_ms):
                return Admission(retry_after_ms=retry_after_ms)
            case _:
                return Admission(waits=True)

    def adopt(self, version: VersionInForce) -> None:
        """Take the rates of another version in force."""
        now_s = self._timers.now_s()
        declaration = version.declaration
        for machine in (self.borrower, self.owner):
            machine.configure(
                now_s,
                declaration.organisations,
                declaration.max_nodes,
                is_first_version=version.number == 1,
            )

    def take(self, message: RateInput) -> None:
        """Hand a message to both machines."""
        now_s = self._timers.now_s()
        self._perform(self.owner.step(now_s, message))
        self._perform(self.borrower.step(now_s, message))

    def process_gone(self, gone: ProcessGone) -> None:
        """Learn that a process has ended for certain."""
        self._perform(self.owner.step(self._timers.now_s(), gone))

    def static_slot(self, slot: int | None) -> None:
        """Take this node's place in the static split."""
        now_s = self._timers.now_s()
        self._perform(self.borrower.step(now_s, StaticSlotChanged(slot)))

    @contextmanager
    def running(self) -> Iterator[None]:
        """Give both machines their ticks while the block runs."""
        with self._timers.every(TICK_S, self._tick):
            yield

    def _tick(self, now_s: float) -> None:
        self._perform(self.owner.step(now_s, Ticked()))
        self._perform(self.borrower.step(now_s, Ticked()))
        self._log_owned(self.owner.owned_shards(now_s))

    def _log_owned(self, owned_shards: tuple[ShardId, ...]) -> None:
        if owned_shards != self._owned:
            self._owned = owned_shards
            shards = ','.join(str(shard) for shard in owned_shards)
            _log.notice(key_values('rate_shards_owned', shards=shards or '-'))

    def _perform(
        self, outputs: Iterable[OwnerOutput | Granted | Denied]
    ) -> None:
        for output in outputs:
            match output:
                case SendControl(receiver=receiver, message=message):
                    self._send_or_keep(receiver, message)
                case AppendRecord():
                    self._append(output)
                case Granted(request_id=number, valid_until_s=until_s):
                    in_time = self._in_time(until_s)
                    late_ms = None if in_time.granted else RETRY_AFTER_MS
                    self.decided(number, late_ms)
                case Denied(request_id=number, retry_after_ms=after_ms):
                    self.decided(number, after_ms)

    def _send_or_keep(self, receiver: NodeId, message: msgspec.Struct) -> None:
        if receiver != self._node_id:
            self._send(SendControl(receiver, message))
            return
        # Not at once: the machine that sent it is still in its step.
        arrived = ControlArrived(self._node_id, message)
        self._timers.after(0, lambda _: self.take(arrived))

    def _in_time(self, valid_until_s: float) -> Admission:
        """Read the clock after the decision: this process may have slept."""
        if self._timers.now_s() < valid_until_s:
            return Admission(granted=True)
        return Admission(retry_after_ms=RETRY_AFTER_MS)


def _nobody_waits(number: int, retry_after_ms: int | None) -> None:
    """Take the answer for a request that nobody waits for."""
