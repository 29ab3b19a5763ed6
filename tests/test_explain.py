"""Tests of explaining one request from the logs of several nodes."""

import contextlib
import io
import tempfile
import unittest
from pathlib import Path

from rattanstile.cli import main
from rattanstile.explain_cli import (
    UnknownRequestError,
    explain_request,
    parse_log_line,
)

ENTRY_LOG = """\
time=10.0 node=n1 event=service_tight service=fees let_in=0.4
time=10.4 node=n1 event=request_placed request=a receiver=n2 left_ms=900
time=10.9 node=n1 event=request_ended request=a outcome=unknown_answer_lost \
took_ms=500
time=11.0 node=n1 event=request_ended request=b outcome=whole took_ms=9
"""
SERVING_LOG = """\
  12.5 prefix time=10.8 node=n2 event=run_failed request=a failure=reset
time=10.7 node=n2 event=target_suspected target=i-1 why=reset
time=10.7 node=n3 event=target_suspected target=i-9 why=reset
no fields at all
"""


def log_lines():
    parsed = [
        parse_log_line(text) for text in (ENTRY_LOG + SERVING_LOG).splitlines()
    ]
    return [line for line in parsed if line]


class ExplainTest(unittest.TestCase):
    """Tests of `explain_request` and of the ``explain`` command."""

    def test_lines_are_in_time_order(self):
        """Context events of the request's nodes are shown, others are not."""
        output_lines = explain_request('a', log_lines())
        events = [parse_log_line(text).event for text in output_lines[:-1]]
        self.assertEqual(
            events,
            [
                'service_tight',
                'request_placed',
                'target_suspected',
                'run_failed',
                'request_ended',
            ],
        )
        self.assertEqual(
            output_lines[-1], 'Ended at n1: unknown_answer_lost, after 500 ms.'
        )

    def test_missing_outcome_is_reported(self):
        """The log's line limit may have left out the line of the outcome."""
        placed_lines = [
            line for line in log_lines() if line.event == 'request_placed'
        ]
        self.assertIn(
            'The log lines end at n1', explain_request('a', placed_lines)[-1]
        )

    def test_unknown_request_is_an_error(self):
        """No log line has the id of the request."""
        with self.assertRaises(UnknownRequestError):
            explain_request('z', log_lines())

    def test_command_reads_files(self):
        """The command prints the outcome and exits with 0."""
        with tempfile.TemporaryDirectory() as folder:
            log = Path(folder, 'n1.log')
            log.write_text(ENTRY_LOG)
            out = io.StringIO()
            with contextlib.redirect_stdout(out):
                code = main(['explain', 'b', str(log)])
        self.assertEqual(code, 0)
        self.assertIn('whole, after 9 ms', out.getvalue())
