"""The ``trial`` command: runs scenarios on live processes."""

import argparse
from pathlib import Path

import msgspec
from twisted.internet.threads import deferToThread

from rattanstile.errors import ExitCode
from rattanstile.process.reactor import installed_reactor
from rattanstile.trial.crowd_cli import (
    CROWD,
    add_crowd_options,
    run_crowd_command,
)
from rattanstile.trial.demo import print_progress
from rattanstile.trial.deployments import DEPLOYMENTS, VEDLOTT
from rattanstile.trial.fleet import running_fleet
from rattanstile.trial.plot import plot_measures
from rattanstile.trial.run import TrialRun, run_trial
from rattanstile.trial.scenarios import (
    SCENARIOS,
    SCENARIOS_BY_NAME,
    Measures,
    Scenario,
    Side,
    run_scenario,
)

ALL_SCENARIOS = 'all'
SETTLE_S = 2.0


def add_trial_command(
    subparsers: 'argparse._SubParsersAction[argparse.ArgumentParser]',
) -> None:
    """Add the ``trial`` command."""
    parser = subparsers.add_parser(
        'trial',
        help='measure a deployment on live processes under faults',
        description='Runs each scenario on nodes and, where the faults apply,'
        ' on the pass-through baseline. Exits with 1 if an invariant was'
        ' violated.',
    )
    parser.add_argument(
        'name', choices=(ALL_SCENARIOS, CROWD, *SCENARIOS_BY_NAME)
    )
    parser.add_argument(
        '--deployment', choices=sorted(DEPLOYMENTS), default=VEDLOTT.name
    )
    parser.add_argument('--output', default='', help='folder for JSON and plot')
    parser.add_argument(
        '--folder',
        default='',
        help='folder for settings and logs; a temporary one by default',
    )
    add_crowd_options(parser)
    parser.set_defaults(run=run_trial_command)


def run_trial_command(arguments: argparse.Namespace) -> ExitCode:
    """Run the selected scenarios.

    Returns:
        `ExitCode.FAILURE` if an invariant was violated on nodes.
    """
    if arguments.name == CROWD:
        return run_crowd_command(arguments)
    deployment = DEPLOYMENTS[arguments.deployment]
    reactor = installed_reactor()
    selected: tuple[Scenario, ...] = SCENARIOS
    if arguments.name != ALL_SCENARIOS:
        selected = (SCENARIOS_BY_NAME[arguments.name],)
    results: list[Measures] = []
    with running_fleet(deployment, arguments.folder) as fleet:
        run = TrialRun(reactor, fleet, print_progress)

        async def main() -> int:
            await _run_all(run, selected, results)
            return ExitCode.OK

        run_trial(reactor, main)
    if arguments.output:
        _write_results(Path(arguments.output), results)
    violations = sum(
        sum(measures.broken.values()) + measures.after_withdrawal
        for measures in results
        if measures.side == Side.NODES.value
    )
    print_progress(f'invariants broken: {violations}')
    return ExitCode.FAILURE if violations else ExitCode.OK


async def _run_all(
    run: TrialRun, selected: tuple[Scenario, ...], results: list[Measures]
) -> None:
    await run.begin()
    await run.warm_up()
    if any(scenario.has_baseline for scenario in selected):
        await deferToThread(run.fleet.start_all_baselines)
    for scenario in selected:
        await run.route_calls(baseline=False)
        results.append(await run_scenario(run, scenario, Side.NODES))
        _print_measures(results[-1])
        if scenario.has_baseline:
            await run.route_calls(baseline=True)
            results.append(await run_scenario(run, scenario, Side.BASELINE))
            _print_measures(results[-1])


def _print_measures(measures: Measures) -> None:
    broken = {name: count for name, count in measures.broken.items() if count}
    print_progress(
        f'{measures.scenario:10} {measures.side:11}'
        f' demand {measures.demand_per_s:6.1f}/s'
        f' goodput {measures.goodput_per_s:6.1f}/s'
        f' during {measures.during_per_s:6.1f}/s'
        f' recovery {measures.recovery_s:5.2f} s'
        f' worst {measures.worst_share:6.1%}'
        f' refused {measures.refused_within_rate:7.2%}'
        f' p99 {measures.p99_ms:7.1f} ms'
        f' unknown {measures.unknown} failed {measures.failed}'
        f' refused {measures.refused or "-"}'
        f' broken {broken or 0}'
    )


def _write_results(folder: Path, results: list[Measures]) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    encoded = msgspec.json.format(msgspec.json.encode(results))
    (folder / 'trial.json').write_bytes(encoded)
    plot_measures(results, folder / 'trial.png')
