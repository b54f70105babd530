"""Steps that compare an endpoint's owner, victims and copies with naive versions."""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass, replace
from typing import Any

from behave import given, then
from behave.runner import Context
from hypothesis import given as generated
from hypothesis import strategies as st
from serving_generated import ADAPTERS, entries_of, with_seed, seen_events

from pimentohoist._decisions.endpoint import PIN_GRACE_S, EndpointState, LoadPlan, Pin
from pimentohoist._decisions.placement import (
    FREQUENCY_HALF_LIFE_S,
    CopyTable,
    DecayedFrequency,
    choose_victim,
)
from pimentohoist._decisions.popularity import RECENT_REQUESTS, BASELINE_REQUESTS
from pimentohoist._decisions.queue import QueuedRequest
from pimentohoist.models import AdapterVersion

_ACTIONS = ('offer', 'offer', 'offer', 'load', 'load', 'end_load', 'release', 'advance')


@dataclass
class OwnerRun:
    """An endpoint's owner, with the state of the requests and the engine outside it."""

    state: EndpointState
    now: float = 0
    evicted: int = 0
    is_new_owner: bool = False

    def __post_init__(self) -> None:
        self.running: dict[str, QueuedRequest] = {}
        self.ended: Counter[str] = Counter()
        self.held: set[AdapterVersion] = set()
        self.loading: set[AdapterVersion] = set()
        self.offered: list[tuple[AdapterVersion | None, float]] = []
        self.adopted: set[AdapterVersion] = set()
        if self.is_new_owner:
            # A member holds a pin of the former owner for the whole history.
            self.adopted = set(ADAPTERS[:1])
            self.state.adopt([Pin('former', ADAPTERS[0], 500)])
            self.state.apply_report(ADAPTERS[:1], 0)
            self.held |= self.adopted

    def refuse(self, refusals: list[Any]) -> None:
        for refusal in refusals:
            assert refusal.retry_after_s > 0
            self.ended[refusal.request_id] += 1

    def offer(self, entry: QueuedRequest | None) -> None:
        assert entry is not None
        entry = replace(entry, deadline=self.now + entry.deadline, arrived_at=self.now)
        self.offered.append((entry.adapter, self.now))
        if entry.cost_tokens > 40:
            # The entry daemon reported the pin while it was offering the request.
            pin = Pin(
                entry.request_id, entry.adapter, entry.deadline, entry.is_exclusive
            )
            self.state.adopt([pin])
        refusal = self.state.enqueue(entry, self.now)
        self.refuse([refusal] if refusal else [])

    def dispatch(self) -> None:
        self.refuse(self.state.refuse_late(self.now))
        for entry in self.state.dispatch(self.now):
            assert entry.adapter in self.held, (
                'dispatched to an engine without the adapter'
            )
            if entry.is_exclusive:
                assert not any(other.is_exclusive for other in self.running.values())
            self.running[entry.request_id] = entry
        assert len(self.running) <= self.state.admission.knee_requests

    def load(self, index: int) -> None:
        load_requests = self.state.load_requests(self.now)
        if not load_requests:
            return
        plan = self.state.begin_load(
            load_requests[index % len(load_requests)].adapter, self.now
        )
        assert plan is not None, 'load request without room for a load'
        self.evict(plan)
        self.loading.add(plan.adapter)
        assert len(self.held) + len(self.loading) <= self.state.residency.slots

    def evict(self, plan: LoadPlan) -> None:
        if plan.victim is None:
            return
        self.evicted += 1
        assert plan.victim in self.held, 'evicted an adapter that is not resident'
        needed = {entry.adapter for entry in self.running.values()}
        needed |= {entry.adapter for entry in self.state.queue.entries.values()}
        needed |= self.adopted
        assert plan.victim not in needed, 'evicted a needed adapter'
        least = min(self.frequency(adapter) for adapter in self.held - needed)
        excess = self.frequency(plan.victim) - least
        assert math.isclose(excess, 0, abs_tol=1e-6), excess
        self.held.remove(plan.victim)

    def frequency(self, adapter: AdapterVersion) -> float:
        ages = (self.now - at for other, at in self.offered if other == adapter)
        return sum(0.5 ** (age / FREQUENCY_HALF_LIFE_S) for age in ages)

    def end_load(self, is_loaded: bool) -> None:
        if not self.loading:
            return
        adapter = min(self.loading)
        self.loading.remove(adapter)
        if is_loaded:
            self.held.add(adapter)
        self.refuse(self.state.end_load(adapter, is_loaded=is_loaded, now=self.now))

    def release(self, index: int) -> None:
        if self.running:
            request_id = sorted(self.running)[index % len(self.running)]
            self.running.pop(request_id)
            self.ended[request_id] += 1
            self.state.release(request_id, 0.25, has_failed=False)
            self.state.release(request_id, 0.25, has_failed=False)

    def advance(self, seconds: float) -> None:
        self.now += seconds
        for request_id, entry in tuple(self.running.items()):
            if entry.deadline + PIN_GRACE_S <= self.now:
                self.running.pop(request_id)
                self.ended[request_id] += 1

    def act(self, kind: str, entry: QueuedRequest | None, number: int) -> None:
        match kind:
            case 'offer':
                self.offer(entry)
            case 'load':
                self.load(number)
            case 'end_load':
                self.end_load(number > 1)
            case 'release':
                self.release(number)
            case _:
                self.advance(number * FREQUENCY_HALF_LIFE_S / 500)
        self.dispatch()


@st.composite
def owner_histories(draw: Any) -> list[tuple[str, QueuedRequest | None, int]]:
    kinds = draw(st.lists(st.sampled_from(_ACTIONS), min_size=20, max_size=70))
    return [
        (
            kind,
            draw(entries_of(number)) if kind == 'offer' else None,
            draw(st.integers(0, 9)),
        )
        for number, kind in enumerate(kinds)
    ]


def run_owner(
    history: list[tuple[str, QueuedRequest | None, int]],
    slots: int,
    *,
    is_new: bool = False,
) -> int:
    run = OwnerRun(EndpointState(slots, knee_requests=3), is_new_owner=is_new)
    offered = [entry.request_id for _, entry, _ in history if entry]
    for event in history:
        run.act(*event)
    run.advance(1000)
    run.dispatch()
    assert run.ended == Counter(offered), 'each request ends once'
    assert not run.state.pins
    assert not len(run.state.queue)
    return run.evicted


@with_seed(503, 120)
@generated(history=owner_histories(), slots=st.integers(1, 3))
def check_owner_invariants(history: Any, slots: int) -> None:
    seen_events['evicted'] += run_owner(history, slots, is_new=slots > 1)


@then("an endpoint's owner keeps its invariants over generated histories")
def check_owners(context: Context) -> None:
    check_owner_invariants()
    assert seen_events['evicted'] > 30, seen_events


@with_seed(504, 100)
@generated(history=owner_histories(), slots=st.integers(3, 4))
def victims_agree(history: Any, slots: int) -> None:
    seen_events['victims'] += run_owner(history, slots)


@with_seed(504, 200)
@generated(
    history=st.lists(
        st.tuples(st.sampled_from(ADAPTERS), st.integers(0, 4)), min_size=1
    )
)
def frequencies_agree(history: list[tuple[AdapterVersion, int]]) -> None:
    """Compare over many half-lives, with requests at multiples of a quarter of one."""
    frequency, now, recorded = DecayedFrequency(), float(0), []
    for adapter, quarters in history:
        now += quarters * FREQUENCY_HALF_LIFE_S / 4
        frequency.record(adapter, now)
        recorded.append((adapter, now))
    sums = dict.fromkeys(ADAPTERS, float(0))
    for name, recorded_at in recorded:
        sums[name] += 0.5 ** ((now - recorded_at) / FREQUENCY_HALF_LIFE_S)
    victim = choose_victim(ADAPTERS, frequency, now)
    assert victim is not None
    assert math.isclose(sums[victim], min(sums.values()), abs_tol=1e-9), sums


@then('the evicted adapter is the one that a sum over all requests finds')
def check_victims(context: Context) -> None:
    frequencies_agree()
    victims_agree()
    assert seen_events['victims'] > 10, seen_events


@then('the copies of an adapter grow with each busy owner and shrink with time')
def check_copies(context: Context) -> None:
    table, adapter = CopyTable(), ADAPTERS[0]
    seen = [table.copies(adapter, 0)]
    table.record_busy(adapter, 1, 0)
    table.record_busy(adapter, 2, 1)
    seen += [table.copies(adapter, now) for now in (1, 5.5, 6.5, 11.5, 30)]
    assert seen == [1, 3, 3, 2, 1, 1], seen


def queued_request(adapter: AdapterVersion, number: int, now: float) -> QueuedRequest:
    return QueuedRequest(f'r{number}', 'lipstick', adapter, 1, False, now + 60, now)


@given('an engine that crashed while a request ran and has loaded the adapter again')
def crash_and_load(context: Context) -> None:
    adapter, context.state = ADAPTERS[0], EndpointState(1, 2)
    context.state.apply_report([adapter], 0)
    context.state.enqueue(queued_request(adapter, 0, 1), 1)
    assert context.state.dispatch(1)
    context.state.mark_down()
    context.state.release('r0', 1, has_failed=True)
    context.state.apply_report([], 2)
    context.state.enqueue(queued_request(adapter, 1, 3), 3)
    assert context.state.begin_load(adapter, 3)
    context.state.end_load(adapter, is_loaded=True, now=4)


@then('the next request for it runs at once, before the engine reports')
def check_runs(context: Context) -> None:
    assert [entry.request_id for entry in context.state.dispatch(4)] == ['r1']


@given('an engine whose slots are empty after a cold restart')
def restart_cold(context: Context) -> None:
    context.state = EndpointState(2, 2)
    context.state.apply_report(ADAPTERS[:2], 0)
    for number in range(2 * BASELINE_REQUESTS):
        context.state.residency.record_request(ADAPTERS[0], number)
    context.state.mark_down()
    context.state.apply_report([], 2 * BASELINE_REQUESTS)


@then('misses while it fills them do not count as a shift of popularity')
def check_no_shift(context: Context) -> None:
    residency = context.state.residency
    start_s = 2 * BASELINE_REQUESTS
    before = residency.frequency.of(ADAPTERS[0], start_s)
    for number in range(RECENT_REQUESTS):
        residency.record_request(ADAPTERS[1], start_s + number)
    after = residency.frequency.of(ADAPTERS[0], start_s + RECENT_REQUESTS)
    decayed = before * 0.5 ** (RECENT_REQUESTS / FREQUENCY_HALF_LIFE_S)
    assert math.isclose(after, decayed), (after, decayed)
