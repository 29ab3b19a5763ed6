"""Plugin of the test runner: tests that KNOWN-RED.txt lists must fail.

A line `test: MODULE.CLASS.NAME` names a test whose fault is not mended yet. It
runs as an expected failure; the run fails if it passes, or if a run of several
modules finds its module but not the test.
"""

import re
import unittest
from pathlib import Path

from nose2.events import Plugin
from nose2.result import PASS

KNOWN_RED = Path(__file__).parent.parent / 'KNOWN-RED.txt'
TEST_LINE = re.compile(r'^\s*test: (\S+)$', re.MULTILINE)


def known_red_tests(text):
    """Return the dotted names of the tests listed."""
    return set(TEST_LINE.findall(text))


class KnownRed(Plugin):
    """Expects the failures that are listed, and no others."""

    alwaysOn = True
    configSection = 'known-red'

    def __init__(self):
        """Read the list."""
        listed = KNOWN_RED.read_text() if KNOWN_RED.exists() else ''
        self.names = known_red_tests(listed)
        self.wrong = []

    def startTestRun(self, event):
        """Mark the listed tests and print their names."""
        loaded = {test.id(): test for test in _tests(event.suite)}
        modules = {name.partition('.')[0] for name in loaded}
        for name in sorted(self.names):
            print(f'known red: {name}')
            if name in loaded:
                loaded[name].__unittest_expecting_failure__ = True
            elif len(modules) > 1 and name.partition('.')[0] in modules:
                self.wrong.append(f'{name}: no such test')

    def testOutcome(self, event):
        """Record a listed test that passes."""
        if event.test.id() in self.names and event.outcome == PASS:
            self.wrong.append(f'{event.test.id()}: passes')

    def afterSummaryReport(self, event):
        """Print the entries to be removed from the list."""
        for line in self.wrong:
            print(f'KNOWN-RED.txt is out of date: {line}')

    def wasSuccessful(self, event):
        """Fail the run if an entry is out of date."""
        if self.wrong:
            event.success = False


def _tests(suite):
    for test in suite:
        if isinstance(test, unittest.TestSuite):
            yield from _tests(test)
        else:
            yield test
