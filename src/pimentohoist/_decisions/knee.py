"""How many requests an engine carries at once before each of them gets slower.

The engine's time per token is level up to some number of requests in flight and grows
beyond it. The limit follows that number from measured times, starting at the operators'
setting.
"""

from __future__ import annotations

import heapq
import statistics
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

STEP_S = 5.0
"""Time between two looks at the samples; each changes the limit by one at most."""

SAMPLES = 32
"""Latest samples of which each median is taken."""

MIN_SAMPLES = 16
"""Without so many nothing is decided."""

LEVEL_RATIO = 1.05
"""Up to this ratio of times per token, full to half empty, the limit rises."""

BENT_RATIO = 1.15
"""From this ratio on it falls."""

FULL_SHARE = 0.75
"""Above this share of the limit the engine counts as full."""

HALF_EMPTY_SHARE = 0.5
"""Up to this share of the limit it counts as half empty."""

BOUND_FACTOR = 2
"""The limit stays between the setting divided by this and multiplied by it."""


@dataclass(frozen=True, slots=True)
class ServiceSample:
    """How fast a request ran.

    Attributes
    ----------
    in_flight : int
        Requests on the engine while it ran, itself included.
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
class _Numbered:
    number: int
    sample: ServiceSample = field(compare=False)


class KneeEstimate:
    """The number of requests to keep in flight on one engine.

    Medians are compared, so that single slow requests decide nothing. What had started
    before the last change does not tell how the engine runs after it.

    Attributes
    ----------
    limit : int
        Requests in flight up to which the time per token was level.
    """

    def __init__(self, setting: int) -> None:
        self.limit = setting
        self._least = max(1, setting // BOUND_FACTOR)
        self._most = setting * BOUND_FACTOR
        self._moved_at = float('-inf')
        self._checked_at = float('-inf')
        self._count = 0
        self._latest: dict[int, deque[_Numbered]] = {}

    def record(self, sample: ServiceSample) -> None:
        """Take a sample in and change the limit by one if it is time to."""
        self._count += 1
        latest = self._latest.setdefault(sample.in_flight, deque(maxlen=SAMPLES))
        latest.append(_Numbered(self._count, sample))
        if sample.ended_at >= self._checked_at + STEP_S:
            self._checked_at = sample.ended_at
            self._move(sample.ended_at)

    def _move(self, now: float) -> None:
        full = self._median(
            lambda sample: (
                sample.in_flight > FULL_SHARE * self.limit
                and sample.started_at >= self._moved_at
            )
        )
        level = self._median(
            lambda sample: sample.in_flight <= HALF_EMPTY_SHARE * self.limit
        )
        if full is None or level is None:
            return
        if full <= LEVEL_RATIO * level:
            self._change(self.limit + 1, now)
        elif full >= BENT_RATIO * level:
            self._change(self.limit - 1, now)

    def _change(self, limit: int, now: float) -> None:
        bounded = min(self._most, max(self._least, limit))
        if bounded != self.limit:
            self.limit = bounded
            self._moved_at = now

    def _median(self, is_chosen: Callable[[ServiceSample], bool]) -> float | None:
        numbered = heapq.nlargest(SAMPLES, self._chosen(is_chosen))
        if len(numbered) < MIN_SAMPLES:
            return None
        return statistics.median(entry.sample.token_s for entry in numbered)

    def _chosen(
        self, is_chosen: Callable[[ServiceSample], bool]
    ) -> Iterator[_Numbered]:
        for latest in self._latest.values():
            yield from (entry for entry in latest if is_chosen(entry.sample))
