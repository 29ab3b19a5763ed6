"""Keys that organisations present, and the digests stored for them."""

import hashlib
import hmac
import re
import secrets
from dataclasses import dataclass

from rattanstile.request.ids import KeyDigest

KEY_BYTES = 32
_DIGEST = re.compile('[0-9a-f]{64}')


@dataclass(frozen=True, slots=True)
class NewKey:
    """A new key with its digest; the key is shown once and never stored."""

    key: str
    digest: KeyDigest


def make_key() -> NewKey:
    """Return a random key of 256 bits with its digest."""
    key = secrets.token_urlsafe(KEY_BYTES)
    return NewKey(key=key, digest=digest_of(key))


def digest_of(key: str) -> KeyDigest:
    """Return the lower-case hexadecimal SHA-256 of a key.

    The time taken by a lookup by digest reveals nothing about a key, because
    a caller can't choose digests that share a prefix with a valid digest.
    """
    return KeyDigest(hashlib.sha256(key.encode()).hexdigest())


def same_digest(left: KeyDigest, right: KeyDigest) -> bool:
    """Return whether two digests are equal, compared in constant time."""
    return hmac.compare_digest(left, right)


def is_digest(text: str) -> bool:
    """Return whether a text has the form of a digest."""
    return _DIGEST.fullmatch(text) is not None
