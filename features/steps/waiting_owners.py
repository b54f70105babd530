"""Steps on owners of engines that serve waiting requests."""

from __future__ import annotations

import sys
import time
from collections import Counter
from concurrent.futures import Future, ThreadPoolExecutor
from pathlib import Path
from types import SimpleNamespace
from typing import Any

from behave import given, then, when
from behave.runner import Context

sys.path.append(str(Path(__file__).resolve().parent.parent))
from entry_engine import key  # noqa: E402

from pimentohoist._decisions.adapter_slots import PIN_S  # noqa: E402
from pimentohoist._decisions.waiting_order import (  # noqa: E402
    MIDDLE_PRIORITY,
    ExpectedWork,
    RefusalReason,
    RequestNeeds,
)
from pimentohoist._entry.adapter_queue import (  # noqa: E402
    AdapterQueue,
    default_needs,
)
from pimentohoist._entry.hold_messages import (  # noqa: E402
    decode_needs,
    decode_refusal,
    encode_needs,
    encode_refusal,
)
from pimentohoist._entry.owned_engines import OwnedEnginesController  # noqa: E402
from pimentohoist._generated import peer_pb2  # noqa: E402
from pimentohoist.entry_models import AdapterKey  # noqa: E402
from pimentohoist.exceptions import (  # noqa: E402
    NotOwnerError,
    UnavailableError,
    WaitRefusedError,
)

_FORMER_CALL = b'\n\x06engine\x12\x01m\x1a\x06urgent"\x01d(\x010\xc8\x01'
"""A call of the former release that waits for 200 ms, as sent."""

_FORMER_REFUSAL = b'\n\x16adapter not loaded yet'


class _FakeLoads:
    """Test double of an owner's loads: each takes a slot until it is freed."""

    def __init__(self) -> None:
        self.free = 0
        self.begun: list[AdapterKey] = []

    def is_loaded_or_loading(self, adapter: AdapterKey) -> bool:
        return adapter in self.begun

    def begin_load(self, adapter: AdapterKey, version: int) -> bool:
        if self.free <= 0 or adapter in self.begun:
            return False
        self.free -= 1
        self.begun.append(adapter)
        return True


def _needs(kind: str, now: float) -> RequestNeeds:
    urgent = RequestNeeds(0, now + 0.5, now + 6)
    return {
        'urgent': urgent,
        'unhurried': RequestNeeds(1, now + 1, now + 25),
        'late': RequestNeeds(0, now - 1, now + 5),
    }[kind]


def _adapter(kind: str) -> AdapterKey:
    return AdapterKey('m', kind)


def _start(context: Context, waiting: list[tuple[str, AdapterKey]]) -> None:
    context.loads = _FakeLoads()
    context.queue = AdapterQueue(context.loads)
    context.waiters = [
        context.queue.add(adapter, 1, _needs(kind, 0), 0) for kind, adapter in waiting
    ]


@given(
    'an engine of 1 adapter slot in use, for which an unhurried, a late and an urgent'
    ' request wait'
)
def wait_all_kinds(context: Context) -> None:
    kinds = ('unhurried', 'late', 'urgent')
    _start(context, [(kind, _adapter(kind)) for kind in kinds])


@given('an engine of 1 adapter slot in use, for which an urgent request waits')
def wait_urgent(context: Context) -> None:
    _start(context, [('urgent', _adapter('urgent'))])


@given(
    'an engine of 2 adapter slots in use, for which {count:d} requests for one adapter'
    ' and an unhurried one wait'
)
def wait_same(context: Context, count: int) -> None:
    same = [('urgent', _adapter('urgent')) for _ in range(count)]
    _start(context, [*same, ('unhurried', _adapter('unhurried'))])


@given('an engine of 1 adapter slot in use, for which {count:d} {kind} requests wait')
def wait_many(context: Context, count: int, kind: str) -> None:
    _start(context, [(kind, key(number)) for number in range(count)])


@when("an urgent request comes that doesn't wait")
def probe_queue(context: Context) -> None:
    needs = _needs('urgent', 0)
    waiter = context.queue.add(key(99), 1, needs, 0, is_probe=True)
    context.queue.remove(waiter, 0)
    context.queue.serve(0)


@then('none of the others is refused')
def check_kept(context: Context) -> None:
    assert not any(waiter.refusal for waiter in context.waiters)


@when('the slot becomes free {count:d} times')
def free_slots(context: Context, count: int) -> None:
    for turn in range(count):
        context.loads.free += 1
        context.queue.serve(turn / 100)


@when("the slot becomes free as an unhurried request comes that doesn't wait")
def free_for_newcomer(context: Context) -> None:
    context.loads.free += 1
    needs = _needs('unhurried', 0)
    waiter = context.queue.add(_adapter('unhurried'), 1, needs, 0, is_probe=True)
    context.queue.remove(waiter, 0)


@then('the adapters are loaded in the order {names}')
def check_order(context: Context, names: str) -> None:
    assert context.loads.begun == [_adapter(name) for name in names.split(', ')]


@then('one load begins for each adapter')
def check_same(context: Context) -> None:
    assert sorted(map(str, context.loads.begun)) == ['m/unhurried', 'm/urgent']


@then('{count:d} of them are refused since the queue is full')
def check_full(context: Context, count: int) -> None:
    reasons = Counter(waiter.refusal for waiter in context.waiters)
    assert reasons[RefusalReason.FULL] == count, reasons
    assert reasons[None] == len(context.waiters) - count, reasons


@given('an engine whose slots became free each {turn_s:f} s while requests waited')
def measure_pace(context: Context, turn_s: float) -> None:
    _start(context, [('urgent', key(number)) for number in range(10)])
    for turn, waiter in enumerate(context.waiters, 1):
        context.loads.free += 1
        context.queue.serve(turn * turn_s)
        context.queue.remove(waiter, turn * turn_s)


@when("{count:d} minutes pass in each of which one request comes and needn't wait")
def idle_minutes(context: Context, count: int) -> None:
    for minute in range(1, count + 1):
        now = minute * 60
        probe = context.queue.add(key(50), 1, _needs('urgent', now), now, is_probe=True)
        context.queue.remove(probe, now)
        context.loads.free += 1
        adapter = key(100 + minute)
        served = context.queue.add(adapter, 1, _needs('urgent', now + 59), now + 59)
        context.queue.remove(served, now + 59)


@then('the expected wait of the next one is still {wait_s:f} s')
def check_pace(context: Context, wait_s: float) -> None:
    waiter = context.queue.add(key(52), 1, _needs('urgent', 999), 999)
    assert round(context.queue.wait_s(waiter), 3) == wait_s


def _wait_for(context: Context, kind: str) -> Future[int]:
    callers = context.stack.enter_context(ThreadPoolExecutor(1))
    now = time.monotonic()
    return callers.submit(
        context.owner.load_and_pin, _adapter(kind), 1, now + 5, needs=_needs(kind, now)
    )


def _await_queue(context: Context, count: int) -> None:
    while len(context.owner.queue) < count:
        time.sleep(0.001)


@when('an unhurried and then an urgent request wait and the slot becomes free')
def wait_two(context: Context) -> None:
    context.waits = [_wait_for(context, kind) for kind in ('unhurried', 'urgent')]
    _await_queue(context, 2)
    context.owner.record_use('daemon', frozenset())


@then('the urgent one gets its adapter first and the unhurried one afterwards')
def check_two(context: Context) -> None:
    unhurried, urgent = context.waits
    assert urgent.result(timeout=5) == 1
    assert not unhurried.done()
    context.owner.record_use('daemon', frozenset())
    assert unhurried.result(timeout=5) == 1


@then('a request whose deadline its prompt alone would miss is refused at once')
def check_missed(context: Context) -> None:
    now = time.monotonic()
    needs = RequestNeeds(0, now + 0.5, now + 4, ExpectedWork(800_000))
    try:
        context.owner.load_and_pin(key(5), 1, now + 60, needs=needs)
    except WaitRefusedError as error:
        assert error.reason == RefusalReason.DEADLINE
    else:
        raise AssertionError('not refused')


@when('the ownership ends while an urgent request waits')
def end_ownership(context: Context) -> None:
    context.wait = _wait_for(context, 'urgent')
    _await_queue(context, 1)
    context.engine.may_order = lambda: False
    context.owner.record_use('daemon', frozenset())


@then('the request is refused at once as not run, and another owner may be asked')
def check_ended(context: Context) -> None:
    error = context.wait.exception(timeout=2)
    assert isinstance(error, NotOwnerError), error
    assert error.run_state == 'not_run'


@then(
    'a call without the new fields counts as one of middle priority until the end of its'
    ' wait'
)
def check_former_call(context: Context) -> None:
    former = peer_pb2.HoldRequest(endpoint='e', wait_ms=500)
    assert decode_needs(former, 10) is None
    assert default_needs(10.5, 10) == RequestNeeds(MIDDLE_PRIORITY, 10.5, 10.5)


@then('a call with them reads the same at an owner that knows them')
def check_new_call(context: Context) -> None:
    needs = RequestNeeds(0, 99.5, 106, ExpectedWork(646, 70), 'w', 9)
    request = peer_pb2.HoldRequest(endpoint='e', wait_ms=500)
    encode_needs(needs, 100, request)
    assert decode_needs(request, 100) == needs


@then('a refusal without the new fields is no reason to give up')
def check_former_reply(context: Context) -> None:
    error = decode_refusal(peer_pb2.HoldReply(refusal='not loaded in time'), 'a')
    assert isinstance(error, UnavailableError)
    assert not isinstance(error, (WaitRefusedError, NotOwnerError))
    assert error.retry_after_s is None


@then('a refusal with them tells the wait, and whether waiting is useless')
def check_new_reply(context: Context) -> None:
    refused = WaitRefusedError('refused', step='s', retry_after_s=0.25, reason='queue')
    others = (UnavailableError, NotOwnerError)
    for sent in (refused, *(kind('refused', step='s') for kind in others)):
        kind = type(sent)
        reply = encode_refusal(sent)
        assert reply.refusal == 'refused'
        assert reply.is_no_home == (kind is NotOwnerError)
        read = decode_refusal(reply, 'a')
        assert isinstance(read, kind)
        assert read.retry_after_s == sent.retry_after_s
        assert getattr(read, 'reason', '') == getattr(sent, 'reason', '')


def _controller(peers: Any) -> OwnedEnginesController:
    """Return a daemon's engines, of which another daemon owns all that it lacks."""
    declarations: Any = SimpleNamespace(version_of=lambda adapter: 1)
    endpoints: Any = SimpleNamespace(may_get_work=lambda endpoint: True)
    members: Any = SimpleNamespace(on_heartbeat=[], member='d1')
    ownership: Any = SimpleNamespace(
        on_change=[], owner_address=lambda endpoint_id: 'd2'
    )
    return OwnedEnginesController(declarations, endpoints, members, ownership, peers)


def _former_call(context: Context) -> peer_pb2.HoldReply:
    controller = _controller(None)
    controller.engines['engine'] = context.owner
    request = peer_pb2.HoldRequest.FromString(_FORMER_CALL)
    reply = controller.peer_methods()['HoldAdapter'](request)
    return peer_pb2.HoldReply.FromString(reply.SerializeToString())


@when(
    'a daemon of the former release asks its owner to wait {wait_s:f} s for an adapter'
)
def call_as_former(context: Context, wait_s: float) -> None:
    began_at = time.monotonic()
    context.reply = _former_call(context)
    context.waited_s = time.monotonic() - began_at
    assert context.waited_s >= wait_s


@then('the reply is a refusal that the former release reads as one after the wait')
def check_former_refusal(context: Context) -> None:
    assert context.reply.refusal
    assert not context.reply.is_no_home
    assert not context.reply.version


@then('once the slot is free the next such call gets version {version:d}')
def check_former_version(context: Context, version: int) -> None:
    context.owner.record_use('daemon', frozenset())
    time.sleep(2 * PIN_S)
    reply = _former_call(context)
    assert reply.version == version, reply
    assert not reply.refusal


@given("an owner of the former release that doesn't load the adapter in time")
def former_owner(context: Context) -> None:
    context.calls = []

    def call(address: str, method: str, request: Any, timeout_s: float) -> Any:
        context.calls.append(request)
        return peer_pb2.HoldReply.FromString(_FORMER_REFUSAL)

    context.controller = _controller(SimpleNamespace(call=call))


@then('a call with the new fields is refused, and the wait is unknown')
def check_former_owner(context: Context) -> None:
    needs = _needs('urgent', time.monotonic())
    try:
        context.controller.load_and_pin('engine', key(1), 0.2, needs=needs)
    except UnavailableError as error:
        assert not isinstance(error, (WaitRefusedError, NotOwnerError))
        assert error.retry_after_s is None
    else:
        raise AssertionError('not refused')
    assert context.calls[0].wait_ms == 200
    assert context.calls[0].HasField('priority')
