"""Which headers and paths may pass between a caller and a target."""

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
"""Headers that end with their connection: RFC 9110, section 7.6.1."""

_ENDS_AT_NODE = HOP_BY_HOP | {
    'authorization',
    'content-length',
    'expect',
    'host',
    'idempotency-key',
}
_OWN_PREFIX = 'rattanstile-'
_CONTROL = re.compile('[\x00-\x08\x0a-\x1f\x7f]')
_NAME = re.compile("[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_ESCAPE = re.compile('%(.{0,2})')
_HEXADECIMAL = re.compile('[0-9A-Fa-f]{2}')
_UNRESERVED = re.compile('[A-Za-z0-9._~-]')
_VISIBLE = re.compile('[!-~]+')


def headers_for_target(
    headers: Iterable[Header], key: str = ''
) -> tuple[Header, ...]:
    """Return the headers of a caller that the target may see.

    Left out are those that end with the connection or at the node, those of
    the node's own, and any that carries the key.
    """
    received = tuple((name.lower(), content) for name, content in headers)
    named = connection_names(received)
    return tuple(
        (name, content)
        for name, content in received
        if _may_pass(name, content)
        and name not in named
        and not (key and key in content)
    )


def headers_for_caller(headers: Iterable[Header]) -> tuple[Header, ...]:
    """Return the headers of a target's answer that the caller may see."""
    received = tuple((name.lower(), content) for name, content in headers)
    named = connection_names(received)
    return tuple(
        (name, content)
        for name, content in received
        if name not in HOP_BY_HOP
        and name != 'content-length'
        and name not in named
        and not name.startswith(_OWN_PREFIX)
    )


def connection_names(headers: Iterable[Header]) -> set[str]:
    """Return the header names that ``Connection`` ends with this hop."""
    return {
        name.strip().lower()
        for header, content in headers
        if header == 'connection'
        for name in content.split(',')
    }


def normal_path(text: str) -> str | None:
    """Return the path in its normal form, or None for an unsafe one.

    Escapes of unreserved characters are resolved (RFC 3986, section 6.2.2.2)
    and dot segments are refused, so that a target can't read another route
    into the path than the one that was checked.
    """
    if not text.startswith('/') or not _VISIBLE.fullmatch(text):
        return None
    if '#' in text or '\\' in text:
        return None
    if '%' in text:
        if not _has_whole_escapes(text):
            return None
        text = _ESCAPE.sub(_resolve, text)
    segments = text.partition('?')[0].split('/')
    if '.' in segments or '..' in segments:
        return None
    return text


def _may_pass(name: str, content: str) -> bool:
    if name in _ENDS_AT_NODE or name.startswith(_OWN_PREFIX):
        return False
    return bool(_NAME.fullmatch(name)) and not _CONTROL.search(content)


def _has_whole_escapes(text: str) -> bool:
    return all(
        _HEXADECIMAL.fullmatch(found.group(1))
        for found in _ESCAPE.finditer(text)
    )


def _resolve(found: re.Match[str]) -> str:
    character = chr(int(found.group(1), 16))
    if _UNRESERVED.fullmatch(character):
        return character
    return found.group(0).upper()
