"""Steps on entry daemons that serve requests on the users' platform."""

from __future__ import annotations

import http.client
import os
import re
import signal
import subprocess
import sys
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from behave import given, then, when
from behave.runner import Context

sys.path.append(str(Path(__file__).resolve().parent.parent))
from entry_fleet import (  # noqa: E402
    KEY,
    MODEL,
    EntryFleet,
    wait_for,
)

_ALL_EVENTS = ''.join(
    f'id: {number}\ndata: token {number}\n\n' for number in range(1, 7)
)


def fleet(context: Context) -> EntryFleet:
    if not hasattr(context, 'fleet'):
        context.fleet = context.stack.enter_context(EntryFleet())
    return context.fleet


@given('a fleet of {daemons:d} daemon with {engines:d} engine')
@given('a fleet of {daemons:d} daemon with {engines:d} engines')
@given('a fleet of {daemons:d} daemons with {engines:d} engine')
@given('a fleet of {daemons:d} daemons with {engines:d} engines')
def start_fleet(context: Context, daemons: int, engines: int) -> None:
    started = fleet(context)
    started.declare(3)
    for number in range(engines):
        started.add_engine(f'engine-{number}')
    started.start_ready(daemons)


@given('a daemon without a configuration')
def start_alone(context: Context) -> None:
    fleet(context).start()
    wait_for(lambda: _directory_status(context) is not None, 15)


def _directory_status(context: Context) -> int | None:
    try:
        return context.fleet.daemons[0].get(8003, '/v1/resolve?name=x').status
    except OSError:
        return None


@given('a second ledger')
def add_ledger(context: Context) -> None:
    second = context.fleet.add_endpoint(3, 'ledger-2', '')
    context.second = second
    context.fleet.store.put('keyed.servers', 'ledger-2', second.entry('ledger'))
    wait_for(lambda: 'ledger-2' in context.fleet.daemons[0].state()['endpoints'], 5)


@when('{count:d} streams with {adapters:d} adapters are requested')
def request_streams(context: Context, count: int, adapters: int) -> None:
    def send_request(number: int):
        return context.fleet.send_request(
            adapter=f'a{number % adapters}', daemon=number % 2
        )

    with ThreadPoolExecutor(6) as pool:
        context.responses = list(pool.map(send_request, range(count)))


@then('each caller receives all events of its own stream')
@then('each stream is served')
def check_streams(context: Context) -> None:
    for response in context.responses:
        assert response.status == 200, response
        assert response.body.decode() == _ALL_EVENTS, response


@then('no engine was ordered to load beyond its capacity')
def check_room(context: Context) -> None:
    for engine in context.fleet.engines:
        assert not engine.state.is_overloaded, engine.state.adapters


@then('engines received the workspace and never the key')
def check_headers(context: Context) -> None:
    executed = [
        run
        for engine in context.fleet.engines
        for run in engine.state.executed_requests
    ]
    assert executed
    for run in executed:
        assert run.headers['pimentohoist-tenant'] == 'house', run
        assert KEY not in run.headers.values(), run
        assert int(run.headers['pimentohoist-deadline-ms']) <= 4000, run
        assert run.body == b'{"a": 1}', run


@then('an unknown key gets 401 and an unknown route 404')
def check_refusals(context: Context) -> None:
    assert context.fleet.send_request(Api_Key='wrong').status == 401
    assert context.fleet.send_request(path='/nowhere/x').status == 404


@then('it responds 503 with a Retry-After header')
def check_not_ready(context: Context) -> None:
    response = context.fleet.send_request()
    assert response.status == 503, response
    assert 0 < float(response.headers['Retry-After']) < 5, response
    assert not context.fleet.daemons[0].is_ready()


@then('its directory lists no daemon')
def check_directory(context: Context) -> None:
    assert _directory_status(context) == 503


@when('the operator withdraws the key')
def withdraw_key(context: Context) -> None:
    assert context.fleet.send_request().status == 200
    context.fleet.declare(9, keys=('another',))


@then('the key gets 401 within 2 s')
def check_withdrawn(context: Context) -> None:
    wait_for(lambda: context.fleet.send_request().status == 401, 2)


@when('every third order gets no reply while {count:d} adapters are requested')
def lose_order_replies(context: Context, count: int) -> None:
    context.responses = []
    for number in range(count):
        if number % 3 == 0:
            context.fleet.engines[0].faults.unanswered_orders = 1
        context.responses.append(context.fleet.send_request(adapter=f'a{number}'))


@when('a new version of a loaded adapter is declared')
def declare_version(context: Context) -> None:
    assert context.fleet.send_request().status == 200
    document = {'model': MODEL, 'adapter': 'a1', 'version': 2}
    context.fleet.store.put('keyed.op', f'version/{MODEL}.a1', document)
    versions = context.fleet.engines[0].state.versions
    wait_for(lambda: versions['a1'] == 2, 3)


@then('the next request is executed with that version')
def check_version(context: Context) -> None:
    assert context.fleet.send_request().status == 200
    runs = context.fleet.engines[0].state.executed_requests
    run = runs[-1]
    assert run.headers['pimentohoist-expect-version'] == '2', run


@when('an engine reports that it is draining')
def drain_engine(context: Context) -> None:
    for number in range(4):
        assert context.fleet.send_request(adapter=f'a{number}').status == 200
    engine = context.fleet.engines[0]
    context.fleet.store.put(
        'keyed.servers', engine.engine_id, engine.entry('models', 'draining')
    )


@then('2 s later it gets no more requests')
def check_drained(context: Context) -> None:
    time.sleep(2)
    before = len(context.fleet.engines[0].state.executed_requests)
    for number in range(4):
        assert context.fleet.send_request(adapter=f'a{number}').status == 200
    assert len(context.fleet.engines[0].state.executed_requests) == before


@when('a daemon is stopped while streams run')
def stop_daemon(context: Context) -> None:
    stopped = context.fleet.daemons[0].popen
    for engine in context.fleet.engines:
        engine.faults.event_s = 0.2
    with ThreadPoolExecutor(4) as pool:
        futures = [
            pool.submit(context.fleet.send_request, adapter=f'a{number}')
            for number in range(4)
        ]
        time.sleep(0.5)
        context.stopped_at = time.monotonic()
        stopped.send_signal(signal.SIGTERM)
        time.sleep(0.3)
        futures.append(pool.submit(context.fleet.send_request, adapter='a0'))
        context.responses = [future.result() for future in futures]


@then('no stream is cut')
def check_uncut(context: Context) -> None:
    check_streams(context)


@then("the other daemon's directory doesn't list it")
def check_unnamed(context: Context) -> None:
    body = context.fleet.daemons[1].get(8003, '/v1/resolve?name=x').body.decode()
    assert context.fleet.daemons[0].host not in body, body


@then('it exits within {limit:d} s')
def check_ended(context: Context, limit: int) -> None:
    remaining_s = limit - (time.monotonic() - context.stopped_at)
    assert context.fleet.daemons[0].popen.wait(timeout=remaining_s) == 0


@when('the store is down')
def take_store_down(context: Context) -> None:
    for daemon in (0, 1):
        assert context.fleet.send_request(daemon=daemon).status == 200
    context.fleet.store.is_down = True
    time.sleep(1)


@then('both daemons serve streams with loaded adapters')
def check_served(context: Context) -> None:
    context.responses = [context.fleet.send_request(daemon=daemon) for daemon in (0, 1)]
    check_streams(context)


@when('a caller disconnects from a slow stream')
def disconnect_caller(context: Context) -> None:
    engine = context.fleet.engines[0]
    assert context.fleet.send_request().status == 200
    engine.faults.event_s = 0.15
    connection = http.client.HTTPConnection(context.fleet.daemons[0].host, 8000)
    headers = {
        'Host': 'house.example',
        'Pimentohoist-Attempt-Id': 'left',
        'Pimentohoist-Model': f'{MODEL}/a1',
        'Api-Key': KEY,
    }
    connection.request('POST', '/models/x', b'', headers)
    connection.getresponse().read1(10)
    connection.close()
    context.disconnected_at = time.monotonic()


@then('the engine stops its work within half a second')
def check_stopped(context: Context) -> None:
    # The engine notices at the event after the first one that can't be delivered.
    wait_for(lambda: context.fleet.engines[0].state.disconnected_streams > 0, 0.5 + 0.3)


@when('an engine falls silent while it has requests')
def silence_engine(context: Context) -> None:
    for number in range(4):
        assert context.fleet.send_request(adapter=f'a{number}').status == 200
    context.silent = context.fleet.engines[0]
    context.silent.faults.is_silent = True
    context.stack.callback(setattr, context.silent.faults, 'is_silent', False)
    pool = context.stack.enter_context(ThreadPoolExecutor(8))
    for number in range(8):
        pool.submit(context.fleet.send_request, adapter=f'a{number % 4}')
    wait_for(lambda: _requests_on_silent(context) > 0, 3)


def _requests_on_silent(context: Context) -> int:
    running = context.fleet.daemons[0].state()['dispatch']['running']
    return sum(running.get(context.silent.engine_id, {}).values())


@then('all requests from a second later on are served by the other engine')
def check_other(context: Context) -> None:
    time.sleep(1.1)
    before = len(context.silent.state.executed_requests)
    for number in range(6):
        assert context.fleet.send_request(adapter=f'a{number % 4}').status == 200
    assert len(context.silent.state.executed_requests) == before


@when('a request is refused because no engine is left')
def refuse(context: Context) -> None:
    engine = context.fleet.engines[0]
    context.fleet.store.put('keyed.servers', engine.engine_id, None)
    known = context.fleet.daemons[0]
    wait_for(lambda: engine.engine_id not in known.state()['endpoints'], 5)
    assert context.fleet.send_request().status == 503


@when('a request is refused because no route matches')
def refuse_without_route(context: Context) -> None:
    assert context.fleet.send_request('/nowhere/x').status == 404


@then('one log record has its id, step "{step}" and status {status:d}')
def check_refusal_record(context: Context, step: str, status: int) -> None:
    name = f'request-{context.fleet.requests}'
    time.sleep(0.2)
    daemon = context.fleet.daemons[-1]
    lines = [
        (line['message'], line['step'], line['status'])
        for line in daemon.lines()
        if line.get('id') == name
    ]
    assert lines == [('request ended', step, status)], lines


@then('one log record has its id, step and cause')
def check_log_record(context: Context) -> None:
    name = f'request-{context.fleet.requests}'
    time.sleep(0.2)
    lines = [
        line
        for line in context.fleet.daemons[0].lines()
        if line.get('id') == name and line['message'] == 'request ended'
    ]
    assert len(lines) == 1, lines
    assert lines[0]['status'] == 503, lines
    assert lines[0]['step'] == 'choose', lines
    assert 'no endpoint' in lines[0]['outcome'], lines


@when("an entry daemon starts with settings that lack the store's address")
def start_with_invalid_settings(context: Context) -> None:
    folder = Path(context.stack.enter_context(tempfile.TemporaryDirectory()))
    path = folder / 'settings.toml'
    path.write_text('[daemon]\nname = "x"\n')
    context.run = subprocess.run(
        [sys.executable, '-c', 'from pimentohoist.entry import main; main()'],
        env={**os.environ, 'PIMENTOHOIST_BOOT': str(path)},
        capture_output=True,
        text=True,
        timeout=20,
        check=False,
    )


@then('one line names the field and the exit code is 2')
def check_settings_error(context: Context) -> None:
    assert context.run.returncode == 2, context.run
    lines = context.run.stderr.splitlines()
    assert len(lines) == 1, lines
    assert re.search(r'daemon\.\w+ is missing', lines[0]), lines


@given("a fleet of 1 daemon with 1 engine whose standard output isn't read")
def start_with_unread_output(context: Context) -> None:
    fleet(context).is_output_read = False
    start_fleet(context, 1, 1)


@when('more lines are logged than the output and the queue hold')
def log_much(context: Context) -> None:
    def send_request(number: int) -> None:
        for _ in range(100):
            context.fleet.send_request('/look/x', adapter='', Api_Key='unknown')

    with ThreadPoolExecutor(4) as pool:
        for _ in range(20):
            list(pool.map(send_request, range(4)))
            if dropped_lines(context):
                return


def dropped_lines(context: Context) -> int:
    text = context.fleet.daemons[0].get(7601, '/metrics').body.decode()
    found = re.search(r'^pimentohoist_log_lines_dropped_total (\d+)$', text, re.M)
    assert found is not None, text
    return int(found[1])


@then('the next stream is served within 1 s and the dropped lines are counted')
def check_not_blocked(context: Context) -> None:
    began_at = time.monotonic()
    response = context.fleet.send_request()
    assert response.status == 200, response
    assert time.monotonic() - began_at < 1
    assert dropped_lines(context)


@then('the daemon exits within {limit_s:d} s of SIGTERM, its grace period')
def check_exit(context: Context, limit_s: int) -> None:
    stopped = context.fleet.daemons[0].popen
    stopped.send_signal(signal.SIGTERM)
    assert stopped.wait(limit_s) == 0
