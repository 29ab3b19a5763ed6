"""Callers that keep their connections, and what they were told."""

import http.client
import threading
import time
from dataclasses import dataclass, field
from random import Random

from platform_fleet import HOST

DEADLINE_MS = 1500
PAUSE_S = (0.0, 0.03)
WORK_MS = (0, 5, 20, 80, 300)
PROMISES = frozenset((408, 421, 429, 503))
"""Statuses that say that a request has not run and never will."""


@dataclass(slots=True)
class Asked:
    """A request, and how it ended; status 0 for a lost connection."""

    request_id: str
    is_repeatable: bool
    key: str
    body: bytes
    sent_s: float
    status: int = 0
    answer: bytes = b''
    answered_id: str = ''


@dataclass(slots=True)
class Records:
    """All requests of a run."""

    asked: list[Asked] = field(default_factory=list)


class Caller(threading.Thread):
    """Sends one request after the other to one node, on one connection."""

    def __init__(self, name, address, keys, records):
        """`keys` are those in use; they change meanwhile."""
        super().__init__(name=name, daemon=True)
        self.is_over = False
        self._address = address
        self._keys = keys
        self._records = records
        self._chance = Random(name)
        self._connection = None
        self._sent = 0

    def run(self):
        """Send until told to stop."""
        while not self.is_over:
            self._ask()
            time.sleep(self._chance.uniform(*PAUSE_S))

    def _ask(self):
        self._sent += 1
        is_repeatable = self._chance.random() < 0.5
        body = b'' if is_repeatable else b'x' * self._chance.randrange(3000)
        asked = Asked(
            f'{self.name}-{self._sent}',
            is_repeatable,
            self._chance.choice(tuple(self._keys)),
            body,
            time.monotonic(),
        )
        self._records.asked.append(asked)
        try:
            self._exchange(asked)
        except (OSError, http.client.HTTPException):
            self._connection.close()
            self._connection = None

    def _exchange(self, asked):
        if self._connection is None:
            self._connection = http.client.HTTPConnection(
                self._address, timeout=DEADLINE_MS / 1000 + 1
            )
        work_ms = self._chance.choice(WORK_MS)
        child = ''
        if asked.is_repeatable and self._chance.random() < 0.3:
            child = '&child=/inner/1'
        kind = 'lookup' if asked.is_repeatable else 'claims'
        self._connection.request(
            'GET' if asked.is_repeatable else 'POST',
            f'/{kind}/1?ms={work_ms}{child}',
            body=asked.body or None,
            headers={
                'Host': HOST,
                'Request-Id': asked.request_id,
                'Request-Deadline-Ms': str(DEADLINE_MS),
                'Authorization': f'Token {asked.key}',
            },
        )
        response = self._connection.getresponse()
        asked.answer = response.read()
        asked.answered_id = response.getheader('Request-Id', '')
        asked.status = response.status
        if response.will_close:
            self._connection.close()
            self._connection = None
