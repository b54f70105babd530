"""Steps on callers that leave before their requests end."""

from __future__ import annotations

import os
import signal
import socket
import struct
import sys
import time
from collections.abc import Callable
from pathlib import Path
from types import MappingProxyType

from behave import then, when
from behave.runner import Context

sys.path.append(str(Path(__file__).resolve().parent.parent))
from entry_fleet import KEY, MODEL, EntryFleet, wait_for  # noqa: E402

_PORTS = MappingProxyType({'callers': 8000, 'daemons': 7602})
_PATHS = MappingProxyType(
    {
        'safe': '/look/',
        'unsafe': '/pay/',
        'stream': '/models/',
        'silent stream': '/models/',
        'resumable': '/resumed/',
    }
)
_PLAIN = frozenset(('safe', 'unsafe'))
_MODEL_FIELDS = (f'Pimentohoist-Model: {MODEL}/a1', 'Pimentohoist-Token-Count: 10,20')
_FORWARDED_FIELDS = (
    'X-Forwarded-By-Daemon-Address: 127.0.0.1:8002',
    'X-Forwarded-By-Daemon-Executions: 2',
    'X-Forwarded-By-Daemon-Workspace: house',
)
_LINGER_RESETS = struct.pack('ii', 1, 0)
_MAX_BODY_BYTES = 1_048_576
_HALF_BODY_BYTES = 2000
_SETTLE_S = 1.0
_WORK_S = 0.1
_SLOW_WORK_S = 3.0
_HOLD_S = 0.3
_REACH_LIMIT_S = 2.0
_MS_PER_S = 1000


def _head(
    kind: str, server: str, request_id: str, work_s: float, body_bytes: int = 0
) -> bytes:
    fields = [
        f'POST {_PATHS[kind]}x HTTP/1.1',
        'Host: house.example',
        f'Api-Key: {KEY}',
        f'Pimentohoist-Attempt-Id: {request_id}',
        'Pimentohoist-Deadline-Ms: 4000',
        f'Work-Ms: {round(work_s * _MS_PER_S)}',
        f'Content-Length: {body_bytes}',
    ]
    if kind not in _PLAIN:
        fields.extend(_MODEL_FIELDS)
    if server == 'daemons':
        fields.extend(_FORWARDED_FIELDS)
    return ''.join(f'{field}\r\n' for field in fields).encode() + b'\r\n'


def _request(kind: str, server: str, number: int) -> bytes:
    return _head(kind, server, f'next-{number}', _WORK_S)


def _half_head(kind: str, server: str, number: int) -> bytes:
    return _request(kind, server, number)[:60]


def _half_body(kind: str, server: str, number: int) -> bytes:
    head = _head(kind, server, f'next-{number}', _WORK_S, 2 * _HALF_BODY_BYTES)
    return head + bytes(_HALF_BODY_BYTES)


def _declared_body(kind: str, server: str, number: int) -> bytes:
    head = _head(kind, server, f'next-{number}', _WORK_S, _MAX_BODY_BYTES)
    return head + bytes(_MAX_BODY_BYTES)


_MORE: MappingProxyType[str, Callable[[str, str, int], bytes]] = MappingProxyType(
    {
        'nothing': lambda kind, server, number: b'',
        'one more request': _request,
        'three more requests': lambda *what: 3 * _request(*what),
        'half a head': _half_head,
        'half a body': _half_body,
        'a request and a half': lambda *what: _request(*what) + _half_head(*what),
        'a body of the declared size': _declared_body,
    }
)


def _connect(fleet: EntryFleet, server: str) -> socket.socket:
    return socket.create_connection((fleet.daemons[0].host, _PORTS[server]))


def _leave(caller: socket.socket, leave: str) -> None:
    if leave == 'reset':
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESETS)
    caller.close()


def _prepare(context: Context) -> None:
    """Have each endpoint serve a request, so that connections and adapters are there."""
    fleet: EntryFleet = context.fleet
    assert fleet.send_request('/look/x').status == 200
    if fleet.engines:
        assert fleet.send_request().status == 200
    context.departed = set()


@when(
    'the daemon is paused for {pause_s:g} s while {count:d} callers send {kind} requests '
    'to the server of {server} and {leave}'
)
def leave_unread(
    context: Context, pause_s: float, count: int, kind: str, server: str, leave: str
) -> None:
    _prepare(context)
    daemon = context.fleet.daemons[0].popen.pid
    os.kill(daemon, signal.SIGSTOP)
    try:
        for number in range(count):
            request_id = f'first-{number}'
            context.departed.add(request_id)
            caller = _connect(context.fleet, server)
            caller.sendall(_head(kind, server, request_id, _WORK_S))
            _leave(caller, leave)
        time.sleep(pause_s)
    finally:
        os.kill(daemon, signal.SIGCONT)
    time.sleep(_SETTLE_S)


@when(
    '{count:d} callers send slow {kind} requests and {more} to the server of {server}, '
    'and {leave} after {after_s:g} s'
)
def send_and_leave(
    context: Context,
    count: int,
    kind: str,
    more: str,
    server: str,
    leave: str,
    after_s: float,
) -> None:
    if not hasattr(context, 'departed'):
        _prepare(context)
    if kind == 'silent stream':
        _silence(context)
    callers = []
    for number in range(count):
        request_id = f'first-{number}'
        context.departed.add(request_id)
        caller = context.stack.enter_context(_connect(context.fleet, server))
        caller.sendall(_head(kind, server, request_id, _SLOW_WORK_S))
        caller.setblocking(False)
        _send_some(caller, _MORE[more](kind, server, number))
        callers.append(caller)
    time.sleep(after_s)
    if 'is_crowded' not in context:
        # What isn't sent by then must not be sent any more.
        wait_for(lambda: context.departed <= _got(context), _REACH_LIMIT_S)
    for leaving in callers:
        _leave(leaving, leave)


def _silence(context: Context) -> None:
    for engine in context.fleet.engines:
        engine.faults.is_silent = True
        context.stack.callback(setattr, engine.faults, 'is_silent', False)


def _send_some(caller: socket.socket, data: bytes) -> None:
    """Send what the daemon's kernel takes."""
    if data:
        caller.send(data)


@when(
    '{count:d} callers send {kind} requests of {work_s:g} s and nothing to the server of '
    'callers, and stay'
)
def send_and_stay(context: Context, count: int, kind: str, work_s: float) -> None:
    _prepare(context)
    context.is_crowded = True
    for number in range(count):
        caller = context.stack.enter_context(_connect(context.fleet, 'callers'))
        caller.sendall(_head(kind, 'callers', f'staying-{number}', work_s))
    time.sleep(_HOLD_S)


@then('{after_s:g} s later no endpoint is at work for them')
def check_at_work(context: Context, after_s: float) -> None:
    time.sleep(after_s)
    fleet: EntryFleet = context.fleet
    at_work = [one.state.running for one in (fleet.ledger, *fleet.engines)]
    assert not any(at_work), at_work


@then('no endpoint has got a request of these callers')
def check_unsent(context: Context) -> None:
    got = _got(context)
    assert not got, (len(got), got)


@then('only the first requests of these callers have reached an endpoint')
def check_first(context: Context) -> None:
    time.sleep(_SETTLE_S)
    got = _got(context)
    assert got == context.departed, (len(got), got)


def _got(context: Context) -> set[str]:
    """Return the ids of departed callers' requests that endpoints have executed."""
    fleet: EntryFleet = context.fleet
    executed = {
        request.request_id
        for endpoint in (fleet.ledger, *fleet.engines)
        for request in endpoint.state.executed_requests
    }
    return {one for one in executed if one.startswith(('first-', 'next-'))}
