"""The five measures of the users, and the counts of invariant violations."""

from collections import Counter, defaultdict
from dataclasses import dataclass, fields

from hdrh.histogram import HdrHistogram

from rattanstile.request.outcome import Outcome

MIN_LATENCY_US = 1
MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 3
BUCKET_S = 0.5
US_PER_MS = 1000
RECOVERED_RATIO = 0.95


@dataclass(frozen=True, slots=True)
class CompletedCall:
    """A completed root call as its caller observed it.

    Attributes:
        intended_s: Intended start, since the start of the load.
        latency_ms: Time from the intended start to the response, with the
            delay between client and node both ways.
        reason: Why the outcome is not `Outcome.WHOLE`; empty if it is, or if
            the reply states no outcome.
        wrong_answer: Whether the response belongs to another call.
    """

    organisation: str
    service: str
    trial_id: str
    is_write: bool
    intended_s: float
    latency_ms: float
    outcome: Outcome
    reason: str = ''
    wrong_answer: bool = False


@dataclass(frozen=True, slots=True)
class InvariantCounts:
    """Violations of each invariant; all are 0 in a correct run.

    Attributes:
        lost: Calls that did not complete.
        ran_twice: Calls that are not idempotent and ran more than once.
        false_not_run: Calls that are not idempotent and ran, but were
            reported as not run.
        whole_not_run: Calls with a complete response that no target ran.
        wrong_answer: Calls that got the response to another call.
        key_seen: Requests with an API key that reached a target.
        over_cold: Calls beyond the capacity of a cold target.
        over_rate: Windows in which an organisation exceeded its rate.
        to_domain_out: Calls received by targets out of service.
    """

    lost: int = 0
    ran_twice: int = 0
    false_not_run: int = 0
    whole_not_run: int = 0
    wrong_answer: int = 0
    key_seen: int = 0
    over_cold: int = 0
    over_rate: int = 0
    to_domain_out: int = 0

    @property
    def violation_count(self) -> int:
        """Return the sum of all counts."""
        return sum(self.as_dict().values())

    def as_dict(self) -> dict[str, int]:
        """Return the counts by name."""
        return {field.name: getattr(self, field.name) for field in fields(self)}


class CallGroup:
    """Figures of a group of calls, such as one service and organisation."""

    def __init__(self) -> None:
        """Initialise without calls."""
        self.sent = 0
        self.whole = 0
        self.refused: Counter[str] = Counter()
        self.failed = 0
        self.unknown = 0
        self.latency = HdrHistogram(
            MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS
        )

    def add(self, call: CompletedCall) -> None:
        """Count a completed call."""
        self.sent += 1
        match call.outcome:
            case Outcome.WHOLE:
                self.whole += 1
                recorded_us = int(call.latency_ms * US_PER_MS)
                self.latency.record_value(
                    min(max(recorded_us, MIN_LATENCY_US), MAX_LATENCY_US)
                )
            case Outcome.NOT_RUN:
                self.refused[call.reason] += 1
            case Outcome.FAILED:
                self.failed += 1
            case Outcome.UNKNOWN:
                self.unknown += 1

    def percentile_ms(self, percentile: float) -> float:
        """Return a latency percentile of calls with a complete response."""
        latency_us: int = self.latency.get_value_at_percentile(percentile)
        return latency_us / US_PER_MS


class Tally:
    """The calls of one run, in total and by service and organisation."""

    def __init__(self) -> None:
        """Initialise without calls."""
        self.completed: list[CompletedCall] = []
        self.groups: dict[tuple[str, str], CallGroup] = defaultdict(CallGroup)
        self.total = CallGroup()
        self.sent = 0

    def add(self, call: CompletedCall) -> None:
        """Record a completed call."""
        self.completed.append(call)
        self.groups[call.service, call.organisation].add(call)
        self.total.add(call)

    def whole_per_s(self, from_s: float, until_s: float) -> float:
        """Return the rate of complete responses to calls due in a window."""
        whole = sum(
            call.outcome is Outcome.WHOLE
            for call in self.completed
            if from_s <= call.intended_s < until_s
        )
        return whole / max(until_s - from_s, BUCKET_S)

    def recovery_s(self, fault_end_s: float, until_s: float) -> float:
        """Return the time from the end of the fault until recovery, in seconds.

        The run has recovered once goodput stays at 95% of demand or more, in
        buckets of calls by their intended start. If it never recovers, this is
        the length of the window.
        """
        start = int(fault_end_s / BUCKET_S)
        due_calls: Counter[int] = Counter()
        whole_calls: Counter[int] = Counter()
        for call in self.completed:
            bucket = int(call.intended_s / BUCKET_S)
            due_calls[bucket] += 1
            whole_calls[bucket] += call.outcome is Outcome.WHOLE
        last_bad = start - 1
        for bucket in range(start, int(until_s / BUCKET_S)):
            if whole_calls[bucket] < RECOVERED_RATIO * due_calls[bucket]:
                last_bad = bucket
        return max(0.0, (last_bad + 1) * BUCKET_S - fault_end_s)

    def share_whole(self, organisation: str) -> float:
        """Return the fraction of an organisation's calls completed in full."""
        groups = [
            group
            for (_, name), group in self.groups.items()
            if name == organisation
        ]
        sent = sum(group.sent for group in groups)
        return sum(group.whole for group in groups) / sent if sent else 1.0

    def refused_share(self, organisations: frozenset[str]) -> float:
        """Return the fraction of the organisations' calls that were refused."""
        sent = 0
        refused = 0
        for (_, name), group in self.groups.items():
            if name in organisations:
                sent += group.sent
                refused += group.refused.total()
        return refused / sent if sent else 0.0


def count_violations(
    tally: Tally, runs: Counter[str], key_seen: int, over_cold: int
) -> InvariantCounts:
    """Compare the results at callers with the runs at targets.

    Args:
        runs: Number of runs of each trial id over all targets.
        key_seen: Requests with an API key that reached a target.
        over_cold: Calls beyond the capacity of a cold target.
    """
    writes = [call for call in tally.completed if call.is_write]
    return InvariantCounts(
        lost=tally.sent - len(tally.completed),
        ran_twice=sum(runs[call.trial_id] > 1 for call in writes),
        false_not_run=sum(
            call.outcome is Outcome.NOT_RUN and runs[call.trial_id] > 0
            for call in writes
        ),
        whole_not_run=sum(
            call.outcome is Outcome.WHOLE and runs[call.trial_id] == 0
            for call in tally.completed
        ),
        wrong_answer=sum(call.wrong_answer for call in tally.completed),
        key_seen=key_seen,
        over_cold=over_cold,
    )
