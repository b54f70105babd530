"""How long the requests of a route usually take at most."""

from __future__ import annotations

from collections import deque

_KEPT = 100
_MIN_SAMPLES = 20
_SAFETY_FACTOR = 1.5
"""The next request may take longer than each of the last ones."""


class RecentDurations:
    """Durations of the last requests of one route."""

    def __init__(self) -> None:
        self._durations_s: deque[float] = deque(maxlen=_KEPT)

    def record(self, duration_s: float) -> None:
        """Add the duration of a request that was answered, in seconds."""
        self._durations_s.append(duration_s)

    def usual_max_s(self) -> float | None:
        """Return the seconds that hardly any request exceeds; None if unknown."""
        if len(self._durations_s) < _MIN_SAMPLES:
            return None
        return _SAFETY_FACTOR * max(tuple(self._durations_s))
