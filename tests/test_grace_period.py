"""Requests in the whole grace period of a node: answered, or never run."""

import asyncio
import itertools
import time
import unittest
from dataclasses import dataclass

from platform_fleet import API_KEY, HOST, PlatformFleet, config_document

PERIOD_S = 0.05
GRACE_S = 6.0
CALLER_TIMEOUT_S = 9.0
DEADLINE_MS = 6000
STOPPING = 0
OTHER = 1
LAST_RISK_S = 3.3
"""What is sent later must not be taken if it could be cut; with the time until
a busy node handles the signal."""
NODE_GONE_S = 5.0
"""No node ends earlier while requests arrive."""
KINDS = tuple(itertools.product(('lookup', 'claims'), (100, 1000, 3000)))
"""Routes whose requests may, and may not, run twice; runs of so many ms."""


@dataclass
class Sent:
    """One request, and what its caller got.

    Attributes:
        sent_s: Time of sending after SIGTERM.
        status: Status of the whole response; None for a closed connection.
    """

    request_id: str
    node: int
    is_kept: bool
    route: str
    run_ms: int
    sent_s: float = 0.0
    status: int | None = None


class GracePeriodTest(unittest.TestCase):
    """Two nodes, of which one is stopped while both are in use."""

    @classmethod
    def setUpClass(cls):
        cls.fleet = PlatformFleet(slots=200)
        cls.addClassCleanup(cls.fleet.stop)
        cls.fleet.start(with_config=False)
        cls.fleet.publish(
            config_document(
                timeout='6000ms',
                max_connections=400,
                idle_timeout='20s',
            )
        )
        for node in (STOPPING, OTHER):
            cls.fleet.wait_until_served(node)
        cls.requests = asyncio.run(cls.send_all())
        cls.runs = {}
        for counts in cls.fleet.send_order('runs').values():
            for request_id, count in counts.items():
                cls.runs[request_id] = cls.runs.get(request_id, 0) + count

    @classmethod
    async def send_all(cls):
        """Send four requests each period, and SIGTERM with the first."""
        requests = []
        for number in range(int((GRACE_S + 0.5) / PERIOD_S)):
            sources = itertools.product((STOPPING, OTHER), (True, False))
            for index, (node, is_kept) in enumerate(sources):
                route, run_ms = KINDS[(number + index) % len(KINDS)]
                name = f'grace-{number}-{index}'
                requests.append(Sent(name, node, is_kept, route, run_ms))
        kept = {
            request.request_id: await cls.connect(request.node)
            for request in requests
            if request.is_kept
        }
        begin_s = time.monotonic()
        cls.fleet.signal_node(STOPPING)
        await asyncio.gather(
            *(
                cls.send(
                    request,
                    begin_s,
                    begin_s + index // 4 * PERIOD_S,
                    kept.get(request.request_id),
                )
                for index, request in enumerate(requests)
            )
        )
        return requests

    @classmethod
    async def connect(cls, node):
        address = cls.fleet.node_settings[node]['caller_address']
        host, _, port = address.partition(':')
        return await asyncio.open_connection(host, int(port))

    @classmethod
    async def send(cls, request, begin_s, due_s, connection):
        await asyncio.sleep(max(0, due_s - time.monotonic()))
        request.sent_s = time.monotonic() - begin_s
        try:
            reader, writer = connection or await cls.connect(request.node)
        except OSError:
            return
        try:
            writer.write(cls.encode(request))
            request.status = await asyncio.wait_for(
                cls.read_status(reader), CALLER_TIMEOUT_S
            )
        except (OSError, asyncio.IncompleteReadError):
            request.status = None
        finally:
            writer.close()

    @classmethod
    def encode(cls, request):
        return (
            f'GET /{request.route}/a?ms={request.run_ms} HTTP/1.1\r\n'
            f'Host: {HOST}\r\nRequest-Id: {request.request_id}\r\n'
            f'Request-Deadline-Ms: {DEADLINE_MS}\r\n'
            f'Authorization: Token {API_KEY}\r\n\r\n'
        ).encode()

    @classmethod
    async def read_status(cls, reader):
        """Return the status of a response when its body is complete."""
        head = await reader.readuntil(b'\r\n\r\n')
        length = head.lower().partition(b'content-length: ')[2]
        await reader.readexactly(int(length.partition(b'\r\n')[0]))
        return int(head.split()[1])

    def check(self, chosen, message):
        """Check that no request was chosen."""
        self.assertEqual([], list(chosen), message)

    def test_each_kind_of_request_is_served_and_refused(self):
        """Otherwise the other tests show nothing."""
        statuses = {
            node: {each.status for each in self.requests if each.node == node}
            for node in (STOPPING, OTHER)
        }
        self.assertLessEqual({200, 503, None}, statuses[STOPPING])
        self.assertIn(200, statuses[OTHER])
        self.assertEqual(self.fleet.node_processes[STOPPING].wait(10), 0)

    def test_no_request_that_runs_is_left_without_an_answer(self):
        """Some were cut at the end of the process, by the order of sockets."""
        self.check(
            (
                each
                for each in self.requests
                if each.status is None and self.runs.get(each.request_id)
            ),
            'cut while they ran',
        )

    def test_connections_close_only_when_the_process_ends(self):
        """A kept connection with a request gets a response until then."""
        self.check(
            (
                each
                for each in self.requests
                if each.status is None
                and (each.node == OTHER or each.sent_s < NODE_GONE_S)
            ),
            'closed early',
        )

    def test_refused_requests_have_not_run(self):
        """Their callers send them again."""
        self.check(
            (
                each
                for each in self.requests
                if each.status in {429, 503} and self.runs.get(each.request_id)
            ),
            'refused though they ran',
        )

    def test_no_late_request_is_taken_and_broken_off(self):
        """The other node sent some to the stopping one until 3.5 s."""
        self.check(
            (
                each
                for each in self.requests
                if each.sent_s > LAST_RISK_S and each.status in {502, 504}
            ),
            'taken late and broken off',
        )

    def test_requests_that_must_not_run_twice_do_not(self):
        """Also if their first node ends."""
        self.check(
            (
                each
                for each in self.requests
                if each.route == 'claims'
                and self.runs.get(each.request_id, 0) > 1
            ),
            'ran twice',
        )
