"""The faults of a trial, and how each one is injected and ended."""

import signal
from dataclasses import dataclass, field

import msgspec
from twisted.internet.threads import deferToThread

from rattanstile.errors import UnavailableError
from rattanstile.request.ids import FailureDomainId
from rattanstile.trial.fleet import Worker
from rattanstile.trial.load import OpenLoopLoad
from rattanstile.trial.run import TrialRun
from rattanstile.version.declaration import Declaration

IN_FORCE_BOUND_S = 4.0
STOP_TIMEOUT_S = 10.0


@dataclass(frozen=True, slots=True)
class Surge:
    """Multiplies the call rate of every service by a factor."""

    factor: float


@dataclass(frozen=True, slots=True)
class SlowService:
    """Multiplies the service time of a service's targets by a factor."""

    service: str
    factor: float


@dataclass(frozen=True, slots=True)
class GreedyOrganisation:
    """Multiplies the call rate of one organisation by a factor."""

    organisation: str
    factor: float


@dataclass(frozen=True, slots=True)
class ColdRestart:
    """Restarts all targets of a service without warning; they start cold."""

    service: str


@dataclass(frozen=True, slots=True)
class DomainOutOfService:
    """Takes a failure domain out of service by an operator's declaration.

    At the end of the fault, the domain is returned to service.
    """

    index: int


@dataclass(frozen=True, slots=True)
class LogOutage:
    """Makes the platform's log unavailable."""


@dataclass(frozen=True, slots=True)
class KillNode:
    """Kills one proxy of a service, and restarts it at the end."""

    service: str


@dataclass(frozen=True, slots=True)
class PauseNode:
    """Suspends one proxy of a service, and resumes it at the end."""

    service: str


@dataclass(frozen=True, slots=True)
class RollingRestart:
    """Drains and restarts every node, one after another."""


@dataclass(frozen=True, slots=True)
class WithdrawKey:
    """Withdraws the keys of an organisation, and restores them at the end."""

    organisation: str


@dataclass(frozen=True, slots=True)
class SilentConnections:
    """Makes open connections to a service's targets permanently unresponsive.

    Connections opened later are served normally.
    """

    service: str


Fault = (
    Surge
    | SlowService
    | GreedyOrganisation
    | ColdRestart
    | DomainOutOfService
    | LogOutage
    | KillNode
    | PauseNode
    | RollingRestart
    | WithdrawKey
    | SilentConnections
)


@dataclass(slots=True)
class FaultObservations:
    """Observations that can be made only while a fault lasts.

    Attributes:
        received_at_start: Calls that each target of a failure domain had
            received `IN_FORCE_BOUND_S` after the domain was taken out.
        received_at_end: Calls that each of these targets had received when
            the domain was to be returned.
        key_withdrawn_s: When the withdrawal of the keys was in force at every
            node, in seconds since the start of the load; 0 without a
            withdrawal.
    """

    received_at_start: dict[str, int] = field(default_factory=dict)
    received_at_end: dict[str, int] = field(default_factory=dict)
    key_withdrawn_s: float = 0.0

    @property
    def to_domain_out(self) -> int:
        """Return the number of calls received by targets out of service."""
        return sum(self.received_at_end.values()) - sum(
            self.received_at_start.values()
        )


async def start_fault(
    run: TrialRun,
    load: OpenLoopLoad,
    fault: Fault,
    observations: FaultObservations,
) -> None:
    """Inject a fault."""
    match fault:
        case Surge(factor=factor):
            load.demand.factor = factor
        case SlowService(service=service, factor=factor):
            await _set_switches(run, service, slowdown=factor)
        case GreedyOrganisation(organisation=organisation, factor=factor):
            load.demand.by_organisation[organisation] = factor
        case ColdRestart(service=service):
            for worker in run.fleet.of_service(service):
                await deferToThread(worker.send_command, 'restart')
        case DomainOutOfService(index=index):
            await _take_domain_out(run, index, observations)
        case LogOutage():
            await deferToThread(run.fleet.set_log_switches, down=True)
        case KillNode(service=service):
            await deferToThread(_first_worker(run, service).proxy.kill)
        case PauseNode(service=service):
            _first_worker(run, service).proxy.signal(signal.SIGSTOP)
        case RollingRestart():
            await _restart_each_node(run)
        case WithdrawKey(organisation=organisation):
            await _withdraw_key(run, load, organisation, observations)
        case SilentConnections(service=service):
            await _set_switches(run, service, silent=True)


async def end_fault(
    run: TrialRun,
    load: OpenLoopLoad,
    fault: Fault,
    observations: FaultObservations,
) -> None:
    """End a fault."""
    match fault:
        case Surge():
            load.demand.factor = 1.0
        case SlowService(service=service):
            await _set_switches(run, service, slowdown=1.0)
        case GreedyOrganisation(organisation=organisation):
            load.demand.by_organisation.pop(organisation)
        case DomainOutOfService(index=index):
            await _return_domain(run, index, observations)
        case LogOutage():
            await deferToThread(run.fleet.set_log_switches, down=False)
        case KillNode(service=service):
            await deferToThread(run.restart_proxy, _first_worker(run, service))
        case PauseNode(service=service):
            _first_worker(run, service).proxy.signal(signal.SIGCONT)
        case WithdrawKey():
            await run.confirm(_with_initial_keys(run))
        case SilentConnections(service=service):
            await _set_switches(run, service, silent=False)
        case _:
            return


def _first_worker(run: TrialRun, service: str) -> Worker:
    return run.fleet.of_service(service)[0]


async def _set_switches(
    run: TrialRun, service: str, **switches: object
) -> None:
    for worker in run.fleet.of_service(service):
        await deferToThread(worker.set_switches, **switches)


async def _take_domain_out(
    run: TrialRun, index: int, observations: FaultObservations
) -> None:
    domain = run.fleet.deployment.domain(index)
    await run.confirm(_with_domain(run.declaration, domain, in_service=False))
    await run.sleep(IN_FORCE_BOUND_S)
    observations.received_at_start = await _received_by_target(run, domain)


async def _return_domain(
    run: TrialRun, index: int, observations: FaultObservations
) -> None:
    domain = run.fleet.deployment.domain(index)
    observations.received_at_end = await _received_by_target(run, domain)
    await run.confirm(_with_domain(run.declaration, domain, in_service=True))


async def _received_by_target(
    run: TrialRun, domain: FailureDomainId
) -> dict[str, int]:
    received_by_target = {}
    for worker in run.fleet.of_domain(domain):
        stats = await deferToThread(worker.stats)
        received_by_target[worker.name] = stats.received
    return received_by_target


async def _restart_each_node(run: TrialRun) -> None:
    for worker in run.fleet.workers:
        worker.proxy.signal(signal.SIGTERM)
        exit_code = await deferToThread(worker.proxy.wait, STOP_TIMEOUT_S)
        if exit_code != 0:
            raise UnavailableError(
                f'{worker.name} did not exit cleanly: exit code {exit_code}'
            )
        await deferToThread(run.restart_proxy, worker)


async def _withdraw_key(
    run: TrialRun,
    load: OpenLoopLoad,
    organisation: str,
    observations: FaultObservations,
) -> None:
    await run.confirm(_without_key(run.declaration, organisation))
    observations.key_withdrawn_s = load.elapsed_s()


def _with_domain(
    declaration: Declaration, domain: FailureDomainId, *, in_service: bool
) -> Declaration:
    return msgspec.structs.replace(
        declaration,
        failure_domains=tuple(
            msgspec.structs.replace(failure_domain, in_service=in_service)
            if failure_domain.name == domain
            else failure_domain
            for failure_domain in declaration.failure_domains
        ),
    )


def _without_key(declaration: Declaration, organisation: str) -> Declaration:
    return msgspec.structs.replace(
        declaration,
        organisations=tuple(
            msgspec.structs.replace(declared, keys=())
            if declared.name == organisation
            else declared
            for declared in declaration.organisations
        ),
    )


def _with_initial_keys(run: TrialRun) -> Declaration:
    initial = run.initial_declaration
    keys = {declared.name: declared.keys for declared in initial.organisations}
    return msgspec.structs.replace(
        run.declaration,
        organisations=tuple(
            msgspec.structs.replace(declared, keys=keys[declared.name])
            for declared in run.declaration.organisations
        ),
    )
