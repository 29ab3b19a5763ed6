"""Which route a request takes."""

import unittest

from mesh_samples import config, route


class RouteTest(unittest.TestCase):
    """Prefixes that lie within others, and paths that match none."""

    def setUp(self):
        self.config = config(
            routes=(
                route('wide', path_prefix='/a/'),
                route('deep', path_prefix='/a/b/'),
            )
        )

    def name(self, path, host='forest.example'):
        found = self.config.route(host, path)
        return None if found is None else found.name

    def test_the_longest_prefix_wins(self):
        """Wherever the path goes on."""
        self.assertEqual(self.name('/a/b/c/d'), 'deep')
        self.assertEqual(self.name('/a/b/'), 'deep')
        self.assertEqual(self.name('/a/c'), 'wide')
        self.assertEqual(self.name('/a/b'), 'wide')

    def test_others_have_no_route(self):
        """Another host, or a path that only begins like a prefix."""
        self.assertIsNone(self.name('/ab/c'))
        self.assertIsNone(self.name('/a'))
        self.assertIsNone(self.name('/a/b/c', host='lake.example'))
