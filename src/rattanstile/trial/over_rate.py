"""Finds windows in which an organisation exceeded its rate."""

from rattanstile.request.outcome import Outcome
from rattanstile.trial.measures import CompletedCall, Tally
from rattanstile.version.declaration import Declaration, Organisation

GRID_STEP_S = 0.5
MS_PER_S = 1000


def windows_over_rate(tally: Tally, declaration: Declaration) -> int:
    """Return the number of windows with more than rate x length + burst.

    A call counts in a window only if it starts and completes within it, since
    its admission lies at an unknown time between the two. Windows start and
    end on a grid of `GRID_STEP_S`.
    """
    return sum(
        _organisation_windows_over_rate(tally, organisation)
        for organisation in declaration.organisations
    )


def _organisation_windows_over_rate(
    tally: Tally, organisation: Organisation
) -> int:
    spans = [
        (
            int(call.intended_s / GRID_STEP_S) + 1,
            int((call.intended_s + call.latency_ms / MS_PER_S) / GRID_STEP_S),
        )
        for call in tally.completed
        if call.organisation == organisation.name and _was_admitted(call)
    ]
    last_step = max((window_end for _, window_end in spans), default=0) + 1
    return sum(
        _calls_within(spans, window_start, window_end)
        > organisation.rate_per_s * (window_end - window_start) * GRID_STEP_S
        + organisation.burst_calls
        for window_start in range(last_step)
        for window_end in range(window_start + 1, last_step + 1)
    )


def _calls_within(
    spans: list[tuple[int, int]], window_start: int, window_end: int
) -> int:
    return sum(
        window_start < call_start and call_end < window_end
        for call_start, call_end in spans
    )


def _was_admitted(call: CompletedCall) -> bool:
    return call.outcome in {Outcome.WHOLE, Outcome.FAILED}
