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

LOG_ADDRESS_VARIABLE = 'RATTANSTILE_LOG'
NODE_TIMEOUT_S = 3.0
DEFAULT_HISTORY_VERSIONS = 20

Command = Callable[[argparse.Namespace], ExitCode]


class _Settings(msgspec.Struct):
    log_address: str


class NodeStatus(msgspec.Struct, frozen=True):
    """The status of one node, as the ``status`` command prints it.

    Attributes:
        status: The node's decoded response, or text that says why there is
            none.
    """

    address: str
    status: Any


class FleetStatus(msgspec.Struct, frozen=True):
    """The version in force in the log and the status of the queried nodes.

    Attributes:
        failure_domains_out: Failure domains that are out of service.
        targets_out: Targets that operators took out of service.
    """

    version: int
    organisations: int
    services: int
    failure_domains_out: tuple[str, ...]
    targets_out: tuple[str, ...]
    nodes: tuple[NodeStatus, ...] = ()


def add_operator_commands(
    subparsers: 'argparse._SubParsersAction[argparse.ArgumentParser]',
) -> None:
    """Add the operators' commands.

    Each sets `run` to a function that returns the exit code.
    """
    plan = subparsers.add_parser(
        'plan', help='show what a declaration would change, and store the plan'
    )
    plan.add_argument('file', type=Path, help='declaration file')
    confirm = subparsers.add_parser(
        'confirm', help='apply a plan, unless the version has changed since'
    )
    confirm.add_argument('plan_id', help='as `rattanstile plan` printed it')
    status = subparsers.add_parser(
        'status', help='show the version in force in the log and at nodes'
    )
    status.add_argument('--json', action='store_true', help='print JSON')
    status.add_argument(
        '--node',
        action='append',
        default=[],
        metavar='ADDRESS',
        help="a node's operator address; can be repeated",
    )
    history = subparsers.add_parser(
        'history', help='list the versions that the log still holds'
    )
    history.add_argument(
        '--last',
        type=int,
        default=DEFAULT_HISTORY_VERSIONS,
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
    """Print the changes of a plan and the command that confirms it."""
    declaration = read_declaration(arguments.file)
    if isinstance(declaration, Err):
        return _report_error(declaration.err_value)

    async def command(operators: OperatorCommands) -> ExitCode:
        match await operators.plan(declaration.ok_value):
            case Err(failure):
                return _report_error(failure)
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
    """Apply a plan and print the version that it created."""

    async def command(operators: OperatorCommands) -> ExitCode:
        match await operators.confirm(PlanId(arguments.plan_id)):
            case Err(failure):
                return _report_error(failure)
            case Ok(confirmation):
                already = ' already' if confirmation.repeated else ''
                print(
                    f'plan {confirmation.plan_id} took effect{already}'
                    f' as version {confirmation.version}'
                )
        return ExitCode.OK

    return _with_operators(arguments, command)


def run_history(arguments: argparse.Namespace) -> ExitCode:
    """Print the accepted versions, oldest first."""

    async def command(operators: OperatorCommands) -> ExitCode:
        match await operators.history(max(1, arguments.last)):
            case Err(failure):
                return _report_error(failure)
            case Ok(accepted_plans):
                for accepted_plan in accepted_plans:
                    print(
                        f'version {accepted_plan.version}'
                        f' plan {accepted_plan.plan_id}'
                        f' by {accepted_plan.operator}'
                    )
                    for difference in accepted_plan.differences:
                        print(f'  {difference}')
        return ExitCode.OK

    return _with_operators(arguments, command)


def run_status(arguments: argparse.Namespace) -> ExitCode:
    """Print the version in the log and the status of the given nodes."""

    async def command(operators: OperatorCommands) -> ExitCode:
        state = await operators.state()
        if isinstance(state, Err):
            return _report_error(state.err_value)
        nodes = [await _node_status(address) for address in arguments.node]
        status = _fleet_status(state.ok_value, tuple(nodes))
        if arguments.json:
            print(msgspec.json.encode(status).decode())
        else:
            _print_status(status)
        return ExitCode.OK

    return _with_operators(arguments, command)


def run_key_new(arguments: argparse.Namespace) -> ExitCode:
    """Print a new key and its line for the declaration.

    The key is not stored, so it can't be shown again.
    """
    new_key = make_key()
    print(f'key (shown once, kept nowhere): {new_key.key}')
    print(f'line for "keys" in the declaration: "{new_key.digest}",')
    return ExitCode.OK


def _add_log_options(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        '--log',
        metavar='ADDRESS',
        help=f"the platform's log, HOST:PORT (or {LOG_ADDRESS_VARIABLE})",
    )
    parser.add_argument(
        '--settings',
        type=Path,
        help="a node's settings file to read the log's address from",
    )
    parser.add_argument(
        '--operator',
        default=None,
        help='operator name shown in the history (default: user name)',
    )


def _add_key_commands(
    subparsers: 'argparse._SubParsersAction[argparse.ArgumentParser]',
) -> None:
    key = subparsers.add_parser('key', help='create keys')
    commands = key.add_subparsers(required=True, metavar='COMMAND')
    key_new = commands.add_parser(
        'new', help='create a key and print its line for the declaration'
    )
    key_new.set_defaults(run=run_key_new)


def _log_address(
    arguments: argparse.Namespace,
) -> Result[str, RattanstileError]:
    if arguments.log:
        return Ok(arguments.log)
    if arguments.settings:
        settings = read_checked(arguments.settings, _Settings)
        return settings.map(lambda read: read.log_address)
    if os.environ.get(LOG_ADDRESS_VARIABLE):
        return Ok(os.environ[LOG_ADDRESS_VARIABLE])
    return Err(
        SettingsError(
            'command line',
            '--log',
            f'not given; pass HOST:PORT or set {LOG_ADDRESS_VARIABLE}',
        )
    )


def _with_operators(
    arguments: argparse.Namespace,
    command: Callable[[OperatorCommands], Awaitable[ExitCode]],
) -> ExitCode:
    address = _log_address(arguments)
    if isinstance(address, Err):
        return _report_error(address.err_value)
    # Importing it installs the reactor, which `--help` and an invalid
    # declaration file do not need.
    from twisted.internet import reactor  # noqa: PLC0415

    client = LogClient(reactor, address.ok_value)
    operators = OperatorCommands(client, arguments.operator or _user_name())
    outcomes: list[Any] = []

    async def run_command() -> ExitCode:
        return await command(operators)

    def start() -> None:
        outcome = Deferred.fromCoroutine(run_command())
        outcome.addBoth(outcomes.append)
        outcome.addBoth(lambda _none: client.close())
        outcome.addBoth(lambda _none: reactor.stop())

    reactor.callWhenRunning(start)
    reactor.run()
    return _exit_code(outcomes)


def _exit_code(outcomes: list[Any]) -> ExitCode:
    if outcomes and isinstance(outcomes[0], ExitCode):
        return outcomes[0]
    print(f'command failed: {outcomes}', file=sys.stderr)
    return ExitCode.FAILURE


def _user_name() -> str:
    try:
        return getpass.getuser()
    except (OSError, KeyError):
        return ''


def _report_error(failure: RattanstileError) -> ExitCode:
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
    print(f'  failure domains out: {_join_names(status.failure_domains_out)}')
    print(f'  targets out: {_join_names(status.targets_out)}')
    for node in status.nodes:
        print(f'  node {node.address}: {node.status}')


def _join_names(names: tuple[str, ...]) -> str:
    return ', '.join(names) or 'none'
