"""The dialect of targets: calls, answers and probes."""

from rattanstile.connection.http_client import ExchangeFailure
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
from rattanstile.process.mesh.target_watch import ProbeResult
from rattanstile.request.exchange import (
    RawHeader,
    ServedCall,
    WholeAnswer,
)
from rattanstile.request.ids import TargetId

_OTHER_TARGET = 421
_HEALTHY = 200
_PROMISES = frozenset((408, 421, 429, 503))
"""Callers take these for a promise that nothing ran; of a target they are
one only with `headers.NOT_RUN`."""
_MS_PER_S = 1000


class PlatformTargets:
    """See `rattanstile.process.mesh.ports.TargetCodec`."""

    def encode_call(
        self, call: ServedCall, target_id: TargetId, remaining_ms: int
    ) -> bytes:
        """Return the bytes of a call."""
        named: list[RawHeader] = [
            (headers.HOST, call.host.encode('latin-1')),
            (headers.REQUEST_ID, call.request_id.encode('latin-1')),
            (headers.DEADLINE_MS, b'%d' % remaining_ms),
            (headers.CALLER_SERVICE, call.caller_service.encode('latin-1')),
        ]
        if target_id:
            expected = target_id.encode('latin-1')
            named.append((headers.TARGET_ID_EXPECTED, expected))
        if call.organisation:
            name = call.organisation.encode('latin-1')
            named.append((headers.ORGANISATION, name))
        return encode_request(
            call.method, call.path, (*named, *call.headers), call.body
        )

    def is_answer_to(self, call: ServedCall, response: HttpResponse) -> bool:
        """Tell whether a response answers the call, and no other."""
        echoed = response.header(headers.REQUEST_ID)
        return echoed is None or echoed.decode('latin-1') == call.request_id

    def decode_answer(self, response: HttpResponse) -> RunOutcome:
        """Return what a response says of the call."""
        if response.status == _OTHER_TARGET:
            return RunRefused(is_other_target=True)
        if response.header(headers.NOT_RUN) is not None:
            return RunRefused(is_other_target=False)
        if response.status in _PROMISES or not _is_whole(response):
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
        """Return the bytes of a probe."""
        return encode_request('GET', health_path, ((headers.HOST, b'target'),))

    def decode_probe(self, response: HttpResponse) -> ProbeResult:
        """Return what a response to a probe says."""
        target_id = response.header(headers.TARGET_ID) or b''
        cold = response.header(headers.COLD_MS)
        cold_s = None
        if cold is not None and cold.isdigit():
            cold_s = int(cold) / _MS_PER_S
        return ProbeResult(
            target_id=TargetId(target_id.decode('latin-1')),
            is_healthy=response.status == _HEALTHY,
            cold_s=cold_s,
        )


def _is_whole(response: HttpResponse) -> bool:
    """Tell whether a success is the target's own, with its own body."""
    is_success = 200 <= response.status < 300  # noqa: PLR2004
    if not is_success:
        return True
    return (
        response.header(headers.SIGNATURE) is not None
        and response.header(headers.REQUEST_ID) is not None
        and response.header(headers.CONTENT_ENCODING) is None
    )
