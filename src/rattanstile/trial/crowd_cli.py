"""The ``trial crowd`` command: one crowd against one listener."""

import argparse

from rattanstile.errors import ExitCode
from rattanstile.standin.crowd_shapes import (
    CROWD_SHAPES_BY_NAME,
    CrowdIdentity,
)
from rattanstile.trial.crowd import Crowd

CROWD = 'crowd'
MAX_SEND_S = 30.0


def add_crowd_options(parser: argparse.ArgumentParser) -> None:
    """Add the options of ``trial crowd``."""
    group = parser.add_argument_group(
        'crowd', 'clients that hold memory and connections of one listener'
    )
    group.add_argument('--address', default='', help='IP:port of the listener')
    group.add_argument(
        '--shape',
        choices=sorted(CROWD_SHAPES_BY_NAME),
        default='one-byte-chunks',
    )
    group.add_argument('--host', default='localhost', help='host of requests')
    group.add_argument('--key', default='', help='key of an organisation')
    group.add_argument('--seed', type=int, default=1)
    group.add_argument(
        '--hold-s',
        type=float,
        default=5.0,
        help='time for which the connections stay open afterwards',
    )


def run_crowd_command(arguments: argparse.Namespace) -> ExitCode:
    """Run one crowd and print how it fared.

    Returns:
        `ExitCode.USAGE` without an address.
    """
    if not arguments.address:
        print('trial crowd: --address is required')
        return ExitCode.USAGE
    crowd = Crowd(
        arguments.address,
        CROWD_SHAPES_BY_NAME[arguments.shape],
        CrowdIdentity(arguments.host, arguments.key),
        arguments.seed,
    )
    try:
        crowd.connect()
        crowd.run(MAX_SEND_S)
        crowd.hold(arguments.hold_s)
        counts = crowd.counts
    finally:
        crowd.close()
    print(
        f'{arguments.shape}: connected {counts.connected},'
        f' refused {counts.refused},'
        f' closed by the node {counts.closed}, sent {counts.sent_bytes} bytes'
    )
    return ExitCode.OK
