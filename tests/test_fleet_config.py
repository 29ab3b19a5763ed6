"""Tests of the choice of route for a request."""

import unittest

from mesh_samples import config, route


class RouteTest(unittest.TestCase):
    """Nested prefixes, and paths that match none."""

    def setUp(self):
        self.config = config(
            routes=(
                route('wide', path_prefix='/a/'),
                route('deep', path_prefix='/a/b/'),
            )
        )

    def route_name(self, path, host='forest.example'):
        found = self.config.route(host, path)
        return None if found is None else found.name

    def test_the_longest_prefix_wins(self):
        """Of nested prefixes, a path takes the longest that it matches."""
        self.assertEqual(self.route_name('/a/b/c/d'), 'deep')
        self.assertEqual(self.route_name('/a/b/'), 'deep')
        self.assertEqual(self.route_name('/a/c'), 'wide')
        self.assertEqual(self.route_name('/a/b'), 'wide')

    def test_unmatched_requests_have_no_route(self):
        """Another host, or a path that matches no prefix at a slash."""
        self.assertIsNone(self.route_name('/ab/c'))
        self.assertIsNone(self.route_name('/a'))
        self.assertIsNone(self.route_name('/a/b/c', host='lake.example'))
