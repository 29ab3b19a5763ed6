"""Looks for windows in which an organisation got more than its rate."""

from rattanstile.request.outcome import Outcome
from rattanstile.trial.measures import Ended, Tally
from rattanstile.version.declaration import Declaration, Organisation

STEP_S = 0.5
MS_PER_S = 1000


def windows_over_rate(tally: Tally, declaration: Declaration) -> int:
    """Return how many windows hold more than rate x length + burst.

    Only calls that began and ended within a window are counted in it, since
    the time of their admission lies between; windows begin and end on a grid
    of `STEP_S`.
    """
    return sum(
        _windows_over(tally, organisation)
        for organisation in declaration.organisations
    )


def _windows_over(tally: Tally, organisation: Organisation) -> int:
    spans = [
        (
            int(ended.intended_s / STEP_S) + 1,
            int((ended.intended_s + ended.latency_ms / MS_PER_S) / STEP_S),
        )
        for ended in tally.ended
        if ended.organisation == organisation.name and _was_admitted(ended)
    ]
    last = max((until for _, until in spans), default=0) + 1
    return sum(
        _count(spans, begin, until)
        > organisation.rate_per_s * (until - begin) * STEP_S
        + organisation.burst_calls
        for begin in range(last)
        for until in range(begin + 1, last + 1)
    )


def _count(spans: list[tuple[int, int]], begin: int, until: int) -> int:
    return sum(begin < began and ended < until for began, ended in spans)


def _was_admitted(ended: Ended) -> bool:
    return ended.outcome in {Outcome.WHOLE, Outcome.FAILED}
