"""Calls that a stand-in target makes through the node on its VM."""

import msgspec
from twisted.internet.error import ConnectError, ConnectionLost
from twisted.web import http
from twisted.web.client import (
    Agent,
    HTTPConnectionPool,
    ResponseFailed,
    readBody,
)
from twisted.web.http_headers import Headers

MAX_CONNECTIONS = 256
_CONNECTION_ERRORS = (ConnectError, ConnectionLost, ResponseFailed)


class ChildCall(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """A call to another service, made for each call that a target runs."""

    service: str
    method: str = 'GET'
    path: str = '/'


class ChildResult(msgspec.Struct, frozen=True, kw_only=True):
    """Result of a child call.

    Attributes:
        status: HTTP status; 504 if no response was received.
    """

    status: int


class ChildCallClient:
    """Makes child calls over persistent connections to nodes."""

    def __init__(self, reactor: object) -> None:
        """Initialize without connections."""
        pool = HTTPConnectionPool(reactor, persistent=True)
        pool.maxPersistentPerHost = MAX_CONNECTIONS
        pool.retryAutomatically = False
        self._agent = Agent(reactor, pool=pool)

    async def call(
        self, node_address: str, child: ChildCall, token: str, deadline_ms: int
    ) -> ChildResult:
        """Call a service through a node.

        Args:
            deadline_ms: Deadline that the call carries; 0 for none.
        """
        headers = Headers({b'rattanstile-call': [token.encode()]})
        if deadline_ms:
            headers.addRawHeader(
                b'rattanstile-deadline-ms', str(deadline_ms).encode()
            )
        url = f'http://{node_address}/{child.service}{child.path}'
        try:
            response = await self._agent.request(
                child.method.encode(), url.encode(), headers
            )
            await readBody(response)
        except _CONNECTION_ERRORS:
            return ChildResult(status=http.GATEWAY_TIMEOUT)
        return ChildResult(status=response.code)
