"""What operators do: plan, confirm, look back; over the log alone."""

from dataclasses import dataclass, field

from logbook import Logger
from result import Err, Ok, Result

from rattanstile.errors import (
    ConflictError,
    RattanstileError,
    UnavailableError,
    UncertainError,
)
from rattanstile.process.log_client import (
    AppendUncertain,
    LogClient,
    LogUnavailable,
    OffsetTooOld,
    ReadBatch,
)
from rattanstile.request.ids import (
    LogOffset,
    PlanId,
    RecordId,
    VersionNumber,
)
from rattanstile.version.declaration import Declaration
from rattanstile.version.fold import Fold
from rattanstile.version.plan import Plan, differences_between, make_plan
from rattanstile.version.records import (
    CONFIGURATION_STREAM,
    PLANS_STREAM,
    Accepted,
    ConfigurationRecord,
    PlanRecord,
    Record,
    decode_record,
    encode_record,
)

SETTLE_TRIES = 6
SETTLE_WAIT_S = 0.5

_log = Logger('operators')


class NoSuchPlan(RattanstileError):
    """No plan of this id is kept."""


class NoVerifiedVersion(UnavailableError):
    """The log holds neither its first records nor a snapshot."""


@dataclass(frozen=True, slots=True)
class Confirmed:
    """A plan took effect.

    Attributes:
        repeated: Whether it had done so before this confirmation.
    """

    plan_id: PlanId
    version: VersionNumber
    repeated: bool


@dataclass(frozen=True, slots=True)
class HistoryEntry:
    """One accepted version.

    Attributes:
        differences: What it changed, as lines.
    """

    accepted: Accepted
    plan_id: PlanId
    operator: str
    differences: tuple[str, ...]


@dataclass(slots=True)
class StreamState:
    """The configuration stream read to its end.

    Attributes:
        history: The accepted versions that the log still holds.
    """

    fold: Fold = field(default_factory=Fold)
    history: list[HistoryEntry] = field(default_factory=list)

    def version_of(self, plan_id: PlanId) -> VersionNumber | None:
        """Return which version a plan made, or None if it made none."""
        for entry in self.history:
            if entry.plan_id == plan_id:
                return entry.accepted.version
        return self.fold.version_of(RecordId(plan_id))


StateResult = Result[StreamState, UnavailableError]
PlanResult = Result[Plan, UnavailableError | UncertainError]
ConfirmResult = Result[
    Confirmed, ConflictError | UnavailableError | UncertainError | NoSuchPlan
]


class Operators:
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
            case Ok(records):
                return _folded(records)
        raise AssertionError

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
            return Ok(Confirmed(plan_id, version, repeated=True))
        found = await self._find_plan(plan_id)
        if isinstance(found, Err):
            return found
        plan = found.ok_value
        if plan.base != state.ok_value.fold.version:
            return Err(_conflict(state.ok_value, plan))
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
                return Ok(Confirmed(plan.plan_id, version, repeated=False))
            if state.ok_value.fold.version > plan.base:
                return Err(_conflict(state.ok_value, plan))
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
        match await self._read_all(PLANS_STREAM):
            case Err(failure):
                return Err(failure)
            case Ok(records):
                for _offset, record in records:
                    if _is_plan(record, plan_id):
                        return Ok(record)  # type: ignore[arg-type]
        return Err(
            NoSuchPlan(f'no plan {plan_id}; make one with `rattanstile plan`')
        )

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
    ) -> Result[list[tuple[LogOffset, Record | None]], UnavailableError]:
        records: list[tuple[LogOffset, Record | None]] = []
        offset = LogOffset(0)
        while True:
            match await self._platform_log.read(stream, offset, 0):
                case Err(OffsetTooOld(oldest=oldest)):
                    offset = oldest
                case Err(failure):
                    return Err(failure)  # type: ignore[arg-type]
                case Ok(batch):
                    records.extend(_decoded(batch))
                    offset = LogOffset(batch.first + len(batch.records))
                    if offset >= batch.next_offset:
                        return Ok(records)


def _decoded(batch: ReadBatch) -> list[tuple[LogOffset, Record | None]]:
    return [
        (LogOffset(batch.first + place), decode_record(record).ok())
        for place, record in enumerate(batch.records)
    ]


def _is_plan(record: Record | None, plan_id: PlanId) -> bool:
    return isinstance(record, PlanRecord) and record.plan_id == plan_id


def _folded(records: list[tuple[LogOffset, Record | None]]) -> StateResult:
    state = StreamState()
    fold = state.fold
    if not records or records[0][0] == 0:
        fold.see_start()
    for offset, record in records:
        before = fold.declaration
        for made in fold.offer(offset, record):
            differences = differences_between(before, fold.declaration)
            state.history.append(
                HistoryEntry(
                    made.accepted,
                    made.record.plan_id,
                    made.record.operator,
                    tuple(str(one) for one in differences),
                )
            )
    if not fold.verified:
        return Err(
            NoVerifiedVersion('the log holds no snapshot of its first records')
        )
    return Ok(state)


def _conflict(state: StreamState, plan: PlanRecord) -> ConflictError:
    winners = [
        f'version {entry.accepted.version} by {entry.operator or "unknown"}'
        f' (plan {entry.plan_id}):\n  ' + '\n  '.join(entry.differences)
        for entry in state.history
        if entry.accepted.version > plan.base
    ]
    return ConflictError(
        f'plan {plan.plan_id} was made against version {plan.base}, but'
        f' version {state.fold.version} is in force; nothing of the plan took'
        ' effect. What came first:\n' + '\n'.join(winners)
    )


def _uncertain(plan_id: PlanId) -> UncertainError:
    return UncertainError(
        f'the answer of the log is lost; plan {plan_id} may have taken effect'
        f' or may still do so: repeat `rattanstile confirm {plan_id}`'
    )
