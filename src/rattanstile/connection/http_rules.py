"""Rules for headers and paths that pass between a caller and a target."""

import re
from collections.abc import Iterable

from rattanstile.request.envelope import Header

HOP_BY_HOP = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    ),
)
"""Headers that apply to a single connection: RFC 9110, section 7.6.1."""

_NOT_FOR_TARGET = HOP_BY_HOP | {
    'authorization',
    'content-length',
    'expect',
    'host',
    'idempotency-key',
}
_RESERVED_PREFIX = 'rattanstile-'
_CONTROLS = re.compile('[\x00-\x08\x0a-\x1f\x7f]')
_HEADER_NAME = re.compile("[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_PERCENT_ESCAPE = re.compile('%(.{0,2})')
_HEXADECIMAL = re.compile('[0-9A-Fa-f]{2}')
_UNRESERVED = re.compile('[A-Za-z0-9._~-]')
_VISIBLE_ASCII = re.compile('[!-~]+')


def headers_for_target(
    headers: Iterable[Header], key: str = ''
) -> tuple[Header, ...]:
    """Return the caller's headers that may reach the target.

    Excluded are headers that apply only to the caller's connection or to the
    node, headers with the node's own prefix, malformed headers, and any whose
    value contains the key.
    """
    received = tuple((name.lower(), content) for name, content in headers)
    options = connection_options(received)
    return tuple(
        (name, content)
        for name, content in received
        if _may_reach_target(name, content)
        and name not in options
        and not (key and key in content)
    )


def headers_for_caller(headers: Iterable[Header]) -> tuple[Header, ...]:
    """Return the headers of a target's answer that may reach the caller."""
    received = tuple((name.lower(), content) for name, content in headers)
    options = connection_options(received)
    return tuple(
        (name, content)
        for name, content in received
        if name not in HOP_BY_HOP
        and name != 'content-length'
        and name not in options
        and not name.startswith(_RESERVED_PREFIX)
    )


def connection_options(headers: Iterable[Header]) -> set[str]:
    """Return the names in ``Connection``: headers for this hop only."""
    return {
        name.strip().lower()
        for header, content in headers
        if header == 'connection'
        for name in content.split(',')
    }


def normalize_path(text: str) -> str | None:
    """Return the normalized path, or None if the path is unsafe.

    Percent escapes of unreserved characters are decoded (RFC 3986, section
    6.2.2.2) and dot segments are refused, so that a target can't interpret
    the path as another route than the one that was checked.
    """
    if not text.startswith('/') or not _VISIBLE_ASCII.fullmatch(text):
        return None
    if '#' in text or '\\' in text:
        return None
    if '%' in text:
        if not _has_valid_escapes(text):
            return None
        text = _PERCENT_ESCAPE.sub(_decode_unreserved, text)
    segments = text.partition('?')[0].split('/')
    if '.' in segments or '..' in segments:
        return None
    return text


def _may_reach_target(name: str, content: str) -> bool:
    if name in _NOT_FOR_TARGET or name.startswith(_RESERVED_PREFIX):
        return False
    return bool(_HEADER_NAME.fullmatch(name)) and not _CONTROLS.search(content)


def _has_valid_escapes(text: str) -> bool:
    return all(
        _HEXADECIMAL.fullmatch(escape.group(1))
        for escape in _PERCENT_ESCAPE.finditer(text)
    )


def _decode_unreserved(escape: re.Match[str]) -> str:
    character = chr(int(escape.group(1), 16))
    if _UNRESERVED.fullmatch(character):
        return character
    return escape.group(0).upper()
