"""The ``demo`` command: starts a complete deployment and calls it."""

import argparse
import sys

from rattanstile.errors import ExitCode
from rattanstile.process.reactor import installed_reactor
from rattanstile.trial.deployments import DEPLOYMENTS, VEDLOTT
from rattanstile.trial.fleet import running_fleet
from rattanstile.trial.load import OpenLoopLoad
from rattanstile.trial.measures import InvariantCounts, Tally
from rattanstile.trial.run import TrialRun, run_trial

LOAD_SEED = 7
DEFAULT_LENGTH_S = 12.0
PROGRESS_PERIOD_S = 2.0


def add_demo_command(
    subparsers: 'argparse._SubParsersAction[argparse.ArgumentParser]',
) -> None:
    """Add the ``demo`` command."""
    parser = subparsers.add_parser(
        'demo',
        help='run a complete deployment on this machine under load',
        description='Starts the log, every target and every node, confirms a'
        ' declaration, offers load and prints the outcomes of the calls.',
    )
    parser.add_argument(
        '--deployment', choices=sorted(DEPLOYMENTS), default=VEDLOTT.name
    )
    parser.add_argument('--length-s', type=float, default=DEFAULT_LENGTH_S)
    parser.add_argument(
        '--folder',
        default='',
        help='folder for settings and logs; a temporary one by default',
    )
    parser.set_defaults(run=run_demo)


def run_demo(arguments: argparse.Namespace) -> ExitCode:
    """Run the demo.

    Returns:
        `ExitCode.OK` only if no invariant was violated and at least one call
        completed.
    """
    deployment = DEPLOYMENTS[arguments.deployment]
    reactor = installed_reactor()
    print_progress(f'starting the log and the targets of {deployment.name}')
    with running_fleet(deployment, arguments.folder) as fleet:
        run = TrialRun(reactor, fleet, print_progress)

        async def main() -> int:
            return await _demonstrate(run, arguments.length_s)

        return ExitCode(run_trial(reactor, main))


def print_progress(line: str) -> None:
    """Print a line and flush it."""
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


async def _demonstrate(run: TrialRun, length_s: float) -> int:
    await run.begin()
    with run.both_callers() as choose_caller:
        with run.load(choose_caller, LOAD_SEED) as load:
            while load.elapsed_s() < length_s:
                await run.sleep(PROGRESS_PERIOD_S)
                print_progress(_progress(load))
        await run.wait_for_pending_calls(load)
    violations = await run.count_violations(load)
    print_progress(format_table(load.tally))
    print_progress(f'{violations}')
    return int(
        ExitCode.FAILURE if _has_failed(load.tally, violations) else ExitCode.OK
    )


def _progress(load: OpenLoopLoad) -> str:
    total = load.tally.total
    return (
        f'{load.elapsed_s():5.1f} s  sent {load.tally.sent}'
        f'  whole {total.whole}  refused {total.refused.total()}'
        f'  unknown {total.unknown}  failed {total.failed}'
    )


def _has_failed(tally: Tally, violations: InvariantCounts) -> bool:
    return violations.violation_count > 0 or tally.total.whole == 0


def format_table(tally: Tally) -> str:
    """Return a table of the figures of each service and organisation."""
    lines = [
        f'{"service":18} {"organisation":14} {"sent":>6} {"whole":>6}'
        f' {"unknown":>7} {"failed":>6} {"p50 ms":>8} {"p99 ms":>8}  refused'
    ]
    for (service, organisation), group in sorted(tally.groups.items()):
        refused = ' '.join(
            f'{reason}={count}'
            for reason, count in sorted(group.refused.items())
        )
        lines.append(
            f'{service:18} {organisation:14} {group.sent:6} {group.whole:6}'
            f' {group.unknown:7} {group.failed:6}'
            f' {group.percentile_ms(50):8.1f} {group.percentile_ms(99):8.1f}'
            f'  {refused or "-"}'
        )
    return '\n'.join(lines)
