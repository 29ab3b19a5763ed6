"""Names of the platform's HTTP headers, in lower case."""

REQUEST_ID = b'request-id'
DEADLINE_MS = b'request-deadline-ms'
AUTHORIZATION = b'authorization'
HOST = b'host'
EXPECT = b'expect'
RETRY_AFTER = b'retry-after'
TARGET_ID_EXPECTED = b'expect-instance'
TARGET_ID = b'instance-id'
CALLER_SERVICE = b'caller-service'
ORGANISATION = b'tenant'
SIGNATURE = b'response-signature'
NOT_RUN = b'not-executed'
COLD_MS = b'cold-ms'
STORE_ERA = b'store-era'
CONTENT_ENCODING = b'content-encoding'

KEY_SCHEME = 'token '
"""Authentication scheme before the key in `AUTHORIZATION`, in lower case."""

NOT_FORWARDED = frozenset(
    (
        REQUEST_ID,
        DEADLINE_MS,
        AUTHORIZATION,
        HOST,
        EXPECT,
        TARGET_ID_EXPECTED,
        CALLER_SERVICE,
        ORGANISATION,
    ),
)
"""Headers of callers that the node replaces with its own or omits."""
