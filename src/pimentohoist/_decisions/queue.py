"""Queue at an endpoint's owner: fair between workspaces, urgent first, by deadline.

Workspaces share by virtual time (start-time fair queueing): a workspace's virtual time
grows by the cost of its dispatched requests, and the one with the least goes next.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass

from pimentohoist.models import AdapterVersion

MAX_URGENT_IN_ROW = 4
"""Urgent requests in a row that may pass a normal one that could run."""

_MIN_COST_TOKENS = 1.0


@dataclass(frozen=True, slots=True)
class QueuedRequest:
    """A request that waits to be dispatched to an endpoint.

    Attributes
    ----------
    cost_tokens : float
        Cost in the sharing between workspaces, in tokens.
    deadline, arrived_at : float
        Monotonic time in seconds.
    is_exclusive : bool
        Whether no other request of this kind may run beside it.
    """

    request_id: str
    workspace: str
    adapter: AdapterVersion | None
    cost_tokens: float
    is_urgent: bool
    deadline: float
    arrived_at: float
    is_exclusive: bool = False

    @property
    def dispatch_class(self) -> DispatchClass:
        """The class that decides whether it can be dispatched now."""
        return DispatchClass(self.adapter, self.is_exclusive)


@dataclass(frozen=True, slots=True)
class DispatchClass:
    """Requests of which either all or none can be dispatched at a moment."""

    adapter: AdapterVersion | None
    is_exclusive: bool


_HeapKey = tuple[bool, str, DispatchClass]
_Heap = list[tuple[float, int, QueuedRequest]]


class FairQueue:
    """Queued requests of one endpoint.

    Attributes
    ----------
    entries : dict of str to QueuedRequest
        By request id, in order of arrival.
    virtual_times : dict of str to float
        By workspace, in tokens.
    """

    def __init__(self) -> None:
        self.entries: dict[str, QueuedRequest] = {}
        self.virtual_times: dict[str, float] = {}
        self._virtual_now = float(0)
        self._urgent_in_row = 0
        self._arrival_count = 0
        self._heaps: dict[_HeapKey, _Heap] = {}
        self._waiting_by_workspace: dict[str, int] = {}

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return len(self.entries)

    def add(self, entry: QueuedRequest) -> None:
        """Add a request.

        Raises
        ------
        ValueError
            A request of this id is queued already.
        """
        if entry.request_id in self.entries:
            raise ValueError(f'request {entry.request_id} is queued already')
        workspace = entry.workspace
        waiting = self._waiting_by_workspace.get(workspace, 0)
        if not waiting:
            # Time without demand earns no credit.
            earlier = self.virtual_times.get(workspace, self._virtual_now)
            self.virtual_times[workspace] = max(self._virtual_now, earlier)
        self._waiting_by_workspace[workspace] = waiting + 1
        self.entries[entry.request_id] = entry
        self._arrival_count += 1
        heap = self._heaps.setdefault(
            (entry.is_urgent, workspace, entry.dispatch_class), []
        )
        heapq.heappush(heap, (entry.deadline, self._arrival_count, entry))

    def remove(self, request_id: str) -> QueuedRequest | None:
        """Remove and return a request; None if it isn't queued."""
        entry = self.entries.pop(request_id, None)
        if entry is not None:
            self._waiting_by_workspace[entry.workspace] -= 1
        return entry

    def take(self, can_run: Callable[[DispatchClass], bool]) -> QueuedRequest | None:
        """Remove and return the next request that can run; None if none can."""
        heads = tuple(self._heads(can_run))
        if not heads:
            return None
        entry = self._choose(heads)
        self.remove(entry.request_id)
        started_at = self.virtual_times[entry.workspace]
        self._virtual_now = max(self._virtual_now, started_at)
        cost = max(entry.cost_tokens, _MIN_COST_TOKENS)
        self.virtual_times[entry.workspace] = started_at + cost
        return entry

    def count_ahead_of(self, entry: QueuedRequest) -> int:
        """Return how many queued requests will probably run before `entry`."""
        competing = tuple(
            other
            for other in self.entries.values()
            if other.is_urgent >= entry.is_urgent
        )
        own_ahead = sum(
            other.workspace == entry.workspace and other.deadline <= entry.deadline
            for other in competing
        )
        by_workspace: dict[str, int] = {}
        for other in competing:
            if other.workspace != entry.workspace:
                by_workspace[other.workspace] = by_workspace.get(other.workspace, 0) + 1
        return own_ahead + sum(
            min(count, own_ahead + 1) for count in by_workspace.values()
        )

    def _choose(
        self, heads: Iterable[tuple[float, int, QueuedRequest]]
    ) -> QueuedRequest:
        urgent = [head for head in heads if head[-1].is_urgent]
        normal = [head for head in heads if not head[-1].is_urgent]
        is_normal_due = self._urgent_in_row >= MAX_URGENT_IN_ROW
        candidates = urgent if urgent and not (normal and is_normal_due) else normal
        has_passed = candidates is urgent and bool(normal)
        self._urgent_in_row = self._urgent_in_row + 1 if has_passed else 0
        return min(candidates, key=self._sort_key)[-1]

    def _sort_key(
        self, head: tuple[float, int, QueuedRequest]
    ) -> tuple[float, str, float, int]:
        deadline, arrival, entry = head
        virtual_time = self.virtual_times[entry.workspace]
        return (virtual_time, entry.workspace, deadline, arrival)

    def _heads(
        self, can_run: Callable[[DispatchClass], bool]
    ) -> Iterator[tuple[float, int, QueuedRequest]]:
        for key, heap in tuple(self._heaps.items()):
            self._drop_removed(heap)
            if not heap:
                self._heaps.pop(key)
            elif can_run(key[-1]):
                yield heap[0]

    def _drop_removed(self, heap: _Heap) -> None:
        while heap:
            entry = heap[0][-1]
            if self.entries.get(entry.request_id) is entry:
                return
            heapq.heappop(heap)
