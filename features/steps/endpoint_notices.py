"""Steps on endpoints whose responses say that they leave or want no requests."""

from __future__ import annotations

import sys
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from behave import given, then, when
from behave.runner import Context
from hypothesis import given as generated
from hypothesis import settings
from hypothesis import strategies as st

sys.path.append(str(Path(__file__).resolve().parent.parent))
from entry_fleet import wait_for  # noqa: E402

from pimentohoist.platform import decode_notice  # noqa: E402

_ADAPTERS = ('a1', 'a2', 'a3', 'a4')
_REQUEST_INTERVAL_S = 0.05
_STRAY_S = 0.5
_MAX_STRAYS = 2
_SHORT_LOAD_S = 0.05
_MAX_JITTERED_RETURN_S = 4


@given('adapters that both engines serve')
def load_adapters(context: Context) -> None:
    for daemon in range(2):
        for adapter in _ADAPTERS:
            response = context.fleet.send_request(adapter=adapter, daemon=daemon)
            assert response.status == 200
    assert all(engine.state.executed_requests for engine in context.fleet.engines)


@when('one engine says in a response to the first daemon that it leaves')
def announce_leave(context: Context) -> None:
    context.leaving = context.fleet.engines[0]
    context.leaving.faults.is_leaving = True
    served = len(context.leaving.state.executed_requests)
    for adapter in _ADAPTERS:
        assert context.fleet.send_request(adapter=adapter).status == 200
    assert len(context.leaving.state.executed_requests) > served


@then(
    '{delay:d} s later neither daemon sends requests to that engine'
    ' or loads adapters there'
)
def check_left(context: Context, delay: int) -> None:
    time.sleep(delay)
    state = context.leaving.state
    before = len(state.arrivals), state.loads.total()
    for number in range(12):
        adapter = f'b{number}' if number % 3 else 'a1'
        response = context.fleet.send_request(adapter=adapter, daemon=number % 2)
        assert response.status == 200, response
    assert (len(state.arrivals), state.loads.total()) == before


@when('the store says that one engine leaves')
def announce_leave_by_store(context: Context) -> None:
    context.leaving, context.staying = context.fleet.engines
    context.moved = set(context.leaving.state.adapters)
    assert context.moved
    entry = context.leaving.entry('models', 'draining')
    context.fleet.store.put('keyed.servers', context.leaving.engine_id, entry)


@then(
    'its adapters are loaded at the other engine within {limit:d} s without a request'
)
def check_loaded_elsewhere(context: Context, limit: int) -> None:
    state = context.staying.state
    wait_for(lambda: context.moved <= state.adapters.keys(), limit)


@then('requests for all adapters are served there without another load')
def check_served_without_load(context: Context) -> None:
    state = context.staying.state
    time.sleep(_SHORT_LOAD_S)
    loads = state.loads.total()
    for adapter in _ADAPTERS:
        assert context.fleet.send_request(adapter=adapter).status == 200
    assert state.loads.total() == loads
    assert not state.is_overloaded


@when(
    'the ledger asks for no requests for {duration:d} s'
    ' while callers send 20 requests a second'
)
def ask_for_quiet(context: Context, duration: int) -> None:
    ledger = context.fleet.ledger
    ledger.faults.quiet_s = duration
    context.duration = duration
    with ThreadPoolExecutor(8) as callers:
        sent = []
        for _ in range(20):
            sent.append(callers.submit(context.fleet.send_request, '/look/x'))
            time.sleep(_REQUEST_INTERVAL_S)
            if ledger.state.arrivals:
                ledger.faults.quiet_s = None
        context.statuses = {call.result().status for call in sent}
    context.refused_at = ledger.state.arrivals[0]


@then('all callers are served and at most 2 requests reach it until the time is over')
def check_quiet(context: Context) -> None:
    assert context.statuses == {200}, context.statuses
    end = context.refused_at + context.duration
    while time.monotonic() < end:
        assert context.fleet.send_request('/look/x').status == 200
    strays = [
        arrival
        for arrival in context.fleet.ledger.state.arrivals
        if context.refused_at + _STRAY_S < arrival < end
    ]
    assert len(strays) <= _MAX_STRAYS, strays


@then('it gets requests again within {limit:d} s of that time')
def check_return(context: Context, limit: int) -> None:
    end = context.refused_at + context.duration

    def is_back() -> bool:
        context.fleet.send_request('/look/x')
        return context.fleet.ledger.state.arrivals[-1] > end

    time.sleep(max(0, end - time.monotonic()))
    wait_for(is_back, limit)


@when(
    'a load takes {load:f} s and the engine asks for no requests for {duration:d} s'
    ' meanwhile'
)
def ask_for_quiet_while_loading(context: Context, load: float, duration: int) -> None:
    engine = context.fleet.engines[0]
    assert context.fleet.send_request(adapter='a1').status == 200
    engine.faults.load_s = load
    context.duration = duration
    with ThreadPoolExecutor(1) as caller:
        caller.submit(context.fleet.send_request, adapter='a2')
        wait_for(lambda: engine.state.loads['a2'] > 0, 3)
        engine.faults.quiet_s = duration
        context.refused_at = time.monotonic()
        assert context.fleet.send_request(adapter='a1').status == 503
        engine.faults.quiet_s = None
    engine.faults.load_s = _SHORT_LOAD_S


@then('at most {count:d} orders reach it until the time is over')
def check_no_orders(context: Context, count: int) -> None:
    end = context.refused_at + context.duration
    time.sleep(max(0, end - time.monotonic()))
    strays = [
        arrival
        for arrival in context.fleet.engines[0].state.order_arrivals
        if context.refused_at + _STRAY_S < arrival < end
    ]
    assert len(strays) <= count, strays


@then('a stream with another adapter is served within {limit:d} s of that time')
def check_load_after_quiet(context: Context, limit: int) -> None:
    wait_for(lambda: context.fleet.send_request(adapter='a3').status == 200, limit)


@when('the only ledger asks for no requests for {duration:d} s')
def silence_only_ledger(context: Context, duration: int) -> None:
    context.fleet.ledger.faults.quiet_s = duration
    context.duration = duration
    assert context.fleet.send_request('/look/x').status == 503


@then(
    'the next request is refused within {limit:f} s'
    ' and told to return when it wants requests'
)
def check_refused(context: Context, limit: float) -> None:
    arrived = len(context.fleet.ledger.state.arrivals)
    sent_at = time.monotonic()
    response = context.fleet.send_request('/look/x')
    assert time.monotonic() - sent_at < limit
    assert response.status == 503, response
    retry_after_s = float(response.headers['Retry-After'])
    assert context.duration - limit < retry_after_s < _MAX_JITTERED_RETURN_S
    assert len(context.fleet.ledger.state.arrivals) == arrived


@then(
    'generated header values are read without an error and ask for {limit:d} s at most'
)
def check_header_values(context: Context, limit: int) -> None:
    texts = st.one_of(
        st.text(max_size=30), st.integers().map(str), st.floats().map(str)
    )

    @settings(max_examples=300, deadline=None)
    @generated(texts, texts)
    def check(leaving: str, retry_after: str) -> None:
        headers = {'Server-Leaving': leaving, 'Retry-After': retry_after}
        notice = decode_notice('engine', 503, headers)
        assert notice.is_leaving == (leaving == '1')
        assert notice.quiet_s is None or 0 < notice.quiet_s <= limit

    check()
