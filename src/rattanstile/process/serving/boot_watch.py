"""Detection of target restarts from boot ids and connection failures."""

import logbook

from rattanstile.process.serving.limiter import TargetLimiter
from rattanstile.request.ids import TargetId

_log = logbook.Logger('boot_watch')


class BootWatch:
    """Reports confirmed, suspected and disproved restarts to the limiter.

    Args:
        target_id: The target, as named in log lines.
        limiter: Returns to the cold slots on a restart or a suspicion.
        now_s: Monotonic seconds.
    """

    def __init__(
        self, target_id: TargetId, limiter: TargetLimiter, now_s: float
    ) -> None:
        """Start without a known boot id."""
        self._target_id = target_id
        self._limiter = limiter
        self._boot_id = ''
        self._suspected_s = now_s

    def record_answer(
        self, now_s: float, boot_id: str, dispatched_s: float
    ) -> None:
        """Record the boot id of an answer.

        Args:
            now_s: Monotonic seconds.
            boot_id: Boot id sent by the target; empty if it sends none.
            dispatched_s: Monotonic time at which the call was sent. An
                unchanged boot id disproves a suspected restart only if the
                call was sent after the suspicion.
        """
        if not boot_id:
            return
        if self._boot_id and boot_id != self._boot_id:
            self._confirm_restart(now_s, boot_id)
        elif self._boot_id and dispatched_s > self._suspected_s:
            self._limiter.restart_disproved(now_s)
        self._boot_id = boot_id

    def record_restart(self, now_s: float, boot_id: str) -> None:
        """Record a reported restart; `boot_id` is empty if unknown."""
        if not boot_id:
            self.suspect_restart(now_s)
        elif boot_id != self._boot_id:
            self._confirm_restart(now_s, boot_id)

    def suspect_restart(self, now_s: float) -> None:
        """Record an event that may mean a restart, such as a reset."""
        self._suspected_s = now_s
        self._limiter.restart_suspected(now_s)
        self._log_restart('suspected', '')

    def _confirm_restart(self, now_s: float, boot_id: str) -> None:
        self._boot_id = boot_id
        self._limiter.restarted(now_s)
        self._log_restart('seen', boot_id)

    def _log_restart(self, certainty: str, boot_id: str) -> None:
        _log.warn(
            f'event=target_restart certainty={certainty}'
            f' target={self._target_id} boot_id={boot_id or "-"}'
        )
