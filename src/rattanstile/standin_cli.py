"""Commands that run stand-ins for the platform's log and for targets.

A third command runs the pass-through proxy, the baseline of trials.
"""

import argparse
from pathlib import Path
from typing import TypeVar

import json5
import msgspec

from rattanstile.errors import ExitCode, SettingsError
from rattanstile.process.logs import logging_to
from rattanstile.process.reactor import installed_reactor
from rattanstile.process.settings import LogSettings, parse_address
from rattanstile.ready import print_ready
from rattanstile.standin.log import LogStandin, running_log
from rattanstile.standin.passthrough import (
    PassthroughSettings,
    running_passthrough,
)
from rattanstile.standin.target import TargetProfile, running_target


def add_standin_commands(
    subparsers: 'argparse._SubParsersAction[argparse.ArgumentParser]',
) -> None:
    """Add ``standin target``, ``standin log`` and ``standin passthrough``."""
    parser = subparsers.add_parser(
        'standin',
        help='run a stand-in for the log or a target, or the baseline proxy',
        description='Stand-ins for trials and tests; not for production.',
    )
    standins = parser.add_subparsers(dest='standin', required=True)
    target = standins.add_parser('target', help='run a stand-in target')
    target.add_argument('profile', help='JSON file with the profile')
    target.add_argument('--address', default='127.0.0.1:0')
    target.set_defaults(run=_run_target)
    log = standins.add_parser(
        'log', help="run a stand-in for the platform's log"
    )
    log.add_argument('--address', default='127.0.0.1:0')
    log.set_defaults(run=_run_log)
    proxy = standins.add_parser(
        'passthrough',
        help='run the baseline proxy, which has no overload control',
    )
    proxy.add_argument('settings', help='JSON file with the targets')
    proxy.add_argument('--address', default='127.0.0.1:0')
    proxy.set_defaults(run=_run_passthrough)


SettingsType = TypeVar('SettingsType')


def read_standin_settings(
    file_name: str, settings_type: type[SettingsType]
) -> SettingsType:
    """Read the settings file of a stand-in.

    The file is JSON with comments.

    Raises:
        SettingsError: The file is not readable or not valid.
    """
    try:
        text = Path(file_name).read_text(encoding='utf-8')
        return msgspec.convert(json5.loads(text), settings_type)
    except (OSError, ValueError) as error:
        raise SettingsError(file_name, '$', str(error))


def _run_target(arguments: argparse.Namespace) -> ExitCode:
    profile = read_standin_settings(arguments.profile, TargetProfile)
    address = parse_address(arguments.address)
    reactor = installed_reactor()
    with logging_to(LogSettings(level='notice')):
        with running_target(
            reactor,
            profile,
            address.host,
            address.port,
        ) as (_, port):
            print_ready(address=f'{address.host}:{port}')
            reactor.run()
    return ExitCode.OK


def _run_log(arguments: argparse.Namespace) -> ExitCode:
    address = parse_address(arguments.address)
    reactor = installed_reactor()
    with logging_to(LogSettings(level='notice')):
        log = LogStandin(reactor)
        with running_log(reactor, address.host, address.port, log) as port:
            print_ready(address=f'{address.host}:{port}')
            reactor.run()
    return ExitCode.OK


def _run_passthrough(arguments: argparse.Namespace) -> ExitCode:
    settings = read_standin_settings(arguments.settings, PassthroughSettings)
    address = parse_address(arguments.address)
    reactor = installed_reactor()
    with logging_to(LogSettings(level='error')):
        with running_passthrough(
            reactor, settings, address.host, address.port
        ) as port:
            print_ready(caller=f'{address.host}:{port}')
            reactor.run()
    return ExitCode.OK
