"""Commands that run the stand-ins for the platform's log and for a target."""

import argparse
from pathlib import Path

import json5
import msgspec

from rattanstile.errors import ExitCode, SettingsError
from rattanstile.process.logs import logging_to
from rattanstile.process.reactor import installed_reactor
from rattanstile.process.settings import LogSettings, parse_address
from rattanstile.ready import print_ready
from rattanstile.standin.target import TargetProfile, running_target


def add_standin_commands(
    subparsers: 'argparse._SubParsersAction[argparse.ArgumentParser]',
) -> None:
    """Add ``standin target`` and ``standin log``."""
    parser = subparsers.add_parser(
        'standin',
        help='run a stand-in for the platform or for a target',
        description='Stand-ins for trials and tests; not for production.',
    )
    standins = parser.add_subparsers(dest='standin', required=True)
    target = standins.add_parser('target', help='run a stand-in target')
    target.add_argument('profile', help='JSON file with the profile')
    target.add_argument('--address', default='127.0.0.1:0')
    target.set_defaults(run=_run_target)


def read_profile(file_name: str) -> TargetProfile:
    """Read the profile of a stand-in target.

    Raises:
        SettingsError: The file is no valid profile.
    """
    try:
        text = Path(file_name).read_text(encoding='utf-8')
        return msgspec.convert(json5.loads(text), TargetProfile)
    except (OSError, ValueError) as error:
        raise SettingsError(file_name, '$', str(error))


def _run_target(arguments: argparse.Namespace) -> ExitCode:
    profile = read_profile(arguments.profile)
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
