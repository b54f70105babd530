"""This daemon's requests in flight, for heartbeats and the choice of endpoints."""

from __future__ import annotations

import threading
from collections import Counter, defaultdict


class InFlightRequests:
    """Counts of requests in flight by endpoint and adapter."""

    def __init__(self) -> None:
        self._counts: defaultdict[str, Counter[str]] = defaultdict(Counter)
        self._lock = threading.Lock()

    def begin(self, endpoint_id: str, adapter: str) -> None:
        """Add a request to the count."""
        with self._lock:
            self._counts[endpoint_id][adapter] += 1

    def finish(self, endpoint_id: str, adapter: str) -> None:
        """Remove a request from the count."""
        with self._lock:
            counts = self._counts[endpoint_id]
            counts[adapter] -= 1
            if counts[adapter] <= 0:
                counts.pop(adapter)
            if not counts:
                self._counts.pop(endpoint_id)

    def count_on(self, endpoint_id: str) -> int:
        """Return the number of requests at an endpoint."""
        with self._lock:
            return sum(self._counts.get(endpoint_id, Counter()).values())

    def snapshot(self) -> dict[str, dict[str, int]]:
        """Return the counts by endpoint and adapter."""
        with self._lock:
            return {name: dict(counts) for name, counts in self._counts.items()}
