"""Tests of lookups in the version in force."""

import unittest

from rattanstile.version.declaration import (
    Declaration,
    FailureDomain,
    Organisation,
    Route,
    Service,
    TargetLimits,
)
from rattanstile.version.in_force import VersionInForce

DIGEST = 'a' * 64


class VersionInForceTest(unittest.TestCase):
    """Lookups of organisations, routes and what is out of service."""

    def setUp(self):
        routes = (
            Route(path='/'),
            Route(path='/draws', open_to_all=True),
            Route(path='/claims', methods=('POST',), kind='claim'),
            Route(path='/claims', methods=('GET',)),
            Route(path='/maps/', open_to_all=True),
        )
        self.version = VersionInForce(
            3,
            Declaration(
                organisations=(
                    Organisation(
                        name='vedlott',
                        rate_per_s=1.0,
                        burst_calls=1,
                        keys=(DIGEST,),
                    ),
                ),
                services=(
                    Service(
                        name='lots',
                        routes=routes,
                        limits=TargetLimits(slots=1),
                    ),
                ),
                failure_domains=(
                    FailureDomain(name='one', region='r'),
                    FailureDomain(name='two', region='r', in_service=False),
                ),
                targets_out=('removed-target',),
            ),
        )

    def route(self, path, method='GET'):
        return self.version.route('lots', method, path)

    def test_longest_prefix_of_whole_segments_wins(self):
        for path in ('/draws', '/draws/7', '/draws?season=2', '/maps/4'):
            self.assertTrue(self.route(path).open_to_all, path)
        for path in ('/drawsheets', '/draw', '/maps', '/'):
            self.assertEqual(self.route(path).path, '/', path)

    def test_method_selects_between_routes_with_the_same_path(self):
        self.assertEqual(self.route('/claims/1', 'POST').kind, 'claim')
        self.assertEqual(self.route('/claims/1', 'GET').kind, 'lookup')
        self.assertEqual(self.route('/claims/1', 'PUT').path, '/')

    def test_unknown_service_has_no_route(self):
        self.assertIsNone(self.version.route('other', 'GET', '/'))

    def test_key_identifies_its_organisation(self):
        self.assertEqual(self.version.organisation_of(DIGEST), 'vedlott')
        self.assertIsNone(self.version.organisation_of('b' * 64))

    def test_target_or_domain_taken_out_is_not_in_service(self):
        self.assertTrue(self.version.is_in_service('other-target', 'one'))
        self.assertFalse(self.version.is_in_service('other-target', 'two'))
        self.assertFalse(self.version.is_in_service('removed-target', 'one'))
