"""Least-squares fit of the rates at which runs make calls of one kind.

In each short window the calls are modelled as a sum over the terms: the time
that the runs of a term took in the window, times the call rate of the term.
The rates are fitted by non-negative least squares with exponential forgetting
(Lawson, Hanson, 1974; here by coordinate descent).

Sums are kept with a weight that grows from window to window in place of being
reduced at each, so that a window costs only what happened in it.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

WINDOW_S = 0.1
FORGET = 0.995
"""Factor on the weight of older windows at each new one: half after 14 s."""
PRIOR_WINDOWS = 60
"""Number of windows whose random variation weighs as much as the prior that
all terms call at the same rate."""
MIN_PRIOR_WEIGHT = 1e-6
SWEEPS = 8

Term = str | None
"""A route with a rate of its own, or None for all other routes."""


@dataclass(eq=False, slots=True)
class CallSums:
    """Weighted sums over the windows, for the calls of one kind.

    Attributes:
        total: Calls.
        products: Calls times run time, by term.
        rates_per_s: Fitted calls per second of run time, by term; empty while
            there is no fit.
    """

    total: float = 0.0
    products: dict[Term, float] = field(default_factory=dict)
    rates_per_s: dict[Term, float] = field(default_factory=dict)

    def add(
        self, weight: float, calls: int, run_s: Mapping[Term, float]
    ) -> None:
        """Add a window in which there were calls."""
        self.total += weight * calls
        for term, term_s in run_s.items():
            product = weight * calls * term_s
            self.products[term] = self.products.get(term, 0.0) + product

    def merge(self, term: Term) -> None:
        """Add the sums of a term to those of all other routes."""
        product = self.products.pop(term, 0.0)
        self.products[None] = self.products.get(None, 0.0) + product
        self.rates_per_s.pop(term, None)

    def scale(self, factor: float) -> None:
        """Multiply all sums."""
        self.total *= factor
        self.products = {
            term: product * factor for term, product in self.products.items()
        }


class RunTimes:
    """Weighted sums over the windows, for the run times of the terms."""

    def __init__(self) -> None:
        """Start without windows."""
        self._sums: dict[Term, float] = {}
        self._squares: dict[Term, dict[Term, float]] = {}

    @property
    def size(self) -> int:
        """Return the number of terms."""
        return len(self._sums)

    def add(self, weight: float, run_s: Mapping[Term, float]) -> None:
        """Add a window."""
        for one, one_s in run_s.items():
            self._sums[one] = self._sums.get(one, 0.0) + weight * one_s
            row = self._squares.setdefault(one, {})
            for other, other_s in run_s.items():
                row[other] = row.get(other, 0.0) + weight * one_s * other_s

    def merge(self, term: Term) -> None:
        """Add the sums of a term to those of all other routes."""
        if term not in self._sums:
            return
        self._sums[None] = self._sums.get(None, 0.0) + self._sums.pop(term)
        moved = self._squares.pop(term)
        own = moved.pop(term, 0.0)
        others = self._squares.setdefault(None, {})
        between = moved.pop(None, 0.0)
        others.pop(term, None)
        others[None] = others.get(None, 0.0) + own + 2 * between
        for other, square in moved.items():
            row = self._squares[other]
            row.pop(term, None)
            row[None] = row.get(None, 0.0) + square
            others[other] = others.get(other, 0.0) + square

    def scale(self, factor: float) -> None:
        """Multiply all sums."""
        for term in self._sums:
            self._sums[term] *= factor
        for row in self._squares.values():
            for other in row:
                row[other] *= factor

    def fit(self, calls: CallSums, weight: float) -> None:
        """Fit the rates of one kind of calls.

        Args:
            calls: Receives the rates.
            weight: Weight of a window that would end now.
        """
        total_s = sum(self._sums.values())
        if total_s <= 0:
            return
        prior_per_s = calls.total / total_s
        rates_per_s = {
            term: calls.rates_per_s.get(term, prior_per_s)
            for term in self._sums
        }
        for _ in range(SWEEPS):
            for term in rates_per_s:
                rates_per_s[term] = self._best_fit_per_s(
                    calls, rates_per_s, term, prior_per_s, weight
                )
        calls.rates_per_s = rates_per_s

    def _best_fit_per_s(
        self,
        calls: CallSums,
        rates_per_s: Mapping[Term, float],
        term: Term,
        prior_per_s: float,
        weight: float,
    ) -> float:
        """Return the best-fitting rate of one term, given the other rates."""
        row = self._squares[term]
        square = row.get(term, 0.0)
        explained = sum(
            rates_per_s[other] * product
            for other, product in row.items()
            if other != term
        )
        windows = 1 / (1 - FORGET)
        mean_s = self._sums[term] / windows
        prior = PRIOR_WINDOWS * WINDOW_S * mean_s + MIN_PRIOR_WEIGHT * weight
        residual = (
            calls.products.get(term, 0.0) - explained + prior * prior_per_s
        )
        return max(0.0, residual / (square + prior))
