"""Draws the overload cases over time into docs/overload.png."""

from collections.abc import Callable
from pathlib import Path

import logbook
import matplotlib as mpl
from matplotlib import pyplot as plt

from bench.overload import DEPLOYMENTS, Deployment
from bench.overload_cases import (
    SLOW_S,
    SURGE_S,
    WARM_S,
    chain_at_three_times,
    slow_deep_service,
)
from bench.overload_load import Request, whole_per_s
from bench.overload_model import Fleet, ServiceShape

FILE = Path(__file__).parent.parent / 'docs' / 'overload.png'
SPAN_S = 1.0
DOTS_PER_INCH = 80
Case = Callable[[Fleet, tuple[ServiceShape, ...]], object]


def _whole(requests: list[Request]) -> tuple[list[float], list[float]]:
    """Return times in seconds and whole requests a second at each."""
    last_s = max(one.begun_s for one in requests)
    times = [SPAN_S * index for index in range(int(last_s / SPAN_S))]
    rates = [whole_per_s(requests, at_s, at_s + SPAN_S) for at_s in times]
    return times, rates


def _draw(axes: plt.Axes, deployment: Deployment, case: Case) -> None:
    chain = deployment.chain
    fleets = {
        'rattanstile': deployment.real(),
        'pass-through': deployment.pass_through(),
    }
    for name, fleet in fleets.items():
        case(fleet, chain)
        axes.plot(*_whole(fleet.requests), label=name)
    axes.axhline(
        deployment.deepest.capacity_per_s,
        color='grey',
        linestyle=':',
        label='deepest capacity',
    )
    axes.set_xlabel('seconds')
    axes.set_ylabel('whole requests a second')


def main() -> None:
    """Draw both deployments and write the file."""
    mpl.use('Agg')
    figure, grid = plt.subplots(
        len(DEPLOYMENTS), 2, figsize=(11, 7), layout='constrained'
    )
    with logbook.NullHandler().applicationbound():
        for axes, deployment in zip(grid, DEPLOYMENTS, strict=True):
            _draw(axes[0], deployment, chain_at_three_times)
            axes[0].axvline(WARM_S, color='lightgrey')
            axes[0].set_title(f'{deployment.name}: chain at 3x')
            _draw(axes[1], deployment, slow_deep_service)
            slow_s = WARM_S + SURGE_S
            axes[1].axvspan(slow_s, slow_s + SLOW_S, color='whitesmoke')
            axes[1].set_title(f'{deployment.name}: deep service 4x slower')
    grid[0][0].legend()
    FILE.parent.mkdir(exist_ok=True)
    figure.savefig(FILE, dpi=DOTS_PER_INCH)


if __name__ == '__main__':
    main()
