"""Tests of the checks that precede any work on a request."""

import unittest

from rattanstile.process.entry.contexts import CallContexts
from rattanstile.process.entry.request_checker import (
    MAX_DEADLINE_MS,
    RequestChecker,
    RequestHead,
)
from rattanstile.request.envelope import Call
from rattanstile.request.outcome import Reason
from rattanstile.request.priority import Priority
from rattanstile.version.declaration import (
    Declaration,
    Organisation,
    Route,
    Service,
    TargetLimits,
)
from rattanstile.version.in_force import VersionInForce
from rattanstile.version.keys import digest_of

DECLARATION = Declaration(
    organisations=(
        Organisation(
            name='gjovik',
            rate_per_s=1,
            burst_calls=1,
            keys=(digest_of('secret'),),
        ),
    ),
    services=(
        Service(
            name='claims',
            routes=(
                Route(path='/'),
                Route(path='/open', open_to_all=True),
                Route(path='/claim', kind='claim', idempotent=False),
            ),
            limits=TargetLimits(slots=4),
            timeout_s=2.0,
        ),
    ),
    max_hops=1,
)


def request_head(path='/', key='secret', deadline_ms=0, parent=''):
    """Return the checked fields of a request to the service."""
    return RequestHead(
        key=key,
        service='claims',
        method='GET',
        path=path,
        deadline_ms=deadline_ms,
        parent=parent,
    )


class RequestChecksTest(unittest.TestCase):
    """Requests are attributed to an organisation or refused."""

    def setUp(self):
        self.version = VersionInForce(1, DECLARATION)
        self.is_version_fresh = True
        self.contexts = CallContexts()
        self.checker = RequestChecker(
            lambda: self.version, lambda _: self.is_version_fresh, self.contexts
        )

    def denial_reason(self, request):
        """Return the reason for which a request is denied."""
        return self.checker.check(0.0, request).unwrap_err().reason

    def begin_parent(self, hops=0, priority=Priority.LOOKUP):
        """Start a parent call at the target and return its token."""
        call = Call(
            call_id='c',
            attempt=1,
            organisation='gjovik',
            key_digest=digest_of('secret'),
            service='claims',
            method='GET',
            path='/',
            remaining_ms=500,
            tries_left=3,
            hops=hops,
            home='n',
            priority=priority,
            shed_draw=0.5,
        )
        return self.contexts.begin(0.0, call, 500).unwrap()

    def test_key_identifies_the_organisation_and_call_is_charged(self):
        checked = self.checker.check(0.0, request_head()).unwrap()
        self.assertEqual(checked.organisation, 'gjovik')
        self.assertTrue(checked.is_charged)
        self.assertEqual(checked.remaining_ms, 2000)

    def test_unknown_absent_or_withdrawn_key_is_refused(self):
        self.assertIs(
            self.denial_reason(request_head(key='x')), Reason.KEY_REFUSED
        )
        self.assertIs(
            self.denial_reason(request_head(key='')), Reason.KEY_REFUSED
        )
        self.version = VersionInForce(
            2, Declaration(services=DECLARATION.services)
        )
        self.assertIs(self.denial_reason(request_head()), Reason.KEY_REFUSED)

    def test_open_route_requires_no_key_or_fresh_version(self):
        self.is_version_fresh = False
        checked = self.checker.check(
            0.0, request_head('/open', key='')
        ).unwrap()
        self.assertEqual(checked.organisation, '')
        self.assertFalse(checked.is_charged)

    def test_stale_or_missing_version_refuses_keyed_calls(self):
        self.is_version_fresh = False
        self.assertIs(self.denial_reason(request_head()), Reason.NOT_VERIFIED)
        self.version = VersionInForce(0, Declaration())
        self.assertIs(
            self.denial_reason(request_head('/open')), Reason.NOT_VERIFIED
        )

    def test_callers_deadline_is_limited_to_the_maximum(self):
        short = self.checker.check(0.0, request_head(deadline_ms=50)).unwrap()
        self.assertEqual(short.remaining_ms, 50)
        long = self.checker.check(
            0.0, request_head(deadline_ms=9_999_999)
        ).unwrap()
        self.assertEqual(long.remaining_ms, MAX_DEADLINE_MS)

    def test_child_runs_for_the_parents_organisation_with_any_key(self):
        token = self.begin_parent(priority=Priority.TRANSACTION)
        child = request_head(key='x', parent=token)
        checked = self.checker.check(0.1, child).unwrap()
        self.assertEqual(checked.organisation, 'gjovik')
        self.assertFalse(checked.is_charged)
        self.assertIs(checked.priority, Priority.TRANSACTION)
        self.assertEqual(checked.remaining_ms, 400)
        self.assertEqual(checked.shed_draw, 0.5)

    def test_child_of_an_ended_call_is_refused(self):
        token = self.begin_parent()
        self.contexts.end('c')
        self.assertIs(
            self.denial_reason(request_head(parent=token)), Reason.CANCELLED
        )

    def test_withdrawn_key_refuses_child_calls_too(self):
        token = self.begin_parent()
        self.version = VersionInForce(
            2, Declaration(services=DECLARATION.services)
        )
        self.assertIs(
            self.denial_reason(request_head(parent=token)), Reason.KEY_REFUSED
        )

    def test_refused_child_returns_its_whole_retry_budget(self):
        token = self.begin_parent(hops=1)
        self.assertIs(
            self.denial_reason(request_head(parent=token)), Reason.HOP_LIMIT
        )
        self.assertEqual(self.contexts.end('c').tries_unspent, 3)
