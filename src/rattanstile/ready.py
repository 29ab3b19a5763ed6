"""The one line that a daemon prints when it serves."""

import sys

from rattanstile.process.key_values import key_values


def print_ready(**addresses: str) -> None:
    """Print the addresses as key=value pairs on the standard output."""
    line = key_values('ready', **addresses)
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()
