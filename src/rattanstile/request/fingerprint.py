"""Digest of the parts that all copies of one call share."""

from typing import Protocol

import xxhash

from rattanstile.request.ids import OrganisationId, ServiceName


class CallParts(Protocol):
    """Parts of a call that all its copies share."""

    @property
    def organisation(self) -> OrganisationId:
        """Return the organisation that makes the call."""

    @property
    def service(self) -> ServiceName:
        """Return the called service."""

    @property
    def method(self) -> str:
        """Return the HTTP method."""

    @property
    def path(self) -> str:
        """Return the path after the service name."""

    @property
    def body(self) -> bytes:
        """Return the body."""


def fingerprint_of(call: CallParts) -> bytes:
    """Return the digest of a call's parts, 16 bytes."""
    digest = xxhash.xxh3_128()
    for part in (call.organisation, call.service, call.method, call.path):
        digest.update(f'{len(part)}:{part}'.encode())
    digest.update(call.body)
    return digest.digest()
