"""Steps that compare the queue at an endpoint's home with a plain list."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from behave import then
from behave.runner import Context
from hypothesis import given as generated
from hypothesis import strategies as st
from serving_generated import ADAPTERS, WORKSPACES, entries_of, fixed

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
        self.given: dict[str, float] = {}
        self.latest = float(0)
        self.passed = 0

    def add(self, entry: QueuedRequest) -> None:
        if all(other.workspace != entry.workspace for other in self.waiting):
            given_cost = max(self.latest, self.given.get(entry.workspace, self.latest))
            self.given[entry.workspace] = given_cost
        self.waiting.append(entry)

    def remove(self, request_id: str) -> QueuedRequest | None:
        for entry in self.waiting:
            if entry.request_id == request_id:
                self.waiting.remove(entry)
                return entry
        return None

    def take(self, can_run: Callable[[DispatchClass], bool]) -> QueuedRequest | None:
        able = [entry for entry in self.waiting if can_run(entry.dispatch_class)]
        if not able:
            return None
        urgent = [entry for entry in able if entry.is_urgent]
        normal = [entry for entry in able if not entry.is_urgent]
        if urgent and normal and self.passed < MAX_URGENT_IN_ROW:
            self.passed += 1
            able = urgent
        else:
            self.passed = 0
            able = normal or urgent
        least = min((self.given[entry.workspace], entry.workspace) for entry in able)
        mine = [entry for entry in able if entry.workspace == least[1]]
        chosen = sorted(mine, key=lambda entry: entry.deadline)[0]
        self.waiting.remove(chosen)
        self.latest = max(self.latest, least[0])
        self.given[chosen.workspace] += max(1, chosen.cost)
        return chosen


@dataclass(frozen=True)
class ReadyAdapters:
    """The lanes of some adapters."""

    adapters: frozenset[AdapterVersion]

    def __call__(self, dispatch_class: DispatchClass) -> bool:
        return dispatch_class.adapter in self.adapters


@fixed(501, 150)
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


def crowd(costs: list[int], urgent: frozenset[int]) -> FairQueue:
    """Return a queue where one workspace waits with twice the other's requests."""
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


@fixed(502, 50)
@generated(costs=_costs, is_urgent=st.booleans())
def turns_are_fair(costs: list[int], is_urgent: bool) -> None:
    queue = crowd(costs, frozenset(range(4)) if is_urgent else frozenset())
    given_cost = Counter(dict.fromkeys(WORKSPACES, 0))
    while len({entry.workspace for entry in queue.entries.values()}) == 2:
        entry = take_any(queue)
        given_cost[entry.workspace] += entry.cost
    # One request may be ahead on either side.
    assert abs(given_cost['lipstick'] - given_cost['cream']) <= 2 * 50, given_cost


@fixed(502, 50)
@generated(costs=_costs, urgent=st.frozensets(st.integers(0, 3)))
def normal_requests_make_progress(costs: list[int], urgent: frozenset[int]) -> None:
    queue = crowd(costs, urgent)
    in_row = 0
    while queue.entries:
        has_normal = any(not entry.is_urgent for entry in queue.entries.values())
        has_urgent = any(entry.is_urgent for entry in queue.entries.values())
        entry = take_any(queue)
        is_turn_due = in_row == MAX_URGENT_IN_ROW
        in_row = in_row + 1 if entry.is_urgent and has_normal else 0
        assert in_row <= MAX_URGENT_IN_ROW
        assert entry.is_urgent or is_turn_due or not has_urgent


@then('no workspace gets more than its turn while others wait, and patient ones go on')
def check_turns(context: Context) -> None:
    turns_are_fair()
    normal_requests_make_progress()
