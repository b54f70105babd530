"""Steps on requests that wait for adapters, and on loads under way."""

from __future__ import annotations

import sys
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from behave import given, then, when
from behave.runner import Context

sys.path.append(str(Path(__file__).resolve().parent.parent))
from entry_engine import OrderedEngine, home_of  # noqa: E402

from pimentohoist._decisions.adapter_places import (  # noqa: E402
    GRANT_KEPT_S,
    MOST_ON_THEIR_WAY,
)
from pimentohoist._decisions.waiting import WaitingRequests  # noqa: E402
from pimentohoist.entry_models import AdapterKey  # noqa: E402

_WAITING = ((1, 10.0), (2, 11.0), (2, 12.0), (3, 9.0))
"""Numbers of adapters, and when their requests give up."""


def key(number: int) -> AdapterKey:
    return AdapterKey('m', f'a{number}')


@given('an engine of 2 places that has loaded an adapter, of which its home asks again')
def begin_load(context: Context) -> None:
    context.engine = OrderedEngine({key(0): 1})
    loaders = context.stack.enter_context(ThreadPoolExecutor(4))
    context.home = home_of(context.engine, 2, loaders)
    loaders.submit(context.home.hold, key(1), 1, time.monotonic() + 5)
    while key(1) not in context.engine.held:
        time.sleep(0.001)


@when('a report shows the adapter and it is evicted before the question is sent')
def evict_before_question(context: Context) -> None:
    home, engine = context.home, context.engine
    with engine.lock:
        engine.resync(home.take_report)
        time.sleep(2 * GRANT_KEPT_S)
        home.places.in_use['daemon'] = frozenset((key(0),))
        plan = home.places.plan(key(2), 1, time.monotonic() + GRANT_KEPT_S)
        assert plan is not None
        assert plan.victim == key(1)
        engine.unload(key(1))
        home.places.drop(key(1))
        engine.load(key(2), 1)
        home.places.begin(key(2))


@then('the engine is not asked to load it again')
def check_not_reloaded(context: Context) -> None:
    time.sleep(0.2)
    assert key(1) not in context.engine.held, context.engine.held
    assert context.engine.most_held == 2


@given(
    'an engine of {count:d} places that answers questions on loads after {poll_s:f} s'
)
def slow_engine(context: Context, count: int, poll_s: float) -> None:
    context.engine = OrderedEngine({}, poll_s)
    loaders = context.stack.enter_context(ThreadPoolExecutor(8))
    context.home = home_of(context.engine, count, loaders)


@when('requests for {count:d} adapters come one after the other')
def ask_in_turn(context: Context, count: int) -> None:
    callers = context.stack.enter_context(ThreadPoolExecutor(count))
    for number in range(count):
        callers.submit(context.home.hold, key(number), 1, time.monotonic() + 5)
        time.sleep(0.05)


@then('all loads have begun')
def check_all_begun(context: Context) -> None:
    held = sorted(str(adapter) for adapter in context.engine.held)
    assert len(held) == MOST_ON_THEIR_WAY, held


@given('requests that wait for adapters of a full engine, two of them for the same')
def wait_for_places(context: Context) -> None:
    context.waiting = WaitingRequests()
    for number, give_up_at in _WAITING:
        context.waiting.join(key(number), give_up_at)


@then('the adapter that two wait for is loaded first, then the one that gives up first')
def check_order(context: Context) -> None:
    waiting = context.waiting
    under_way: set[AdapterKey] = set()
    order = []
    for _ in range(3):
        following = [
            number
            for number in (1, 2, 3)
            if key(number) not in under_way and waiting.is_next(key(number), under_way)
        ]
        assert len(following) == 1, following
        order += following
        under_way.add(key(following[0]))
    assert order == [2, 3, 1]


@then('a request that has just come for another adapter waits for its turn')
def check_newcomer(context: Context) -> None:
    waiting = context.waiting
    assert not waiting.is_next(key(4), ())
    assert waiting.is_next(key(4), {key(1), key(2), key(3)})
    for number, give_up_at in _WAITING:
        waiting.leave(key(number), give_up_at)
    assert not waiting.give_up_times
    assert waiting.is_next(key(4), ())


@given('an engine of 1 place that a request uses')
def use_only_place(context: Context) -> None:
    context.engine = OrderedEngine({key(0): 1})
    loaders = context.stack.enter_context(ThreadPoolExecutor(4))
    context.home = home_of(context.engine, 1, loaders)
    context.home.note_use('daemon', frozenset((key(0),)))


@when('one request waits for an adapter, then two for another, and the place gets free')
def wait_and_free(context: Context) -> None:
    callers = context.stack.enter_context(ThreadPoolExecutor(3))
    context.granted = []

    def ask(number: int) -> None:
        context.home.hold(key(number), 1, time.monotonic() + 5)
        context.granted.append(number)
        context.home.note_use('daemon', frozenset())

    for number in (1, 2, 2):
        callers.submit(ask, number)
        time.sleep(0.02)
    time.sleep(GRANT_KEPT_S)
    context.home.note_use('daemon', frozenset())
    callers.shutdown(wait=True)


@then('both requests for the other adapter are served before the first')
def check_served(context: Context) -> None:
    assert context.granted == [2, 2, 1], context.granted
