"""Identifiers used across the package."""

from typing import NewType

CallId = NewType('CallId', str)
OrganisationId = NewType('OrganisationId', str)
ServiceName = NewType('ServiceName', str)
TargetId = NewType('TargetId', str)
FailureDomainId = NewType('FailureDomainId', str)
RegionId = NewType('RegionId', str)
NodeId = NewType('NodeId', str)
RecordId = NewType('RecordId', str)
PlanId = NewType('PlanId', str)
KeyDigest = NewType('KeyDigest', str)
"""Lower-case hexadecimal SHA-256 of a key; the key itself is never kept."""
Incarnation = NewType('Incarnation', int)
"""Wall-clock milliseconds at process start; each restart has a larger one."""
VersionNumber = NewType('VersionNumber', int)
LogOffset = NewType('LogOffset', int)
