"""One request's way, out of several nodes' logs."""

import contextlib
import io
import tempfile
import unittest
from pathlib import Path

from rattanstile.cli import main
from rattanstile.explain_cli import (
    UnknownRequestError,
    explanation,
    parse_line,
)

ENTRY = """\
time=10.0 node=n1 event=service_tight service=fees let_in=0.4
time=10.4 node=n1 event=request_placed request=a receiver=n2 left_ms=900
time=10.9 node=n1 event=request_ended request=a outcome=unknown_answer_lost \
took_ms=500
time=11.0 node=n1 event=request_ended request=b outcome=whole took_ms=9
"""
SERVING = """\
  12.5 prefix time=10.8 node=n2 event=run_failed request=a failure=reset
time=10.7 node=n2 event=target_suspected target=i-1 why=reset
time=10.7 node=n3 event=target_suspected target=i-9 why=reset
no fields at all
"""


def lines():
    found = [parse_line(text) for text in (ENTRY + SERVING).splitlines()]
    return [line for line in found if line]


class ExplainTest(unittest.TestCase):
    """What the command tells."""

    def test_lines_come_in_the_order_of_time(self):
        """With what the nodes on the way believed, and no other's."""
        told = explanation('a', lines())
        events = [parse_line(text).event for text in told[:-1]]
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
            told[-1], 'Ended at n1: unknown_answer_lost, after 500 ms.'
        )

    def test_a_trail_without_an_end_says_so(self):
        """The line may have been left out."""
        own = [line for line in lines() if line.event == 'request_placed']
        self.assertIn('The trail ends at n1', explanation('a', own)[-1])

    def test_an_unknown_request_is_an_error(self):
        """That says what to give."""
        with self.assertRaises(UnknownRequestError):
            explanation('z', lines())

    def test_the_command_reads_files(self):
        """And exits with 0."""
        with tempfile.TemporaryDirectory() as folder:
            log = Path(folder, 'n1.log')
            log.write_text(ENTRY)
            out = io.StringIO()
            with contextlib.redirect_stdout(out):
                code = main(['explain', 'b', str(log)])
        self.assertEqual(code, 0)
        self.assertIn('whole, after 9 ms', out.getvalue())
