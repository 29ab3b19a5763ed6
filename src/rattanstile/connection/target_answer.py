"""Parses a target's HTTP/1.1 answers; only complete ones are accepted."""

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
    """A target's complete answer.

    Attributes:
        headers: As the target sent them, with lower-case names.
        boot_id: Boot id that the target states; empty when it states none.
        stated_not_run: Whether the target states that it did not run the call.
        token: Token of the call that the target states it answers; empty when
            it states none.
    """

    status: int
    headers: tuple[Header, ...]
    body: bytes
    boot_id: str = ''
    stated_not_run: bool = False
    token: str = ''


class AnswerCutError(Exception):
    """The bytes received are not a complete, acceptable answer."""


class AnswerReader:
    """Parses the answers of one connection, one for each `expect`.

    Attributes:
        keeps_alive: Whether the connection may carry another call; false
            after unexpected bytes.
    """

    def __init__(self) -> None:
        """Start without an expected answer."""
        self.keeps_alive = True
        self._parser = httptools.HttpResponseParser(self)
        self._answer: TargetAnswer | None = None
        self._is_expecting = False
        self._is_head_only = False
        self._reset_answer()

    def expect(self, *, is_head: bool) -> None:
        """Expect one answer; the answer to a HEAD request has no body."""
        self._is_expecting = True
        self._is_head_only = is_head
        self._answer = None
        self._reset_answer()

    def feed(self, received: bytes) -> TargetAnswer | None:
        """Parse bytes and return the answer once it is complete.

        Raises:
            AnswerCutError: The bytes are not an acceptable answer, or no
                answer is expected.
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
        """Stop reuse of the connection after an unsolicited answer."""
        if self._answer is not None:
            self.keeps_alive = False

    def on_header(self, name: bytes, content: bytes) -> None:
        """Store a header."""
        self._head_bytes += len(name) + len(content)
        if self._head_bytes > MAX_HEAD_BYTES:
            raise AnswerCutError
        header = (name.decode('latin-1').lower(), content.decode('latin-1'))
        self._headers.append(header)

    def on_headers_complete(self) -> None:
        """Record the status; an answer to a HEAD request ends here."""
        self._status = self._parser.get_status_code()
        if self._is_head_only and self._status >= _FIRST_FINAL_STATUS:
            # The parser would wait for a body of the stated length.
            self._complete(keeps_alive=False)

    def on_body(self, body: bytes) -> None:
        """Store a part of the body."""
        if self._answer is not None:
            return
        self._body_bytes += len(body)
        if self._body_bytes > MAX_ANSWER_BYTES:
            raise AnswerCutError
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Complete the answer, or discard an interim one."""
        if self._answer is not None:
            return
        if self._status < _FIRST_FINAL_STATUS:
            self._reset_answer()
            return
        self._complete(keeps_alive=self._parser.should_keep_alive())

    def _reset_answer(self) -> None:
        self._status = 0
        self._headers: list[Header] = []
        self._head_bytes = 0
        self._body: list[bytes] = []
        self._body_bytes = 0

    def _complete(self, *, keeps_alive: bool) -> None:
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
