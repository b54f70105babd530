"""Steps on the owners of endpoints, with separate processes."""

from __future__ import annotations

import itertools
import json
import signal
import time
from collections import Counter

from behave import given, then, when
from behave.runner import Context
from callers import WAIT_S, expected_text, streamed_text, wait_for
from serving_fleet import (
    KNEE_REQUESTS,
    PROMPT,
    complete,
    first_engine,
    owner_of,
    other_daemons,
    runs,
    send_many,
    start_serving_fleet,
    submit,
)

from pimentohoist._http_connection import HttpRequest
from pimentohoist._platform_clients.log import HttpLog

_TOKENS = 4


@given(
    'a serving fleet of {daemons:d} daemons with {engines:d} engines '
    'of {slots:d} adapter slots and {adapters:d} adapters'
)
@given(
    'a serving fleet of {daemons:d} daemons with {engines:d} engine '
    'of {slots:d} adapter slots and {adapters:d} adapter'
)
def start(
    context: Context, daemons: int, engines: int, slots: int, adapters: int
) -> None:
    start_serving_fleet(context, daemons, engines, slots, adapters)


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
    # The new owner gets no other request for the streams' adapters, so that only pins
    # protect these from eviction.
    in_use = {model for model, _, _ in context.streams}
    models = [model for model in context.models if model not in in_use]
    send_many(context, count, tokens, models, context.others)


@then('every response is complete or refused as not run')
def check_responses(context: Context) -> int:
    refused = []
    for model, tokens, reply in context.replies:
        if reply.status == 200:
            assert streamed_text(reply) == expected_text(PROMPT, model, tokens)
        else:
            refused.append(reply)
            assert reply.document()['error']['run'] == 'not_run', reply
    assert len(refused) < len(context.replies), refused[0]
    return len(refused)


@then(
    'every response is complete or refused as not run, '
    'and at most {max_refused:d} of 100 are refused with 503'
)
def check_few_refused(context: Context, max_refused: int) -> None:
    check_responses(context)
    # Only refusals of endpoints count; limits, which refuse with 429, have own tests.
    reasons = Counter(reply.body for _, _, reply in context.replies)
    refused = sum(reply.status == 503 for _, _, reply in context.replies)
    assert refused * 100 <= max_refused * len(context.replies), reasons


@then('no engine has evicted an adapter in use')
def check_violations(context: Context) -> None:
    for engine in context.engines:
        request = HttpRequest.from_json('GET', '/v1/violations')
        document = context.fleet.request(engine, request).document()
        assert not document['violations'], (engine, document)


@then('the weight store had at most {max_loads:d} loads in flight')
def check_store(context: Context, max_loads: int) -> None:
    request = HttpRequest.from_json('GET', '/weights/dossier-0/1')
    document = context.fleet.request('weights', request).document()
    assert 1 <= document['most_in_flight'] <= max_loads, document


@given(
    '3 streams of {tokens:d} tokens run on each engine '
    'through daemons that are not its owner'
)
def start_pinned_streams(context: Context, tokens: int) -> None:
    for engine in context.engines:
        model = next(
            model for model in context.models if first_engine(context, model) == engine
        )
        assert complete(context, 'entry-1', model, 1).status == 200
        for daemon in itertools.islice(
            itertools.cycle(other_daemons(context, owner_of(context, engine))), 3
        ):
            if daemon != owner_of(context, 'engine-1'):
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
    """Append the record with which a member expires another that doesn't answer."""
    members = context.fleet.state(context.others[0])['view']['members']
    expired = next(
        member['incarnation']
        for member in members
        if member['callers_address'] == context.fleet.addresses[daemon]
    )
    record = {'kind': 'expire', 'incarnation': expired, 'reporter': 'test'}
    log = HttpLog(context.fleet.addresses['log'], timeout_s=5)
    log.append('view', [json.dumps(record).encode()])
    wait_for(
        lambda: all(
            expired not in json.dumps(context.fleet.state(name)['view']['members'])
            for name in context.others
        ),
        'the member is out of the view',
    )


@when('the owner of "{engine}" is killed and its membership expires')
def kill_owner(context: Context, engine: str) -> None:
    owner = owner_of(context, engine)
    context.others = other_daemons(context, owner)
    context.fleet.processes[owner].kill()
    expire(context, owner)


def has_taken_over(context: Context, engine: str) -> bool:
    """Send a completion for the engine; return whether its next owner has taken over."""
    model = next(
        model for model in context.models if first_engine(context, model) == engine
    )
    reply = complete(context, context.others[0], model, _TOKENS)
    context.replies.append((model, _TOKENS, reply))
    states = (
        context.fleet.state(daemon)['endpoints']['homes'].get(f'review/{engine}')
        for daemon in context.others
    )
    return any(state is not None and state['is_verified'] for state in states)


@when('the owner of "{engine}" is frozen, its membership expires and it is thawed')
def freeze_owner(context: Context, engine: str) -> None:
    owner = owner_of(context, engine)
    context.others = other_daemons(context, owner)
    context.old_epoch = context.fleet.state(owner)['view']['epoch']
    context.fleet.processes[owner].signal(signal.SIGSTOP)
    expire(context, owner)
    wait_for(lambda: has_taken_over(context, engine), 'the next owner has taken over')
    context.fleet.processes[owner].signal(signal.SIGCONT)


@when(
    'orders with the old fencing number to evict each idle adapter arrive late at both '
    'engines'
)
def send_late_orders(context: Context) -> None:
    in_use = {model for model, _, _ in context.streams}
    context.late_statuses = {}
    for engine in context.engines:
        statuses = []
        for model in set(context.models) - in_use:
            order = {'lora_name': model, 'fencing_number': context.old_epoch}
            request = HttpRequest.from_json('POST', '/v1/unload_lora_adapter', order)
            statuses.append(context.fleet.request(engine, request).status)
        context.late_statuses[engine] = set(statuses)


@then(
    'the engine that checks fencing numbers has refused the late orders, '
    'the other one has applied them'
)
def check_late_orders(context: Context) -> None:
    assert context.late_statuses == {'engine-1': {409}, 'engine-2': {200}}, (
        context.late_statuses
    )


@then('the running streams complete')
def check_streams_end(context: Context) -> None:
    assert len(context.streams) >= 3
    for model, tokens, future in context.streams:
        text = streamed_text(future.result(2 * WAIT_S))
        assert text == expected_text(PROMPT, model, tokens)


@when('{count:d} loads fail on the engine that ranks first for an adapter')
def fail_first_engine(context: Context, count: int) -> None:
    context.model = context.models[0]
    context.fleet.control(first_engine(context, context.model), fail_loads=count)


@then('a completion with that adapter succeeds on the other engine')
def check_other_engine(context: Context) -> None:
    reply = complete(context, 'entry-1', context.model, _TOKENS)
    assert streamed_text(reply) == expected_text(PROMPT, context.model, _TOKENS)
    assert not runs(context, first_engine(context, context.model))


@when('{count:d} loads fail on every engine')
def fail_all_engines(context: Context, count: int) -> None:
    for engine in context.engines:
        context.fleet.control(engine, fail_loads=count)


@then(
    'a completion with an adapter that is not resident is refused as not run '
    'with a retry delay'
)
def check_refused_load(context: Context) -> None:
    context.model = context.models[1]
    reply = complete(context, 'entry-1', context.model, _TOKENS)
    assert reply.status == 503, reply
    error = reply.document()['error']
    assert error['run'] == 'not_run', error
    assert error['retry_after_s'] > 0, error


@when('loads no longer fail')
def stop_load_failures(context: Context) -> None:
    for engine in context.engines:
        context.fleet.control(engine, fail_loads=0)


@then('the completion succeeds within {limit_s:d} s')
def check_recovered(context: Context, limit_s: int) -> None:
    deadline = time.monotonic() + limit_s
    reply = complete(context, 'entry-1', context.model, _TOKENS)
    while reply.status != 200:
        assert time.monotonic() < deadline, reply
        time.sleep(0.2)
        reply = complete(context, 'entry-1', context.model, _TOKENS)
    assert streamed_text(reply) == expected_text(PROMPT, context.model, _TOKENS)


@when('every serving engine restarts cold')
def restart_cold(context: Context) -> None:
    for engine in context.engines:
        context.fleet.control(engine, restart_cold=True)


@given(
    'an entry daemon that is not the owner holds every request slot of the engine for 6 s'
)
def hold_request_slots(context: Context) -> None:
    assert complete(context, 'entry-1', context.models[0], 1).status == 200
    owner = owner_of(context, 'engine-1')
    context.owner, context.entry = owner, other_daemons(context, owner)[0]
    for _ in range(KNEE_REQUESTS):
        submit(context, context.entry, context.models[0], 300)
    wait_for(
        lambda: len(runs(context, 'engine-1')) == KNEE_REQUESTS + 1,
        'every request slot is taken',
    )


@when('that entry daemon is killed')
def kill_entry(context: Context) -> None:
    context.fleet.processes[context.entry].kill()
    context.killed_at = time.monotonic()


@then('a completion through the owner succeeds within {limit_s:d} s')
def check_slots_released(context: Context, limit_s: int) -> None:
    reply = complete(context, context.owner, context.models[0], _TOKENS)
    while reply.status != 200:
        assert time.monotonic() - context.killed_at < limit_s, reply
        reply = complete(context, context.owner, context.models[0], _TOKENS)
    text = expected_text(PROMPT, context.models[0], _TOKENS)
    assert streamed_text(reply) == text


@given(
    'every request slot was held for {held_s:d} s, is held again, '
    'and {waiting:d} more requests are queued'
)
def hold_slots_again(context: Context, held_s: int, waiting: int) -> None:
    assert complete(context, 'entry-1', context.models[0], 1).status == 200
    context.owner = owner_of(context, 'engine-1')
    tokens = held_s * 50
    first = [
        submit(context, context.owner, context.models[0], tokens)
        for _ in range(KNEE_REQUESTS)
    ]
    assert all(call.result().status == 200 for call in first)
    for _ in range(KNEE_REQUESTS + waiting):
        submit(context, context.owner, context.models[0], tokens)
    wait_for(
        lambda: (
            context.fleet.state(context.owner)['endpoints']['homes']['review/engine-1'][
                'waiting'
            ]
            == waiting
        ),
        'the other requests are queued',
    )


@then('a completion with 1 s left is refused as not run within half a second')
def check_deadline(context: Context) -> None:
    sent_at = time.monotonic()
    headers = {'X-Request-Timeout-S': '1'}
    reply = complete(context, context.owner, context.models[0], _TOKENS, **headers)
    took_s = time.monotonic() - sent_at
    assert reply.status == 503, reply
    error = reply.document()['error']
    assert (error['code'], error['run']) == ('deadline_unreachable', 'not_run'), error
    assert error['retry_after_s'] > 0, error
    assert 2 * took_s < 1, took_s
