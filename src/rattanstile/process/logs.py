"""Logs: one line of key=value pairs for each event."""

import sys
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager

import logbook

from rattanstile.process.settings import LogSettings


@contextmanager
def logging_to(settings: LogSettings) -> Iterator[None]:
    """Send log lines to the destination of the settings in the block."""
    with ExitStack() as stack:
        handler = _handler(settings)
        handler.formatter = _line
        stack.callback(handler.close)
        stack.enter_context(handler.applicationbound())
        yield


def _line(record: logbook.LogRecord, _: logbook.Handler) -> str:
    """Return the line of a record; a plain function costs half a template."""
    return (
        f'time={record.time.isoformat()} level={record.level_name}'
        f' part={record.channel} {record.message}'
    )


def _handler(settings: LogSettings) -> logbook.Handler:
    level = settings.level.upper()
    if settings.destination == 'stderr':
        return logbook.StreamHandler(sys.stderr, level=level)
    if settings.destination == 'none':
        return logbook.NullHandler()
    return logbook.FileHandler(settings.destination, level=level)
