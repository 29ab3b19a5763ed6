"""Checks that a request passes before work is spent on it."""

import unittest

from rattanstile.process.entry.contexts import CallContexts
from rattanstile.process.entry.request_checker import LONGEST_DEADLINE_MS, RequestHead, RequestChecker
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


def asked(path='/', key='secret', deadline_ms=0, parent=''):
    """Return a request for the service."""
    return RequestHead(
        key=key,
        service='claims',
        method='GET',
        path=path,
        deadline_ms=deadline_ms,
        parent=parent,
    )


class GateTest(unittest.TestCase):
    """Who passes, for whom, and who does not."""

    def setUp(self):
        self.version = VersionInForce(1, DECLARATION)
        self.fresh = True
        self.contexts = CallContexts()
        self.gate = RequestChecker(
            lambda: self.version, lambda _: self.fresh, self.contexts
        )

    def reason(self, request):
        """Return why a request is denied."""
        return self.gate.check(0.0, request).unwrap_err().reason

    def begin(self, hops=0, priority=Priority.LOOKUP):
        """Let the target run a call; return its token."""
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

    def test_key_names_the_organisation_and_the_call_is_charged(self):
        passed = self.gate.check(0.0, asked()).unwrap()
        self.assertEqual(passed.organisation, 'gjovik')
        self.assertTrue(passed.is_charged)
        self.assertEqual(passed.remaining_ms, 2000)

    def test_unknown_absent_or_withdrawn_key_is_refused(self):
        self.assertIs(self.reason(asked(key='x')), Reason.KEY_REFUSED)
        self.assertIs(self.reason(asked(key='')), Reason.KEY_REFUSED)
        self.version = VersionInForce(
            2, Declaration(services=DECLARATION.services)
        )
        self.assertIs(self.reason(asked()), Reason.KEY_REFUSED)

    def test_open_route_needs_neither_key_nor_fresh_version(self):
        self.fresh = False
        passed = self.gate.check(0.0, asked('/open', key='')).unwrap()
        self.assertEqual(passed.organisation, '')
        self.assertFalse(passed.is_charged)

    def test_stale_or_missing_version_refuses_keyed_calls(self):
        self.fresh = False
        self.assertIs(self.reason(asked()), Reason.NOT_VERIFIED)
        self.version = VersionInForce(0, Declaration())
        self.assertIs(self.reason(asked('/open')), Reason.NOT_VERIFIED)

    def test_callers_deadline_counts_up_to_the_longest(self):
        short = self.gate.check(0.0, asked(deadline_ms=50)).unwrap()
        self.assertEqual(short.remaining_ms, 50)
        long = self.gate.check(0.0, asked(deadline_ms=9_999_999)).unwrap()
        self.assertEqual(long.remaining_ms, LONGEST_DEADLINE_MS)

    def test_child_runs_for_its_parent_whatever_key_comes_with_it(self):
        token = self.begin(priority=Priority.TRANSACTION)
        child = asked(key='x', parent=token)
        passed = self.gate.check(0.1, child).unwrap()
        self.assertEqual(passed.organisation, 'gjovik')
        self.assertFalse(passed.is_charged)
        self.assertIs(passed.priority, Priority.TRANSACTION)
        self.assertEqual(passed.remaining_ms, 400)
        self.assertEqual(passed.shed_draw, 0.5)

    def test_child_of_an_ended_call_is_refused(self):
        token = self.begin()
        self.contexts.end('c')
        self.assertIs(self.reason(asked(parent=token)), Reason.CANCELLED)

    def test_withdrawn_key_stops_child_calls_too(self):
        token = self.begin()
        self.version = VersionInForce(
            2, Declaration(services=DECLARATION.services)
        )
        self.assertIs(self.reason(asked(parent=token)), Reason.KEY_REFUSED)

    def test_refused_child_gives_its_whole_share_back(self):
        token = self.begin(hops=1)
        self.assertIs(self.reason(asked(parent=token)), Reason.HOP_LIMIT)
        self.assertEqual(self.contexts.end('c').tries_unspent, 3)
