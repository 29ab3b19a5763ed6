"""Operators' commands: plan, confirm, status, history and key new."""

import argparse
import getpass
import os
import sys
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from pathlib import Path
from typing import Any

import msgspec
from result import Err, Ok, Result
from twisted.internet.defer import Deferred
from twisted.web.client import Agent, readBody

from rattanstile.errors import (
    ExitCode,
    RattanstileError,
    SettingsError,
)
from rattanstile.process.configuration.log_client import LogClient
from rattanstile.process.configuration.operators import OperatorCommands
from rattanstile.process.configuration.stream_state import StreamState
from rattanstile.request.ids import PlanId
from rattanstile.version.checked_file import read_checked
from rattanstile.version.checks import read_declaration
from rattanstile.version.keys import make_key

LOG_VARIABLE = 'RATTANSTILE_LOG'
NODE_TIMEOUT_S = 3.0
SHOWN_VERSIONS = 20

Command = Callable[[argparse.Namespace], ExitCode]


class _Settings(msgspec.Struct):
    log_address: str


class NodeStatus(msgspec.Struct, frozen=True):
    """What one node has in force, as `status` prints it.

    Attributes:
        status: The node's own answer, or why there is none.
    """

    address: str
    status: Any


class FleetStatus(msgspec.Struct, frozen=True):
    """The version that the log has, and what nodes say."""

    version: int
    organisations: int
    services: int
    failure_domains_out: tuple[str, ...]
    targets_out: tuple[str, ...]
    nodes: tuple[NodeStatus, ...] = ()


def add_operator_commands(
    subparsers: 'argparse._SubParsersAction[argparse.ArgumentParser]',
) -> None:
    """Add the operators' commands, each with a `run` that gives the code."""
    plan = subparsers.add_parser(
        'plan', help='show what a declaration would change, and keep the plan'
    )
    plan.add_argument('file', type=Path, help='declaration file')
    confirm = subparsers.add_parser(
        'confirm', help='put a plan into force, unless another came first'
    )
    confirm.add_argument('plan_id', help='as `rattanstile plan` printed it')
    status = subparsers.add_parser(
        'status', help='show the version in force, in the log and at nodes'
    )
    status.add_argument('--json', action='store_true', help='print JSON')
    status.add_argument(
        '--node',
        action='append',
        default=[],
        metavar='ADDRESS',
        help="a node's operator address; may be given several times",
    )
    history = subparsers.add_parser(
        'history', help='list the versions that the log still holds'
    )
    history.add_argument(
        '--last',
        type=int,
        default=SHOWN_VERSIONS,
        metavar='N',
        help='how many versions to list (default: %(default)s)',
    )
    for parser, run in (
        (plan, run_plan),
        (confirm, run_confirm),
        (status, run_status),
        (history, run_history),
    ):
        _add_log_options(parser)
        parser.set_defaults(run=run)
    _add_key_commands(subparsers)


def run_plan(arguments: argparse.Namespace) -> ExitCode:
    """Print what would change and the id to confirm it by."""
    declared = read_declaration(arguments.file)
    if isinstance(declared, Err):
        return _failed(declared.err_value)

    async def command(operators: OperatorCommands) -> ExitCode:
        match await operators.plan(declared.ok_value):
            case Err(failure):
                return _failed(failure)
            case Ok(plan):
                print(f'against version {plan.base}:')
                for difference in plan.differences:
                    print(f'  {difference}')
                if plan.differences:
                    print(f'to confirm: rattanstile confirm {plan.plan_id}')
                else:
                    print('  nothing would change')
        return ExitCode.OK

    return _with_operators(arguments, command)


def run_confirm(arguments: argparse.Namespace) -> ExitCode:
    """Put a plan into force and print the version that it made."""

    async def command(operators: OperatorCommands) -> ExitCode:
        match await operators.confirm(PlanId(arguments.plan_id)):
            case Err(failure):
                return _failed(failure)
            case Ok(confirmed):
                already = ' already' if confirmed.repeated else ''
                print(
                    f'plan {confirmed.plan_id} took effect{already}'
                    f' as version {confirmed.version}'
                )
        return ExitCode.OK

    return _with_operators(arguments, command)


def run_history(arguments: argparse.Namespace) -> ExitCode:
    """Print the accepted versions, oldest first."""

    async def command(operators: OperatorCommands) -> ExitCode:
        match await operators.history(max(1, arguments.last)):
            case Err(failure):
                return _failed(failure)
            case Ok(accepted):
                for one in accepted:
                    print(
                        f'version {one.version} plan {one.plan_id}'
                        f' by {one.operator}'
                    )
                    for line in one.differences:
                        print(f'  {line}')
        return ExitCode.OK

    return _with_operators(arguments, command)


def run_status(arguments: argparse.Namespace) -> ExitCode:
    """Print the version of the log, and what the nodes named have."""

    async def command(operators: OperatorCommands) -> ExitCode:
        state = await operators.state()
        if isinstance(state, Err):
            return _failed(state.err_value)
        nodes = [await _node_status(address) for address in arguments.node]
        status = _fleet_status(state.ok_value, tuple(nodes))
        if arguments.json:
            print(msgspec.json.encode(status).decode())
        else:
            _print_status(status)
        return ExitCode.OK

    return _with_operators(arguments, command)


def run_key_new(arguments: argparse.Namespace) -> ExitCode:
    """Print a new key once, and the line for the declaration."""
    made = make_key()
    print(f'key (shown once, kept nowhere): {made.key}')
    print(f'line for "keys" in the declaration: "{made.digest}",')
    return ExitCode.OK


def _add_log_options(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        '--log',
        metavar='ADDRESS',
        help=f"the platform's log, HOST:PORT (or {LOG_VARIABLE})",
    )
    parser.add_argument(
        '--settings',
        type=Path,
        help="a node's settings file to take the log's address from",
    )
    parser.add_argument(
        '--operator',
        default=None,
        help='who acts, as the history shows it (default: the user name)',
    )


def _add_key_commands(
    subparsers: 'argparse._SubParsersAction[argparse.ArgumentParser]',
) -> None:
    key = subparsers.add_parser('key', help='make keys')
    commands = key.add_subparsers(required=True, metavar='COMMAND')
    new = commands.add_parser(
        'new', help='make a key and print the line for the declaration'
    )
    new.set_defaults(run=run_key_new)


def _log_address(
    arguments: argparse.Namespace,
) -> Result[str, RattanstileError]:
    if arguments.log:
        return Ok(arguments.log)
    if arguments.settings:
        settings = read_checked(arguments.settings, _Settings)
        return settings.map(lambda read: read.log_address)
    if os.environ.get(LOG_VARIABLE):
        return Ok(os.environ[LOG_VARIABLE])
    return Err(
        SettingsError(
            'command line',
            '--log',
            f'found none; allowed is HOST:PORT, or set {LOG_VARIABLE}',
        )
    )


def _with_operators(
    arguments: argparse.Namespace,
    command: Callable[[OperatorCommands], Awaitable[ExitCode]],
) -> ExitCode:
    address = _log_address(arguments)
    if isinstance(address, Err):
        return _failed(address.err_value)
    # Installs the reactor, which `--help` and a refused file do not need.
    from twisted.internet import reactor  # noqa: PLC0415

    client = LogClient(reactor, address.ok_value)
    operators = OperatorCommands(client, arguments.operator or _user())
    ended: list[Any] = []

    async def run_command() -> ExitCode:
        return await command(operators)

    def start() -> None:
        running = Deferred.fromCoroutine(run_command())
        running.addBoth(ended.append)
        running.addBoth(lambda _none: client.close())
        running.addBoth(lambda _none: reactor.stop())

    reactor.callWhenRunning(start)
    reactor.run()
    return _ended_with(ended)


def _ended_with(ended: list[Any]) -> ExitCode:
    if ended and isinstance(ended[0], ExitCode):
        return ended[0]
    print(f'failed: {ended}', file=sys.stderr)
    return ExitCode.FAILURE


def _user() -> str:
    try:
        return getpass.getuser()
    except (OSError, KeyError):
        return ''


def _failed(failure: RattanstileError) -> ExitCode:
    print(failure.message, file=sys.stderr)
    return failure.exit_code


async def _node_status(address: str) -> NodeStatus:
    from twisted.internet import reactor  # noqa: PLC0415

    agent = Agent(reactor, connectTimeout=NODE_TIMEOUT_S)
    try:
        response = await agent.request(
            b'GET', f'http://{address}/status'.encode()
        ).addTimeout(NODE_TIMEOUT_S, reactor)
        body = await readBody(response)
        if response.code != HTTPStatus.OK:
            return NodeStatus(address, f'answered {response.code}')
        return NodeStatus(address, msgspec.json.decode(body))
    except Exception as failure:
        return NodeStatus(address, f'no answer: {failure!r}')


def _fleet_status(
    state: StreamState, nodes: tuple[NodeStatus, ...]
) -> FleetStatus:
    declaration = state.fold.declaration
    return FleetStatus(
        version=state.fold.version,
        organisations=len(declaration.organisations),
        services=len(declaration.services),
        failure_domains_out=tuple(
            domain.name
            for domain in declaration.failure_domains
            if not domain.in_service
        ),
        targets_out=declaration.targets_out,
        nodes=nodes,
    )


def _print_status(status: FleetStatus) -> None:
    print(f'version {status.version}')
    print(f'  organisations: {status.organisations}')
    print(f'  services: {status.services}')
    print(f'  failure domains out: {_listed(status.failure_domains_out)}')
    print(f'  targets out: {_listed(status.targets_out)}')
    for node in status.nodes:
        print(f'  node {node.address}: {node.status}')


def _listed(names: tuple[str, ...]) -> str:
    return ', '.join(names) or 'none'
