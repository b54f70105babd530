"""Steps for regions that a network partition separates."""

from __future__ import annotations

import json
import threading
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from dataclasses import replace
from types import MappingProxyType

from behave import given, then, when
from behave.runner import Context
from callers import wait_for

from pimentohoist._http_connection import HttpRequest, HttpResponse
from pimentohoist._openai import count_tokens
from pimentohoist._platform_clients.log import HttpLog
from pimentohoist._publisher import Publisher
from pimentohoist.configuration import Adapter, Configuration, Workspace
from pimentohoist.exceptions import PimentohoistError
from pimentohoist.keys import create_key
from pimentohoist_standins.demo import demo_sections
from pimentohoist_standins.partition import PartitionableFleet

_REGIONS = 'abc'
_DAEMONS_PER_REGION = 2
_POLL_S = 0.1
_REQUEST_TIMEOUT_S = 5.0
_SETTLE_LIMIT_S = 30.0
_FLOODING_WORKSPACE = Workspace('flood', rate_tokens_per_s=60, burst_tokens=90)
_FLOOD_RATE_FACTOR = 3
_MODELS = MappingProxyType(
    {'line-1': 'batch-summary', 'line-2': 'batch-summary', 'flood': 'of-flood'}
)
_PROMPT = 'one two'
_MAX_TOKENS = 4
_COST_TOKENS = count_tokens(_PROMPT) + _MAX_TOKENS


@given(
    '3 regions of 2 daemons whose network can be partitioned, with endpoints that all reach'
)
def start_regions(context: Context) -> None:
    fleet = context.stack.enter_context(PartitionableFleet(tuple(_REGIONS)))
    context.fleet = fleet
    for engine in ('engine-1', 'engine-2'):
        fleet.start_standin(engine, 'engine', token_s=0.001)
    fleet.start_standin('ledger', 'service')
    for number in range(len(_REGIONS) * _DAEMONS_PER_REGION):
        fleet.start_daemon(f'entry-{number + 1}')
    context.sections = [
        *demo_sections(fleet),
        _FLOODING_WORKSPACE,
        Adapter('of-flood', 'review', (1,), 1, ('flood',)),
    ]
    context.keys = {}
    for name in _MODELS:
        workspace = 'flood' if name == 'flood' else 'lipstick-house'
        section, context.keys[name] = create_key(name, workspace)
        context.sections.append(section)
    report = fleet.publish(Configuration.of(*context.sections))
    assert report.is_in_force, report.text()
    context.published_at = time.monotonic()
    for name in _MODELS:
        wait_for_answers(context, fleet.daemons, name, _SETTLE_LIMIT_S)


def daemons_of(regions: str) -> list[str]:
    numbers = range(len(_REGIONS) * _DAEMONS_PER_REGION)
    return [
        f'entry-{number + 1}'
        for number in numbers
        if _REGIONS[number % len(_REGIONS)] in regions
    ]


def daemons_outside(region: str) -> list[str]:
    return daemons_of(_REGIONS.replace(region, ''))


def send_completion(
    context: Context, daemon: str, key_name: str = 'line-1'
) -> HttpResponse | None:
    """Return the response to a small request, or None if there was none."""
    document = {
        'model': _MODELS[key_name],
        'prompt': _PROMPT,
        'max_tokens': _MAX_TOKENS,
    }
    request = HttpRequest.from_json('POST', '/v1/completions', document)
    return send(context, daemon, key_name, request)


def send(
    context: Context, daemon: str, key_name: str, request: HttpRequest
) -> HttpResponse | None:
    key = context.keys[key_name]
    headers = {
        **request.headers,
        'Authorization': f'Bearer {key}',
        'Idempotency-Key': 'lot-7',
    }
    with suppress(PimentohoistError):
        return context.fleet.request(
            daemon,
            replace(request, headers=headers, is_repeatable=False),
            _REQUEST_TIMEOUT_S,
        )
    return None


def is_answered(context: Context, daemon: str, key_name: str) -> bool:
    response = send_completion(context, daemon, key_name)
    return response is not None and response.status == 200


def wait_for_answers(
    context: Context, daemons: list[str], key_name: str, limit_s: float
) -> None:
    deadline = time.monotonic() + limit_s
    pending = list(daemons)
    while pending:
        pending = [name for name in pending if not is_answered(context, name, key_name)]
        assert time.monotonic() < deadline, (
            pending,
            send_completion(context, pending[0]),
        )
        time.sleep(_POLL_S)


def isolate_region(context: Context, region: str, *other_names: str) -> None:
    inside = daemons_of(region)
    outside = daemons_outside(region)
    context.fleet.cut(inside, [*outside, *other_names])
    context.fleet.cut(outside, inside)
    context.cut_at = time.monotonic()


@when('region "{region}" is cut off from the other regions and the log')
def isolate_region_and_log(context: Context, region: str) -> None:
    isolate_region(context, region, 'log')


@when('the log goes down and a region that owns no engine is cut off')
def isolate_region_without_log(context: Context) -> None:
    context.region = next(
        region for region in _REGIONS if not owned_engines(context, region)
    )
    context.fleet.control('log', is_down=True)
    isolate_region(context, context.region)


def owned_engines(context: Context, region: str) -> list[str]:
    states = map(context.fleet.state, daemons_of(region))
    return [name for state in states for name in state['endpoints']['homes']]


@then(
    'within {limit_s:d} s each daemon of region "{region}" refuses a request with a key as not run'
)
def check_refused(context: Context, limit_s: int, region: str) -> None:
    context.region = region
    check_region_refused(context, limit_s)


@then(
    'within {limit_s:d} s each daemon of that region refuses a request with a key as not run'
)
def check_region_refused(context: Context, limit_s: int) -> None:
    time.sleep(max(0, context.cut_at + limit_s - time.monotonic()))
    for daemon in daemons_of(context.region):
        response = send_completion(context, daemon)
        assert response is not None, daemon
        error = response.document()['error']
        assert response.status == 503 and error['run'] == 'not_run', error
        assert error['step'] == 'authenticate', error


@then(
    'within {limit_s:d} s each daemon of regions "{regions}" answers a request with a key'
)
def check_answered(context: Context, limit_s: int, regions: str) -> None:
    wait_for_answers(context, daemons_of(regions), 'line-1', limit_s)


@then(
    'each other daemon answers a request with a key after {wait_s:d} s without the log, and is fresh'
)
def check_majority(context: Context, wait_s: int) -> None:
    time.sleep(max(0, context.cut_at + wait_s - time.monotonic()))
    others = daemons_outside(context.region)
    wait_for_answers(context, others, 'line-1', wait_s)
    for daemon in others:
        assert context.fleet.state(daemon)['view']['is_fresh'], daemon


@then(
    'within {limit_s:d} s no daemon of region "{region}" is a member in the views of the others'
)
def check_expired(context: Context, limit_s: int, region: str) -> None:
    wait_for(
        lambda: (
            not any(
                members_of(context, name, region) for name in daemons_outside(region)
            )
        ),
        f'region {region} expired',
        limit_s,
    )


def members_of(context: Context, daemon: str, region: str) -> list[str]:
    members = context.fleet.state(daemon)['view']['members']
    return [one for one in members if one['failure_domain'] == region]


@when('the other regions withdraw the second key and the partition heals')
def withdraw_and_heal(context: Context) -> None:
    kept = [part for part in context.sections if part.name != 'line-2']
    daemons = [context.fleet.operators_address(name) for name in daemons_outside('c')]
    log = HttpLog(context.fleet.addresses['log'], timeout_s=_REQUEST_TIMEOUT_S)
    report = Publisher(log, daemons, 'regions').publish(Configuration.of(*kept))
    assert report.is_in_force, report.text()
    context.fleet.heal()


@then('no daemon answers the withdrawn key')
def check_withdrawn(context: Context) -> None:
    deadline = time.monotonic() + _REQUEST_TIMEOUT_S
    while time.monotonic() < deadline:
        for daemon in context.fleet.daemons:
            assert not is_answered(context, daemon, 'line-2'), daemon


@when('the log is up again and the partition heals')
def heal_all(context: Context) -> None:
    context.fleet.control('log', is_down=False)
    context.fleet.heal()


@when(
    'region "{region}" is cut off for {time_s:d} s while one workspace floods all regions'
)
def flood(context: Context, region: str, time_s: int) -> None:
    context.actions = []
    ends_at = time.monotonic() + time_s + 2
    flooding = threading.Thread(target=send_flood, args=(context, ends_at))
    flooding.start()
    send_action_to_all(context)
    isolate_region(context, region, 'log')
    send_action_to_all(context)
    time.sleep(max(0, context.cut_at + time_s - time.monotonic()))
    send_action_to_all(context)
    context.fleet.heal()
    flooding.join()


def send_flood(context: Context, ends_at: float) -> None:
    pause_s = _COST_TOKENS / _FLOODING_WORKSPACE.rate_tokens_per_s / _FLOOD_RATE_FACTOR
    with ThreadPoolExecutor(16) as pool:
        for daemon in cycle_daemons(context):
            if time.monotonic() > ends_at:
                break
            pool.submit(send_completion, context, daemon, 'flood')
            time.sleep(pause_s)


def cycle_daemons(context: Context) -> Iterator[str]:
    while True:
        yield from context.fleet.daemons


def send_action_to_all(context: Context) -> None:
    request = HttpRequest.from_json('POST', '/services/release/lots', {'lot': 7})
    with ThreadPoolExecutor(len(context.fleet.daemons)) as pool:
        responses = pool.map(
            lambda daemon: send(context, daemon, 'line-1', request),
            context.fleet.daemons,
        )
        context.actions.extend(responses)


@when('the same action is sent to every daemon before, during and after the partition')
def send_action_after_cut(context: Context) -> None:
    wait_for_answers(context, context.fleet.daemons, 'line-1', _SETTLE_LIMIT_S)
    send_action_to_all(context)


@then('the flooding workspace received no more tokens than its rate and burst')
def check_received(context: Context) -> None:
    elapsed_s = time.monotonic() - context.published_at
    seen = [
        run
        for name in ('engine-1', 'engine-2')
        for run in context.fleet.received_requests(name)
    ]
    runs = [run for run in seen if run.get('adapter') == 'of-flood']
    received = _COST_TOKENS * len(runs)
    max_received = (
        _FLOODING_WORKSPACE.burst_tokens
        + _FLOODING_WORKSPACE.rate_tokens_per_s * elapsed_s
    )
    assert 0 < received <= max_received, (received, max_received)


@then('the action ran once, and every response to it is the same')
def check_action(context: Context) -> None:
    seen = [
        one
        for one in context.fleet.received_requests('ledger')
        if one['method'] == 'POST'
    ]
    assert len(seen) == 1, seen
    answers = [
        response for response in context.actions if response and response.status < 300
    ]
    assert {response.body for response in answers} == {b'{"entry": 1}'}, answers
    last = context.actions[-len(context.fleet.daemons) :]
    statuses = [response and response.status for response in last]
    assert set(statuses) == {201}, json.dumps(statuses)
