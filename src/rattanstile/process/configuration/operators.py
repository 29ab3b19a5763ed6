"""What operators do: plan, confirm, look back; over the log alone."""

from dataclasses import dataclass

from logbook import Logger
from result import Err, Ok, Result

from rattanstile.errors import (
    ConflictError,
    RattanstileError,
    UnavailableError,
    UncertainError,
)
from rattanstile.process.configuration.log_client import (
    AppendUncertain,
    LogClient,
    LogUnavailable,
    OffsetTooOld,
    ReadBatch,
)
from rattanstile.process.configuration.stream_state import (
    HistoryEntry,
    PlacedRecord,
    StreamRead,
    StreamState,
    state_of,
)
from rattanstile.request.ids import (
    LogOffset,
    PlanId,
    RecordId,
    VersionNumber,
)
from rattanstile.version.declaration import Declaration
from rattanstile.version.plan import Plan, make_plan
from rattanstile.version.records import (
    CONFIGURATION_STREAM,
    PLANS_STREAM,
    ConfigurationRecord,
    PlanRecord,
    decode_record,
    encode_record,
)

SHOWN_WINNERS = 5
SETTLE_TRIES = 6
SETTLE_WAIT_S = 0.5

_log = Logger('operators')


class NoSuchPlan(RattanstileError):
    """No plan of this id is kept."""


@dataclass(frozen=True, slots=True)
class Confirmation:
    """A plan took effect.

    Attributes:
        repeated: Whether it had done so before this confirmation.
    """

    plan_id: PlanId
    version: VersionNumber
    repeated: bool


@dataclass(frozen=True, slots=True)
class AcceptedPlan:
    """A plan that made a version.

    Attributes:
        differences: What it changed, as the operator was shown; empty where
            the plan is past retention.
    """

    version: VersionNumber
    plan_id: PlanId
    operator: str
    differences: tuple[str, ...]


StateResult = Result[StreamState, UnavailableError]
HistoryResult = Result[list[AcceptedPlan], UnavailableError]
PlanResult = Result[Plan, UnavailableError | UncertainError]
ConfirmResult = Result[
    Confirmation, ConflictError | UnavailableError | UncertainError | NoSuchPlan
]


class OperatorCommands:
    """Plans and confirms by appending to the log.

    Args:
        log: Client of the platform's log.
        operator: Who acts, as kept in the records.
    """

    def __init__(self, log: LogClient, operator: str) -> None:
        """Keep the client."""
        self._platform_log = log
        self._operator = operator

    async def state(self) -> StateResult:
        """Read the configuration stream to its end."""
        match await self._read_all(CONFIGURATION_STREAM):
            case Err(failure):
                return Err(failure)
            case Ok(stream):
                return state_of(stream)
        raise AssertionError

    async def history(self, last: int) -> HistoryResult:
        """Return the last accepted plans that the log holds, oldest first."""
        state = await self.state()
        if isinstance(state, Err):
            return state
        return await self._accepted_plans(state.ok_value.history[-last:])

    async def plan(self, declared: Declaration) -> PlanResult:
        """Keep a plan in the log; nothing takes effect."""
        state = await self.state()
        if isinstance(state, Err):
            return state
        fold = state.ok_value.fold
        plan = make_plan(fold.version, fold.declaration, declared)
        if not plan.differences:
            return Ok(plan)
        appended = await self._platform_log.append(
            PLANS_STREAM, encode_record(self._plan_record(plan))
        )
        match appended:
            case Err(LogUnavailable() as failure):
                return Err(failure)
            case Err(failure):
                return await self._settle_plan(plan, failure)
        return Ok(plan)

    async def confirm(self, plan_id: PlanId) -> ConfirmResult:
        """Put a plan into force, unless its base no longer is.

        Returns:
            The version made; a conflict that shows what came first; or an
            error whose type tells whether the plan may have taken effect.
        """
        state = await self.state()
        if isinstance(state, Err):
            return state
        version = state.ok_value.version_of(plan_id)
        if version is not None:
            return Ok(Confirmation(plan_id, version, repeated=True))
        found = await self._find_plan(plan_id)
        if isinstance(found, Err):
            return found
        plan = found.ok_value
        if plan.base != state.ok_value.fold.version:
            return await self._conflict(state.ok_value, plan)
        return await self._append_plan(plan)

    async def _append_plan(self, plan: PlanRecord) -> ConfirmResult:
        record = ConfigurationRecord(
            record_id=RecordId(plan.plan_id),
            base=plan.base,
            change=plan.change,
            plan_id=plan.plan_id,
            operator=self._operator,
        )
        appended = await self._platform_log.append(
            CONFIGURATION_STREAM, encode_record(record)
        )
        if isinstance(appended, Err):
            if isinstance(appended.err_value, LogUnavailable):
                return Err(appended.err_value)
        _log.info(
            'event=plan_appended plan={} base={} answered={}',
            plan.plan_id,
            plan.base,
            appended.is_ok(),
        )
        return await self._settle(plan, appended)

    async def _settle(
        self,
        plan: PlanRecord,
        appended: Result[LogOffset, LogUnavailable | AppendUncertain],
    ) -> ConfirmResult:
        for wait_s in (SETTLE_WAIT_S,) * SETTLE_TRIES:
            state = await self.state()
            if isinstance(state, Err):
                break
            version = state.ok_value.version_of(plan.plan_id)
            if version is not None:
                return Ok(Confirmation(plan.plan_id, version, repeated=False))
            if state.ok_value.fold.version > plan.base:
                return await self._conflict(state.ok_value, plan)
            await self._platform_log.read(
                CONFIGURATION_STREAM,
                state.ok_value.fold.read_end,
                wait_s,
            )
        return Err(_uncertain(plan.plan_id))

    async def _settle_plan(
        self, plan: Plan, failure: UnavailableError | UncertainError
    ) -> PlanResult:
        found = await self._find_plan(plan.plan_id)
        return Ok(plan) if found.is_ok() else Err(failure)

    async def _find_plan(
        self, plan_id: PlanId
    ) -> Result[PlanRecord, UnavailableError | NoSuchPlan]:
        plans = await self._plans()
        if isinstance(plans, Err):
            return plans
        found = plans.ok_value.get(plan_id)
        if found is not None:
            return Ok(found)
        return Err(
            NoSuchPlan(f'no plan {plan_id}; make one with `rattanstile plan`')
        )

    async def _plans(
        self,
    ) -> Result[dict[PlanId, PlanRecord], UnavailableError]:
        read = await self._read_all(PLANS_STREAM)
        if isinstance(read, Err):
            return read
        plans: dict[PlanId, PlanRecord] = {}
        for _offset, record in read.ok_value.records:
            if isinstance(record, PlanRecord):
                plans.setdefault(record.plan_id, record)
        return Ok(plans)

    async def _accepted_plans(
        self, entries: list[HistoryEntry]
    ) -> HistoryResult:
        plans = await self._plans()
        if isinstance(plans, Err):
            return plans
        return Ok([_accepted_plan(entry, plans.ok_value) for entry in entries])

    async def _conflict(
        self, state: StreamState, plan: PlanRecord
    ) -> Result[Confirmation, ConflictError]:
        winners = [
            entry
            for entry in state.history
            if entry.accepted.version > plan.base
        ]
        accepted = await self._accepted_plans(winners[:SHOWN_WINNERS])
        shown = accepted.unwrap_or([])
        return Err(_conflict_error(state.fold.version, plan, shown))

    def _plan_record(self, plan: Plan) -> PlanRecord:
        return PlanRecord(
            record_id=RecordId(plan.plan_id),
            plan_id=plan.plan_id,
            base=plan.base,
            change=plan.change,
            differences=tuple(str(one) for one in plan.differences),
            operator=self._operator,
        )

    async def _read_all(
        self, stream: str
    ) -> Result[StreamRead, UnavailableError]:
        read = StreamRead(LogOffset(0), LogOffset(0))
        while True:
            match await self._platform_log.read(stream, read.end, 0):
                case Err(OffsetTooOld(oldest=oldest)):
                    read.end = oldest
                case Err(failure):
                    return Err(failure)  # type: ignore[arg-type]
                case Ok(batch):
                    read.oldest = max(read.oldest, batch.oldest)
                    read.records.extend(_decoded(batch))
                    read.end = LogOffset(batch.first + len(batch.records))
                    if read.end >= batch.next_offset:
                        return Ok(read)


def _decoded(batch: ReadBatch) -> list[PlacedRecord]:
    return [
        (LogOffset(batch.first + place), decode_record(record).ok())
        for place, record in enumerate(batch.records)
    ]


def _accepted_plan(
    entry: HistoryEntry, plans: dict[PlanId, PlanRecord]
) -> AcceptedPlan:
    plan = plans.get(entry.record.plan_id)
    return AcceptedPlan(
        version=entry.accepted.version,
        plan_id=entry.record.plan_id,
        operator=entry.record.operator or 'unknown',
        differences=plan.differences if plan else (),
    )


def _conflict_error(
    version: VersionNumber, plan: PlanRecord, winners: list[AcceptedPlan]
) -> ConflictError:
    lines = [
        f'plan {plan.plan_id} was made against version {plan.base}, but'
        f' version {version} is in force; nothing of the plan took effect.'
        ' What came first:'
    ]
    for winner in winners:
        lines.append(
            f'version {winner.version} by {winner.operator}'
            f' (plan {winner.plan_id}):'
        )
        lines.extend(f'  {one}' for one in winner.differences)
    return ConflictError('\n'.join(lines))


def _uncertain(plan_id: PlanId) -> UncertainError:
    return UncertainError(
        f'the answer of the log is lost; plan {plan_id} may have taken effect'
        f' or may still do so: repeat `rattanstile confirm {plan_id}`'
    )
