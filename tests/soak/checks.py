"""Promises, checked on what callers and targets saw."""

from collections import Counter
from dataclasses import dataclass

from soak.callers import PROMISES

OK = 200


@dataclass(frozen=True, slots=True)
class Broken:
    """A promise that was not kept."""

    promise: str
    detail: str


def broken_promises(asked, runs):
    """Yield each promise that was broken.

    Args:
        asked: All requests of callers.
        runs: How often targets ran each id.
    """
    by_id = {one.request_id: one for one in asked}
    for request_id, count in runs.items():
        root = request_id.removesuffix('-c')
        if root not in by_id and not root.startswith('watch-'):
            yield Broken('only what was asked runs', request_id)
    for one in asked:
        yield from _broken_by(one, runs.get(one.request_id, 0))


def _broken_by(one, count):
    if not one.is_repeatable and count > 1:
        yield Broken('at most once', f'{one.request_id} ran {count} times')
    if not one.is_repeatable and one.status in PROMISES and count:
        yield Broken('not run', f'{one.request_id} {one.status} has run')
    if one.status == OK:
        if one.answer != b'whole ' + one.body:
            yield Broken('whole', f'{one.request_id} {one.answer[:40]!r}')
        if one.answered_id != one.request_id:
            yield Broken('own answer', f'{one.request_id} {one.answered_id}')
        if not count:
            yield Broken('run before answered', one.request_id)


def summary(asked):
    """Return how the requests ended, by status."""
    counts = Counter(one.status for one in asked)
    return ' '.join(f'{status}:{count}' for status, count in counts.items())
