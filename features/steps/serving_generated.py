"""Adapters, requests and settings of the generated histories on serving."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Any

from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis import strategies as st

from pimentohoist._decisions.queue import QueuedRequest
from pimentohoist.models import AdapterVersion

ADAPTERS = tuple(AdapterVersion(f'adapter-{index}', 1) for index in range(6))
WORKSPACES = ('lipstick', 'cream', 'nails')

seen_events: Counter[str] = Counter()


def with_seed(number: int, examples: int) -> Callable[[Any], Any]:
    """Return a decorator that generates the same histories every time."""
    configured = settings(
        max_examples=examples,
        deadline=None,
        database=None,
        phases=(Phase.generate,),
        suppress_health_check=(HealthCheck.too_slow,),
    )
    return lambda test: seed(number)(configured(test))


def entries_of(number: int) -> st.SearchStrategy[QueuedRequest]:
    return st.builds(
        QueuedRequest,
        request_id=st.just(f'request-{number}'),
        workspace=st.sampled_from(WORKSPACES),
        adapter=st.sampled_from(ADAPTERS),
        cost_tokens=st.integers(0, 50).map(float),
        is_urgent=st.booleans(),
        deadline=st.integers(1, 40).map(float),
        arrived_at=st.just(0),
        is_exclusive=st.sampled_from((False, False, False, True)),
    )
