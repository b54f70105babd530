"""Detection of shifts in the popularity of adapters, by requests that miss."""

from __future__ import annotations

import math

RECENT_REQUESTS = 30
"""Requests over which the recent share of hits is smoothed."""

BASELINE_REQUESTS = 300
"""Requests over which the baseline share of hits is smoothed."""

MAX_DEVIATIONS = 3.0
"""Standard deviations below the baseline from which on popularity has shifted."""

SHIFT_SPEED = 300.0
"""Factor by which past requests decay faster while popularity is shifting."""


class PopularityClock:
    """A clock for the decay of counts, which runs faster while popularity shifts.

    Attributes
    ----------
    time : float
        In seconds; grows like the real time while popularity is steady.
    """

    def __init__(self) -> None:
        self.time = float(0)
        self._last_at = float(0)
        self._requests = 0
        self._recent_share = float(0)
        self._baseline_share = float(0)

    def record(self, now: float, *, is_hit: bool) -> None:
        """Record a request, and whether its adapter was resident."""
        self._requests += 1
        recent_count = min(self._requests, RECENT_REQUESTS)
        baseline_count = min(self._requests, BASELINE_REQUESTS)
        self._recent_share += (is_hit - self._recent_share) / recent_count
        self._baseline_share += (is_hit - self._baseline_share) / baseline_count
        speed = SHIFT_SPEED if self.is_shifting() else 1
        self.time += speed * max(0, now - self._last_at)
        self._last_at = max(self._last_at, now)

    def at(self, now: float) -> float:
        """Return the clock's time at a moment after the last request."""
        return self.time + max(0, now - self._last_at)

    def is_shifting(self) -> bool:
        """Return whether recent requests miss more often than chance explains."""
        if self._requests < BASELINE_REQUESTS:
            return False
        variance = (
            self._baseline_share * (1 - self._baseline_share) / (2 * RECENT_REQUESTS)
        )
        threshold = self._baseline_share - MAX_DEVIATIONS * math.sqrt(variance)
        return self._recent_share < threshold
