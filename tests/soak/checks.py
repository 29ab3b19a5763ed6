"""Checks of the guarantees, from observations of callers and targets."""

from collections import Counter
from dataclasses import dataclass

from soak.callers import NOT_RUN_STATUSES

STATUS_OK = 200


@dataclass(frozen=True, slots=True)
class Violation:
    """A violation of a guarantee."""

    guarantee: str
    detail: str


def find_violations(requests, run_counts):
    """Yield each violation of a guarantee.

    The id of a child call is that of its parent with ``-c`` appended. Ids of
    requests that the test harness itself sends begin with ``watch-``.

    Args:
        requests: All requests of callers.
        run_counts: How often targets ran each request id.
    """
    requests_by_id = {request.request_id: request for request in requests}
    for request_id, count in run_counts.items():
        root_id = request_id.removesuffix('-c')
        if root_id not in requests_by_id and not root_id.startswith('watch-'):
            yield Violation('only sent requests run', request_id)
    for request in requests:
        yield from _find_request_violations(
            request, run_counts.get(request.request_id, 0)
        )


def _find_request_violations(request, count):
    if not request.is_repeatable and count > 1:
        yield Violation(
            'at most once', f'{request.request_id} ran {count} times'
        )
    if (
        not request.is_repeatable
        and request.status in NOT_RUN_STATUSES
        and count
    ):
        yield Violation(
            'refused request not run',
            f'{request.request_id} {request.status} has run',
        )
    if request.status == STATUS_OK:
        if request.response_body != b'whole ' + request.body:
            yield Violation(
                'whole', f'{request.request_id} {request.response_body[:40]!r}'
            )
        if request.response_id != request.request_id:
            yield Violation(
                'response matches request',
                f'{request.request_id} {request.response_id}',
            )
        if not count:
            yield Violation('run before response', request.request_id)


def status_summary(requests):
    """Return the number of requests by status, as text."""
    counts = Counter(request.status for request in requests)
    return ' '.join(f'{status}:{count}' for status, count in counts.items())
