"""Whether a node may admit calls that carry a key.

A withdrawn key must stop working everywhere within seconds, even at a node
that cannot learn of the withdrawal. A node therefore admits such calls only
while it has recent evidence that no version is newer than its own: either the
log was read to its end, by the node itself or by a peer that reported so, or
no failure domain can reach the log, in which case nothing was accepted.

All evidence is a time on the node's own monotonic clock, not later than the
moment for which it holds: a reply counts as of the time its query was sent,
so that neither a delayed message nor a paused process makes it look newer.
"""

from math import ceil

from rattanstile.request.ids import FailureDomainId

MAX_EVIDENCE_AGE_S = 3.4
NEVER_S = float('-inf')


class Freshness:
    """Collects evidence and decides whether keyed calls may be admitted.

    Args:
        own_domain: The node's failure domain.
        max_evidence_age_s: Age of the latest evidence beyond which keyed calls
            are refused.
        required_share: Share of the failure domains in service that must be
            known not to reach the log before the log counts as unreachable.

    Attributes:
        log_evidence_s: Latest time at which the log is known to have held
            nothing newer.
        domain_read_s: The same, from a read made in this failure domain.
        domain_outage_s: Latest time at which this failure domain is known not
            to have reached the log.
    """

    def __init__(
        self,
        own_domain: FailureDomainId,
        max_evidence_age_s: float = MAX_EVIDENCE_AGE_S,
        required_share: float = 1.0,
    ) -> None:
        """Start without evidence, so that keyed calls are refused."""
        self.log_evidence_s = NEVER_S
        self.domain_read_s = NEVER_S
        self.domain_outage_s = NEVER_S
        self._own_domain = own_domain
        self._max_evidence_age_s = max_evidence_age_s
        self._required_share = required_share
        self._reported_outage_s = NEVER_S
        self._quorum_outage_s = NEVER_S
        self._domains: frozenset[FailureDomainId] = frozenset((own_domain,))
        self._outages_s: dict[FailureDomainId, float] = {}

    def set_domains(self, domains: frozenset[FailureDomainId]) -> None:
        """Set the failure domains in service; the own one always counts."""
        self._domains = domains | {self._own_domain}
        self._quorum_outage_s = self._find_quorum_outage_s()

    def record_log_evidence(self, at_s: float) -> None:
        """Record that the node has every version accepted before a time."""
        self.log_evidence_s = max(self.log_evidence_s, at_s)

    def record_domain_read(self, at_s: float) -> None:
        """Record the same from a read made in this failure domain."""
        self.domain_read_s = max(self.domain_read_s, at_s)
        self.record_log_evidence(at_s)

    def record_domain_outage(
        self, domain: FailureDomainId, at_s: float
    ) -> None:
        """Record that a failure domain could not reach the log at a time."""
        previous_s = self._outages_s.get(domain, NEVER_S)
        self._outages_s[domain] = max(previous_s, at_s)
        if domain == self._own_domain:
            self.domain_outage_s = self._outages_s[domain]
        self._quorum_outage_s = self._find_quorum_outage_s()

    def record_fleet_outage(self, at_s: float) -> None:
        """Record a peer's report that no domain reached the log at a time."""
        self._reported_outage_s = max(self._reported_outage_s, at_s)

    @property
    def fleet_outage_s(self) -> float:
        """Latest time at which the log was unreachable for the whole fleet."""
        return max(self._reported_outage_s, self._quorum_outage_s)

    def evidence_s(self) -> float:
        """Return the time before which no accepted version was missed."""
        return max(self.log_evidence_s, self.fleet_outage_s)

    def admits(self, now_s: float) -> bool:
        """Return whether keyed calls may be admitted now."""
        return now_s - self.evidence_s() <= self._max_evidence_age_s

    def age_s(self, now_s: float) -> float:
        """Return the age of the latest evidence; infinite if there is none."""
        return now_s - self.evidence_s()

    def _find_quorum_outage_s(self) -> float:
        quorum = max(1, ceil(len(self._domains) * self._required_share))
        outages_s = sorted(
            (self._outages_s.get(domain, NEVER_S) for domain in self._domains),
            reverse=True,
        )
        return outages_s[quorum - 1]
