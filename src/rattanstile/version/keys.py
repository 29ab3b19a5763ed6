"""Keys that organisations present, and the digests kept of them."""

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
    """A key just made; the key itself is shown once and kept nowhere."""

    key: str
    digest: KeyDigest


def make_key() -> NewKey:
    """Return a random key of 256 bits with its digest."""
    key = secrets.token_urlsafe(KEY_BYTES)
    return NewKey(key=key, digest=digest_of(key))


def digest_of(key: str) -> KeyDigest:
    """Return the lower-case hexadecimal SHA-256 of a key.

    The time of a lookup by digest tells nothing about a key, because a
    caller can't choose digests that share a prefix with one in force.
    """
    return KeyDigest(hashlib.sha256(key.encode()).hexdigest())


def same_digest(one: KeyDigest, other: KeyDigest) -> bool:
    """Compare two digests in constant time."""
    return hmac.compare_digest(one, other)


def is_digest(text: str) -> bool:
    """Tell whether a text has the form of a digest."""
    return _DIGEST.fullmatch(text) is not None
