"""Listed tests are expected to fail, and must not stay listed when mended."""

import unittest
import unittest.mock
from types import SimpleNamespace

from known_red import KnownRed, known_red_tests
from nose2.result import FAIL, PASS


class Sample(unittest.TestCase):
    """Tests to be listed; not found by discovery, as none has a test prefix."""

    def red(self):
        self.fail('not mended')


class KnownRedTest(unittest.TestCase):
    """A run with one listed test."""

    def setUp(self):
        self.plugin = KnownRed(session=unittest.mock.MagicMock())
        self.sample = Sample('red')
        self.plugin.names = {self.sample.id()}

    def success(self, outcome):
        self.plugin.testOutcome(
            SimpleNamespace(test=self.sample, outcome=outcome)
        )
        result = SimpleNamespace(success=True)
        self.plugin.wasSuccessful(result)
        return result.success

    def start(self, *tests):
        self.plugin.startTestRun(
            SimpleNamespace(suite=unittest.TestSuite(tests))
        )

    def test_listed_test_is_expected_to_fail(self):
        """CI passes over exactly the listed tests."""
        self.start(self.sample)
        result = unittest.TestResult()
        self.sample.run(result)
        self.assertEqual(len(result.expectedFailures), 1)
        self.assertTrue(self.success(FAIL))

    def test_listed_test_that_passes_fails_the_run(self):
        """An entry outlived its fault."""
        self.assertFalse(self.success(PASS))

    def test_entry_without_test_fails_a_run_of_several_modules(self):
        """The test was renamed, or its name mistyped."""
        self.plugin.names = {'test_known_red.Sample.green'}
        self.start(unittest.FunctionTestCase(int), self.sample)
        self.assertFalse(self.success(FAIL))

    def test_only_lines_of_tests_are_names(self):
        """Bench rows and commands are listed in the same file."""
        listed = 'a row\n  command: x test: y\n  test: test_a.B.test_c\n'
        self.assertEqual(known_red_tests(listed), {'test_a.B.test_c'})
