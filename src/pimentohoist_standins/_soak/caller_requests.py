"""The requests that callers make up."""

from __future__ import annotations

import random
from dataclasses import dataclass
from types import MappingProxyType

from pimentohoist_standins._soak.records import RequestKind
from pimentohoist_standins.opaque_engine_handler import WORK_MS

MODEL = 'm1'
ADAPTERS = 12
EXTRA_ROUTES = 8
HOST = 'house.example'
TIMEOUT_S = 5.0
"""Longest time that a route allows a request."""

KEYS = MappingProxyType(
    {
        'key-of-house-1': 'house',
        'key-of-house-2': 'house',
        'key-of-yard-1': 'yard',
        'key-of-yard-2': 'yard',
    }
)
"""Workspaces by key."""

PLAIN_TOKENS = 20
"""Tokens as which a request without a token count counts."""

_MS_PER_S = 1000
_MEDIAN_WORK_MS = 120
_WORK_SPREAD = 0.9
_MAX_WORK_MS = 4500
_LONG_STREAM_SHARE = 0.1
_LONG_STREAM_WORK_MS = (2000, _MAX_WORK_MS)
"""Longer than what is left when a stop has lasted most of its grace period."""

_DEADLINES_S = (1.5, 3.0, 4.0, 4.0, 8.0)
_EXTRA_SHARE = 0.05
_PROMPT_TOKENS = (500, 3000)
_OUTPUT_TOKENS = (50, 1500)
_BASE_ROUTES = (
    ('look', RequestKind.SAFE, 35),
    ('pay', RequestKind.UNSAFE, 25),
    ('models', RequestKind.STREAM, 25),
    ('resumed', RequestKind.RESUMABLE, 15),
)


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """One request of a caller, which may be sent in two attempts."""

    route: str
    kind: RequestKind
    key: str
    adapter: str
    prompt_tokens: int
    output_tokens: int
    work_ms: int
    deadline_s: float

    @property
    def path(self) -> str:
        """Return the path."""
        return f'/{self.route}/x'

    @property
    def workspace(self) -> str:
        """Return the workspace that held the key."""
        return KEYS[self.key]

    @property
    def tokens(self) -> int:
        """Return the tokens as which the request counts."""
        return self.prompt_tokens + self.output_tokens or PLAIN_TOKENS

    def headers(self, request_id: str, left_s: float) -> dict[str, str]:
        """Return the headers of an attempt."""
        sent = {
            'Host': HOST,
            'Pimentohoist-Attempt-Id': request_id,
            'Pimentohoist-Deadline-Ms': str(max(1, int(left_s * _MS_PER_S))),
            'Api-Key': self.key,
            WORK_MS: str(self.work_ms),
        }
        if self.adapter:
            sent['Pimentohoist-Model'] = f'{MODEL}/{self.adapter}'
            sent['Pimentohoist-Token-Count'] = (
                f'{self.prompt_tokens},{self.output_tokens}'
            )
        return sent


def draw_request(source: random.Random) -> CallerRequest:
    """Return a request."""
    weights = [weight for _, _, weight in _BASE_ROUTES]
    route, kind, _ = source.choices(_BASE_ROUTES, weights)[0]
    is_generation = kind in {RequestKind.STREAM, RequestKind.RESUMABLE}
    if kind is RequestKind.SAFE and source.random() < _EXTRA_SHARE:
        route = f'extra-{source.randint(1, EXTRA_ROUTES)}'
    adapter = f'a{int(ADAPTERS * source.random() ** 2)}' if is_generation else ''
    work_ms = int(_MEDIAN_WORK_MS * source.lognormvariate(0, _WORK_SPREAD))
    deadline_s = source.choice(_DEADLINES_S)
    if is_generation and source.random() < _LONG_STREAM_SHARE:
        work_ms = source.randint(*_LONG_STREAM_WORK_MS)
        deadline_s = max(_DEADLINES_S)
    return CallerRequest(
        route,
        kind,
        source.choice(tuple(KEYS)),
        adapter,
        source.randint(*_PROMPT_TOKENS) if is_generation else 0,
        source.randint(*_OUTPUT_TOKENS) if is_generation else 0,
        min(_MAX_WORK_MS, work_ms),
        deadline_s,
    )
