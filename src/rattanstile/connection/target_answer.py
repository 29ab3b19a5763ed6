"""Reads a target's HTTP/1.1 answers; only a whole one counts."""

from dataclasses import dataclass

import httptools

from rattanstile.request.envelope import Header

MAX_ANSWER_BYTES = 1024 * 1024
MAX_HEAD_BYTES = 64 * 1024
BOOT_HEADER = 'rattanstile-boot'
NOT_RUN_HEADER = 'rattanstile-not-run'
CALL_HEADER = 'rattanstile-call'

_FIRST_FINAL_STATUS = 200


@dataclass(frozen=True, slots=True)
class TargetAnswer:
    """A target's whole answer.

    Attributes:
        headers: With lower-case names, as the target gave them.
        boot_id: The target's own boot id; empty where it gives none.
        refused_unrun: Whether the target says that it did not run the call.
        token: The call that the target says it answers; empty where it says
            nothing.
    """

    status: int
    headers: tuple[Header, ...]
    body: bytes
    boot_id: str = ''
    stated_not_run: bool = False
    token: str = ''


class AnswerCutError(Exception):
    """The bytes received are no whole, acceptable answer."""


class AnswerReader:
    """Reads the answers of one connection, one for each `expect`.

    Attributes:
        keeps_alive: Whether the connection may carry another call; false
            after anything that the reader did not expect.
    """

    def __init__(self) -> None:
        """Begin before the first call."""
        self.keeps_alive = True
        self._parser = httptools.HttpResponseParser(self)
        self._answer: TargetAnswer | None = None
        self._is_expecting = False
        self._is_head_only = False
        self._begin()

    def expect(self, *, is_head: bool) -> None:
        """Expect one answer, without a body to a HEAD request."""
        self._is_expecting = True
        self._is_head_only = is_head
        self._answer = None
        self._begin()

    def feed(self, received: bytes) -> TargetAnswer | None:
        """Return the answer once it is whole.

        Raises:
            AnswerCutError: The bytes are no acceptable answer.
        """
        if not self._is_expecting:
            raise AnswerCutError
        try:
            self._parser.feed_data(received)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.keeps_alive = False
            if self._answer is None:
                raise AnswerCutError from None
        self._head_bytes += 0 if self._status else len(received)
        if self._head_bytes > MAX_HEAD_BYTES:
            raise AnswerCutError
        return self._answer

    def on_message_begin(self) -> None:
        """Begin an answer; one that nobody asked for taints the rest."""
        if self._answer is not None:
            self.keeps_alive = False

    def on_header(self, name: bytes, content: bytes) -> None:
        """Keep a header."""
        self._head_bytes += len(name) + len(content)
        if self._head_bytes > MAX_HEAD_BYTES:
            raise AnswerCutError
        header = (name.decode('latin-1').lower(), content.decode('latin-1'))
        self._headers.append(header)

    def on_headers_complete(self) -> None:
        """Learn the status."""
        self._status = self._parser.get_status_code()
        if self._is_head_only and self._status >= _FIRST_FINAL_STATUS:
            # The parser would wait for the body that the length announces.
            self._end(keeps_alive=False)

    def on_body(self, body: bytes) -> None:
        """Keep a part of the body."""
        if self._answer is not None:
            return
        self._body_bytes += len(body)
        if self._body_bytes > MAX_ANSWER_BYTES:
            raise AnswerCutError
        self._body.append(body)

    def on_message_complete(self) -> None:
        """End the answer, unless it was an interim one."""
        if self._answer is not None:
            return
        if self._status < _FIRST_FINAL_STATUS:
            self._begin()
            return
        self._end(keeps_alive=self._parser.should_keep_alive())

    def _begin(self) -> None:
        self._status = 0
        self._headers: list[Header] = []
        self._head_bytes = 0
        self._body: list[bytes] = []
        self._body_bytes = 0

    def _end(self, *, keeps_alive: bool) -> None:
        self.keeps_alive = self.keeps_alive and keeps_alive
        self._is_expecting = False
        boot_id = ''
        stated_not_run = False
        token = ''
        for name, content in self._headers:
            if name == BOOT_HEADER:
                boot_id = content
            elif name == CALL_HEADER:
                token = content
            elif name == NOT_RUN_HEADER:
                stated_not_run = content == '1'
        self._answer = TargetAnswer(
            status=self._status,
            headers=tuple(self._headers),
            body=b''.join(self._body),
            boot_id=boot_id,
            stated_not_run=stated_not_run,
            token=token,
        )
