"""Runs a node on a VM of the users' platform."""

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
    PlatformAnnouncementCodec,
    PlatformCallerCodec,
    PlatformStore,
    PlatformTargetCodec,
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
    """Run a node until a signal stops it; return the exit code."""
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
        callers=PlatformCallerCodec(),
        targets=PlatformTargetCodec(),
        announcements=PlatformAnnouncementCodec(settings.target_address),
        store=PlatformStore(exchanger),
    )
    node = MeshNode(reactor, settings, adapters, log, rng)

    def reload() -> None:
        try:
            new_settings = read_mesh_settings(file_name)
        except SettingsError as error:
            log.write(
                LineKind.PROCESS, 'settings_unreadable', why=error.message
            )
            return
        exchanger.address = new_settings.store_address
        node.serving.settings_named(new_settings.service)
        log.write(
            LineKind.PROCESS,
            'settings_reloaded',
            store=new_settings.store_address,
            service=new_settings.service,
            same=new_settings == settings,
        )

    def on_signal(signal_number: int, _: object) -> None:
        if signal_number == signal.SIGHUP:
            reactor.callFromThread(reload)
        else:
            reactor.callFromThread(node.drain, reactor.seconds())

    with node.running():
        for signal_number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(signal_number, on_signal)
        reactor.run(installSignalHandlers=False)  # type: ignore[call-arg]


@implementer(ILogObserver)
class _FailureObserver:
    """Logs the failures that Twisted logs, such as those of timer handlers."""

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
