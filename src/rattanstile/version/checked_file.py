"""Reads JSON with comments into a typed value, or tells what is wrong."""

import json
import re
from pathlib import Path
from typing import Any, TypeVar

import json5
import msgspec
from result import Err, Ok, Result

from rattanstile.errors import SettingsError

Checked = TypeVar('Checked')

FOUND_CHARS = 60
_STRING = r'"(?:[^"\\\n]|\\.)*"'
_COMMENT = re.compile(rf'{_STRING}|//[^\n]*|/\*.*?\*/', re.S)
_TRAILING_COMMA = re.compile(rf'{_STRING}|,(?=\s*[}}\]])')
_PLACE = re.compile(r'^(?P<problem>.*?)(?: - at `(?P<field>[^`]*)`)?$', re.S)
_STEP = re.compile(r'\.(?P<name>[^.\[]+)|\[(?P<place>\d+)\]')


def read_checked(
    path: Path, checked_type: type[Checked]
) -> Result[Checked, SettingsError]:
    """Read a file.

    Returns:
        The value, or an error with file, path of the field, what was found
        and what is allowed.
    """
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as failure:
        return Err(SettingsError(str(path), '$', f'not readable: {failure}'))
    return parse_checked(str(path), text, checked_type)


def parse_checked(
    file_name: str, text: str, checked_type: type[Checked]
) -> Result[Checked, SettingsError]:
    """Parse the text of a file, as `read_checked` does."""
    match _parsed(text):
        case Err(problem):
            return Err(SettingsError(file_name, '$', problem))
        case Ok(parsed):
            return _converted(file_name, parsed, checked_type)


def _parsed(text: str) -> Result[Any, str]:
    """Parse the usual subset fast, and what it leaves by the whole grammar."""
    plain = _TRAILING_COMMA.sub(_kept, _COMMENT.sub(_kept, text))
    try:
        return Ok(json.loads(plain, object_pairs_hook=_unique_names))
    except _NameGivenTwice as twice:
        return Err(f'found the field "{twice}" twice in one object')
    except (ValueError, RecursionError):
        """The slower parser reads more, and tells line and column."""
    try:
        return Ok(json5.loads(text, allow_duplicate_keys=False))
    except (ValueError, RecursionError) as failure:
        return Err(f'not JSON with comments: {failure}')


class _NameGivenTwice(Exception):
    """A field stands twice in one object."""


def _kept(match: re.Match[str]) -> str:
    """Keep strings; put a space for a comment and nothing for a comma."""
    found = match.group()
    if found.startswith('"'):
        return found
    return '' if found == ',' else ' '


def _unique_names(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    named = dict(pairs)
    if len(named) < len(pairs):
        seen: set[str] = set()
        for name, _value in pairs:
            if name in seen:
                raise _NameGivenTwice(name)
            seen.add(name)
    return named


def _converted(
    file_name: str, parsed: Any, checked_type: type[Checked]
) -> Result[Checked, SettingsError]:
    try:
        return Ok(msgspec.convert(parsed, checked_type))
    except msgspec.ValidationError as failure:
        return Err(_explained(file_name, parsed, str(failure)))


def _explained(file_name: str, parsed: Any, message: str) -> SettingsError:
    place = _PLACE.match(message)
    if place is None:
        return SettingsError(file_name, '$', message)
    field = place['field'] or '$'
    found = repr(_value_at(parsed, field))[:FOUND_CHARS]
    return SettingsError(file_name, field, f'{place["problem"]}; found {found}')


def _value_at(parsed: Any, field: str) -> Any:
    for step in _STEP.finditer(field):
        try:
            parsed = parsed[step['name'] or int(step['place'])]
        except (KeyError, IndexError, TypeError):
            return None
    return parsed
