"""The line that a daemon prints when it is ready to serve."""

import sys

from rattanstile.process.key_values import key_values


def print_ready(**addresses: str) -> None:
    """Print a ``ready`` line with the addresses as key=value pairs."""
    line = key_values('ready', **addresses)
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()
