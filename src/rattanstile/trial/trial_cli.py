"""The command that runs trials on live processes."""

import argparse
from pathlib import Path

import msgspec
from twisted.internet.threads import deferToThread

from rattanstile.errors import ExitCode
from rattanstile.process.reactor import installed_reactor
from rattanstile.trial.demo import say
from rattanstile.trial.deployments import DEPLOYMENTS, VEDLOTT
from rattanstile.trial.fleet import running_fleet
from rattanstile.trial.plot import plot_measures
from rattanstile.trial.run import TrialRun, run_trial
from rattanstile.trial.scenarios import (
    BY_NAME,
    SCENARIOS,
    Measures,
    Scenario,
    Side,
    run_scenario,
)

ALL = 'all'
SETTLE_S = 2.0


def add_trial_command(
    subparsers: 'argparse._SubParsersAction[argparse.ArgumentParser]',
) -> None:
    """Add ``trial``."""
    parser = subparsers.add_parser(
        'trial',
        help='measure a deployment on live processes under faults',
        description='Each scenario runs on nodes and, where it can, on the'
        ' pass-through baseline. Ends with 1 if an invariant was broken.',
    )
    parser.add_argument('name', choices=(ALL, *BY_NAME))
    parser.add_argument(
        '--deployment', choices=sorted(DEPLOYMENTS), default=VEDLOTT.name
    )
    parser.add_argument('--output', default='', help='folder for JSON and plot')
    parser.add_argument('--folder', default='', help='keeps settings and logs')
    parser.set_defaults(run=run_trial_command)


def run_trial_command(arguments: argparse.Namespace) -> ExitCode:
    """Run the scenarios that the arguments name."""
    deployment = DEPLOYMENTS[arguments.deployment]
    reactor = installed_reactor()
    chosen: tuple[Scenario, ...] = SCENARIOS
    if arguments.name != ALL:
        chosen = (BY_NAME[arguments.name],)
    measured: list[Measures] = []
    with running_fleet(deployment, arguments.folder) as fleet:
        run = TrialRun(reactor, fleet, say)

        async def main() -> int:
            await _run_all(run, chosen, measured)
            return ExitCode.OK

        run_trial(reactor, main)
    if arguments.output:
        _write(Path(arguments.output), measured)
    broken = sum(
        sum(one.broken.values()) + one.after_withdrawal
        for one in measured
        if one.side == Side.NODES.value
    )
    say(f'invariants broken: {broken}')
    return ExitCode.FAILURE if broken else ExitCode.OK


async def _run_all(
    run: TrialRun, chosen: tuple[Scenario, ...], measured: list[Measures]
) -> None:
    await run.begin()
    await run.warm_up()
    if any(one.has_baseline for one in chosen):
        await deferToThread(run.fleet.start_all_baselines)
    for scenario in chosen:
        await run.use(baseline=False)
        measured.append(await run_scenario(run, scenario, Side.NODES))
        _print(measured[-1])
        if scenario.has_baseline:
            await run.use(baseline=True)
            measured.append(await run_scenario(run, scenario, Side.BASELINE))
            _print(measured[-1])


def _print(found: Measures) -> None:
    broken = {name: count for name, count in found.broken.items() if count}
    say(
        f'{found.scenario:10} {found.side:11}'
        f' demand {found.demand_per_s:6.1f}/s'
        f' goodput {found.goodput_per_s:6.1f}/s'
        f' during {found.during_per_s:6.1f}/s'
        f' recovery {found.recovery_s:5.2f} s'
        f' worst {found.worst_share:6.1%}'
        f' refused {found.refused_within_rate:7.2%}'
        f' p99 {found.p99_ms:7.1f} ms'
        f' unknown {found.unknown} failed {found.failed}'
        f' refused {found.refused or "-"}'
        f' broken {broken or 0}'
    )


def _write(folder: Path, measured: list[Measures]) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    encoded = msgspec.json.format(msgspec.json.encode(measured))
    (folder / 'trial.json').write_bytes(encoded)
    plot_measures(measured, folder / 'trial.png')
