"""Finds the route of a caller's request, or tells why it is refused."""

from result import Err, Ok, Result

from rattanstile.process.decision_log import LineKind
from rattanstile.process.mesh.context import NodeContext
from rattanstile.process.mesh.entry.invalid_request import (
    invalid_request_fields,
)
from rattanstile.process.mesh.placement.call_endings import ending_label
from rattanstile.request.exchange import IncomingRequest, NotRun, NotRunReason
from rattanstile.version.fleet_config import FleetConfig, FleetRoute

NOT_READY_RETRY_S = 0.5


class RequestChecks:
    """Checks requests against the configuration in force.

    Args:
        context: State shared by the components of the node.
    """

    def __init__(self, context: NodeContext) -> None:
        """Initialize with the node's state, log and counters."""
        self._context = context

    def route_of(
        self, caller_request: IncomingRequest
    ) -> Result[FleetRoute, NotRun]:
        """Return the route of a request, or the refusal, which is logged.

        A refusal that callers don't repeat needs the newest configuration:
        the key or route may just have been added.
        """
        checked = _check(self._context.state().config, caller_request)
        if isinstance(checked, Ok):
            return checked
        refused = checked.err_value
        if refused.reason is NotRunReason.NOT_READY:
            self.log_refused(caller_request, refused)
            return checked
        now_s = self._context.timers.now_s()
        invalid_by = ending_label(refused).name
        if not self._context.knows_newest(now_s):
            refused = NotRun(NotRunReason.CONFIG_STALE, NOT_READY_RETRY_S)
        self._log_invalid(now_s, caller_request, refused, invalid_by)
        return Err(refused)

    def log_refused(
        self, caller_request: IncomingRequest, refused: NotRun
    ) -> None:
        """Count and log a refusal that says nothing against the request."""
        name = ending_label(refused).name
        self._context.counters.outcomes[name] += 1
        self._context.log.write(
            LineKind.REFUSED,
            'request_refused',
            request=caller_request.request_id,
            host=caller_request.host,
            path=caller_request.path,
            reason=name,
            version=self._context.version,
        )

    def _log_invalid(
        self,
        now_s: float,
        caller_request: IncomingRequest,
        refused: NotRun,
        invalid_by: str,
    ) -> None:
        name = ending_label(refused).name
        self._context.counters.outcomes[name] += 1
        self._context.counters.invalid[name] += 1
        if self._context.log.reserve_line(LineKind.INVALID):
            self._context.log.append(
                'request_refused',
                request=caller_request.request_id,
                host=caller_request.host,
                path=caller_request.path,
                reason=name,
                invalid_by=invalid_by,
                **invalid_request_fields(self._context, caller_request, now_s),
            )


def _check(
    config: FleetConfig | None, caller_request: IncomingRequest
) -> Result[FleetRoute, NotRun]:
    """Return the route of a request, or why the request is refused.

    A request is refused without configuration, without a matching route, or
    without a valid key where the route needs one.
    """
    if config is None:
        return Err(NotRun(NotRunReason.NOT_READY, NOT_READY_RETRY_S))
    route = config.route(
        caller_request.host, caller_request.path.partition('?')[0]
    )
    if route is None:
        return Err(NotRun(NotRunReason.NO_ROUTE))
    if route.open_to_all or not config.requires_keys:
        return Ok(route)
    if (
        caller_request.key is None
        or caller_request.key not in config.organisations
    ):
        return Err(NotRun(NotRunReason.KEY_REFUSED))
    return Ok(route)
