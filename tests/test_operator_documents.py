"""Configurations as operators publish them."""

import json
import unittest

import msgspec
from platform_fleet import HOST, config_document

from rattanstile.platform.operators import decode_fleet_config

INVALID_ROUTES = (
    {'service': ''},
    {'trafficSplit': [{'service': '', 'weight': 1}]},
    {'trafficSplit': [{'service': 'claims', 'weight': -1}]},
    {'trafficSplit': [{'service': 'claims', 'weight': 0}]},
    {'pathPrefix': '/claims'},
    {'pathPrefix': 'claims/'},
)


def decoded_route(route_type):
    document = config_document()
    document['routes'][0]['routeType'] = route_type
    decoded = decode_fleet_config(json.dumps(document).encode())
    return decoded.route(HOST, '/claims/a')


class OperatorDocumentTest(unittest.TestCase):
    """The kind of a route says what may be repeated."""

    def test_safe_requests_and_downloads_may_run_again(self):
        """Downloads were handled like requests that may run only once."""
        self.assertTrue(decoded_route('safe').idempotent)
        self.assertTrue(decoded_route('download').idempotent)

    def test_any_other_kind_runs_at_most_once(self):
        """Also one that this version doesn't know."""
        self.assertFalse(decoded_route('unsafe').idempotent)
        self.assertFalse(decoded_route('').idempotent)
        self.assertFalse(decoded_route('append').idempotent)


class InvalidDocumentTest(unittest.TestCase):
    """The configuration in force stays."""

    def assert_invalid(self, document):
        with self.assertRaises((msgspec.MsgspecError, ValueError)):
            decode_fleet_config(json.dumps(document).encode())

    def test_document_without_routes_or_services(self):
        """It was put in force, and every request got 404."""
        for field in ('routes', 'services'):
            document = config_document()
            del document[field]
            self.assert_invalid(document)

    def test_route_that_no_request_can_take(self):
        """It goes to no service, or its prefix doesn't end at a slash."""
        for changes in INVALID_ROUTES:
            document = config_document()
            document['routes'][0].update(changes)
            self.assert_invalid(document)
