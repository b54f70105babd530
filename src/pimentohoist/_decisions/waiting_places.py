"""At which engine's owner a request waits for its adapter."""

from __future__ import annotations

from collections.abc import Sequence

_UNKNOWN_WAIT_S = 0.5
"""Assumed at owners that name no wait: by then a load has usually ended."""

_MAX_FAILURES = 2
"""Owners at which waiting may fail at once; the others are probably no better."""


class WaitingPlaces:
    """Engines that couldn't begin to load a request's adapter at once.

    Parameters
    ----------
    ordered : sequence of str
        Ids of the engines, the most suitable first.
    """

    def __init__(self, ordered: Sequence[str]) -> None:
        self._waits_s: dict[str, float | None] = dict.fromkeys(ordered)
        self._shortest_s: float | None = None
        self._failures = 0

    @property
    def retry_after_s(self) -> float | None:
        """Return the shortest wait that an owner has named, in seconds."""
        return self._shortest_s

    def next_place(self) -> str | None:
        """Return the engine with the shortest expected wait; None if none is left."""
        if self._failures >= _MAX_FAILURES:
            return None
        return min(self._waits_s, key=self._expected_s, default=None)

    def record_wait(self, endpoint_id: str, wait_s: float | None) -> None:
        """Record the wait that an engine's owner expects; None if it named none."""
        self._waits_s[endpoint_id] = wait_s
        if wait_s is not None:
            shortest_s = self._shortest_s
            self._shortest_s = wait_s if shortest_s is None else min(wait_s, shortest_s)

    def drop(self, endpoint_id: str) -> None:
        """Remove an engine at which waiting is useless."""
        self._waits_s.pop(endpoint_id, None)

    def record_failure(self, endpoint_id: str) -> None:
        """Remove an engine at which waiting has failed at once."""
        self.drop(endpoint_id)
        self._failures += 1

    def _expected_s(self, endpoint_id: str) -> float:
        wait_s = self._waits_s[endpoint_id]
        return _UNKNOWN_WAIT_S if wait_s is None else wait_s
