"""Identifiers used across the package."""

from typing import NewType

CallId = NewType('CallId', str)
OrganisationId = NewType('OrganisationId', str)
ServiceName = NewType('ServiceName', str)
TargetId = NewType('TargetId', str)
TargetVersion = NewType('TargetVersion', str)
NO_VERSION = TargetVersion('-')
"""Of a target that announces none. The version of a target that has not been
heard of yet is empty."""
FailureDomainId = NewType('FailureDomainId', str)
RegionId = NewType('RegionId', str)
NodeId = NewType('NodeId', str)
RecordId = NewType('RecordId', str)
PlanId = NewType('PlanId', str)
KeyDigest = NewType('KeyDigest', str)
"""SHA-256 of a key in lower-case hexadecimal; the key is never stored."""
Incarnation = NewType('Incarnation', int)
"""Wall-clock milliseconds at process start; increases with each restart."""
VersionNumber = NewType('VersionNumber', int)
LogOffset = NewType('LogOffset', int)
StoreEra = NewType('StoreEra', int)
"""Increases by one when the platform's store is restored from a copy."""
NO_ERA = StoreEra(0)
"""Of a store that doesn't name its era, or that was not heard of yet."""
