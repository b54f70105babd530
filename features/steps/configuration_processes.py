"""Steps on configuration and keys between processes."""

from __future__ import annotations

import http.client
import json
import threading
import time
from dataclasses import replace
from types import MappingProxyType

from behave import given, then, when
from behave.runner import Context
from callers import wait_for

from pimentohoist._addresses import split_address
from pimentohoist._http_client import HttpClient
from pimentohoist._http_connection import HttpRequest, HttpResponse
from pimentohoist._platform_clients.log import HttpLog
from pimentohoist._snapshots import Snapshot, chunk_records, snapshots_stream
from pimentohoist.configuration import Configuration, Workspace
from pimentohoist.keys import create_key
from pimentohoist_standins.demo import demo_sections
from pimentohoist_standins.fleet import Fleet

_STREAM = 'configuration'
_WAIT_S = 40
_SETTINGS = MappingProxyType({'snapshots': {'every_s': 1, 'every_records': 1}})
_BODY = json.dumps({'model': 'batch-summary', 'prompt': 'Lot 7', 'max_tokens': 2})


@given('a configured fleet whose daemons append snapshots every second')
def start_configured_fleet(context: Context) -> None:
    fleet = context.stack.enter_context(Fleet())
    context.fleet = fleet
    fleet.start_standin('engine-1', 'engine', token_s=0.05)
    fleet.start_standin('ledger', 'service')
    fleet.start_daemon('entry-1', _SETTINGS)
    context.key_section, context.key = create_key('line-1', 'lipstick-house')
    context.sections = demo_sections(fleet)
    publish(context, *context.sections, context.key_section)
    context.log = HttpLog(fleet.addresses['log'], timeout_s=5)


def publish(context: Context, *sections: object) -> None:
    report = context.fleet.publish(Configuration.of(*sections))
    assert report.is_in_force, report.text()


def configuration_state(context: Context, name: str) -> dict:
    return context.fleet.state(name)['configuration']


def configuration_in_force(context: Context, name: str) -> dict:
    client = HttpClient(context.fleet.operators_address(name), timeout_s=5, step='test')
    return client.request_json(HttpRequest.from_json('GET', '/configuration'))


def complete(context: Context, name: str) -> HttpResponse:
    request = HttpRequest.from_json('POST', '/v1/completions')
    headers = {**request.headers, 'Authorization': f'Bearer {context.key}'}
    return context.fleet.request(
        name, replace(request, body=_BODY.encode(), headers=headers)
    )


@when('the log keeps 3 records and the configuration has changed 6 times')
def expire_records(context: Context) -> None:
    context.fleet.control('log', keep_records=3)
    for count in range(6):
        workspace = Workspace(f'house-{count}', rate_tokens_per_s=1, burst_tokens=1)
        context.sections = (*context.sections, workspace)
        publish(context, *context.sections, context.key_section)
    covered = configuration_state(context, 'entry-1')['next_offset']
    wait_for(lambda: snapshot_offset(context) >= covered, 'a snapshot', _WAIT_S)


def snapshot_offset(context: Context) -> int:
    appended = context.fleet.state('entry-1')['snapshots']['appended']
    return appended.get(_STREAM, {}).get('next_offset', 0)


@when('an old, a truncated and an invalid snapshot are appended last')
def append_bad_snapshots(context: Context) -> None:
    # One append: they come last until the daemon's next regular snapshot.
    old = Snapshot(1, json.dumps({'next_offset': 1}).encode())
    broken = chunk_records(Snapshot(10_000, b'{"next_offset": 10000}'))[0]
    foreign = chunk_records(Snapshot(20_000, b'{"next_offset": 20000, "text": 7}'))
    records = [broken[:-1], *foreign, *chunk_records(old)]
    context.log.append(snapshots_stream(_STREAM), records)


@when('daemon "{name}" starts')
def start_daemon(context: Context, name: str) -> None:
    context.fleet.start_daemon(name, _SETTINGS)


@when('daemon "{name}" starts with "{seed}" as its seed')
def start_with_seed(context: Context, name: str, seed: str) -> None:
    host, _ = split_address(context.fleet.addresses[seed])
    seeds = {'daemon': {'seed_peers': [f'{host}:8002']}}
    context.fleet.start_daemon(name, {**_SETTINGS, **seeds})


@then('daemon "{name}" holds the configuration of "{other}", from a snapshot')
def check_configuration(context: Context, name: str, other: str) -> None:
    expected = configuration_in_force(context, other)
    assert expected['text'], expected
    wait_for(
        lambda: configuration_in_force(context, name) == expected, 'in force', _WAIT_S
    )
    assert configuration_state(context, name)['restored_offset'] > 0, (
        configuration_state(context, name)
    )


@when('the log goes down')
def stop_log(context: Context) -> None:
    context.fleet.control('log', is_down=True)


@then('a keyed request to "{name}" is refused as not run, "{message}"')
def check_refused(context: Context, name: str, message: str) -> None:
    reply = complete(context, name)
    error = reply.document()['error']
    found = (reply.status, error['run'], error['message'])
    assert found == (503, 'not_run', message), found
    assert error['retry_after_s'], error


@then('keyed requests to "{name}" are refused within {limit_s:d} s')
def check_refused_after(context: Context, name: str, limit_s: int) -> None:
    time.sleep(limit_s)
    check_refused(context, name, 'keys cannot be checked now')


@then('keyed requests to "{name}" are served again once the log is back')
def check_served(context: Context, name: str) -> None:
    context.fleet.control('log', is_down=False)
    wait_for(lambda: complete(context, name).status == 200, 'a response', _WAIT_S)


@when('a publish loses the response to its append')
def lose_append_response(context: Context) -> None:
    context.before = configuration_state(context, 'entry-1')['next_offset']
    context.fleet.control('log', lose_answers=1)
    workspace = Workspace('new-house', rate_tokens_per_s=1, burst_tokens=1)
    configuration = Configuration.of(*context.sections, context.key_section, workspace)
    context.report = context.fleet.publish(configuration)


@then('it is reported in force and is in the log once')
def check_settled(context: Context) -> None:
    assert context.report.is_in_force, context.report.text()
    assert configuration_in_force(context, 'entry-1')['digest'] == context.report.digest
    page = context.log.read(_STREAM, 0, wait_s=0)
    assert page.next_offset == context.before + 1


@when('a stream is running and its engine goes silent')
def start_stream(context: Context) -> None:
    host, port = split_address(context.fleet.addresses['entry-1'])
    connection = http.client.HTTPConnection(host, port, timeout=_WAIT_S)
    context.stack.callback(connection.close)
    document = {**json.loads(_BODY), 'max_tokens': 2000, 'stream': True}
    headers = {'Authorization': f'Bearer {context.key}'}
    connection.request('POST', '/v1/completions', json.dumps(document), headers)
    response = connection.getresponse()
    assert response.status == 200, response.read()
    context.first = response.readline()
    context.lines = []
    context.reader = threading.Thread(
        target=lambda: context.lines.extend(response), daemon=True
    )
    context.reader.start()
    context.fleet.control('engine-1', silence=True)


@when('the key of the stream is withdrawn')
def withdraw(context: Context) -> None:
    publish(context, *context.sections)
    context.withdrawn_at = time.monotonic()


@then('the stream ends within {limit_s:d} s with the error "{code}"')
def check_stream_end(context: Context, limit_s: int, code: str) -> None:
    context.reader.join(limit_s - (time.monotonic() - context.withdrawn_at))
    assert not context.reader.is_alive(), context.lines[-3:]
    events = [line for line in context.lines if line.strip()]
    error = json.loads(events[-1].removeprefix(b'data: '))['error']
    assert (error['code'], error['run']) == (code, 'run'), error
