"""Tests of the format of log lines."""

import unittest

from rattanstile.process.key_values import key_values


class KeyValuesTest(unittest.TestCase):
    """An event is one line of key=value pairs, whatever its values."""

    def test_plain_values_are_not_quoted(self):
        self.assertEqual(key_values('sent', call='c/1'), 'event=sent call=c/1')

    def test_values_that_would_break_the_line_are_quoted(self):
        line = key_values('sent', path='/a b"\nevent=x', none='')
        self.assertEqual(line, r'event=sent path="/a b\"\nevent=x" none=""')
