"""An overload control layer for service call graphs."""

from rattanstile.client import (
    Answer,
    BlockingClient,
    CallError,
    Client,
    FailedError,
    NotRunError,
    UnknownError,
    blocking_client,
)
from rattanstile.errors import RattanstileError

__version__ = '0.1.0'

__all__ = (
    'Answer',
    'BlockingClient',
    'CallError',
    'Client',
    'FailedError',
    'NotRunError',
    'RattanstileError',
    'UnknownError',
    '__version__',
    'blocking_client',
)
