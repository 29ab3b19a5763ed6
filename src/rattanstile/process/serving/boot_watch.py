"""Watch for restarts of the target, by its boot ids and its connections."""

import logbook

from rattanstile.process.serving.limiter import TargetLimiter
from rattanstile.request.ids import TargetId

_log = logbook.Logger('boot_watch')


class BootWatch:
    """Tells the limiter of restarts seen, suspected and disproved.

    Args:
        target_id: The target, for the log.
        limiter: Falls back to the cold slots.
        now_s: Monotonic seconds.
    """

    def __init__(
        self, target_id: TargetId, limiter: TargetLimiter, now_s: float
    ) -> None:
        """Begin without a boot id."""
        self._target_id = target_id
        self._limiter = limiter
        self._boot_id = ''
        self._suspected_s = now_s

    def answered(self, now_s: float, boot_id: str, started_s: float) -> None:
        """Take the boot id of an answer.

        Args:
            now_s: Monotonic seconds.
            boot_id: As the target gives it; empty where it gives none.
            started_s: When the call was sent. Only a call sent after a
                suspicion disproves it by the boot id known before.
        """
        if not boot_id:
            return
        if self._boot_id and boot_id != self._boot_id:
            self._see(now_s, boot_id)
        elif self._boot_id and started_s > self._suspected_s:
            self._limiter.restart_disproved(now_s)
        self._boot_id = boot_id

    def told(self, now_s: float, boot_id: str) -> None:
        """Take word of a restart, with the new boot id if it is known."""
        if not boot_id:
            self.suspect(now_s)
        elif boot_id != self._boot_id:
            self._see(now_s, boot_id)

    def suspect(self, now_s: float) -> None:
        """Take a sign that may mean a restart, such as a reset."""
        self._suspected_s = now_s
        self._limiter.restart_suspected(now_s)
        self._log('suspected', '')

    def _see(self, now_s: float, boot_id: str) -> None:
        self._boot_id = boot_id
        self._limiter.restarted(now_s)
        self._log('seen', boot_id)

    def _log(self, certainty: str, boot_id: str) -> None:
        _log.warn(
            f'event=target_restart certainty={certainty}'
            f' target={self._target_id} boot_id={boot_id or "-"}'
        )
