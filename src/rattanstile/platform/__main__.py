"""The program on each VM of the users' platform."""

import os
import signal
import sys
import time
from random import Random, SystemRandom

from twisted.logger import ILogObserver, LogEvent, globalLogBeginner
from zope.interface import implementer

from rattanstile.connection.http_exchange import HttpExchanger
from rattanstile.errors import SettingsError
from rattanstile.platform import (
    PlatformAnnouncements,
    PlatformCallers,
    PlatformStore,
    PlatformTargets,
)
from rattanstile.process.decision_log import DecisionLog, LineKind
from rattanstile.process.mesh.node import MeshNode
from rattanstile.process.mesh.ports import NodeAdapters
from rattanstile.process.mesh.settings import (
    MeshSettings,
    read_mesh_settings,
)
from rattanstile.process.reactor import Reactor, installed_reactor
from rattanstile.process.timers import TimerService

SETTINGS_VARIABLE = 'RATTANSTILE_BOOT'


def main() -> int:
    """Run a node until it is told to stop; return the exit code."""
    file_name = os.environ.get(SETTINGS_VARIABLE, '')
    try:
        settings = read_mesh_settings(file_name)
    except SettingsError as error:
        sys.stderr.write(f'{error.message}\n')
        return int(error.exit_code)
    _run(installed_reactor(), settings, file_name)
    return 0


def _run(reactor: Reactor, settings: MeshSettings, file_name: str) -> None:
    log = DecisionLog(settings.node_id, time.time)
    globalLogBeginner.beginLoggingTo(
        (_FailureObserver(log),), redirectStandardIO=False
    )
    rng = Random(SystemRandom().getrandbits(64))
    exchanger = HttpExchanger(
        reactor, TimerService(reactor), settings.store_address
    )
    adapters = NodeAdapters(
        callers=PlatformCallers(),
        targets=PlatformTargets(),
        announcements=PlatformAnnouncements(settings.target_address),
        store=PlatformStore(exchanger),
    )
    node = MeshNode(reactor, settings, adapters, log, rng)

    def reload() -> None:
        try:
            changed = read_mesh_settings(file_name)
        except SettingsError as error:
            log.write(
                LineKind.PROCESS, 'settings_unreadable', why=error.message
            )
            return
        exchanger.address = changed.store_address
        log.write(
            LineKind.PROCESS,
            'settings_reloaded',
            store=changed.store_address,
            same=changed == settings,
        )

    def on_signal(number: int, _: object) -> None:
        if number == signal.SIGHUP:
            reactor.callFromThread(reload)
        else:
            reactor.callFromThread(node.drain)

    with node.running():
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(number, on_signal)
        reactor.run(installSignalHandlers=False)  # type: ignore[call-arg]


@implementer(ILogObserver)
class _FailureObserver:
    """Writes what Twisted, or a handler of time, reports as failed."""

    def __init__(self, log: DecisionLog) -> None:
        self._log = log

    def __call__(self, event: LogEvent) -> None:
        failure = event.get('log_failure')
        if failure is not None:
            self._log.write(
                LineKind.PROCESS,
                'unexpected_failure',
                failure=failure.getErrorMessage(),
                trace=failure.getTraceback(),
            )


if __name__ == '__main__':
    sys.exit(main())
