"""Whose adapter is loaded next on an engine that is full."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Container

from pimentohoist.entry_models import AdapterKey


class WaitingRequests:
    """Requests that wait for an adapter to be loaded.

    A load serves all that wait for its adapter, so the adapter that most requests wait for
    comes first; among equals, the one whose request gives up first.
    """

    def __init__(self) -> None:
        self.give_up_times: defaultdict[AdapterKey, list[float]] = defaultdict(list)

    def join(self, adapter: AdapterKey, give_up_at: float) -> None:
        """Take in a request."""
        self.give_up_times[adapter].append(give_up_at)

    def leave(self, adapter: AdapterKey, give_up_at: float) -> None:
        """Let a request go that was served or gives up."""
        times = self.give_up_times[adapter]
        times.remove(give_up_at)
        if not times:
            self.give_up_times.pop(adapter)

    def is_next(self, adapter: AdapterKey, under_way: Container[AdapterKey]) -> bool:
        """Return whether no other adapter's load comes before this one's.

        Parameters
        ----------
        under_way : container of AdapterKey
            Adapters that need no further load.
        """
        own = self._claim(adapter)
        return not any(
            self._claim(other) > own
            for other in self.give_up_times
            if other != adapter and other not in under_way
        )

    def _claim(self, adapter: AdapterKey) -> tuple[int, float]:
        """Return the rank of an adapter; one that nobody waits for yet has the lowest."""
        times = self.give_up_times.get(adapter)
        return (len(times), -min(times)) if times else (1, float('-inf'))
