"""Tests of the operators' commands on the command line."""

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
    LOG_ADDRESS_VARIABLE,
    _log_address,
    add_operator_commands,
)
from rattanstile.version.keys import digest_of


def parse_arguments(*command_line):
    parser = argparse.ArgumentParser()
    add_operator_commands(parser.add_subparsers(required=True))
    return parser.parse_args(command_line)


def run_command(*command_line):
    arguments = parse_arguments(*command_line)
    out = io.StringIO()
    err = io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        code = arguments.run(arguments)
    return code, out.getvalue(), err.getvalue()


class OperatorCommandsTest(unittest.TestCase):
    """Tests of what the commands do without a connection to the log."""

    def test_new_key_is_printed_with_its_digest_line(self):
        code, out, _err = run_command('key', 'new')
        key = out.splitlines()[0].split()[-1]
        self.assertEqual(code, ExitCode.OK)
        self.assertIn(f'"{digest_of(key)}",', out)

    def test_invalid_declaration_is_refused_before_contacting_the_log(self):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / 'fleet.json'
            path.write_text('{max_hops: 0}')
            code, _out, err = run_command(
                'plan', str(path), '--log', '127.0.0.1:1'
            )
        self.assertEqual(code, ExitCode.USAGE)
        self.assertIn('$.max_hops: found 0; allowed is 1 to 64', err)

    def test_missing_log_address_is_reported(self):
        with mock.patch.dict(os.environ):
            os.environ.pop(LOG_ADDRESS_VARIABLE, None)
            code, _out, err = run_command('confirm', 'plan')
        self.assertEqual(code, ExitCode.USAGE)
        self.assertIn(LOG_ADDRESS_VARIABLE, err)

    def test_log_address_is_read_from_node_settings(self):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / 'node.json'
            path.write_text('{"log_address": "127.0.0.1:9", "node_id": "n"}')
            arguments = parse_arguments('status', '--settings', str(path))
            self.assertEqual(_log_address(arguments).unwrap(), '127.0.0.1:9')
