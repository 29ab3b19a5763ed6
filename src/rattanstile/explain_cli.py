"""The command `explain`: one request's lines out of several nodes' logs."""

import argparse
import re
import sys
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path

from rattanstile.errors import ExitCode, RattanstileError

STANDARD_INPUT = '-'
CONTEXT_S = 1.0
"""How long before the request a change may explain it."""
MOST_CONTEXT_LINES = 20

_PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
_CONTEXT_EVENTS = frozenset(
    (
        'config_in_force',
        'drain_began',
        'node_started',
        'peer_lost',
        'peer_silent',
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
    """No line names the request."""


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
    """Add the command to a parser."""
    parser = subparsers.add_parser(
        'explain', help='show why a request ended as it did, from logs'
    )
    parser.add_argument('request', help='id of the request')
    parser.add_argument(
        'logs', nargs='*', default=[STANDARD_INPUT], help='files, - for input'
    )
    parser.set_defaults(run=_run)


def parse_line(text: str) -> LogLine | None:
    """Return a line's fields; None for text of another kind.

    What stands before the first field, such as a collector's own time, is
    passed over.
    """
    fields = {name: found.strip('"') for name, found in _PAIR.findall(text)}
    try:
        time_s = float(fields['time'])
        return LogLine(
            time_s, fields['node'], fields['event'], fields, text.strip()
        )
    except (KeyError, ValueError):
        return None


def explanation(request: str, lines: Iterable[LogLine]) -> list[str]:
    """Return the lines that explain a request, in the order of time.

    Raises:
        UnknownRequestError: No line names the request.
    """
    known = sorted(lines, key=lambda line: line.time_s)
    own = [line for line in known if line.fields.get('request') == request]
    if not own:
        raise UnknownRequestError(
            f'no line names the request {request}: give the logs of all nodes'
            ' of that second; lines of requests that were served are sampled'
        )
    shown = [*_context(own, known), *own]
    shown.sort(key=lambda line: line.time_s)
    told = [line.text for line in shown]
    told.append(_verdict(own))
    return told


def _context(own: list[LogLine], known: list[LogLine]) -> list[LogLine]:
    """Return what the nodes on the way believed, shortly before."""
    nodes = {line.node for line in own}
    nodes.update(line.fields.get('receiver', '') for line in own)
    began_s = own[0].time_s - CONTEXT_S
    ended_s = own[-1].time_s
    found = [
        line
        for line in known
        if line.event in _CONTEXT_EVENTS
        and line.node in nodes
        and began_s <= line.time_s <= ended_s
    ]
    return found[-MOST_CONTEXT_LINES:]


def _verdict(own: list[LogLine]) -> str:
    ends = [line for line in own if line.event in _END_EVENTS]
    if not ends:
        last = own[-1]
        return (
            f'The trail ends at {last.node} with {last.event}: no line tells'
            ' the end. Look for lines_left_out of that second.'
        )
    end = ends[-1]
    outcome = end.fields.get('outcome') or end.fields.get('reason', '')
    took = end.fields.get('took_ms', '0')
    return f'Ended at {end.node}: {outcome}, after {took} ms.'


def _run(parsed: argparse.Namespace) -> int:
    lines = [
        line
        for text in _texts(parsed.logs)
        if (line := parse_line(text)) is not None
    ]
    for text in explanation(parsed.request, lines):
        sys.stdout.write(f'{text}\n')
    return int(ExitCode.OK)


def _texts(files: list[str]) -> Iterator[str]:
    for name in files:
        if name == STANDARD_INPUT:
            yield from sys.stdin
        else:
            with Path(name).open(encoding='utf-8', errors='replace') as log:
                yield from log
