"""Adapters to the users' platform: its names, formats and calls.

They make no decisions. They implement the interfaces in
`rattanstile.process.mesh.ports`.
"""

from rattanstile.platform.announcements import PlatformAnnouncementCodec
from rattanstile.platform.callers import PlatformCallerCodec
from rattanstile.platform.store import PlatformStore
from rattanstile.platform.targets import PlatformTargetCodec

__all__ = (
    'PlatformAnnouncementCodec',
    'PlatformCallerCodec',
    'PlatformStore',
    'PlatformTargetCodec',
)
