"""Steps that compare the queue at an endpoint's owner with a plain list."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from behave import then
from behave.runner import Context
from hypothesis import given as generated
from hypothesis import strategies as st
from serving_generated import ADAPTERS, WORKSPACES, entries_of, with_seed

from pimentohoist._decisions.queue import (
    MAX_URGENT_IN_ROW,
    FairQueue,
    DispatchClass,
    QueuedRequest,
)
from pimentohoist.models import AdapterVersion


@st.composite
def queue_histories(draw: Any) -> list[tuple[str, Any]]:
    kinds = st.sampled_from(('add', 'add', 'take', 'take', 'remove'))
    events: list[tuple[str, Any]] = []
    for number, kind in enumerate(draw(st.lists(kinds, min_size=25, max_size=60))):
        arguments = {
            'add': entries_of(number),
            'take': st.frozensets(st.sampled_from(ADAPTERS), min_size=1),
            'remove': st.integers(0, number).map('request-{}'.format),
        }
        events.append((kind, draw(arguments[kind])))
    return events


class NaiveQueue:
    """A plain list, searched whole for each decision."""

    def __init__(self) -> None:
        self.waiting: list[QueuedRequest] = []
        self.virtual_times: dict[str, float] = {}
        self.virtual_now = float(0)
        self.urgent_in_row = 0

    def add(self, entry: QueuedRequest) -> None:
        if all(other.workspace != entry.workspace for other in self.waiting):
            virtual_time = max(
                self.virtual_now,
                self.virtual_times.get(entry.workspace, self.virtual_now),
            )
            self.virtual_times[entry.workspace] = virtual_time
        self.waiting.append(entry)

    def remove(self, request_id: str) -> QueuedRequest | None:
        for entry in self.waiting:
            if entry.request_id == request_id:
                self.waiting.remove(entry)
                return entry
        return None

    def take(self, can_run: Callable[[DispatchClass], bool]) -> QueuedRequest | None:
        runnable = [entry for entry in self.waiting if can_run(entry.dispatch_class)]
        if not runnable:
            return None
        urgent = [entry for entry in runnable if entry.is_urgent]
        normal = [entry for entry in runnable if not entry.is_urgent]
        if urgent and normal and self.urgent_in_row < MAX_URGENT_IN_ROW:
            self.urgent_in_row += 1
            runnable = urgent
        else:
            self.urgent_in_row = 0
            runnable = normal or urgent
        first = min(
            (self.virtual_times[entry.workspace], entry.workspace) for entry in runnable
        )
        own_entries = [entry for entry in runnable if entry.workspace == first[1]]
        chosen = sorted(own_entries, key=lambda entry: entry.deadline)[0]
        self.waiting.remove(chosen)
        self.virtual_now = max(self.virtual_now, first[0])
        self.virtual_times[chosen.workspace] += max(1, chosen.cost_tokens)
        return chosen


@dataclass(frozen=True)
class ReadyAdapters:
    """Accept the dispatch classes of some adapters."""

    adapters: frozenset[AdapterVersion]

    def __call__(self, dispatch_class: DispatchClass) -> bool:
        return dispatch_class.adapter in self.adapters


@with_seed(501, 150)
@generated(history=queue_histories())
def queues_agree(history: list[tuple[str, Any]]) -> None:
    queue, naive = FairQueue(), NaiveQueue()
    for kind, drawn in history:
        argument = ReadyAdapters(drawn) if kind == 'take' else drawn
        pair = [getattr(side, kind)(argument) for side in (queue, naive)]
        assert pair[0] == pair[1], (kind, pair)
        assert list(queue.entries.values()) == naive.waiting


@then('the fair queue and a plain list agree over generated histories')
def compare_queues(context: Context) -> None:
    queues_agree()


def fill_queue(costs: list[int], urgent: frozenset[int]) -> FairQueue:
    """Return a queue in which one workspace has twice the other's requests."""
    queue = FairQueue()
    for number, cost in enumerate(costs * 4):
        workspace = WORKSPACES[int(number % 3 == 0)]
        is_urgent = number % 4 in urgent
        queue.add(QueuedRequest(f'r{number}', workspace, None, cost, is_urgent, 9, 0))
    return queue


def take_any(queue: FairQueue) -> QueuedRequest:
    entry = queue.take(lambda dispatch_class: True)
    assert entry is not None
    return entry


_costs = st.lists(st.integers(1, 50), min_size=30, max_size=30)


@with_seed(502, 50)
@generated(costs=_costs, is_urgent=st.booleans())
def turns_are_fair(costs: list[int], is_urgent: bool) -> None:
    queue = fill_queue(costs, frozenset(range(4)) if is_urgent else frozenset())
    taken_cost = Counter(dict.fromkeys(WORKSPACES, 0))
    while len({entry.workspace for entry in queue.entries.values()}) == 2:
        entry = take_any(queue)
        taken_cost[entry.workspace] += entry.cost_tokens
    # One request may be ahead on either side.
    assert abs(taken_cost['lipstick'] - taken_cost['cream']) <= 2 * 50, taken_cost


@with_seed(502, 50)
@generated(costs=_costs, urgent=st.frozensets(st.integers(0, 3)))
def normal_requests_make_progress(costs: list[int], urgent: frozenset[int]) -> None:
    queue = fill_queue(costs, urgent)
    urgent_in_row = 0
    while queue.entries:
        has_normal = any(not entry.is_urgent for entry in queue.entries.values())
        has_urgent = any(entry.is_urgent for entry in queue.entries.values())
        entry = take_any(queue)
        is_normal_due = urgent_in_row == MAX_URGENT_IN_ROW
        urgent_in_row = urgent_in_row + 1 if entry.is_urgent and has_normal else 0
        assert urgent_in_row <= MAX_URGENT_IN_ROW
        assert entry.is_urgent or is_normal_due or not has_urgent


@then(
    'waiting workspaces get equal cost within two requests,'
    ' and normal requests make progress'
)
def check_turns(context: Context) -> None:
    turns_are_fair()
    normal_requests_make_progress()
