"""Reads JSON with comments into a typed value, or tells what is wrong."""

import re
from pathlib import Path
from typing import Any, TypeVar

import json5
import msgspec
from result import Err, Ok, Result

from rattanstile.errors import SettingsError

Checked = TypeVar('Checked')

FOUND_CHARS = 60
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
    try:
        return Ok(msgspec.json.decode(text))
    except msgspec.DecodeError:
        """Comments are not plain JSON; the slower parser reads them."""
    try:
        return Ok(json5.loads(text, allow_duplicate_keys=False))
    except (ValueError, RecursionError) as failure:
        return Err(f'not JSON with comments: {failure}')


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
