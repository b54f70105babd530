"""Queue at an endpoint's home: fair between workspaces, urgent first, by deadline.

Workspaces share by virtual time (start-time fair queueing): each one's virtual time grows
by the cost of what it was given, and the one that lies furthest back goes next.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass

from pimentohoist.models import AdapterVersion

URGENT_TURNS = 4
"""Urgent requests in a row that may pass a patient one that could run."""

_MIN_COST = 1.0


@dataclass(frozen=True, slots=True)
class QueuedRequest:
    """A request that waits for a place on an endpoint.

    Attributes
    ----------
    cost : float
        What it counts in the sharing between workspaces, in tokens.
    deadline, arrived_at : float
        Monotonic time in seconds.
    is_alone : bool
        Whether no other request of this kind may run beside it.
    """

    request_id: str
    workspace: str
    adapter: AdapterVersion | None
    cost: float
    is_urgent: bool
    deadline: float
    arrived_at: float
    is_alone: bool = False

    @property
    def lane(self) -> Lane:
        """What decides whether it can run now."""
        return Lane(self.adapter, self.is_alone)


@dataclass(frozen=True, slots=True)
class Lane:
    """Requests of which either all or none can run at a moment."""

    adapter: AdapterVersion | None
    is_alone: bool


_Key = tuple[bool, str, Lane]
_Heap = list[tuple[float, int, QueuedRequest]]


class FairQueue:
    """Waiting requests of one endpoint.

    Attributes
    ----------
    entries : dict of str to QueuedRequest
        By request id, in order of arrival.
    virtual_times : dict of str to float
        By workspace, in cost.
    """

    def __init__(self) -> None:
        self.entries: dict[str, QueuedRequest] = {}
        self.virtual_times: dict[str, float] = {}
        self._now = float(0)
        self._urgent_in_row = 0
        self._arrivals = 0
        self._heaps: dict[_Key, _Heap] = {}
        self._waiting_by_workspace: dict[str, int] = {}

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self.entries)

    def add(self, entry: QueuedRequest) -> None:
        """Add a request; its id must not wait already."""
        if entry.request_id in self.entries:
            raise ValueError(f'{entry.request_id} waits already')
        workspace = entry.workspace
        waiting = self._waiting_by_workspace.get(workspace, 0)
        if not waiting:
            # Time without demand earns no credit.
            earlier = self.virtual_times.get(workspace, self._now)
            self.virtual_times[workspace] = max(self._now, earlier)
        self._waiting_by_workspace[workspace] = waiting + 1
        self.entries[entry.request_id] = entry
        self._arrivals += 1
        heap = self._heaps.setdefault((entry.is_urgent, workspace, entry.lane), [])
        heapq.heappush(heap, (entry.deadline, self._arrivals, entry))

    def remove(self, request_id: str) -> QueuedRequest | None:
        """Take a request out that no longer waits; None if it doesn't."""
        entry = self.entries.pop(request_id, None)
        if entry is not None:
            self._waiting_by_workspace[entry.workspace] -= 1
        return entry

    def take(self, can_run: Callable[[Lane], bool]) -> QueuedRequest | None:
        """Take out the request to run next, of those that can; None if none can."""
        heads = tuple(self._heads(can_run))
        if not heads:
            return None
        entry = self._next_of(heads)
        self.remove(entry.request_id)
        started_at = self.virtual_times[entry.workspace]
        self._now = max(self._now, started_at)
        cost = max(entry.cost, _MIN_COST)
        self.virtual_times[entry.workspace] = started_at + cost
        return entry

    def ahead_of(self, entry: QueuedRequest) -> int:
        """Return how many waiting requests will probably run before `entry`."""
        rivals = tuple(
            other
            for other in self.entries.values()
            if other.is_urgent >= entry.is_urgent
        )
        own = sum(
            other.workspace == entry.workspace and other.deadline <= entry.deadline
            for other in rivals
        )
        others: dict[str, int] = {}
        for rival in rivals:
            if rival.workspace != entry.workspace:
                others[rival.workspace] = others.get(rival.workspace, 0) + 1
        return own + sum(min(count, own + 1) for count in others.values())

    def _next_of(
        self, heads: Iterable[tuple[float, int, QueuedRequest]]
    ) -> QueuedRequest:
        urgent = [head for head in heads if head[-1].is_urgent]
        patient = [head for head in heads if not head[-1].is_urgent]
        is_patient_due = self._urgent_in_row >= URGENT_TURNS
        candidates = urgent if urgent and not (patient and is_patient_due) else patient
        has_passed = candidates is urgent and bool(patient)
        self._urgent_in_row = self._urgent_in_row + 1 if has_passed else 0
        return min(candidates, key=self._order)[-1]

    def _order(
        self, head: tuple[float, int, QueuedRequest]
    ) -> tuple[float, str, float, int]:
        deadline, arrival, entry = head
        virtual_time = self.virtual_times[entry.workspace]
        return (virtual_time, entry.workspace, deadline, arrival)

    def _heads(
        self, can_run: Callable[[Lane], bool]
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
