"""An overload control layer for service call graphs."""

from importlib import import_module
from typing import TYPE_CHECKING

from rattanstile.errors import RattanstileError

if TYPE_CHECKING:
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


def __getattr__(name: str) -> object:
    """Import the caller library on first access to one of its names.

    Nodes don't use the caller library, so they don't load it.
    """
    if name in __all__:
        return getattr(import_module('rattanstile.client'), name)
    raise AttributeError(name)
