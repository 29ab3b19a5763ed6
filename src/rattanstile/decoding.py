"""Decodes bytes from outside; whatever they are, the error is a typed one.

Decoders raise more than their own errors: a value that is nested too deeply
raises `RecursionError`, which isn't a `ValueError`.
"""

from collections.abc import Callable
from typing import TypeVar

from result import Err, Ok, Result

from rattanstile.errors import RattanstileError

_Decoded = TypeVar('_Decoded')


class UndecodableError(RattanstileError):
    """Bytes from outside are not a valid value of the expected type."""


def decode_untrusted(
    decode: Callable[[bytes], _Decoded], content: bytes
) -> Result[_Decoded, UndecodableError]:
    """Return the decoded value, or why there is none.

    Args:
        decode: The decoder; may raise whatever bytes make it raise.
        content: Bytes that another program has written.
    """
    try:
        return Ok(decode(content))
    except (ValueError, ArithmeticError, RecursionError) as error:
        return Err(UndecodableError(str(error)))
