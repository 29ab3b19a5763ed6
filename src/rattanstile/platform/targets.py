"""Codec of the calls and probes to a target and of its responses."""

from rattanstile.connection.http_client import (
    ExchangeFailure,
    ResponseMatch,
)
from rattanstile.connection.http_messages import (
    HttpResponse,
    encode_request,
    forwardable_headers,
)
from rattanstile.platform import headers
from rattanstile.process.mesh.ports import (
    RunAnswered,
    RunFailed,
    RunOutcome,
    RunRefused,
)
from rattanstile.process.mesh.serving.target_watch import ProbeResult
from rattanstile.request.exchange import (
    RawHeader,
    ServedCall,
    WholeAnswer,
)
from rattanstile.request.ids import TargetId

_MISDIRECTED = 421
_HEALTHY = 200
_FIRST_SERVER_ERROR = 500
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
"""Callers take these as a guarantee that the request did not run; from a
target they are one only with `headers.NOT_RUN`, or if the status is 421."""
_MS_PER_S = 1000
MAX_COLD_DIGITS = 9


class PlatformTargetCodec:
    """See `rattanstile.process.mesh.ports.TargetCodec`."""

    def encode_call(
        self, call: ServedCall, target_id: TargetId, remaining_ms: int
    ) -> bytes:
        """Return the encoded call."""
        call_headers: list[RawHeader] = [
            (headers.HOST, call.host.encode('latin-1')),
            (headers.REQUEST_ID, call.request_id.encode('latin-1')),
            (headers.DEADLINE_MS, b'%d' % remaining_ms),
            (headers.CALLER_SERVICE, call.caller_service.encode('latin-1')),
        ]
        if target_id:
            expected = target_id.encode('latin-1')
            call_headers.append((headers.TARGET_ID_EXPECTED, expected))
        if call.organisation:
            organisation = call.organisation.encode('latin-1')
            call_headers.append((headers.ORGANISATION, organisation))
        return encode_request(
            call.method, call.path, (*call_headers, *call.headers), call.body
        )

    def match_answer(
        self, call: ServedCall, response: HttpResponse
    ) -> ResponseMatch:
        """Return how a response relates to a call, by the ID it echoes.

        The refusal of a call that must not run twice ends its connection:
        written once more, it would deny the run of a later attempt.
        """
        echoed_id = response.header(headers.REQUEST_ID)
        if echoed_id is None:
            return ResponseMatch.UNIDENTIFIED
        if echoed_id.decode('latin-1') != call.request_id:
            return ResponseMatch.OTHER
        if not call.idempotent and _is_refusal(response):
            return ResponseMatch.LAST
        return ResponseMatch.OWN

    def decode_answer(self, response: HttpResponse) -> RunOutcome:
        """Return the outcome of the call that a response reports."""
        if response.status == _MISDIRECTED:
            return RunRefused(is_other_target=True)
        if response.header(headers.NOT_RUN) is not None:
            return RunRefused(is_other_target=False)
        if response.status in _NOT_RUN_STATUSES or not _is_unmodified(response):
            return RunFailed(ExchangeFailure.SPOILED)
        return RunAnswered(
            WholeAnswer(
                status=response.status,
                phrase=response.phrase,
                headers=forwardable_headers(response.headers),
                body=response.body,
            )
        )

    def encode_probe(self, health_path: str) -> bytes:
        """Return the encoded probe."""
        return encode_request('GET', health_path, ((headers.HOST, b'target'),))

    def match_probe(self, response: HttpResponse) -> ResponseMatch:
        """Return how a response relates to a probe, which has no ID."""
        if response.header(headers.REQUEST_ID) is None:
            return ResponseMatch.OWN
        return ResponseMatch.OTHER

    def decode_probe(self, response: HttpResponse) -> ProbeResult:
        """Return the health that a response to a probe reports."""
        target_id = response.header(headers.TARGET_ID) or b''
        cold = response.header(headers.COLD_MS)
        cold_s = None
        if cold is not None and _is_cold_time(cold):
            cold_s = int(cold) / _MS_PER_S
        return ProbeResult(
            target_id=TargetId(target_id.decode('latin-1')),
            is_healthy=response.status == _HEALTHY,
            cold_s=cold_s,
        )


def _is_cold_time(content: bytes) -> bool:
    return content.isdigit() and len(content) <= MAX_COLD_DIGITS


def _is_refusal(response: HttpResponse) -> bool:
    return (
        response.status == _MISDIRECTED
        or response.header(headers.NOT_RUN) is not None
    )


def _is_unmodified(response: HttpResponse) -> bool:
    """Return whether a response comes from the target, with an unchanged body.

    Errors of a server are not checked: callers may repeat a request after them
    as after the node's own.
    """
    if response.status >= _FIRST_SERVER_ERROR:
        return True
    return (
        response.header(headers.SIGNATURE) is not None
        and response.header(headers.REQUEST_ID) is not None
        and response.header(headers.CONTENT_ENCODING) is None
    )
