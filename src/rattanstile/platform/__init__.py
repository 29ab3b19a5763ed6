"""Adapter to the users' platform: translates names, formats and calls.

Nothing here decides. The product's ports are in
`rattanstile.process.mesh.ports`.
"""

from rattanstile.platform.announcements import PlatformAnnouncements
from rattanstile.platform.callers import PlatformCallers
from rattanstile.platform.store import PlatformStore
from rattanstile.platform.targets import PlatformTargets

__all__ = (
    'PlatformAnnouncements',
    'PlatformCallers',
    'PlatformStore',
    'PlatformTargets',
)
