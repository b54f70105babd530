"""Steps on requests that wait for adapters, and on loads in progress."""

from __future__ import annotations

import sys
import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from pathlib import Path

from behave import given, then, when
from behave.runner import Context

sys.path.append(str(Path(__file__).resolve().parent.parent))
from entry_engine import FakeEngine, make_owner, key  # noqa: E402

from pimentohoist._decisions.adapter_slots import (  # noqa: E402
    PIN_S,
    MAX_CONCURRENT_LOADS,
)
from pimentohoist.exceptions import UnavailableError  # noqa: E402

_MS_PER_S = 1000
_MAX_FIRST_TOKEN_MS = 1100
"""The stated target for a first token; a request that missed the free slot would wait
for its adapter for 5 s."""


@given(
    'an engine of 2 adapter slots that has loaded an adapter, whose load its owner polls'
)
def begin_load(context: Context) -> None:
    context.engine = FakeEngine({key(0): 1})
    loaders = context.stack.enter_context(ThreadPoolExecutor(4))
    context.owner = make_owner(context.engine, 2, loaders)
    loaders.submit(context.owner.load_and_pin, key(1), 1, time.monotonic() + 5)
    while key(1) not in context.engine.held:
        time.sleep(0.001)


@when('a report shows the adapter and it is evicted before the poll is sent')
def evict_before_poll(context: Context) -> None:
    owner, engine = context.owner, context.engine
    with engine.lock:
        engine.resync(owner.apply_report)
        time.sleep(2 * PIN_S)
        owner.adapter_slots.in_use['daemon'] = frozenset((key(0),))
        plan = owner.adapter_slots.plan(key(2), 1, time.monotonic() + PIN_S)
        assert plan is not None
        assert plan.victim == key(1)
        engine.unload(key(1))
        owner.adapter_slots.drop(key(1))
        engine.load(key(2), 1)
        owner.adapter_slots.begin(key(2))


@then('the engine is not ordered to load it again')
def check_not_reloaded(context: Context) -> None:
    time.sleep(0.2)
    assert key(1) not in context.engine.held, context.engine.held
    assert context.engine.max_held == 2


@given(
    'an engine of {count:d} adapter slots that answers polls of loads after {poll_s:f} s'
)
def start_slow_engine(context: Context, count: int, poll_s: float) -> None:
    context.engine = FakeEngine({}, poll_s)
    loaders = context.stack.enter_context(ThreadPoolExecutor(8))
    context.owner = make_owner(context.engine, count, loaders)


@when('requests for {count:d} adapters come one after the other')
def request_in_turn(context: Context, count: int) -> None:
    callers = context.stack.enter_context(ThreadPoolExecutor(count))
    for number in range(count):
        callers.submit(context.owner.load_and_pin, key(number), 1, time.monotonic() + 5)
        time.sleep(0.05)


@then('all loads have begun')
def check_all_begun(context: Context) -> None:
    held = sorted(str(adapter) for adapter in context.engine.held)
    assert len(held) == MAX_CONCURRENT_LOADS, held


@given('an engine of 1 adapter slot that a request uses')
def use_only_slot(context: Context) -> None:
    context.engine = FakeEngine({key(0): 1})
    loaders = context.stack.enter_context(ThreadPoolExecutor(4))
    context.owner = make_owner(context.engine, 1, loaders)
    context.owner.record_use('daemon', frozenset((key(0),)))


@when('its request has ended and the next one waits for another adapter')
def wait_for_slot(context: Context) -> None:
    owner = context.owner
    owner.load_and_pin(key(0), 1, time.monotonic())
    owner.record_use('daemon', frozenset())
    began_at = time.monotonic()
    owner.load_and_pin(key(1), 1, began_at + 5)
    context.waited_ms = int((time.monotonic() - began_at) * _MS_PER_S)


@then('that is loaded as soon as the first one is no longer pinned')
def check_waited(context: Context) -> None:
    assert context.waited_ms < _MAX_FIRST_TOKEN_MS, context.waited_ms


@given(
    'an engine of {count:d} adapter slots'
    ' of which {popular:d} hold adapters that were requested lately'
)
def fill_engine(context: Context, count: int, popular: int) -> None:
    context.engine = FakeEngine({key(number): 1 for number in range(count)})
    loaders = context.stack.enter_context(ThreadPoolExecutor(4))
    context.owner = make_owner(context.engine, count, loaders)
    context.popular = {key(number) for number in range(popular)}
    for adapter in context.popular:
        context.owner.load_and_pin(adapter, 1, time.monotonic())


@when('{count:d} adapters of another engine are prepared there one after the other')
def prepare_adapters(context: Context, count: int) -> None:
    time.sleep(2 * PIN_S)
    for number in range(count):
        with suppress(UnavailableError):
            context.owner.prepare(key(10 + number), 1)
        time.sleep(2 * PIN_S)


@then('one is loaded and the popular ones stay')
def check_prepared(context: Context) -> None:
    assert context.engine.held.keys() == context.popular | {key(10)}
    assert context.engine.max_held == 3
