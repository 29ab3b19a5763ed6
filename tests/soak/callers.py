"""Callers with keep-alive connections, and the log of their requests."""

import http.client
import threading
import time
from dataclasses import dataclass, field
from random import Random

from platform_fleet import HOST

DEADLINE_MS = 1500
THINK_TIME_RANGE_S = (0.0, 0.03)
WORK_TIMES_MS = (0, 5, 20, 80, 300)
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
"""Statuses that guarantee that a request has not run and never will."""


@dataclass(slots=True)
class SentRequest:
    """A request and its outcome; status 0 stands for a lost connection."""

    request_id: str
    is_repeatable: bool
    key: str
    body: bytes
    sent_s: float
    status: int = 0
    response_body: bytes = b''
    response_id: str = ''


@dataclass(slots=True)
class RequestLog:
    """All requests of a run, of all callers."""

    requests: list[SentRequest] = field(default_factory=list)


class Caller(threading.Thread):
    """Sends requests to one node, one at a time, over one connection."""

    def __init__(self, name, address, keys, request_log):
        """Create a caller.

        Args:
            name: Prefix of request ids, and seed of random choices.
            address: Caller address of the node.
            keys: Valid API keys; the set changes during the run.
            request_log: Receives each request before it is sent.
        """
        super().__init__(name=name, daemon=True)
        self.is_stopping = False
        self._address = address
        self._keys = keys
        self._request_log = request_log
        self._random = Random(name)
        self._connection = None
        self._sent_count = 0

    def run(self):
        """Send requests until `is_stopping` is set."""
        while not self.is_stopping:
            self._send_request()
            time.sleep(self._random.uniform(*THINK_TIME_RANGE_S))

    def _send_request(self):
        self._sent_count += 1
        is_repeatable = self._random.random() < 0.5
        body = b'' if is_repeatable else b'x' * self._random.randrange(3000)
        sent_request = SentRequest(
            f'{self.name}-{self._sent_count}',
            is_repeatable,
            self._random.choice(tuple(self._keys)),
            body,
            time.monotonic(),
        )
        self._request_log.requests.append(sent_request)
        try:
            self._exchange(sent_request)
        except (OSError, http.client.HTTPException):
            self._connection.close()
            self._connection = None

    def _exchange(self, sent_request):
        if self._connection is None:
            self._connection = http.client.HTTPConnection(
                self._address, timeout=DEADLINE_MS / 1000 + 1
            )
        work_ms = self._random.choice(WORK_TIMES_MS)
        child = ''
        if sent_request.is_repeatable and self._random.random() < 0.3:
            child = '&child=/inner/1'
        route_name = 'lookup' if sent_request.is_repeatable else 'claims'
        self._connection.request(
            'GET' if sent_request.is_repeatable else 'POST',
            f'/{route_name}/1?ms={work_ms}{child}',
            body=sent_request.body or None,
            headers={
                'Host': HOST,
                'Request-Id': sent_request.request_id,
                'Request-Deadline-Ms': str(DEADLINE_MS),
                'Authorization': f'Token {sent_request.key}',
            },
        )
        response = self._connection.getresponse()
        sent_request.response_body = response.read()
        sent_request.response_id = response.getheader('Request-Id', '')
        sent_request.status = response.status
        if response.will_close:
            self._connection.close()
            self._connection = None
