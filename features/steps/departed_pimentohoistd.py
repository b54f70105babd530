"""Steps on callers of ``pimentohoistd`` that leave before their requests are read."""

from __future__ import annotations

import json
import os
import signal
import socket
import time
from types import MappingProxyType

from behave import then, when
from behave.runner import Context

from pimentohoist._addresses import split_address

_SETTLE_S = 1.5
_COMPLETION = json.dumps(
    {'model': 'batch-summary@1', 'prompt': 'Summarise.', 'max_tokens': 2}
).encode()
_REQUESTS = MappingProxyType(
    {
        'GET calls': ('GET', '/services/records/lots', b''),
        'POST calls': ('POST', '/services/release/lots', b'lot=7'),
        'completions': ('POST', '/v1/completions', _COMPLETION),
    }
)
_ENDPOINTS = ('ledger', 'ledger-2', 'engine-1')


def _request(context: Context, kind: str, number: int) -> bytes:
    method, path, body = _REQUESTS[kind]
    fields = (
        f'{method} {path} HTTP/1.1',
        'Host: localhost',
        f'Authorization: Bearer {_key(context)}',
        'Content-Type: application/json',
        f'Idempotency-Key: departed-{number}',
        f'Content-Length: {len(body)}',
    )
    return ''.join(f'{field}\r\n' for field in fields).encode() + b'\r\n' + body


def _key(context: Context) -> str:
    return context.caller.key if 'caller' in context else context.key


def _received(context: Context) -> int:
    fleet = context.fleet
    known = [name for name in _ENDPOINTS if name in fleet.processes]
    return sum(
        entry['path'].startswith(('/lots', '/v1/completions'))
        for name in known
        for entry in fleet.received_requests(name)
    )


@when(
    'it is paused for {pause_s:g} s while {count:d} callers send {kind} and leave',
)
def leave_unread(context: Context, pause_s: float, count: int, kind: str) -> None:
    fleet = context.fleet
    if kind == 'completions':
        document = {'model': 'batch-summary@1', 'prompt': 'Warm.', 'max_tokens': 2}
        assert context.caller.complete('entry-1', **document).status == 200
    context.before = _received(context)
    pid = fleet.processes['entry-1'].popen.pid
    os.kill(pid, signal.SIGSTOP)
    try:
        for number in range(count):
            address = split_address(fleet.addresses['entry-1'])
            with socket.create_connection(address) as caller:
                caller.sendall(_request(context, kind, number))
        time.sleep(pause_s)
    finally:
        os.kill(pid, signal.SIGCONT)
    time.sleep(_SETTLE_S)


@then('no endpoint of it has got a request of these callers')
def check_unsent(context: Context) -> None:
    got = _received(context) - context.before
    assert not got, got
