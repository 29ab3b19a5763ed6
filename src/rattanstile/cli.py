"""The command line."""

import argparse
import sys
from collections.abc import Sequence

from rattanstile import __version__
from rattanstile.errors import ExitCode, RattanstileError
from rattanstile.explain_cli import add_explain_command
from rattanstile.node_cli import add_node_command
from rattanstile.operator_cli import add_operator_commands
from rattanstile.standin_cli import add_standin_commands
from rattanstile.trial.demo import add_demo_command
from rattanstile.trial.trial_cli import add_trial_command

_EPILOG = """\
A first run:
  rattanstile standin log                      the platform's log, for a trial
  rattanstile node node.json --check           validate a node's settings
  rattanstile node node.json                   run the node beside a target
  rattanstile key new                          make a key for an organisation
  rattanstile plan fleet.json --log ADDRESS    show what would change
  rattanstile confirm PLAN_ID --log ADDRESS    put the plan in force
  rattanstile explain ID LOG...                why a request ended as it did

Exit codes: 0 done, 1 failure, 2 usage or settings, 3 conflict,
4 unavailable and nothing done, 5 may or may not have taken effect.
"""


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of all commands."""
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
    add_explain_command(subparsers)
    add_standin_commands(subparsers)
    add_demo_command(subparsers)
    add_trial_command(subparsers)
    return parser


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the command that the arguments name.

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
