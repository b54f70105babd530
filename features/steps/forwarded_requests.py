"""Steps on requests that daemons forward to one another."""

from __future__ import annotations

import http.client
import sys
import threading
import time
from pathlib import Path
from typing import Any

from behave import given, then, when
from behave.runner import Context

sys.path.append(str(Path(__file__).resolve().parent.parent))
from entry_fleet import KEY, MODEL, EntryFleet, wait_for  # noqa: E402

_INTERNAL = 'x-forwarded-by-daemon-'
_PATHS = ('/models/x', '/resumed/x', '/pay/x', '/look/x')
_DEADLINE_MS = 4000
_TOKENS = 30
_DEFAULT_TOKENS = 20
_EVENTS = 6
_EVENT_S = 0.15
_WORK_S = 1.5
_RATE = 10_000


@given('the first daemon has lost its links to all endpoints')
def lose_links(context: Context) -> None:
    fleet = context.fleet
    for number in range(3):
        response = fleet.send_request(adapter='a1', daemon=number)
        assert response.status == 200, (number, response)
    fleet.cut(fleet.daemons[:1], 'reset')
    _wait_lost(fleet, 0)


@when('{count:d} requests are sent to the first daemon with headers of a forwarded one')
def send_requests(context: Context, count: int) -> None:
    fleet = context.fleet
    spoofed = {
        f'{_INTERNAL}workspace'.title(): 'other',
        f'{_INTERNAL}executions'.title(): '9',
    }
    fleet.declare(2, rate=_RATE)
    wait_for(lambda: _version(fleet) == 2, 5)
    context.before = _admitted(fleet)
    context.responses = [
        fleet.send_request(_PATHS[number % len(_PATHS)], daemon=0, **spoofed)
        for number in range(count)
    ]


@then("all are served, and the endpoints got the callers' ids, workspace and time")
def check_requests(context: Context) -> None:
    statuses = [response.status for response in context.responses]
    assert set(statuses) == {200}, statuses
    executed = _executed(context.fleet)[-8:]
    ids = {f'request-{context.fleet.requests - number}' for number in range(8)}
    assert {request.request_id for request in executed} == ids
    for request in executed:
        assert request.headers['pimentohoist-tenant'] == 'house'
        assert 0 < int(request.headers['pimentohoist-deadline-ms']) <= _DEADLINE_MS


@then('neither endpoints nor callers got a key or a header between daemons')
def check_headers(context: Context) -> None:
    for request in _executed(context.fleet):
        assert 'api-key' not in request.headers
        assert not _internal(request.headers)
    for response in context.responses:
        assert not _internal(response.headers)


@then('the fleet has charged the tokens of 8 requests')
def check_charged(context: Context) -> None:
    charged = _admitted(context.fleet) - context.before
    generations = sum(path.startswith(('/models', '/res')) for path in _PATHS * 2)
    wanted = generations * _TOKENS + (8 - generations) * _DEFAULT_TOKENS
    assert charged == wanted, (charged, wanted)


@when('the caller of a forwarded stream leaves after its first event')
def leave_stream(context: Context) -> None:
    fleet = context.fleet
    _slow_down(fleet)
    connection, response = _open_stream(fleet)
    assert response.read(5)
    connection.sock.close()
    response.close()
    context.left_at = time.monotonic()


@then("the engine's run ends within {limit_s:g} s")
def check_left(context: Context, limit_s: float) -> None:
    engines = context.fleet.engines
    wait_for(
        lambda: any(engine.state.disconnected_streams for engine in engines),
        limit_s + _EVENT_S,
    )


@when('the other daemon of a forwarded stream is killed after its first event')
def kill_forwarder(context: Context) -> None:
    fleet = context.fleet
    _slow_down(fleet)
    _, response = _open_stream(fleet)
    first = response.read(5)
    _forwarder(fleet).popen.kill()
    context.stream = first + response.read()


@then('the stream goes on at another daemon and has each event once')
def check_stream(context: Context) -> None:
    lines = context.stream.decode().splitlines()
    ids = [int(line[4:]) for line in lines if line.startswith('id: ')]
    assert ids == list(range(1, _EVENTS + 1)), ids


@when('the other daemon is killed while an unsafe request runs for it')
def kill_during_request(context: Context) -> None:
    fleet = context.fleet
    runs: list[Any] = []

    def send() -> None:
        runs.append(
            fleet.send_request('/pay/x', daemon=0, Work_Ms=f'{int(_WORK_S * 1000)}')
        )

    thread = threading.Thread(target=send)
    thread.start()
    wait_for(lambda: fleet.daemons[0].state()['dispatch']['forwarded'], 2)
    time.sleep(_WORK_S / 5)
    _forwarder(fleet).popen.kill()
    thread.join()
    context.response = runs[0]


@then('the caller is told that it may have run, and it has run once')
def check_lost_answer(context: Context) -> None:
    request_id = f'request-{context.fleet.requests}'
    executed = [
        request
        for request in _executed(context.fleet)
        if request.request_id == request_id
    ]
    assert context.response.status == 502, context.response
    assert len(executed) == 1, executed


@when('the second daemon loses its links and requests are sent to the first one')
def cut_second(context: Context) -> None:
    fleet = context.fleet
    fleet.cut(fleet.daemons[1:2], 'reset')
    context.responses = [
        fleet.send_request(_PATHS[number % len(_PATHS)], daemon=0)
        for number in range(20)
    ]


@then('all are served by the third one')
def check_third(context: Context) -> None:
    statuses = [response.status for response in context.responses]
    assert set(statuses) == {200}, statuses


def _version(fleet: EntryFleet) -> int:
    states = [daemon.state() for daemon in fleet.daemons]
    return min(state['declarations']['version'] for state in states)


def _internal(headers: dict[str, str]) -> list[str]:
    return [name for name in headers if name.lower().startswith(_INTERNAL)]


def _wait_lost(fleet: EntryFleet, number: int) -> None:
    """Send requests until a daemon knows that it has lost its links."""

    def is_isolated() -> bool:
        fleet.send_request('/look/x', daemon=number)
        fleet.send_request('/models/x', daemon=number)
        return len(fleet.daemons[number].state()['links']['isolated_groups']) > 1

    wait_for(is_isolated, 5)


def _forwarder(fleet: EntryFleet) -> Any:
    """Return the daemon to which the first one forwards a request now."""
    hosts = list(fleet.daemons[0].state()['dispatch']['forwarded'])
    assert len(hosts) == 1, hosts
    return next(
        daemon for daemon in fleet.daemons if hosts[0].startswith(f'{daemon.host}:')
    )


def _slow_down(fleet: EntryFleet) -> None:
    for engine in fleet.engines:
        engine.faults.event_s = _EVENT_S


def _open_stream(fleet: EntryFleet) -> tuple[Any, http.client.HTTPResponse]:
    connection = http.client.HTTPConnection(fleet.daemons[0].host, 8000, timeout=10)
    headers = {
        'Host': 'house.example',
        'Pimentohoist-Attempt-Id': 'stream-1',
        'Pimentohoist-Deadline-Ms': f'{_DEADLINE_MS}',
        'Api-Key': KEY,
        'Pimentohoist-Model': f'{MODEL}/a1',
        'Pimentohoist-Token-Count': '10,20',
    }
    connection.request('POST', '/resumed/x', b'{}', headers)
    response = connection.getresponse()
    assert response.status == 200, response.status
    return connection, response


def _executed(fleet: EntryFleet) -> list[Any]:
    endpoints = [fleet.ledger, *fleet.engines]
    executed = [entry for end in endpoints for entry in end.state.executed_requests]
    return sorted(executed, key=lambda entry: int(entry.request_id.rpartition('-')[2]))


def _admitted(fleet: EntryFleet) -> float:
    """Return the tokens that all daemons have charged."""
    return sum(
        sum(daemon.state()['quotas']['admitted'].values()) for daemon in fleet.daemons
    )
