"""Operator commands (plan, confirm, history), which use only the log."""

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
    OffsetRecord,
    StreamContents,
    StreamState,
    fold_stream,
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

MAX_CONFLICTS_SHOWN = 5
MAX_OUTCOME_CHECKS = 6
OUTCOME_CHECK_WAIT_S = 0.5

_log = Logger('operators')


class NoSuchPlan(RattanstileError):
    """The log holds no plan with this id."""


@dataclass(frozen=True, slots=True)
class Confirmation:
    """Confirmation that a plan took effect.

    Attributes:
        repeated: Whether the plan had taken effect before this confirmation.
    """

    plan_id: PlanId
    version: VersionNumber
    repeated: bool


@dataclass(frozen=True, slots=True)
class AcceptedPlan:
    """A plan that created a version.

    Attributes:
        differences: The changes as shown to the operator; empty if the plan
            is past retention.
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
    """Commands of one operator, which read the log and append to it.

    Args:
        log: Client of the platform's log.
        operator: Name of the operator, as stored in the records.
    """

    def __init__(self, log: LogClient, operator: str) -> None:
        """Store the client and the operator's name."""
        self._platform_log = log
        self._operator = operator

    async def state(self) -> StateResult:
        """Read the configuration stream to its end."""
        match await self._read_all(CONFIGURATION_STREAM):
            case Err(failure):
                return Err(failure)
            case Ok(contents):
                return fold_stream(contents)
        raise AssertionError

    async def history(self, last: int) -> HistoryResult:
        """Return the last accepted plans that the log retains, oldest first."""
        state = await self.state()
        if isinstance(state, Err):
            return state
        return await self._build_accepted_plans(state.ok_value.history[-last:])

    async def plan(self, declaration: Declaration) -> PlanResult:
        """Store a plan in the log without putting it into force.

        A plan without differences is returned but not stored.
        """
        state = await self.state()
        if isinstance(state, Err):
            return state
        fold = state.ok_value.fold
        plan = make_plan(fold.version, fold.declaration, declaration)
        if not plan.differences:
            return Ok(plan)
        append_result = await self._platform_log.append(
            PLANS_STREAM, encode_record(self._build_plan_record(plan))
        )
        match append_result:
            case Err(LogUnavailable() as failure):
                return Err(failure)
            case Err(failure):
                return await self._check_plan_stored(plan, failure)
        return Ok(plan)

    async def confirm(self, plan_id: PlanId) -> ConfirmResult:
        """Put a plan into force if its base version still is.

        Returns:
            The version created; a conflict that lists the newer versions; or
            an error whose type says whether the plan may have taken effect.
        """
        state = await self.state()
        if isinstance(state, Err):
            return state
        version = state.ok_value.version_of(plan_id)
        if version is not None:
            return Ok(Confirmation(plan_id, version, repeated=True))
        plan_result = await self._find_plan(plan_id)
        if isinstance(plan_result, Err):
            return plan_result
        plan = plan_result.ok_value
        if plan.base != state.ok_value.fold.version:
            return await self._conflict_result(state.ok_value, plan)
        return await self._append_plan(plan)

    async def _append_plan(self, plan: PlanRecord) -> ConfirmResult:
        record = ConfigurationRecord(
            record_id=RecordId(plan.plan_id),
            base=plan.base,
            change=plan.change,
            plan_id=plan.plan_id,
            operator=self._operator,
        )
        append_result = await self._platform_log.append(
            CONFIGURATION_STREAM, encode_record(record)
        )
        if isinstance(append_result, Err):
            if isinstance(append_result.err_value, LogUnavailable):
                return Err(append_result.err_value)
        _log.info(
            'event=plan_appended plan={} base={} acknowledged={}',
            plan.plan_id,
            plan.base,
            append_result.is_ok(),
        )
        return await self._await_outcome(plan, append_result)

    async def _await_outcome(
        self,
        plan: PlanRecord,
        append_result: Result[LogOffset, LogUnavailable | AppendUncertain],
    ) -> ConfirmResult:
        for wait_s in (OUTCOME_CHECK_WAIT_S,) * MAX_OUTCOME_CHECKS:
            state = await self.state()
            if isinstance(state, Err):
                break
            version = state.ok_value.version_of(plan.plan_id)
            if version is not None:
                return Ok(Confirmation(plan.plan_id, version, repeated=False))
            if state.ok_value.fold.version > plan.base:
                return await self._conflict_result(state.ok_value, plan)
            await self._platform_log.read(
                CONFIGURATION_STREAM,
                state.ok_value.fold.read_end,
                wait_s,
            )
        return Err(_build_uncertain_error(plan.plan_id))

    async def _check_plan_stored(
        self, plan: Plan, failure: UnavailableError | UncertainError
    ) -> PlanResult:
        plan_result = await self._find_plan(plan.plan_id)
        return Ok(plan) if plan_result.is_ok() else Err(failure)

    async def _find_plan(
        self, plan_id: PlanId
    ) -> Result[PlanRecord, UnavailableError | NoSuchPlan]:
        plans = await self._plans()
        if isinstance(plans, Err):
            return plans
        plan = plans.ok_value.get(plan_id)
        if plan is not None:
            return Ok(plan)
        return Err(
            NoSuchPlan(
                f'plan {plan_id} not found; create one with `rattanstile plan`'
            )
        )

    async def _plans(
        self,
    ) -> Result[dict[PlanId, PlanRecord], UnavailableError]:
        contents = await self._read_all(PLANS_STREAM)
        if isinstance(contents, Err):
            return contents
        plans: dict[PlanId, PlanRecord] = {}
        for _offset, record in contents.ok_value.records:
            if isinstance(record, PlanRecord):
                plans.setdefault(record.plan_id, record)
        return Ok(plans)

    async def _build_accepted_plans(
        self, entries: list[HistoryEntry]
    ) -> HistoryResult:
        plans = await self._plans()
        if isinstance(plans, Err):
            return plans
        return Ok(
            [_build_accepted_plan(entry, plans.ok_value) for entry in entries]
        )

    async def _conflict_result(
        self, state: StreamState, plan: PlanRecord
    ) -> Result[Confirmation, ConflictError]:
        conflicting = [
            entry
            for entry in state.history
            if entry.accepted.version > plan.base
        ]
        plans = await self._build_accepted_plans(
            conflicting[:MAX_CONFLICTS_SHOWN]
        )
        newer_plans = plans.unwrap_or([])
        return Err(_build_conflict_error(state.fold.version, plan, newer_plans))

    def _build_plan_record(self, plan: Plan) -> PlanRecord:
        return PlanRecord(
            record_id=RecordId(plan.plan_id),
            plan_id=plan.plan_id,
            base=plan.base,
            change=plan.change,
            differences=tuple(
                str(difference) for difference in plan.differences
            ),
            operator=self._operator,
        )

    async def _read_all(
        self, stream: str
    ) -> Result[StreamContents, UnavailableError]:
        contents = StreamContents(LogOffset(0), LogOffset(0))
        while True:
            match await self._platform_log.read(stream, contents.end, 0):
                case Err(OffsetTooOld(oldest=oldest)):
                    contents.end = oldest
                case Err(failure):
                    return Err(failure)  # type: ignore[arg-type]
                case Ok(batch):
                    contents.oldest = max(contents.oldest, batch.oldest)
                    contents.records.extend(_decode_batch(batch))
                    contents.end = LogOffset(batch.first + len(batch.records))
                    if contents.end >= batch.next_offset:
                        return Ok(contents)


def _decode_batch(batch: ReadBatch) -> list[OffsetRecord]:
    return [
        (LogOffset(batch.first + index), decode_record(record).ok())
        for index, record in enumerate(batch.records)
    ]


def _build_accepted_plan(
    entry: HistoryEntry, plans: dict[PlanId, PlanRecord]
) -> AcceptedPlan:
    plan = plans.get(entry.record.plan_id)
    return AcceptedPlan(
        version=entry.accepted.version,
        plan_id=entry.record.plan_id,
        operator=entry.record.operator or 'unknown',
        differences=plan.differences if plan else (),
    )


def _build_conflict_error(
    version: VersionNumber, plan: PlanRecord, newer_plans: list[AcceptedPlan]
) -> ConflictError:
    lines = [
        f'plan {plan.plan_id} is based on version {plan.base}, but version'
        f' {version} is in force; no part of the plan took effect.'
        ' Versions accepted since its base:'
    ]
    for newer_plan in newer_plans:
        lines.append(
            f'version {newer_plan.version} by {newer_plan.operator}'
            f' (plan {newer_plan.plan_id}):'
        )
        lines.extend(f'  {difference}' for difference in newer_plan.differences)
    return ConflictError('\n'.join(lines))


def _build_uncertain_error(plan_id: PlanId) -> UncertainError:
    return UncertainError(
        f'the outcome of plan {plan_id} is unknown; it may have taken effect'
        f' or may still do so: run `rattanstile confirm {plan_id}` again'
    )
