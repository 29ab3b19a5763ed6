"""Log lines."""

import unittest

from rattanstile.process.key_values import key_values


class KeyValuesTest(unittest.TestCase):
    """One line of key=value pairs, whatever the values hold."""

    def test_plain_values_stand_bare(self):
        self.assertEqual(key_values('sent', call='c/1'), 'event=sent call=c/1')

    def test_values_that_would_break_the_line_are_quoted(self):
        line = key_values('sent', path='/a b"\nevent=x', none='')
        self.assertEqual(line, r'event=sent path="/a b\"\nevent=x" none=""')
