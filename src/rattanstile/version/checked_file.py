"""Parsing of JSON with comments into typed values, with precise errors."""

import json
import re
from pathlib import Path
from typing import Any, TypeVar

import json5
import msgspec
from result import Err, Ok, Result

from rattanstile.errors import SettingsError

Checked = TypeVar('Checked')

MAX_FOUND_CHARS = 60
_STRING = r'"(?:[^"\\\n]|\\.)*"'
_COMMENT = re.compile(rf'{_STRING}|//[^\n]*|/\*.*?\*/', re.S)
_TRAILING_COMMA = re.compile(rf'{_STRING}|,(?=\s*[}}\]])')
_VALIDATION_MESSAGE = re.compile(
    r'^(?P<problem>.*?)(?: - at `(?P<field>[^`]*)`)?$', re.S
)
_PATH_STEP = re.compile(r'\.(?P<name>[^.\[]+)|\[(?P<place>\d+)\]')


def read_checked(
    path: Path, checked_type: type[Checked]
) -> Result[Checked, SettingsError]:
    """Read a file and convert it to a type.

    Returns:
        The value, or an error that states the file, the path of the field,
        what was found and what is allowed.
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
    match _parse(text):
        case Err(problem):
            return Err(SettingsError(file_name, '$', problem))
        case Ok(parsed):
            return _convert(file_name, parsed, checked_type)


def _parse(text: str) -> Result[Any, str]:
    """Parse with the fast parser; use the full grammar if it fails."""
    plain = _TRAILING_COMMA.sub(_strip_match, _COMMENT.sub(_strip_match, text))
    try:
        return Ok(json.loads(plain, object_pairs_hook=_reject_duplicate_names))
    except _DuplicateFieldError as duplicate:
        return Err(
            f'found the field "{duplicate}" more than once in one object'
        )
    except (ValueError, RecursionError):
        """The slower parser accepts more and reports line and column."""
    try:
        return Ok(json5.loads(text, allow_duplicate_keys=False))
    except (ValueError, RecursionError) as failure:
        return Err(f'not JSON with comments: {failure}')


class _DuplicateFieldError(Exception):
    """A field occurs more than once in one object."""


def _strip_match(match: re.Match[str]) -> str:
    """Keep strings; replace a comment by a space and drop a comma."""
    matched = match.group()
    if matched.startswith('"'):
        return matched
    return '' if matched == ',' else ' '


def _reject_duplicate_names(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    fields = dict(pairs)
    if len(fields) < len(pairs):
        seen: set[str] = set()
        for name, _value in pairs:
            if name in seen:
                raise _DuplicateFieldError(name)
            seen.add(name)
    return fields


def _convert(
    file_name: str, parsed: Any, checked_type: type[Checked]
) -> Result[Checked, SettingsError]:
    try:
        return Ok(msgspec.convert(parsed, checked_type))
    except msgspec.ValidationError as failure:
        return Err(_explain_error(file_name, parsed, str(failure)))


def _explain_error(file_name: str, parsed: Any, message: str) -> SettingsError:
    match = _VALIDATION_MESSAGE.match(message)
    if match is None:
        return SettingsError(file_name, '$', message)
    field = match['field'] or '$'
    found = repr(_value_at(parsed, field))[:MAX_FOUND_CHARS]
    return SettingsError(file_name, field, f'{match["problem"]}; found {found}')


def _value_at(parsed: Any, field: str) -> Any:
    for step in _PATH_STEP.finditer(field):
        try:
            parsed = parsed[step['name'] or int(step['place'])]
        except (KeyError, IndexError, TypeError):
            return None
    return parsed
