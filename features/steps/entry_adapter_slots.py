"""Steps on the adapter slots of an engine."""

from __future__ import annotations

import sys
from pathlib import Path

from behave import given, then, when
from behave.runner import Context
from hypothesis import given as generated
from hypothesis import settings
from hypothesis import strategies as st

sys.path.append(str(Path(__file__).resolve().parent.parent))
from entry_engine import key  # noqa: E402
from quota_load import HEARTBEAT_INTERVAL_S  # noqa: E402

from pimentohoist._decisions.adapter_slots import (  # noqa: E402
    PIN_S,
    MAX_CONCURRENT_LOADS,
    AdapterSlots,
)
from pimentohoist.entry_models import (  # noqa: E402
    AdapterKey,
)

_GENERATED = settings(max_examples=150, deadline=None)


@given('an engine with {count:d} adapter slots that are all taken')
def fill_slots(context: Context, count: int) -> None:
    context.adapter_slots = AdapterSlots(count)
    context.now = 100.0
    held = {key(number): 1 for number in range(count)}
    context.adapter_slots.reconcile(held, (), context.now)
    context.now += 10


@given('an engine with {count:d} adapter slots that are all free')
def empty_slots(context: Context, count: int) -> None:
    context.adapter_slots = AdapterSlots(count)
    context.now = 100.0


@when('two adapters are requested and the engine reports that it loads another one')
def report_another(context: Context) -> None:
    adapter_slots = context.adapter_slots
    assert adapter_slots.can_load(key(10), context.now, 0)
    assert adapter_slots.can_load(key(11), context.now, 1)
    held = {key(number): 1 for number in range(3)}
    adapter_slots.reconcile(held, (key(12),), context.now)


@then('no plan loads more adapters than there are slots')
def check_plans(context: Context) -> None:
    adapter_slots = context.adapter_slots
    for number in (10, 11):
        plan = adapter_slots.plan(key(number), 1, context.now + PIN_S)
        if plan is not None:
            assert plan.victim in adapter_slots.slots, plan
            adapter_slots.drop(plan.victim)
            adapter_slots.begin(plan.adapter)
        assert len(adapter_slots.slots) <= adapter_slots.capacity


@when('one of the adapters is pinned')
def pin_one(context: Context) -> None:
    assert context.adapter_slots.grant(key(0), 1, context.now) == 1


@then('it is not evicted before the next heartbeat reports its request')
def check_pinned(context: Context) -> None:
    plan = context.adapter_slots.plan(key(9), 1, context.now + HEARTBEAT_INTERVAL_S)
    assert plan is not None
    assert plan.victim != key(0)
    context.adapter_slots.in_use['daemon'] = frozenset(
        key(number) for number in range(1, 4)
    )
    assert (
        context.adapter_slots.plan(key(9), 1, context.now + HEARTBEAT_INTERVAL_S)
        is None
    )


@when('requests use all of the adapters')
def use_all(context: Context) -> None:
    context.adapter_slots.in_use['daemon'] = frozenset(context.adapter_slots.slots)


@then('a fifth adapter has to wait')
def check_waits(context: Context) -> None:
    assert context.adapter_slots.plan(key(9), 1, context.now) is None
    assert not context.adapter_slots.can_load(key(9), context.now, 0)


@when('an adapter is unloaded that a request still uses')
def unload_used(context: Context) -> None:
    context.adapter_slots.in_use['daemon'] = frozenset(context.adapter_slots.slots)
    context.adapter_slots.leave(key(0), context.now)


@then('its slot is free only after the request has ended')
def check_leaving(context: Context) -> None:
    adapter_slots = context.adapter_slots
    held = {key(number): 1 for number in range(1, 4)}
    assert adapter_slots.free_adapter_slots(context.now + 60) == 0
    adapter_slots.reconcile(held, (), context.now + 1)
    assert adapter_slots.free_adapter_slots(context.now + 1) == 0
    adapter_slots.in_use.clear()
    later = context.now + 60
    assert adapter_slots.free_adapter_slots(later) == 4


@when('{count:d} adapters are requested at once')
def request_many(context: Context, count: int) -> None:
    context.begun = []
    for number in range(count):
        plan = context.adapter_slots.plan(key(number), 1, context.now)
        if plan is not None:
            context.adapter_slots.begin(plan.adapter)
            context.begun.append(plan.adapter)


@then('{count:d} loads begin and the others wait')
def check_begun(context: Context, count: int) -> None:
    assert len(context.begun) == count == MAX_CONCURRENT_LOADS


@when('the adapter most requested a minute ago is requested no more and the others are')
def move_demand(context: Context) -> None:
    for _ in range(20):
        context.adapter_slots.record_demand(key(0), context.now)
    context.now += 60
    for number in range(1, 4):
        context.adapter_slots.record_demand(key(number), context.now)


@then('the formerly most requested adapter is evicted')
def check_evicted(context: Context) -> None:
    plan = context.adapter_slots.plan(key(9), 1, context.now + 1)
    assert plan is not None
    assert plan.victim == key(0)


class AdapterSlotsHistory:
    """An engine and its owner's adapter slots in one generated history."""

    def __init__(self) -> None:
        self.adapter_slots = AdapterSlots(4)
        self.engine: dict[AdapterKey, int] = {}
        self.now = 100.0

    def request(self, adapter: AdapterKey) -> None:
        plan = self.adapter_slots.plan(adapter, 1, self.now)
        if plan is None or adapter in self.engine:
            return
        if plan.victim is not None:
            assert plan.victim not in self.adapter_slots.in_use.get('daemon', ())
            self.engine.pop(plan.victim)
            self.adapter_slots.drop(plan.victim)
        self.adapter_slots.begin(adapter)
        self.engine[adapter] = 1

    def finish(self, adapter: AdapterKey) -> None:
        if self.adapter_slots.is_loading(adapter):
            self.adapter_slots.finish(adapter, 1, self.now)

    def use(self, adapter: AdapterKey) -> None:
        if adapter in self.engine:
            self.adapter_slots.in_use['daemon'] = frozenset((adapter,))

    def release(self, adapter: AdapterKey) -> None:
        self.adapter_slots.in_use.clear()
        self.now += 1

    def report(self, adapter: AdapterKey) -> None:
        self.adapter_slots.reconcile(self.engine, (), self.now)


_HISTORIES = st.lists(
    st.tuples(
        st.sampled_from(('request', 'finish', 'use', 'release', 'report')),
        st.integers(0, 8),
    ),
    max_size=60,
)


@then('in generated histories no engine has more adapters than slots')
def check_histories(context: Context) -> None:
    @_GENERATED
    @generated(_HISTORIES)
    def play(steps: list[tuple[str, int]]) -> None:
        history = AdapterSlotsHistory()
        for step, number in steps:
            history.now += 0.1
            getattr(history, step)(key(number))
            assert len(history.engine) <= 4, history.engine

    play()
