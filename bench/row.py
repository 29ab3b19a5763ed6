"""One row of a bench's table."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Row:
    """A measured case against the bound of its stated target.

    Attributes:
        case: What was done.
        figure: What was measured, as printed.
        bound: The stated target, as printed.
        held: Whether the figure meets the bound.
        baseline: The same figure without the mechanism, as printed.
    """

    case: str
    figure: str
    bound: str
    held: bool
    baseline: str = '-'
