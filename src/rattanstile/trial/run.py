"""One run on live processes: a fleet in force, a load, and what came of it."""

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
from rattanstile.trial.load import STEP_S, Caller, DueCall, OpenLoad
from rattanstile.trial.measures import InvariantCounts, count_broken
from rattanstile.version.declaration import Declaration
from rattanstile.version.keys import make_key

POLL_S = 0.1
WARM_UP_S = 6.0
WARM_UP_SEED = 1
LIBRARY_SHARE = 2
IN_FORCE_TIMEOUT_S = 20.0
LAST_CALLS_TIMEOUT_S = 8.0


class TrialRun:
    """Drives a running fleet: declarations, load and counters.

    Args:
        fleet: Its log and its targets run; its nodes are started here.
        say: Prints progress.
    """

    def __init__(
        self, reactor: Reactor, fleet: Fleet, say: Callable[[str], None]
    ) -> None:
        """Make a key for each organisation."""
        self.fleet = fleet
        self.say = say
        self.timers = TimerService(reactor, STEP_S)
        self._reactor = reactor
        deployment = fleet.deployment
        made = {name: make_key() for name in deployment.organisations}
        self.keys = {name: key.key for name, key in made.items()}
        self.declaration = declaration_of(
            deployment, {name: key.digest for name, key in made.items()}
        )
        self.first_declaration = self.declaration
        self._operators = OperatorCommands(
            LogClient(reactor, fleet.log_address), 'trial'
        )

    async def begin(self) -> None:
        """Start the nodes, confirm the declaration, end the cold start."""
        self.say('starting nodes')
        await deferToThread(self.fleet.start_all_nodes)
        await self.confirm(self.declaration)
        for worker in self.fleet.workers:
            await deferToThread(worker.order, 'warm')

    async def warm_up(self) -> None:
        """Call for a while without measuring: targets start cold."""
        http = self.http_caller()
        with self.load(lambda _: http, WARM_UP_SEED):
            await self.sleep(WARM_UP_S)

    async def confirm(self, declaration: Declaration) -> int:
        """Put a declaration in force at every node; return its version.

        Raises:
            RattanstileError: The plan was refused.
            UnavailableError: A node did not follow in time.
        """
        planned = await self._operators.plan(declaration)
        if isinstance(planned, Err):
            raise planned.err_value
        confirmed = await self._operators.confirm(planned.ok_value.plan_id)
        if isinstance(confirmed, Err):
            raise confirmed.err_value
        self.declaration = declaration
        version = confirmed.ok_value.version
        began_s = self.timers.now_s()
        await self.in_force_everywhere(version)
        took_s = self.timers.now_s() - began_s
        self.say(f'version {version} in force everywhere after {took_s:.2f} s')
        return version

    async def in_force_everywhere(self, version: int) -> None:
        """Wait until every node that runs has the version in force."""
        until_s = self.timers.now_s() + IN_FORCE_TIMEOUT_S
        while self.timers.now_s() < until_s:
            if await deferToThread(self._all_have, version):
                return
            await self.sleep(POLL_S)
        raise UnavailableError(f'version {version} is not in force everywhere')

    def start_again(self, worker: Worker) -> None:
        """Start a worker's proxy again after it ended."""
        if worker.uses_baseline:
            worker.proxy.restart()
        else:
            self.fleet.start_node(worker)
        worker.switch(node_address=worker.caller_address)

    async def sleep(self, delay_s: float) -> None:
        """Wait for a while."""
        woken: Deferred[float] = Deferred()
        self.timers.after(delay_s, woken.callback)
        await woken

    def entries(self) -> list[str]:
        """Return the caller addresses of all nodes."""
        return [worker.caller_address for worker in self.fleet.workers]

    @contextmanager
    def load(
        self, caller: Callable[[DueCall], Caller], seed: int
    ) -> Iterator[OpenLoad]:
        """Offer the deployment's load while the block runs."""
        load = OpenLoad(self.fleet.deployment, self.timers, caller, seed)
        with self.timers.every(STEP_S, load.step):
            yield load

    async def last_calls(self, load: OpenLoad) -> None:
        """Wait until every call has ended, or for some seconds."""
        until_s = self.timers.now_s() + LAST_CALLS_TIMEOUT_S
        while load.open_calls and self.timers.now_s() < until_s:
            await self.sleep(POLL_S)

    async def use(self, *, baseline: bool) -> None:
        """Send all calls through nodes or baselines, with calm targets."""
        await deferToThread(self.fleet.use_baseline, chosen=baseline)
        for worker in self.fleet.workers:
            await deferToThread(worker.order, 'warm')
            await deferToThread(worker.order, 'forget')

    async def count_broken(self, load: OpenLoad) -> InvariantCounts:
        """Compare what callers saw with what targets ran."""
        runs: Counter[str] = Counter()
        key_seen = 0
        over_cold = 0
        for worker in self.fleet.workers:
            stats = await deferToThread(worker.stats)
            runs.update(stats.runs)
            key_seen += stats.key_seen
            over_cold += stats.over_cold
        return count_broken(load.tally, runs, key_seen, over_cold)

    def http_caller(self) -> HttpCaller:
        """Return a caller that uses plain HTTP."""
        return HttpCaller(self._reactor, self.entries(), self.keys)

    @contextmanager
    def library_caller(self) -> Iterator[LibraryCaller]:
        """Provide a caller that uses the caller library in the block."""
        entries = [worker.peer_address for worker in self.fleet.workers]
        with opened_library_caller(self._reactor, entries, self.keys) as caller:
            yield caller

    @contextmanager
    def both_callers(
        self, http: Caller | None = None
    ) -> Iterator[Callable[[DueCall], Caller]]:
        """Provide the choice of a caller: half library, half plain HTTP.

        Args:
            http: Stands in for the plain caller.
        """
        plain = http or self.http_caller()
        with self.library_caller() as library:
            yield lambda due: library if due.entry % LIBRARY_SHARE else plain

    def _all_have(self, version: int) -> bool:
        for worker in self.fleet.workers:
            if worker.running_node.alive:
                status = self.fleet.status(worker)
                admits = status['admits_keyed_calls']
                if status['version'] != version or not admits:
                    return False
        return True


def run_trial(
    reactor: Reactor, main: Callable[[], Coroutine[Any, Any, int]]
) -> int:
    """Run a coroutine on the reactor and return its result."""
    codes: list[int] = []
    failures: list[BaseException] = []

    def begin() -> None:
        done = Deferred.fromCoroutine(main())
        done.addCallbacks(
            codes.append, lambda failure: failures.append(failure.value)
        )
        done.addBoth(lambda _: reactor.stop())

    reactor.callWhenRunning(begin)
    reactor.run()
    if failures:
        raise failures[0]
    return codes[0]
