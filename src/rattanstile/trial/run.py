"""A run on live processes: configures a fleet and offers load to it."""

from collections import Counter
from collections.abc import Callable, Coroutine, Iterator
from contextlib import contextmanager
from typing import Any

from result import Err
from twisted.internet.defer import Deferred
from twisted.internet.threads import deferToThread

from rattanstile.errors import UnavailableError
from rattanstile.process.configuration.log_client import LogClient
from rattanstile.process.configuration.operators import OperatorCommands
from rattanstile.process.reactor import Reactor
from rattanstile.process.timers import TimerService
from rattanstile.trial.callers import (
    HttpCaller,
    LibraryCaller,
    opened_library_caller,
)
from rattanstile.trial.deployments import declaration_of
from rattanstile.trial.fleet import Fleet, Worker
from rattanstile.trial.load import TICK_S, Caller, OpenLoopLoad, ScheduledCall
from rattanstile.trial.measures import InvariantCounts, count_violations
from rattanstile.version.declaration import Declaration
from rattanstile.version.keys import make_key

POLL_S = 0.1
WARM_UP_S = 6.0
WARM_UP_SEED = 1
CALLER_KIND_COUNT = 2
IN_FORCE_TIMEOUT_S = 20.0
PENDING_CALLS_TIMEOUT_S = 8.0


class TrialRun:
    """Drives a running fleet: declarations, load and invariant counts.

    Args:
        fleet: Fleet with a running log and targets; `begin` starts its nodes.
        report_progress: Called with each progress line.
    """

    def __init__(
        self,
        reactor: Reactor,
        fleet: Fleet,
        report_progress: Callable[[str], None],
    ) -> None:
        """Generate an API key for each organisation."""
        self.fleet = fleet
        self.report_progress = report_progress
        self.timers = TimerService(reactor, TICK_S)
        self._reactor = reactor
        deployment = fleet.deployment
        generated_keys = {name: make_key() for name in deployment.organisations}
        self.keys = {name: key.key for name, key in generated_keys.items()}
        self.declaration = declaration_of(
            deployment,
            {name: key.digest for name, key in generated_keys.items()},
        )
        self.initial_declaration = self.declaration
        self._operators = OperatorCommands(
            LogClient(reactor, fleet.log_address), 'trial'
        )

    async def begin(self) -> None:
        """Start the nodes, confirm the declaration and end all cold starts."""
        self.report_progress('starting nodes')
        await deferToThread(self.fleet.start_all_nodes)
        await self.confirm(self.declaration)
        for worker in self.fleet.workers:
            await deferToThread(worker.send_command, 'warm')

    async def warm_up(self) -> None:
        """Offer load without measuring it, since processes start cold."""
        http = self.http_caller()
        with self.load(lambda _: http, WARM_UP_SEED):
            await self.sleep(WARM_UP_S)

    async def confirm(self, declaration: Declaration) -> int:
        """Put a declaration in force at every node and return its version.

        Raises:
            RattanstileError: The plan or its confirmation was refused.
            UnavailableError: A node did not apply the version in time.
        """
        planned = await self._operators.plan(declaration)
        if isinstance(planned, Err):
            raise planned.err_value
        confirmed = await self._operators.confirm(planned.ok_value.plan_id)
        if isinstance(confirmed, Err):
            raise confirmed.err_value
        self.declaration = declaration
        version = confirmed.ok_value.version
        started_s = self.timers.now_s()
        await self.wait_until_in_force(version)
        took_s = self.timers.now_s() - started_s
        self.report_progress(
            f'version {version} in force everywhere after {took_s:.2f} s'
        )
        return version

    async def wait_until_in_force(self, version: int) -> None:
        """Wait until the version is in force at every running node.

        Raises:
            UnavailableError: It was not in force at every node in time.
        """
        until_s = self.timers.now_s() + IN_FORCE_TIMEOUT_S
        while self.timers.now_s() < until_s:
            if await deferToThread(self._all_have_version, version):
                return
            await self.sleep(POLL_S)
        raise UnavailableError(f'version {version} is not in force everywhere')

    def restart_proxy(self, worker: Worker) -> None:
        """Restart the proxy of a worker after it has exited."""
        if worker.uses_baseline:
            worker.proxy.restart()
        else:
            self.fleet.start_node(worker)
        worker.set_switches(node_address=worker.caller_address)

    async def sleep(self, delay_s: float) -> None:
        """Wait for a delay in seconds."""
        timer_fired: Deferred[float] = Deferred()
        self.timers.after(delay_s, timer_fired.callback)
        await timer_fired

    def entries(self) -> list[str]:
        """Return the caller addresses of the proxies of all workers."""
        return [worker.caller_address for worker in self.fleet.workers]

    @contextmanager
    def load(
        self, caller: Callable[[ScheduledCall], Caller], seed: int
    ) -> Iterator[OpenLoopLoad]:
        """Offer the deployment's load inside the context."""
        load = OpenLoopLoad(self.fleet.deployment, self.timers, caller, seed)
        with self.timers.every(TICK_S, load.start_due_calls):
            yield load

    async def wait_for_pending_calls(self, load: OpenLoopLoad) -> None:
        """Wait until every call has completed, or until a timeout."""
        until_s = self.timers.now_s() + PENDING_CALLS_TIMEOUT_S
        while load.pending_calls and self.timers.now_s() < until_s:
            await self.sleep(POLL_S)

    async def route_calls(self, *, baseline: bool) -> None:
        """Route all calls through baselines or nodes.

        Ends the cold starts of all targets and resets their counters.
        """
        await deferToThread(self.fleet.use_baseline, enabled=baseline)
        for worker in self.fleet.workers:
            await deferToThread(worker.send_command, 'warm')
            await deferToThread(worker.send_command, 'forget')

    async def count_violations(self, load: OpenLoopLoad) -> InvariantCounts:
        """Compare the results at callers with the runs at targets."""
        runs: Counter[str] = Counter()
        key_seen = 0
        over_cold = 0
        for worker in self.fleet.workers:
            stats = await deferToThread(worker.stats)
            runs.update(stats.runs)
            key_seen += stats.key_seen
            over_cold += stats.over_cold
        return count_violations(load.tally, runs, key_seen, over_cold)

    def http_caller(self) -> HttpCaller:
        """Return a caller over plain HTTP."""
        return HttpCaller(self._reactor, self.entries(), self.keys)

    @contextmanager
    def library_caller(self) -> Iterator[LibraryCaller]:
        """Provide a caller that uses the caller library inside the context."""
        entries = [worker.peer_address for worker in self.fleet.workers]
        with opened_library_caller(self._reactor, entries, self.keys) as caller:
            yield caller

    @contextmanager
    def both_callers(
        self, http: Caller | None = None
    ) -> Iterator[Callable[[ScheduledCall], Caller]]:
        """Provide a function that chooses the caller of each call.

        Half of the calls use the caller library, half plain HTTP.

        Args:
            http: Replaces the caller over plain HTTP.
        """
        plain = http or self.http_caller()
        with self.library_caller() as library:
            yield (
                lambda scheduled: (
                    library if scheduled.entry % CALLER_KIND_COUNT else plain
                )
            )

    def _all_have_version(self, version: int) -> bool:
        for worker in self.fleet.workers:
            if worker.running_node.alive:
                status = self.fleet.status(worker)
                admits_calls = status['admits_keyed_calls']
                if status['version'] != version or not admits_calls:
                    return False
        return True


def run_trial(
    reactor: Reactor, main: Callable[[], Coroutine[Any, Any, int]]
) -> int:
    """Run a coroutine on the reactor and return its result."""
    exit_codes: list[int] = []
    failures: list[BaseException] = []

    def begin() -> None:
        done = Deferred.fromCoroutine(main())
        done.addCallbacks(
            exit_codes.append, lambda failure: failures.append(failure.value)
        )
        done.addBoth(lambda _: reactor.stop())

    reactor.callWhenRunning(begin)
    reactor.run()
    if failures:
        raise failures[0]
    return exit_codes[0]
