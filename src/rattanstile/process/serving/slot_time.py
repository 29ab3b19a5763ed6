"""Cost of each organisation's calls, measured in slot time."""

from collections import OrderedDict

from rattanstile.request.ids import OrganisationId

EWMA_GAIN = 0.05
MIN_RELATIVE_COST = 0.25
MAX_RELATIVE_COST = 8.0
MAX_ORGANISATIONS = 1024


class SlotTime:
    """Mean slot time by organisation, relative to the mean of all calls."""

    def __init__(self) -> None:
        """Start without any recorded call."""
        self._mean_s = 0.0
        self._by_organisation: OrderedDict[OrganisationId, float] = (
            OrderedDict()
        )

    def ended(self, organisation: OrganisationId, slot_s: float) -> None:
        """Record a call that the target answered.

        Args:
            organisation: Organisation of the call.
            slot_s: Seconds from dispatch to the answer.
        """
        self._mean_s = _ewma(self._mean_s, slot_s)
        mean_s = self._by_organisation.pop(organisation, 0.0)
        self._by_organisation[organisation] = _ewma(mean_s, slot_s)
        if len(self._by_organisation) > MAX_ORGANISATIONS:
            self._by_organisation.popitem(last=False)

    def relative_cost(self, organisation: OrganisationId) -> float:
        """Return the cost of an organisation's calls; 1 is the mean."""
        mean_s = self._by_organisation.get(organisation)
        if mean_s is None or not self._mean_s:
            return 1.0
        return min(
            MAX_RELATIVE_COST, max(MIN_RELATIVE_COST, mean_s / self._mean_s)
        )


def _ewma(mean_s: float, slot_s: float) -> float:
    return mean_s + EWMA_GAIN * (slot_s - mean_s) if mean_s else slot_s
