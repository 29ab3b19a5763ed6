"""What all copies of one call share, as a digest."""

from typing import Protocol

import xxhash

from rattanstile.request.ids import OrganisationId, ServiceName


class CallParts(Protocol):
    """The parts of a call that its copies share."""

    @property
    def organisation(self) -> OrganisationId:
        """Return whose call it is."""

    @property
    def service(self) -> ServiceName:
        """Return the service called."""

    @property
    def method(self) -> str:
        """Return the HTTP method."""

    @property
    def path(self) -> str:
        """Return the path behind the service's name."""

    @property
    def body(self) -> bytes:
        """Return the body."""


def fingerprint_of(call: CallParts) -> bytes:
    """Return the digest of a call's parts; 16 bytes."""
    digest = xxhash.xxh3_128()
    for part in (call.organisation, call.service, call.method, call.path):
        digest.update(f'{len(part)}:{part}'.encode())
    digest.update(call.body)
    return digest.digest()
