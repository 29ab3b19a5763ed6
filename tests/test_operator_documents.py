"""Configurations as operators publish them."""

import json
import unittest

from platform_fleet import HOST, config_document

from rattanstile.platform.operators import decode_fleet_config


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
