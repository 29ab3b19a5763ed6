"""Writes the statuses of rollouts to the store, each one once.

The store arbitrates between two nodes that both believe to decide: a status is
appended only if the log of statuses ends where it was read. A final status of
the same order that is found there is adopted.
"""

from result import Err
from twisted.internet.defer import Deferred

from rattanstile.process.decision_log import DecisionLog, LineKind
from rattanstile.process.mesh.ports import FleetStore, RolloutStatuses
from rattanstile.process.mesh.rollout.rollout_decider import RolloutDecider
from rattanstile.process.mesh.rollout.rollout_verdict import (
    RolloutState,
    RolloutStatus,
)
from rattanstile.request.ids import NO_ERA, StoreEra

RETRY_S = 0.5
"""Delay after a read or append that failed."""


class StatusWriter:
    """Compares the due statuses with the store's and appends what is missing.

    Args:
        store: The platform's store.
        decider: Says which statuses are due, and hears which are stored.
        log: Receives a line for each append.
    """

    def __init__(
        self,
        store: FleetStore,
        decider: RolloutDecider,
        log: DecisionLog,
    ) -> None:
        """Start without having read the store."""
        self._store = store
        self._decider = decider
        self._log = log
        self._stored: set[RolloutStatus] = set()
        self._stored_era = NO_ERA
        self._is_busy = False
        self._due_s = 0.0

    def forget(self) -> None:
        """Read the store again before the next append."""
        self._stored.clear()

    def check(self, now_s: float, era: StoreEra) -> None:
        """Write the statuses that the store doesn't hold yet.

        Args:
            now_s: Monotonic seconds.
            era: Era of the store; a restored one may have lost some.
        """
        if era > self._stored_era:
            self._stored.clear()
        due = self._decider.due_statuses()
        # A version that is ordered again has the same statuses as before, but
        # the newest one in the store may be of another version by now.
        missing = [
            each
            for each in due
            if each not in self._stored
            or not self._decider.is_status_known(each)
        ]
        if not missing or self._is_busy or now_s < self._due_s:
            return
        self._is_busy = True
        self._due_s = now_s + RETRY_S
        Deferred.fromCoroutine(self._write(missing)).addBoth(self._done)

    def _done(self, outcome: object) -> None:
        self._is_busy = False
        if outcome is not None:
            self._log.write(
                LineKind.STORE, 'rollout_status_failed', why=repr(outcome)
            )

    async def _write(self, missing: list[RolloutStatus]) -> None:
        read = await self._store.rollout_statuses()
        if isinstance(read, Err):
            return
        statuses = read.ok_value
        self._stored_era = max(self._stored_era, statuses.era)
        end = statuses.end
        for status in missing:
            found = _held(statuses, status)
            if found is not None:
                self._hold(found)
                continue
            if not await self._append(status, end):
                return
            end += 1

    async def _append(self, status: RolloutStatus, end: int) -> bool:
        appended = await self._store.append_rollout_status(status, end)
        self._log.write(
            LineKind.STORE,
            'rollout_status',
            service=status.service,
            target_version=status.version,
            state=status.state.value,
            end=end,
            appended=not isinstance(appended, Err),
        )
        if isinstance(appended, Err):
            return False
        self._hold(status)
        return True

    def _hold(self, status: RolloutStatus) -> None:
        self._stored.add(status)
        self._decider.status_stored(status)


def _held(
    statuses: RolloutStatuses, due: RolloutStatus
) -> RolloutStatus | None:
    """Return the stored status that stands in place of a due one, if any."""
    stored = statuses.by_service.get(due.service)
    if stored is None or stored.version != due.version:
        return None
    is_final = stored.state is not RolloutState.RUNNING
    return stored if is_final or stored == due else None
