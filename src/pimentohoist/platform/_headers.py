"""Names of the headers of the platform's requests and responses, and their look-up."""

from collections.abc import Mapping

ATTEMPT_ID = 'Pimentohoist-Attempt-Id'
"""Id of one attempt of a caller; a caller's retry has another id."""

DEADLINE_MS = 'Pimentohoist-Deadline-Ms'
"""Remaining time in milliseconds, not a point in time."""

ADAPTER = 'Pimentohoist-Model'
"""Name of a base model, and of an adapter of it after a slash."""

TOKEN_COUNTS = 'Pimentohoist-Token-Count'
"""Number of prompt tokens and maximum number of output tokens, separated by a comma."""

PROMPT_PARTS = 'Pimentohoist-Prompt-Prefix'
"""Parts of the prompt in order, as ID:TOKENS pairs separated by commas; the last part is the
request's own, the others may be shared with other requests."""

API_KEY = 'Api-Key'
WORKSPACE = 'Pimentohoist-Tenant'
EXPECTED_ENDPOINT = 'Pimentohoist-Expect-Instance'
ENDPOINT = 'Pimentohoist-Instance-Id'
EXPECTED_VERSION = 'Pimentohoist-Expect-Version'
REQUEST_PRIORITY = 'Pimentohoist-Request-Priority'
RESPONSE_SEAL = 'Pimentohoist-Response-Seal'
"""Present on every response that an endpoint made to a request."""

NOT_EXECUTED = 'Pimentohoist-Not-Executed'
LAST_EVENT_ID = 'Last-Event-Id'
RESUMED_ATTEMPT = 'Resumes'
"""Id of the caller's attempt that brought the first event of a stream."""

SERVER_LEAVING = 'Server-Leaving'
RETRY_AFTER = 'Retry-After'
SERVER_LIMIT = 'Server-Limit'
"""Requests a second that the endpoint takes from all daemons together."""

SERVER_BRITTLE = 'Server-Brittle'
"""Requests that the endpoint turns away in a second for want of room; beyond that it falls
over."""

COLD_MS = 'Pimentohoist-Cold-Ms'
"""How much longer an endpoint stays cold, in milliseconds."""

STORE_ERA = 'Store-Era'
"""Rises by one each time the store comes back from an older copy of itself."""


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
"""Headers that aren't forwarded as the caller sent them."""

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
"""Headers that concern a single connection, and those that the HTTP library sets."""


def find_all(headers: Mapping[str, str], name: str) -> list[str]:
    """Return the values of a header that may be repeated, whatever the case of its name."""
    lowered = name.lower()
    return [text.strip() for key, text in headers.items() if key.lower() == lowered]


def find(headers: Mapping[str, str], name: str) -> str | None:
    """Return the value of a header, whatever the case of its name; None without it."""
    lowered = name.lower()
    return next((headers[key] for key in headers if key.lower() == lowered), None)
