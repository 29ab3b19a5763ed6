"""The last accepted records, kept to be handed on to peers."""

from collections import deque
from collections.abc import Iterable

from rattanstile.request.ids import VersionNumber
from rattanstile.version.records import AcceptedRecord

MAX_KEPT = 256
MAX_HANDED_ON = 32


class KeptRecords:
    """Accepted records in the order of their versions, perhaps with gaps."""

    def __init__(self) -> None:
        """Start empty."""
        self._kept: deque[AcceptedRecord] = deque(maxlen=MAX_KEPT)

    def extend(self, accepted: Iterable[AcceptedRecord]) -> None:
        """Keep more; the oldest give way."""
        self._kept.extend(accepted)

    def between(
        self, older: VersionNumber, newer: VersionNumber
    ) -> tuple[AcceptedRecord, ...]:
        """Return the records that lead from one version to another.

        Returns:
            Nothing where one of them is missing or they are too many.
        """
        lacking = tuple(
            kept for kept in self._kept if kept.accepted.version > older
        )
        complete = len(lacking) == newer - older
        return lacking if complete and len(lacking) <= MAX_HANDED_ON else ()
