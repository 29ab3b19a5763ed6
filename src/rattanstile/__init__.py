"""An overload control layer for service call graphs."""

from rattanstile.errors import RattanstileError

__version__ = '0.1.0'

__all__ = ('RattanstileError', '__version__')
