"""Calls that the stand-in of a target makes through its own node."""

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
_NO_ANSWER = (ConnectError, ConnectionLost, ResponseFailed)


class ChildCall(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """A call to a further service, made for each call received."""

    service: str
    method: str = 'GET'
    path: str = '/'


class ChildResult(msgspec.Struct, frozen=True, kw_only=True):
    """How a child call ended, by its HTTP status."""

    status: int


class ChildCalls:
    """Makes child calls over kept connections to the node."""

    def __init__(self, reactor: object) -> None:
        """Open no connection yet."""
        pool = HTTPConnectionPool(reactor, persistent=True)
        pool.maxPersistentPerHost = MAX_CONNECTIONS
        pool.retryAutomatically = False
        self._agent = Agent(reactor, pool=pool)

    async def call(
        self, node: str, child: ChildCall, token: str, deadline_ms: int
    ) -> ChildResult:
        """Call a service through the node at the address given."""
        headers = Headers({b'rattanstile-call': [token.encode()]})
        if deadline_ms:
            headers.addRawHeader(
                b'rattanstile-deadline-ms', str(deadline_ms).encode()
            )
        url = f'http://{node}/{child.service}{child.path}'
        try:
            response = await self._agent.request(
                child.method.encode(), url.encode(), headers
            )
            await readBody(response)
        except _NO_ANSWER:
            return ChildResult(status=http.GATEWAY_TIMEOUT)
        return ChildResult(status=response.code)
