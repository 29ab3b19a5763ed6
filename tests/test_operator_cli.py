"""Operators' commands on the command line."""

import argparse
import contextlib
import io
import os
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from rattanstile.errors import ExitCode
from rattanstile.operator_cli import (
    LOG_VARIABLE,
    _log_address,
    add_operator_commands,
)
from rattanstile.version.keys import digest_of


def parsed(*words):
    parser = argparse.ArgumentParser()
    add_operator_commands(parser.add_subparsers(required=True))
    return parser.parse_args(words)


def run(*words):
    arguments = parsed(*words)
    out = io.StringIO()
    err = io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        code = arguments.run(arguments)
    return code, out.getvalue(), err.getvalue()


class OperatorCommandsTest(unittest.TestCase):
    """What can be told without a log."""

    def test_new_key_is_printed_with_the_line_of_its_digest(self):
        code, out, _err = run('key', 'new')
        key = out.splitlines()[0].split()[-1]
        self.assertEqual(code, ExitCode.OK)
        self.assertIn(f'"{digest_of(key)}",', out)

    def test_bad_declaration_is_refused_before_the_log_is_asked(self):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / 'fleet.json'
            path.write_text('{max_hops: 0}')
            code, _out, err = run('plan', str(path), '--log', '127.0.0.1:1')
        self.assertEqual(code, ExitCode.USAGE)
        self.assertIn('$.max_hops: found 0; allowed is 1 to 64', err)

    def test_missing_log_address_is_told(self):
        with mock.patch.dict(os.environ):
            os.environ.pop(LOG_VARIABLE, None)
            code, _out, err = run('confirm', 'plan')
        self.assertEqual(code, ExitCode.USAGE)
        self.assertIn(LOG_VARIABLE, err)

    def test_log_address_comes_from_a_node_settings_file(self):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / 'node.json'
            path.write_text('{"log_address": "127.0.0.1:9", "node_id": "n"}')
            arguments = parsed('status', '--settings', str(path))
            self.assertEqual(_log_address(arguments).unwrap(), '127.0.0.1:9')
