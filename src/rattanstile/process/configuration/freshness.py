"""Whether a node may admit calls that came with a key.

A withdrawn key must stop everywhere within seconds, also at a node that
can't hear of it. So a node admits such calls only while it has recent
evidence that no version is newer than its own: either the log was read to its
end, by itself or by a peer that told it, or no failure domain hears the log,
in which case nothing was accepted.

All evidence is a time on the node's own monotonic clock, not later than the
moment for which it holds: a reply is dated by the sending of its query, so
that neither a delayed message nor a paused process makes it look younger.
"""

from math import ceil

from rattanstile.request.ids import FailureDomainId

CLOSE_AFTER_S = 3.4
NEVER_S = float('-inf')


class Freshness:
    """Collects evidence and tells whether keyed calls may be admitted.

    Args:
        own_domain: The node's failure domain.
        close_after_s: Age of the youngest evidence beyond which it closes.
        required_share: Share of the known failure domains that must be heard
            not to hear the log before the log counts as out.

    Attributes:
        log_heard_s: When the log is known to have held nothing newer.
        domain_read_s: The same, read by this failure domain itself.
        domain_outage_s: When this domain is known not to have heard the log.
    """

    def __init__(
        self,
        own_domain: FailureDomainId,
        max_evidence_age_s: float = CLOSE_AFTER_S,
        required_share: float = 1.0,
    ) -> None:
        """Start closed."""
        self.log_heard_s = NEVER_S
        self.domain_read_s = NEVER_S
        self.domain_outage_s = NEVER_S
        self._own_domain = own_domain
        self._close_after_s = max_evidence_age_s
        self._required_share = required_share
        self._told_outage_s = NEVER_S
        self._fleet_s = NEVER_S
        self._known: frozenset[FailureDomainId] = frozenset((own_domain,))
        self._outages_s: dict[FailureDomainId, float] = {}

    def know_domains(self, domains: frozenset[FailureDomainId]) -> None:
        """Set which failure domains have members in service."""
        self._known = domains | {self._own_domain}
        self._fleet_s = self._heard_by_enough_s()

    def hear_log(self, at_s: float) -> None:
        """Note that the node has every version accepted before a time."""
        self.log_heard_s = max(self.log_heard_s, at_s)

    def record_domain_read(self, at_s: float) -> None:
        """Note the same from a read made in this failure domain."""
        self.domain_read_s = max(self.domain_read_s, at_s)
        self.hear_log(at_s)

    def see_domain_outage(self, domain: FailureDomainId, at_s: float) -> None:
        """Note that a failure domain did not hear the log at a time."""
        known_s = self._outages_s.get(domain, NEVER_S)
        self._outages_s[domain] = max(known_s, at_s)
        if domain == self._own_domain:
            self.domain_outage_s = self._outages_s[domain]
        self._fleet_s = self._heard_by_enough_s()

    def see_fleet_outage(self, at_s: float) -> None:
        """Note that, as a peer says, no domain heard the log at a time."""
        self._told_outage_s = max(self._told_outage_s, at_s)

    @property
    def fleet_outage_s(self) -> float:
        """When no failure domain is known to have heard the log."""
        return max(self._told_outage_s, self._fleet_s)

    def evidence_s(self) -> float:
        """Return the time before which nothing was missed."""
        return max(self.log_heard_s, self.fleet_outage_s)

    def admits(self, now_s: float) -> bool:
        """Tell whether keyed calls may be admitted now."""
        return now_s - self.evidence_s() <= self._close_after_s

    def age_s(self, now_s: float) -> float:
        """Return the age of the youngest evidence; infinite before any."""
        return now_s - self.evidence_s()

    def _heard_by_enough_s(self) -> float:
        needed = max(1, ceil(len(self._known) * self._required_share))
        heard_s = sorted(
            (self._outages_s.get(one, NEVER_S) for one in self._known),
            reverse=True,
        )
        return heard_s[needed - 1]
