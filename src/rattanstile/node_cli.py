"""The ``node`` command, which runs a node."""

import argparse
import signal

from rattanstile.errors import ExitCode
from rattanstile.process.logs import logging_to
from rattanstile.process.node import Node
from rattanstile.process.reactor import Reactor, installed_reactor
from rattanstile.process.running_node import running_node
from rattanstile.process.settings import parse_address, read_settings
from rattanstile.ready import print_ready


def add_node_command(
    subparsers: 'argparse._SubParsersAction[argparse.ArgumentParser]',
) -> None:
    """Add the ``node`` command to a parser."""
    parser = subparsers.add_parser(
        'node',
        help='run the node beside a target',
        description='Runs until SIGTERM or SIGINT, then drains: the node'
        ' refuses new calls, finishes those in flight (up to the drain'
        ' timeout) and exits.',
    )
    parser.add_argument('settings', help='settings file, JSON with comments')
    parser.add_argument(
        '--check',
        action='store_true',
        help='validate the settings and exit',
    )
    parser.set_defaults(run=_run_node)


def _run_node(arguments: argparse.Namespace) -> ExitCode:
    settings = read_settings(arguments.settings)
    if arguments.check:
        print(f'{arguments.settings}: settings are valid')
        return ExitCode.OK
    reactor = installed_reactor()
    with logging_to(settings.log), running_node(reactor, settings) as node:
        # Set the signal handlers once the reactor runs, because it installs
        # its own when it starts.
        reactor.callWhenRunning(_drain_on_signals, reactor, node)
        node.on_serving.append(lambda: _print_addresses(node))
        reactor.run()
    return ExitCode.OK


def _drain_on_signals(reactor: Reactor, node: Node) -> None:
    def drain(*_: object) -> None:
        reactor.callFromThread(node.drain, reactor.stop)

    signal.signal(signal.SIGTERM, drain)
    signal.signal(signal.SIGINT, drain)


def _print_addresses(node: Node) -> None:
    ports = node.core.ports
    settings = node.core.settings
    print_ready(
        caller=_bound_address(settings.caller_address, ports.caller),
        peer=_bound_address(settings.peer_address, ports.peer),
        control=ports.control,
        operator=_bound_address(settings.operator_address, ports.operator),
    )


def _bound_address(setting: str, port: int) -> str:
    return f'{parse_address(setting).host}:{port}'
