"""Runs every deterministic bench and prints one table."""

import importlib
import sys
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from bench.row import Row

BENCHES = (
    'configuration',
    'at_most_once',
    'retries',
    'overload',
    'rates',
    'membership',
    'loans',
    'fleet_links',
)
PROCESSES = 4
FAILED = 'FAILED'
KNOWN_RED = Path(__file__).parent.parent / 'KNOWN-RED.txt'


def _known_red() -> str:
    return KNOWN_RED.read_text() if KNOWN_RED.exists() else ''


def _rows(name: str) -> list[Row]:
    found = list(importlib.import_module(f'bench.{name}').rows())
    return found


def _print_row(row: Row, verdict: str) -> None:
    print(
        f'{verdict:9} {row.case}: {row.figure}'
        f' (bound {row.bound}; baseline {row.baseline})',
        flush=True,
    )


def main() -> int:
    """Run the benches named on the command line, or all of them.

    Returns:
        0 when every row holds or stands in KNOWN-RED.txt.
    """
    known_red = _known_red()
    failed = 0
    with ProcessPoolExecutor(PROCESSES) as pool:
        for rows in pool.map(_rows, sys.argv[1:] or BENCHES):
            for row in rows:
                verdict = _verdict(row, known_red)
                failed += verdict == FAILED
                _print_row(row, verdict)
    return int(failed > 0)


def _verdict(row: Row, known_red: str) -> str:
    if row.held:
        return 'held'
    return 'known-red' if row.case in known_red else FAILED


if __name__ == '__main__':
    sys.exit(main())
