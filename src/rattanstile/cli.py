"""The command line entry point and its argument parser."""

import argparse
import sys
from collections.abc import Sequence

from rattanstile import __version__
from rattanstile.check_cli import add_check_command
from rattanstile.errors import ExitCode, RattanstileError
from rattanstile.explain_cli import add_explain_command
from rattanstile.node_cli import add_node_command
from rattanstile.operator_cli import add_operator_commands
from rattanstile.standin_cli import add_standin_commands
from rattanstile.trial.demo import add_demo_command
from rattanstile.trial.trial_cli import add_trial_command

_EPILOG = """\
Getting started:
  rattanstile standin log                      run a stand-in for the log
  rattanstile node node.json --check           validate a node's settings
  rattanstile node node.json                   run the node beside a target
  rattanstile key new                          create an organisation's key
  rattanstile plan fleet.json --log ADDRESS    show what would change
  rattanstile confirm PLAN_ID --log ADDRESS    apply the plan
  rattanstile check config.json                review a configuration
  rattanstile explain ID LOG...                explain a request's outcome

Exit codes: 0 success, 1 failure, 2 usage or settings error, 3 conflict,
4 service unavailable, nothing was changed, 5 may or may not have taken effect.
"""


def build_parser() -> argparse.ArgumentParser:
    """Return the argument parser with all commands."""
    parser = argparse.ArgumentParser(
        prog='rattanstile',
        description='An overload control layer for service call graphs.',
        epilog=_EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        '--version', action='version', version=f'%(prog)s {__version__}'
    )
    subparsers = parser.add_subparsers(dest='command', required=True)
    add_node_command(subparsers)
    add_operator_commands(subparsers)
    add_check_command(subparsers)
    add_explain_command(subparsers)
    add_standin_commands(subparsers)
    add_demo_command(subparsers)
    add_trial_command(subparsers)
    return parser


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the command given by the arguments.

    Returns:
        The exit code; see `rattanstile.errors.ExitCode`.
    """
    parsed = build_parser().parse_args(arguments)
    try:
        return int(parsed.run(parsed))
    except RattanstileError as error:
        sys.stderr.write(f'Error: {error.message}\n')
        return int(error.exit_code)
    except KeyboardInterrupt:
        return int(ExitCode.FAILURE)
