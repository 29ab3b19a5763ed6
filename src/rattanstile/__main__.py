"""Run the command line as ``python -m rattanstile``."""

import sys

from rattanstile.cli import main

if __name__ == '__main__':
    sys.exit(main())
