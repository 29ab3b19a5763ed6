"""The demonstration: a whole deployment, its declaration and its calls."""

import argparse
import sys

from rattanstile.errors import ExitCode
from rattanstile.process.reactor import installed_reactor
from rattanstile.trial.deployments import DEPLOYMENTS, VEDLOTT
from rattanstile.trial.fleet import running_fleet
from rattanstile.trial.load import OpenLoad
from rattanstile.trial.measures import InvariantCounts, Tally
from rattanstile.trial.run import TrialRun, run_trial

SEED = 7
LENGTH_S = 12.0
PROGRESS_S = 2.0


def add_demo_command(
    subparsers: 'argparse._SubParsersAction[argparse.ArgumentParser]',
) -> None:
    """Add ``demo``."""
    parser = subparsers.add_parser(
        'demo',
        help='run a whole deployment on this machine and call it',
        description='Starts the log, every target and every node, confirms a'
        ' declaration, calls for a while and prints what came of each call.',
    )
    parser.add_argument(
        '--deployment', choices=sorted(DEPLOYMENTS), default=VEDLOTT.name
    )
    parser.add_argument('--length-s', type=float, default=LENGTH_S)
    parser.add_argument(
        '--folder',
        default='',
        help='keeps settings and logs; temporary if not given',
    )
    parser.set_defaults(run=run_demo)


def run_demo(arguments: argparse.Namespace) -> ExitCode:
    """Run the demonstration.

    Returns:
        `ExitCode.OK` only if no call was lost and none ran twice.
    """
    deployment = DEPLOYMENTS[arguments.deployment]
    reactor = installed_reactor()
    say(f'starting the log and the targets of {deployment.name}')
    with running_fleet(deployment, arguments.folder) as fleet:
        run = TrialRun(reactor, fleet, say)

        async def main() -> int:
            return await _demonstrate(run, arguments.length_s)

        return ExitCode(run_trial(reactor, main))


def say(line: str) -> None:
    """Print a line of progress at once."""
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


async def _demonstrate(run: TrialRun, length_s: float) -> int:
    await run.begin()
    with run.both_callers() as choose:
        with run.load(choose, SEED) as load:
            while load.elapsed_s() < length_s:
                await run.sleep(PROGRESS_S)
                say(_progress(load))
        await run.last_calls(load)
    broken = await run.count_broken(load)
    say(table(load.tally))
    say(f'{broken}')
    return int(ExitCode.FAILURE if _is_bad(load.tally, broken) else ExitCode.OK)


def _progress(load: OpenLoad) -> str:
    total = load.tally.total
    return (
        f'{load.elapsed_s():5.1f} s  sent {load.tally.sent}'
        f'  whole {total.whole}  refused {total.refused.total()}'
        f'  unknown {total.unknown}  failed {total.failed}'
    )


def _is_bad(tally: Tally, broken: InvariantCounts) -> bool:
    return broken.broken > 0 or tally.total.whole == 0


def table(tally: Tally) -> str:
    """Return the figures of each service and organisation as a table."""
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
