"""Notices that the popularity of adapters has shifted, by the requests that miss."""

from __future__ import annotations

import math

LATE_REQUESTS = 30
"""Requests over which the share of hits of late is smoothed."""

USUAL_REQUESTS = 300
"""Requests over which the usual share of hits is smoothed."""

MAX_DEVIATIONS = 3.0
"""Standard deviations below the usual share from which on popularity counts as shifted."""

SHIFTED_SPEED = 300.0
"""How much faster past requests are forgotten while popularity is shifting."""


class PopularityClock:
    """A clock for the decay of counts, which runs faster while popularity shifts.

    Attributes
    ----------
    time : float
        In seconds; grows like the real time while popularity is steady.
    """

    def __init__(self) -> None:
        self.time = float(0)
        self._now = float(0)
        self._requests = 0
        self._late_share = float(0)
        self._usual_share = float(0)

    def record(self, now: float, *, is_hit: bool) -> None:
        """Note a request, and whether its adapter was resident."""
        self._requests += 1
        late = min(self._requests, LATE_REQUESTS)
        usual = min(self._requests, USUAL_REQUESTS)
        self._late_share += (is_hit - self._late_share) / late
        self._usual_share += (is_hit - self._usual_share) / usual
        speed = SHIFTED_SPEED if self.is_shifting() else 1
        self.time += speed * max(0, now - self._now)
        self._now = max(self._now, now)

    def at(self, now: float) -> float:
        """Return the clock's time at a moment after the last request."""
        return self.time + max(0, now - self._now)

    def is_shifting(self) -> bool:
        """Return whether requests miss more often of late than chance explains."""
        if self._requests < USUAL_REQUESTS:
            return False
        variance = self._usual_share * (1 - self._usual_share) / (2 * LATE_REQUESTS)
        least = self._usual_share - MAX_DEVIATIONS * math.sqrt(variance)
        return self._late_share < least
