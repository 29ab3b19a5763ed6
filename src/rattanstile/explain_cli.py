"""The ``explain`` command: one request's log lines from several nodes."""

import argparse
import re
import sys
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path

from rattanstile.errors import ExitCode, RattanstileError

STANDARD_INPUT = '-'
CONTEXT_WINDOW_S = 1.0
"""How long before a request's first line context events are included."""
MAX_CONTEXT_LINES = 20

_FIELD_PATTERN = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
_CONTEXT_EVENTS = frozenset(
    (
        'config_in_force',
        'drain_began',
        'node_started',
        'peer_lost',
        'peer_silent',
        'rollout_status',
        'rollout_verdict',
        'service_tight',
        'store_lost',
        'target_leaving',
        'target_new',
        'target_suspected',
        'lines_left_out',
        'lines_dropped',
    ),
)
_END_EVENTS = frozenset(('request_ended', 'request_refused'))


class UnknownRequestError(RattanstileError):
    """No log line has the request's id."""


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a node's log."""

    time_s: float
    node: str
    event: str
    fields: dict[str, str]
    text: str


def add_explain_command(
    subparsers: 'argparse._SubParsersAction[argparse.ArgumentParser]',
) -> None:
    """Add the ``explain`` command to a parser."""
    parser = subparsers.add_parser(
        'explain', help='explain the outcome of a request from logs of nodes'
    )
    parser.add_argument('request', help='id of the request')
    parser.add_argument(
        'logs',
        nargs='*',
        default=[STANDARD_INPUT],
        help='log files, - for standard input',
    )
    parser.set_defaults(run=_run)


def parse_log_line(text: str) -> LogLine | None:
    """Return the parsed line, or None if it is not a node's log line.

    Text before the first field, such as a log collector's own timestamp, is
    ignored.
    """
    fields = {
        name: value.strip('"') for name, value in _FIELD_PATTERN.findall(text)
    }
    try:
        time_s = float(fields['time'])
        return LogLine(
            time_s, fields['node'], fields['event'], fields, text.strip()
        )
    except (KeyError, ValueError):
        return None


def explain_request(request_id: str, lines: Iterable[LogLine]) -> list[str]:
    """Return the lines that explain a request, in time order.

    A summary of the outcome is the last line.

    Raises:
        UnknownRequestError: No line has the request's id.
    """
    ordered_lines = sorted(lines, key=lambda line: line.time_s)
    request_lines = [
        line
        for line in ordered_lines
        if line.fields.get('request') == request_id
    ]
    if not request_lines:
        raise UnknownRequestError(
            f'no log line for request {request_id}: pass the logs of all nodes'
            ' for that second; lines of served requests are sampled'
        )
    selected_lines = [
        *_context_lines(request_lines, ordered_lines),
        *request_lines,
    ]
    selected_lines.sort(key=lambda line: line.time_s)
    output_lines = [line.text for line in selected_lines]
    output_lines.append(_outcome_summary(request_lines))
    return output_lines


def _context_lines(
    request_lines: list[LogLine], ordered_lines: list[LogLine]
) -> list[LogLine]:
    """Return context events of the request's nodes, the most recent ones.

    They show the state that each node on the request's path acted on, from
    shortly before the request to its last line.
    """
    nodes = {line.node for line in request_lines}
    nodes.update(line.fields.get('receiver', '') for line in request_lines)
    since_s = request_lines[0].time_s - CONTEXT_WINDOW_S
    until_s = request_lines[-1].time_s
    matches = [
        line
        for line in ordered_lines
        if line.event in _CONTEXT_EVENTS
        and line.node in nodes
        and since_s <= line.time_s <= until_s
    ]
    return matches[-MAX_CONTEXT_LINES:]


def _outcome_summary(request_lines: list[LogLine]) -> str:
    end_lines = [line for line in request_lines if line.event in _END_EVENTS]
    if not end_lines:
        last_line = request_lines[-1]
        return (
            f'The log lines end at {last_line.node} with {last_line.event}:'
            ' no line has the outcome. Look for lines_left_out in that second.'
        )
    end_line = end_lines[-1]
    outcome = end_line.fields.get('outcome') or end_line.fields.get(
        'reason', ''
    )
    duration_ms = end_line.fields.get('took_ms', '0')
    return f'Ended at {end_line.node}: {outcome}, after {duration_ms} ms.'


def _run(parsed: argparse.Namespace) -> int:
    lines = [
        line
        for text in _read_lines(parsed.logs)
        if (line := parse_log_line(text)) is not None
    ]
    for text in explain_request(parsed.request, lines):
        sys.stdout.write(f'{text}\n')
    return int(ExitCode.OK)


def _read_lines(file_names: list[str]) -> Iterator[str]:
    for file_name in file_names:
        if file_name == STANDARD_INPUT:
            yield from sys.stdin
        else:
            with Path(file_name).open(
                encoding='utf-8', errors='replace'
            ) as log:
                yield from log
