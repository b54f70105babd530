"""Headers of the platform's requests and answers."""

ATTEMPT_ID = 'Pimentohoist-Attempt-Id'
"""Id of one attempt of a caller; a caller's repeat has another one."""

DEADLINE_MS = 'Pimentohoist-Deadline-Ms'
"""Time left, not a point in time."""

ADAPTER = 'Pimentohoist-Model'
"""Model, and an adapter of it after a slash."""

TOKEN_COUNTS = 'Pimentohoist-Token-Count'
"""Prompt tokens and the most output tokens, by a comma."""

API_KEY = 'Api-Key'
WORKSPACE = 'Pimentohoist-Tenant'
EXPECTED_ENDPOINT = 'Pimentohoist-Expect-Instance'
ENDPOINT = 'Pimentohoist-Instance-Id'
EXPECTED_VERSION = 'Pimentohoist-Expect-Version'
REQUEST_PRIORITY = 'Pimentohoist-Request-Priority'
RESPONSE_SEAL = 'Pimentohoist-Response-Seal'
"""On every answer that an endpoint made to a request."""

NOT_EXECUTED = 'Pimentohoist-Not-Executed'
LAST_EVENT_ID = 'Last-Event-Id'

SET_BY_DAEMON = frozenset(
    name.lower()
    for name in (
        DEADLINE_MS,
        API_KEY,
        WORKSPACE,
        EXPECTED_ENDPOINT,
        EXPECTED_VERSION,
        REQUEST_PRIORITY,
        'Pimentohoist-Hold',
        'Pimentohoist-Pin-Ms',
        'Pimentohoist-Kv-Backup',
        'Kv-From',
        'Kv-Fetch',
    )
)
"""Headers of a caller that are not passed on as they came."""

HOP_BY_HOP = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'trailers',
        'transfer-encoding',
        'upgrade',
        'content-length',
        'expect',
    )
)
"""Headers that end with a connection, and those that the HTTP library writes itself."""
