"""The faults of a trial, and how each is brought about and ended."""

import signal
from dataclasses import dataclass, field

import msgspec
from twisted.internet.threads import deferToThread

from rattanstile.errors import UnavailableError
from rattanstile.request.ids import FailureDomainId
from rattanstile.trial.fleet import Worker
from rattanstile.trial.load import OpenLoad
from rattanstile.trial.run import TrialRun
from rattanstile.version.declaration import Declaration

IN_FORCE_WITHIN_S = 4.0
STOP_TIMEOUT_S = 10.0


@dataclass(frozen=True, slots=True)
class Surge:
    """Every service is called this many times as often."""

    factor: float


@dataclass(frozen=True, slots=True)
class SlowService:
    """The targets of a service take this many times as long."""

    service: str
    factor: float


@dataclass(frozen=True, slots=True)
class GreedyOrganisation:
    """One organisation calls this many times as often."""

    organisation: str
    factor: float


@dataclass(frozen=True, slots=True)
class ColdRestart:
    """All targets of a service restart at once, without warning."""

    service: str


@dataclass(frozen=True, slots=True)
class DomainOut:
    """Operators take a failure domain out of service, and return it."""

    index: int


@dataclass(frozen=True, slots=True)
class LogDown:
    """The platform's log answers nothing."""


@dataclass(frozen=True, slots=True)
class KillNode:
    """One node is killed, and started again at the end."""

    service: str


@dataclass(frozen=True, slots=True)
class PauseNode:
    """One node is stopped, and goes on at the end."""

    service: str


@dataclass(frozen=True, slots=True)
class ReplaceAllNodes:
    """Every node is drained and started again, one after another."""


@dataclass(frozen=True, slots=True)
class WithdrawKey:
    """The key of an organisation is withdrawn, and granted again."""

    organisation: str


@dataclass(frozen=True, slots=True)
class SilentConnections:
    """Open connections of a service's targets go silent for good."""

    service: str


Fault = (
    Surge
    | SlowService
    | GreedyOrganisation
    | ColdRestart
    | DomainOut
    | LogDown
    | KillNode
    | PauseNode
    | ReplaceAllNodes
    | WithdrawKey
    | SilentConnections
)


@dataclass(slots=True)
class FaultNotes:
    """What is only seen while a fault lasts.

    Attributes:
        received_out: Calls that targets of a failure domain had received
            some seconds after it was taken out.
        after_out: The same when it was returned.
        withdrawn_s: When a withdrawn key was to be dead everywhere.
    """

    received_out: dict[str, int] = field(default_factory=dict)
    after_out: dict[str, int] = field(default_factory=dict)
    withdrawn_s: float = 0.0

    @property
    def to_domain_out(self) -> int:
        """Return the calls that targets out of service received."""
        return sum(self.after_out.values()) - sum(self.received_out.values())


async def begin(
    run: TrialRun, load: OpenLoad, fault: Fault, notes: FaultNotes
) -> None:
    """Bring a fault about."""
    match fault:
        case Surge(factor=factor):
            load.demand.factor = factor
        case SlowService(service=service, factor=factor):
            await _switch(run, service, slowdown=factor)
        case GreedyOrganisation(organisation=organisation, factor=factor):
            load.demand.by_organisation[organisation] = factor
        case ColdRestart(service=service):
            for worker in run.fleet.of_service(service):
                await deferToThread(worker.order, 'restart')
        case DomainOut(index=index):
            await _take_out(run, index, notes)
        case LogDown():
            await deferToThread(run.fleet.log_switch, down=True)
        case KillNode(service=service):
            await deferToThread(_first(run, service).proxy.kill)
        case PauseNode(service=service):
            _first(run, service).proxy.signal(signal.SIGSTOP)
        case ReplaceAllNodes():
            await _replace_all(run)
        case WithdrawKey(organisation=organisation):
            await _withdraw(run, load, organisation, notes)
        case SilentConnections(service=service):
            await _switch(run, service, silent=True)


async def end(
    run: TrialRun, load: OpenLoad, fault: Fault, notes: FaultNotes
) -> None:
    """End a fault."""
    match fault:
        case Surge():
            load.demand.factor = 1.0
        case SlowService(service=service):
            await _switch(run, service, slowdown=1.0)
        case GreedyOrganisation(organisation=organisation):
            load.demand.by_organisation.pop(organisation)
        case DomainOut(index=index):
            await _return(run, index, notes)
        case LogDown():
            await deferToThread(run.fleet.log_switch, down=False)
        case KillNode(service=service):
            await deferToThread(run.start_again, _first(run, service))
        case PauseNode(service=service):
            _first(run, service).proxy.signal(signal.SIGCONT)
        case WithdrawKey():
            await run.confirm(_with_keys(run))
        case SilentConnections(service=service):
            await _switch(run, service, silent=False)
        case _:
            return


def _first(run: TrialRun, service: str) -> Worker:
    return run.fleet.of_service(service)[0]


async def _switch(run: TrialRun, service: str, **changed: object) -> None:
    for worker in run.fleet.of_service(service):
        await deferToThread(worker.switch, **changed)


async def _take_out(run: TrialRun, index: int, notes: FaultNotes) -> None:
    domain = run.fleet.deployment.domain(index)
    await run.confirm(_with_domain(run.declaration, domain, in_service=False))
    await run.sleep(IN_FORCE_WITHIN_S)
    notes.received_out = await _received(run, domain)


async def _return(run: TrialRun, index: int, notes: FaultNotes) -> None:
    domain = run.fleet.deployment.domain(index)
    notes.after_out = await _received(run, domain)
    await run.confirm(_with_domain(run.declaration, domain, in_service=True))


async def _received(run: TrialRun, domain: FailureDomainId) -> dict[str, int]:
    found = {}
    for worker in run.fleet.of_domain(domain):
        stats = await deferToThread(worker.stats)
        found[worker.name] = stats.received
    return found


async def _replace_all(run: TrialRun) -> None:
    for worker in run.fleet.workers:
        worker.proxy.signal(signal.SIGTERM)
        code = await deferToThread(worker.proxy.wait, STOP_TIMEOUT_S)
        if code != 0:
            raise UnavailableError(f'{worker.name} ended with {code}')
        await deferToThread(run.start_again, worker)


async def _withdraw(
    run: TrialRun, load: OpenLoad, organisation: str, notes: FaultNotes
) -> None:
    await run.confirm(_without_key(run.declaration, organisation))
    notes.withdrawn_s = load.elapsed_s()


def _with_domain(
    declaration: Declaration, domain: FailureDomainId, *, in_service: bool
) -> Declaration:
    return msgspec.structs.replace(
        declaration,
        failure_domains=tuple(
            msgspec.structs.replace(one, in_service=in_service)
            if one.name == domain
            else one
            for one in declaration.failure_domains
        ),
    )


def _without_key(declaration: Declaration, organisation: str) -> Declaration:
    return msgspec.structs.replace(
        declaration,
        organisations=tuple(
            msgspec.structs.replace(one, keys=())
            if one.name == organisation
            else one
            for one in declaration.organisations
        ),
    )


def _with_keys(run: TrialRun) -> Declaration:
    whole = run.first_declaration
    keys = {one.name: one.keys for one in whole.organisations}
    return msgspec.structs.replace(
        run.declaration,
        organisations=tuple(
            msgspec.structs.replace(one, keys=keys[one.name])
            for one in run.declaration.organisations
        ),
    )
