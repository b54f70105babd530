"""Estimate of the requests in flight beyond which an engine's time per token grows.

Up to this number, the knee, the time per token is constant. The limit of requests in
flight follows the knee by measured times, starting at the operators' setting.
"""

from __future__ import annotations

import heapq
import statistics
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

ADJUST_INTERVAL_S = 5.0
"""Time between two adjustments; each changes the limit by one at most."""

MEDIAN_SAMPLES = 32
"""Number of latest samples over which each median is taken."""

MIN_MEDIAN_SAMPLES = 16
"""The limit stays while one of the medians has fewer samples."""

MAX_RAISE_RATIO = 1.05
"""Up to this ratio of times per token, full to half empty, the limit is raised."""

MIN_LOWER_RATIO = 1.15
"""From this ratio on the limit is lowered."""

FULL_SHARE = 0.75
"""Above this share of the limit the engine counts as full."""

HALF_EMPTY_SHARE = 0.5
"""Up to this share of the limit the engine counts as half empty."""

LIMIT_RANGE_FACTOR = 2
"""The limit stays between the setting divided by this and multiplied by it."""


@dataclass(frozen=True, slots=True)
class ServiceSample:
    """How fast a request ran.

    Attributes
    ----------
    in_flight : int
        Requests in flight on the engine while it ran, itself included.
    token_s : float
        Time per token.
    started_at, ended_at : float
        Monotonic time in seconds.
    """

    in_flight: int
    token_s: float
    started_at: float
    ended_at: float


@dataclass(order=True, frozen=True, slots=True)
class _NumberedSample:
    number: int
    sample: ServiceSample = field(compare=False)


class KneeEstimate:
    """The number of requests to keep in flight on one engine.

    Medians are compared, so that single slow requests have no effect. Requests that
    started before the last change say nothing on the times at the new limit.

    Attributes
    ----------
    limit : int
        Requests in flight up to which the time per token was constant.
    """

    def __init__(self, setting: int) -> None:
        self.limit = setting
        self._min_limit = max(1, setting // LIMIT_RANGE_FACTOR)
        self._max_limit = setting * LIMIT_RANGE_FACTOR
        self._changed_at = float('-inf')
        self._adjusted_at = float('-inf')
        self._count = 0
        self._latest_by_in_flight: dict[int, deque[_NumberedSample]] = {}

    def record(self, sample: ServiceSample) -> None:
        """Record a sample; if an adjustment is due, change the limit by at most one."""
        self._count += 1
        latest = self._latest_by_in_flight.setdefault(
            sample.in_flight, deque(maxlen=MEDIAN_SAMPLES)
        )
        latest.append(_NumberedSample(self._count, sample))
        if sample.ended_at >= self._adjusted_at + ADJUST_INTERVAL_S:
            self._adjusted_at = sample.ended_at
            self._adjust(sample.ended_at)

    def _adjust(self, now: float) -> None:
        full = self._median(
            lambda sample: (
                sample.in_flight > FULL_SHARE * self.limit
                and sample.started_at >= self._changed_at
            )
        )
        half_empty = self._median(
            lambda sample: sample.in_flight <= HALF_EMPTY_SHARE * self.limit
        )
        if full is None or half_empty is None:
            return
        if full <= MAX_RAISE_RATIO * half_empty:
            self._set_limit(self.limit + 1, now)
        elif full >= MIN_LOWER_RATIO * half_empty:
            self._set_limit(self.limit - 1, now)

    def _set_limit(self, limit: int, now: float) -> None:
        bounded = min(self._max_limit, max(self._min_limit, limit))
        if bounded != self.limit:
            self.limit = bounded
            self._changed_at = now

    def _median(self, is_chosen: Callable[[ServiceSample], bool]) -> float | None:
        numbered = heapq.nlargest(MEDIAN_SAMPLES, self._chosen(is_chosen))
        if len(numbered) < MIN_MEDIAN_SAMPLES:
            return None
        return statistics.median(entry.sample.token_s for entry in numbered)

    def _chosen(
        self, is_chosen: Callable[[ServiceSample], bool]
    ) -> Iterator[_NumberedSample]:
        for latest in self._latest_by_in_flight.values():
            yield from (entry for entry in latest if is_chosen(entry.sample))
