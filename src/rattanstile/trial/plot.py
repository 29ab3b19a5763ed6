"""A plot of the measures of a trial."""

from pathlib import Path

from rattanstile.trial.scenarios import Measures, Side

WIDTH = 0.4
SIZE_INCHES = (10, 9)


def plot_measures(measured: list[Measures], path: Path) -> None:
    """Draw goodput, worst organisation and recovery of each scenario."""
    import matplotlib as mpl  # noqa: PLC0415

    mpl.use('Agg')
    from matplotlib import pyplot  # noqa: PLC0415

    names = list(dict.fromkeys(one.scenario for one in measured))
    figure, axes = pyplot.subplots(3, 1, figsize=SIZE_INCHES, sharex=True)
    fields = ('goodput_per_s', 'worst_share', 'recovery_s')
    for axis, field in zip(axes, fields, strict=True):
        axis.set_ylabel(field)
        for place, side in enumerate(Side):
            found = [one for one in measured if one.side == side.value]
            axis.bar(
                [names.index(one.scenario) + place * WIDTH for one in found],
                [getattr(one, field) for one in found],
                WIDTH,
                label=side.value,
            )
    axes[0].legend()
    axes[-1].set_xticks(range(len(names)), names, rotation=30)
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
