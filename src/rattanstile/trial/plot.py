"""Plots the measures of a trial."""

from pathlib import Path

from rattanstile.trial.scenarios import Measures, Side

BAR_WIDTH = 0.4
FIGURE_SIZE_INCHES = (10, 9)


def plot_measures(results: list[Measures], path: Path) -> None:
    """Plot goodput, worst-served organisation and recovery per scenario."""
    import matplotlib as mpl  # noqa: PLC0415

    mpl.use('Agg')
    from matplotlib import pyplot  # noqa: PLC0415

    names = list(dict.fromkeys(result.scenario for result in results))
    figure, axes = pyplot.subplots(
        3, 1, figsize=FIGURE_SIZE_INCHES, sharex=True
    )
    fields = ('goodput_per_s', 'worst_share', 'recovery_s')
    for axis, field in zip(axes, fields, strict=True):
        axis.set_ylabel(field)
        for side_index, side in enumerate(Side):
            side_results = [
                result for result in results if result.side == side.value
            ]
            axis.bar(
                [
                    names.index(result.scenario) + side_index * BAR_WIDTH
                    for result in side_results
                ],
                [getattr(result, field) for result in side_results],
                BAR_WIDTH,
                label=side.value,
            )
    axes[0].legend()
    axes[-1].set_xticks(range(len(names)), names, rotation=30)
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
