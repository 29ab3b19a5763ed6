"""Evacuated failure domains, by the operators' log and by what it has lost.

A store that was restored from a copy lacks the newest records. A domain whose
evacuation was confirmed or withdrawn in them is kept as it was, although the
copy says otherwise, until a record of the new log decides. The operators may
not write it again, so that the log counts after a while in any case.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from rattanstile.request.ids import FailureDomainId

KEEP_EVACUATED_S = 5.0
"""How long a domain stays evacuated although a restored log lacks it: as long
as operators wait for an evacuation. It may have been withdrawn after the
restore, and then the domain is missed."""
KEEP_WITHDRAWN_S = 2.0
"""How long a domain stays in use although a restored log evacuates it; well
below the time within which an evacuation must be in force, as the record may
have been written after the restore."""

_Domains = frozenset[FailureDomainId]
_NONE: _Domains = frozenset()


@dataclass(frozen=True, slots=True)
class Evacuations:
    """What a node knows of evacuations at one position of the log.

    Attributes:
        in_log: Domains evacuated according to the log.
        kept_until_s: Domains for which the opposite of the log is in force,
            and the monotonic time until which it is.
        settled: Domains that a record of this era or the end of their time has
            decided; nothing is kept for them.
    """

    in_log: _Domains = _NONE
    kept_until_s: Mapping[FailureDomainId, float] = field(default_factory=dict)
    settled: _Domains = _NONE

    @property
    def in_force(self) -> _Domains:
        """Return the domains that get no new work."""
        return self.in_log ^ self.kept

    @property
    def kept(self) -> _Domains:
        """Return the domains for which the opposite of the log is in force."""
        return frozenset(self.kept_until_s)

    def after_record(
        self, domain: FailureDomainId, *, is_evacuated: bool
    ) -> 'Evacuations':
        """Return the evacuations after one more record of the log."""
        in_log = self.in_log - {domain}
        if is_evacuated:
            in_log |= {domain}
        return Evacuations(in_log, self.kept_until_s, self.settled)._settle(
            (domain,)
        )

    def later_in_log(
        self, in_log: _Domains, settled: _Domains = _NONE
    ) -> 'Evacuations':
        """Return the evacuations at a later position of the same log.

        Args:
            in_log: Domains evacuated according to the log.
            settled: Domains known to have been decided in between.
        """
        changed = self.kept - (self.in_force ^ in_log)
        later = Evacuations(in_log, self.kept_until_s, self.settled)
        return later._settle(changed | settled)

    def restored(
        self, now_s: float, in_log: _Domains, settled: _Domains
    ) -> 'Evacuations':
        """Return the evacuations after the log was replaced by a copy of it.

        Args:
            now_s: Monotonic seconds.
            in_log: Domains evacuated according to the new log.
            settled: Domains that a record after the copy has decided.
        """
        lost = self.in_force - in_log - settled
        returned = in_log - self.in_force - settled
        kept_until_s = {
            **dict.fromkeys(lost, now_s + KEEP_EVACUATED_S),
            **dict.fromkeys(returned, now_s + KEEP_WITHDRAWN_S),
        }
        # Another restore says nothing new of what is kept already.
        kept_until_s.update(
            (domain, until_s)
            for domain, until_s in self.kept_until_s.items()
            if domain in kept_until_s
        )
        return Evacuations(in_log, kept_until_s, settled)

    def merged(self, other: 'Evacuations') -> 'Evacuations':
        """Add what another node keeps at the same position.

        What both keep is kept no longer than by the one that ends first.
        """
        kept_until_s = dict(other.kept_until_s)
        for domain, until_s in self.kept_until_s.items():
            kept_until_s[domain] = min(
                until_s, kept_until_s.get(domain, until_s)
            )
        both = Evacuations(self.in_log, kept_until_s, self.settled)
        return both._settle(self.settled | other.settled)

    def at(self, now_s: float) -> 'Evacuations':
        """Return the evacuations without what is kept no longer."""
        return self._settle(
            domain
            for domain, until_s in self.kept_until_s.items()
            if until_s <= now_s
        )

    def _settle(self, domains: Iterable[FailureDomainId]) -> 'Evacuations':
        settled = self.settled.union(domains)
        kept_until_s = {
            domain: until_s
            for domain, until_s in self.kept_until_s.items()
            if domain not in settled
        }
        return Evacuations(self.in_log, kept_until_s, settled)
