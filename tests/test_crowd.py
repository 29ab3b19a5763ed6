"""The load generator of untrusted clients, beside a socket of its own."""

import gc
import io
import socket
import unittest
import warnings
from argparse import Namespace
from contextlib import redirect_stdout

from rattanstile.standin.crowd_shapes import CrowdIdentity, CrowdShape
from rattanstile.trial.crowd import Crowd
from rattanstile.trial.crowd_cli import run_crowd_command

HOST = '127.0.0.1'
IDENTITY = CrowdIdentity('forest.example', 'key')


class CrowdCountsTest(unittest.TestCase):
    """Counts name what became of each client."""

    def test_connections_that_fail_are_counted_and_closed(self):
        """They were missing from the counts, and kept their sockets."""
        with socket.socket() as unused:
            unused.bind((HOST, 0))
            address = f'{HOST}:{unused.getsockname()[1]}'
            crowd = Crowd(address, CrowdShape('few', 3), IDENTITY, 1)
            with warnings.catch_warnings(record=True) as caught:
                warnings.simplefilter('always', ResourceWarning)
                crowd.connect()
                gc.collect()
        self.assertEqual(caught, [])
        self.assertEqual(crowd.counts.connected, 0)
        self.assertEqual(crowd.counts.refused, 3)

    def test_command_shows_connections_that_fail(self):
        """They were counted, and shown nowhere."""
        with socket.socket() as unused:
            unused.bind((HOST, 0))
            arguments = Namespace(
                address=f'{HOST}:{unused.getsockname()[1]}',
                shape='pipelined',
                host=IDENTITY.host,
                key=IDENTITY.key,
                seed=1,
                hold_s=0.0,
            )
            with redirect_stdout(io.StringIO()) as shown:
                run_crowd_command(arguments)
        self.assertIn('connected 0, refused 100,', shown.getvalue())

    def test_clients_that_do_not_read_leave_answers_unread(self):
        """The node's side must see a full buffer, not a closed connection."""
        with socket.create_server((HOST, 0)) as server:
            address = f'{HOST}:{server.getsockname()[1]}'
            shape = CrowdShape('unread', 1, reads=False)
            crowd = Crowd(address, shape, IDENTITY, 1)
            self.addCleanup(crowd.close)
            crowd.connect()
            accepted, _ = server.accept()
            with accepted:
                accepted.shutdown(socket.SHUT_WR)
                crowd.hold(0.1)
                self.assertEqual(crowd.counts.closed, 0)
                self.assertGreater(crowd.counts.sent_bytes, 0)
