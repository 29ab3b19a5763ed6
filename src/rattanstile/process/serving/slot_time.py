"""What the calls of each organisation cost, in slot time."""

from collections import OrderedDict

from rattanstile.request.ids import OrganisationId

GAIN = 0.05
LEAST_COST = 0.25
LARGEST_COST = 8.0
MOST_ORGANISATIONS = 1024


class SlotTime:
    """Mean slot time by organisation, relative to that of all calls."""

    def __init__(self) -> None:
        """Begin without a call."""
        self._mean_s = 0.0
        self._by_organisation: OrderedDict[OrganisationId, float] = (
            OrderedDict()
        )

    def ended(self, organisation: OrganisationId, slot_s: float) -> None:
        """Count a call that the target answered.

        Args:
            organisation: Whose call it was.
            slot_s: Seconds from dispatch to the answer.
        """
        self._mean_s = _moved(self._mean_s, slot_s)
        known_s = self._by_organisation.pop(organisation, 0.0)
        self._by_organisation[organisation] = _moved(known_s, slot_s)
        if len(self._by_organisation) > MOST_ORGANISATIONS:
            self._by_organisation.popitem(last=False)

    def relative_cost(self, organisation: OrganisationId) -> float:
        """Return what a call of an organisation costs; 1 for the mean."""
        known_s = self._by_organisation.get(organisation)
        if known_s is None or not self._mean_s:
            return 1.0
        return min(LARGEST_COST, max(LEAST_COST, known_s / self._mean_s))


def _moved(known_s: float, slot_s: float) -> float:
    return known_s + GAIN * (slot_s - known_s) if known_s else slot_s
