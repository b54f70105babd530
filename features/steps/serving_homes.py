"""Steps on the homes of endpoints, with separate processes."""

from __future__ import annotations

import itertools
import json
import signal
import time
from collections import Counter
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import replace
from typing import Any

from behave import given, then, when
from behave.runner import Context
from callers import WAIT_S, Caller, expected_text, streamed_text, wait_for
from callers import runs as all_runs

from pimentohoist._http_client import HttpReply, HttpRequest
from pimentohoist._platform.log import HttpLog
from pimentohoist._view_fold import rank_names
from pimentohoist.configuration import (
    Adapter,
    Configuration,
    Endpoint,
    EndpointGroup,
    GroupKind,
    StoreBudget,
    Workspace,
)
from pimentohoist.keys import create_key
from pimentohoist_standins.fleet import Fleet

_PROMPT = 'Which lots wait for release?'
_LOADS_PER_S = 20
_KNEE_REQUESTS = 8
_TIMEOUT_S = 10
_TOKENS = 4
_CALLERS = 8
_WARM = 'warm@1'


@given(
    'a serving fleet of {daemons:d} daemons with {engines:d} engines of {slots:d} slots'
    ' and {adapters:d} adapters'
)
@given(
    'a serving fleet of {daemons:d} daemons with {engines:d} engine of {slots:d} slots'
    ' and {adapters:d} adapter'
)
def start_serving(
    context: Context, daemons: int, engines: int, slots: int, adapters: int
) -> None:
    fleet = context.stack.enter_context(Fleet())
    context.fleet = fleet
    context.daemons = [f'entry-{index + 1}' for index in range(daemons)]
    context.engines = [f'engine-{index + 1}' for index in range(engines)]
    context.models = [f'dossier-{index}@1' for index in range(adapters)]
    context.replies, context.streams = [], []
    fleet.control('weights', loads_per_s=_LOADS_PER_S)
    for engine in context.engines:
        fleet.start_standin(
            engine,
            'engine',
            slots=slots,
            token_s=0.02,
            checks_fencing=engine == 'engine-1',
            store_address=fleet.addresses['weights'],
        )
    for daemon in context.daemons:
        fleet.start_daemon(daemon, {'callers': {'timeout_s': _TIMEOUT_S}})
    section, key = create_key('line-1', 'lipstick-house')
    report = fleet.publish(Configuration.of(*sections(context, slots), section))
    assert report.is_in_force, report.text()
    context.caller = Caller(fleet, key)
    context.pool = context.stack.enter_context(ThreadPoolExecutor(24))
    wait_for(lambda: is_ready(context), 'limits and homes are ready')


def is_ready(context: Context) -> bool:
    replies = [complete(context, name, _WARM, 1) for name in context.daemons]
    return all(reply.status == 200 for reply in replies)


def runs(context: Context, engine: str) -> list[dict[str, Any]]:
    """Return what an engine was given to run since the fleet is ready."""
    entries = all_runs(context.fleet, engine)
    return [entry for entry in entries if f'{entry["adapter"]}@1' != _WARM]


def sections(context: Context, slots: int) -> list[Any]:
    endpoints = tuple(
        Endpoint(name, context.fleet.addresses[name], 'a', name == 'engine-1')
        for name in context.engines
    )
    group = EndpointGroup(
        'review', GroupKind.ENGINE, endpoints, 'review-7b', slots, _KNEE_REQUESTS
    )
    adapters = (
        Adapter(model.partition('@')[0], 'review', (1,), 1, ('lipstick-house',))
        for model in (*context.models, _WARM)
    )
    workspace = Workspace('lipstick-house', rate_tokens_per_s=1e6, burst_tokens=10**7)
    store = StoreBudget('weights', loads_per_s=_LOADS_PER_S, loads_at_once=2)
    return [workspace, group, store, *adapters]


def complete(
    context: Context, daemon: str, model: str, tokens: int, **headers: str
) -> HttpReply:
    document = {'model': model, 'prompt': _PROMPT, 'max_tokens': tokens, 'stream': True}
    request = HttpRequest.of_json('POST', '/v1/completions', document)
    request = replace(
        request, headers={**context.caller.headers(), **headers}, is_repeatable=False
    )
    return context.fleet.ask(daemon, request, timeout_s=2 * _TIMEOUT_S)


def first_for(context: Context, model: str) -> str:
    """Return the engine that an adapter's first copy is loaded on."""
    return rank_names(model, context.engines)[0]


def home_of(context: Context, engine: str) -> str:
    homes = [
        daemon
        for daemon in context.daemons
        if context.fleet.processes[daemon].is_running()
        and f'review/{engine}' in context.fleet.state(daemon)['endpoints']['homes']
    ]
    assert len(homes) == 1, homes
    return homes[0]


def others(context: Context, daemon: str) -> list[str]:
    return [name for name in context.daemons if name != daemon]


def submit(context: Context, daemon: str, model: str, tokens: int) -> Future[HttpReply]:
    return context.pool.submit(complete, context, daemon, model, tokens)


def pick(models: list[str], index: int) -> str:
    """Every third request is on one of two adapters, the others go through all."""
    if index % 3 == 0:
        return models[index // 3 % 2]
    return models[7 * index % len(models)]


def send_many(
    context: Context, count: int, tokens: int, models: list[str], through: Any
) -> None:
    daemons = itertools.cycle(through)
    order = [pick(models, index) for index in range(count)]
    with ThreadPoolExecutor(_CALLERS) as pool:
        calls = [
            pool.submit(complete, context, next(daemons), model, tokens)
            for model in order
        ]
    context.replies += [
        (model, tokens, call.result()) for model, call in zip(order, calls, strict=True)
    ]


@when(
    '8 callers send {count:d} completions of {tokens:d} tokens on all adapters'
    ' through all daemons'
)
def send_through_all(context: Context, count: int, tokens: int) -> None:
    send_many(context, count, tokens, context.models, context.daemons)


@when(
    '8 callers send {count:d} completions of {tokens:d} tokens on {models:d} adapters'
    ' through all daemons'
)
def send_some(context: Context, count: int, tokens: int, models: int) -> None:
    send_many(context, count, tokens, context.models[:models], context.daemons)


@when(
    '8 callers send {count:d} completions of {tokens:d} tokens on all adapters'
    ' through the other daemons'
)
def send_through_others(context: Context, count: int, tokens: int) -> None:
    # A new home sees no other request on the streams' adapters: only pins keep them.
    in_use = {model for model, _, _ in context.streams}
    models = [model for model in context.models if model not in in_use]
    send_many(context, count, tokens, models, context.others)


@then('every answer is whole or said to be not run')
def check_answers(context: Context) -> int:
    refused = []
    for model, tokens, reply in context.replies:
        if reply.status == 200:
            assert streamed_text(reply) == expected_text(_PROMPT, model, tokens)
        else:
            refused.append(reply)
            assert reply.document()['error']['run'] == 'not_run', reply
    assert len(refused) < len(context.replies), refused[0]
    return len(refused)


@then(
    'every answer is whole or said to be not run, and at most {most:d} of 100 are not run'
)
def check_most_answers(context: Context, most: int) -> None:
    check_answers(context)
    # Limits have tests of their own; here it is the endpoints that refuse.
    reasons = Counter(reply.body for _, _, reply in context.replies)
    refused = sum(reply.status == 503 for _, _, reply in context.replies)
    assert refused * 100 <= most * len(context.replies), reasons


@then('no engine has evicted an adapter in use')
def check_violations(context: Context) -> None:
    for engine in context.engines:
        request = HttpRequest.of_json('GET', '/v1/violations')
        document = context.fleet.ask(engine, request).document()
        assert not document['violations'], (engine, document)


@then('the weight store had at most {most:d} loads at once')
def check_store(context: Context, most: int) -> None:
    request = HttpRequest.of_json('GET', '/weights/dossier-0/1')
    document = context.fleet.ask('weights', request).document()
    assert 1 <= document['most_in_flight'] <= most, document


@given(
    '3 streams of {tokens:d} tokens run on each engine through daemons that are not its home'
)
def start_pinned_streams(context: Context, tokens: int) -> None:
    for engine in context.engines:
        model = next(
            model for model in context.models if first_for(context, model) == engine
        )
        assert complete(context, 'entry-1', model, 1).status == 200
        for daemon in itertools.islice(
            itertools.cycle(others(context, home_of(context, engine))), 3
        ):
            if daemon != home_of(context, 'engine-1'):
                future = submit(context, daemon, model, tokens)
                context.streams.append((model, tokens, future))
    wait_for(
        lambda: (
            sum(len(runs(context, name)) for name in context.engines)
            == len(context.streams) + len(context.engines)
        ),
        'all streams run',
    )


def expire(context: Context, daemon: str) -> None:
    """Append the record that a member writes once it has lost sight of another."""
    incarnation = context.fleet.state(context.others[0])['view']['members']
    gone = next(
        member['incarnation']
        for member in incarnation
        if member['callers_address'] == context.fleet.addresses[daemon]
    )
    record = {'kind': 'expire', 'incarnation': gone, 'reporter': 'test'}
    log = HttpLog(context.fleet.addresses['log'], timeout_s=5)
    log.append('view', [json.dumps(record).encode()])
    wait_for(
        lambda: all(
            gone not in json.dumps(context.fleet.state(name)['view']['members'])
            for name in context.others
        ),
        'the member is out of the view',
    )


@when('the home of "{engine}" is killed and its membership expires')
def kill_home(context: Context, engine: str) -> None:
    home = home_of(context, engine)
    context.others = others(context, home)
    context.fleet.processes[home].kill()
    expire(context, home)


def has_taken_over(context: Context, engine: str) -> bool:
    """Ask for an adapter of the engine, so that its next home takes over."""
    model = next(
        model for model in context.models if first_for(context, model) == engine
    )
    reply = complete(context, context.others[0], model, _TOKENS)
    context.replies.append((model, _TOKENS, reply))
    states = (
        context.fleet.state(daemon)['endpoints']['homes'].get(f'review/{engine}')
        for daemon in context.others
    )
    return any(state is not None and state['is_verified'] for state in states)


@when('the home of "{engine}" freezes, its membership expires and it thaws')
def freeze_home(context: Context, engine: str) -> None:
    home = home_of(context, engine)
    context.others = others(context, home)
    context.old_epoch = context.fleet.state(home)['view']['epoch']
    context.fleet.processes[home].signal(signal.SIGSTOP)
    expire(context, home)
    wait_for(lambda: has_taken_over(context, engine), 'the next home has taken over')
    context.fleet.processes[home].signal(signal.SIGCONT)


@when('old orders to evict each idle adapter arrive late at both engines')
def send_late_orders(context: Context) -> None:
    in_use = {model for model, _, _ in context.streams}
    context.late = {}
    for engine in context.engines:
        statuses = []
        for model in set(context.models) - in_use:
            order = {'lora_name': model, 'fencing_number': context.old_epoch}
            request = HttpRequest.of_json('POST', '/v1/unload_lora_adapter', order)
            statuses.append(context.fleet.ask(engine, request).status)
        context.late[engine] = set(statuses)


@then(
    'the engine that checks fencing has refused the old orders, the other carried them out'
)
def check_late_orders(context: Context) -> None:
    assert context.late == {'engine-1': {409}, 'engine-2': {200}}, context.late


@then('the running streams end whole')
def check_streams_end(context: Context) -> None:
    assert len(context.streams) >= 3
    for model, tokens, future in context.streams:
        text = streamed_text(future.result(2 * WAIT_S))
        assert text == expected_text(_PROMPT, model, tokens)


@when('{count:d} loads fail on the engine that comes first for an adapter')
def fail_first(context: Context, count: int) -> None:
    context.model = context.models[0]
    context.fleet.control(first_for(context, context.model), fail_loads=count)


@then('a completion on it ends whole on the other engine')
def check_elsewhere(context: Context) -> None:
    reply = complete(context, 'entry-1', context.model, _TOKENS)
    assert streamed_text(reply) == expected_text(_PROMPT, context.model, _TOKENS)
    assert not runs(context, first_for(context, context.model))


@when('{count:d} loads fail on every engine')
def fail_all(context: Context, count: int) -> None:
    for engine in context.engines:
        context.fleet.control(engine, fail_loads=count)


@then('a completion on a cold adapter is refused as not run with a time to come back')
def check_refused_load(context: Context) -> None:
    context.model = context.models[1]
    reply = complete(context, 'entry-1', context.model, _TOKENS)
    assert reply.status == 503, reply
    error = reply.document()['error']
    assert error['run'] == 'not_run', error
    assert error['retry_after_s'] > 0, error


@when('loads no longer fail')
def heal_loads(context: Context) -> None:
    for engine in context.engines:
        context.fleet.control(engine, fail_loads=0)


@then('the completion ends whole within {limit_s:d} s')
def check_healed(context: Context, limit_s: int) -> None:
    give_up_at = time.monotonic() + limit_s
    reply = complete(context, 'entry-1', context.model, _TOKENS)
    while reply.status != 200:
        assert time.monotonic() < give_up_at, reply
        time.sleep(0.2)
        reply = complete(context, 'entry-1', context.model, _TOKENS)
    assert streamed_text(reply) == expected_text(_PROMPT, context.model, _TOKENS)


@when('every serving engine restarts cold')
def restart_cold(context: Context) -> None:
    for engine in context.engines:
        context.fleet.control(engine, restart_cold=True)


@given('an entry daemon that is not the home holds every place of the engine for 6 s')
def hold_places(context: Context) -> None:
    assert complete(context, 'entry-1', context.models[0], 1).status == 200
    home = home_of(context, 'engine-1')
    context.home, context.entry = home, others(context, home)[0]
    for _ in range(_KNEE_REQUESTS):
        submit(context, context.entry, context.models[0], 300)
    wait_for(
        lambda: len(runs(context, 'engine-1')) == _KNEE_REQUESTS + 1,
        'every place is taken',
    )


@when('that entry daemon is killed')
def kill_entry(context: Context) -> None:
    context.fleet.processes[context.entry].kill()
    context.killed_at = time.monotonic()


@then('a completion through the home ends whole within {limit_s:d} s')
def check_not_leaked(context: Context, limit_s: int) -> None:
    reply = complete(context, context.home, context.models[0], _TOKENS)
    while reply.status != 200:
        assert time.monotonic() - context.killed_at < limit_s, reply
        reply = complete(context, context.home, context.models[0], _TOKENS)
    text = expected_text(_PROMPT, context.models[0], _TOKENS)
    assert streamed_text(reply) == text


@given(
    'every place was held for {held_s:d} s, is held again, and {waiting:d} more wait'
)
def hold_again(context: Context, held_s: int, waiting: int) -> None:
    assert complete(context, 'entry-1', context.models[0], 1).status == 200
    context.home = home_of(context, 'engine-1')
    tokens = held_s * 50
    first = [
        submit(context, context.home, context.models[0], tokens)
        for _ in range(_KNEE_REQUESTS)
    ]
    assert all(call.result().status == 200 for call in first)
    for _ in range(_KNEE_REQUESTS + waiting):
        submit(context, context.home, context.models[0], tokens)
    wait_for(
        lambda: (
            context.fleet.state(context.home)['endpoints']['homes']['review/engine-1'][
                'waiting'
            ]
            == waiting
        ),
        'the others wait',
    )


@then('a completion with 1 s left is refused as not run within half a second')
def check_deadline(context: Context) -> None:
    asked_at = time.monotonic()
    headers = {'X-Request-Timeout-S': '1'}
    reply = complete(context, context.home, context.models[0], _TOKENS, **headers)
    took_s = time.monotonic() - asked_at
    assert reply.status == 503, reply
    error = reply.document()['error']
    assert (error['code'], error['run']) == ('deadline_unreachable', 'not_run'), error
    assert error['retry_after_s'] > 0, error
    assert 2 * took_s < 1, took_s
