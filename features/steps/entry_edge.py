"""Steps on what callers send: sizes, slow ones, requests inside others."""

from __future__ import annotations

import socket
import time
from concurrent.futures import ThreadPoolExecutor

from behave import then, when
from behave.runner import Context
from entry_fleet import KEY, EntryFleet

_HEADER_BYTES = 4096
_BODY_BYTES = 20_000
_HEADER_S = 1.0
"""The limits that `entry_fleet.declaration` declares."""

_TIMEOUT_S = 5
_BLOCK_BYTES = 1000


def head(request_id: str, *fields: str) -> bytes:
    lines = (
        'POST /pay/x HTTP/1.1',
        'Host: house.example',
        f'Api-Key: {KEY}',
        f'Pimentohoist-Attempt-Id: {request_id}',
        *fields,
    )
    return ''.join(f'{line}\r\n' for line in lines).encode() + b'\r\n'


def in_chunks(body: bytes) -> bytes:
    parts = (
        body[start : start + _BLOCK_BYTES]
        for start in range(0, len(body), _BLOCK_BYTES)
    )
    return (
        b''.join(b'%x\r\n%s\r\n' % (len(part), part) for part in parts) + b'0\r\n\r\n'
    )


def connect(fleet: EntryFleet) -> socket.socket:
    return socket.create_connection((fleet.daemons[0].host, 8000), _TIMEOUT_S)


def status_of(fleet: EntryFleet, data: bytes) -> int:
    """Send bytes and return the status of the first answer; 0 if there is none."""
    with connect(fleet) as caller:
        try:
            caller.sendall(data)
            line = caller.makefile('rb').readline()
        except ConnectionError:
            return 0
    return int(line.split()[1]) if line else 0


def check_status(fleet: EntryFleet, data: bytes, expected: int) -> None:
    status = status_of(fleet, data)
    assert status == expected, (status, expected, data[:200])


def with_header_of(size: int, request_id: str) -> bytes:
    """Return a request whose header has a size, its last blank line included."""
    bare = head(request_id, 'Content-Length: 0', 'Filler: ')
    return head(request_id, 'Content-Length: 0', f'Filler: {"x" * (size - len(bare))}')


def run_ids(context: Context) -> list[str]:
    return [run.request_id for run in context.fleet.ledger.state.runs]


@then('a header of the declared size is served and a larger one gets 431')
def check_header_limit(context: Context) -> None:
    fleet = context.fleet
    assert status_of(fleet, with_header_of(_HEADER_BYTES, 'header-fits')) == 200
    assert status_of(fleet, with_header_of(_HEADER_BYTES + 1, 'too-large-1')) == 431


@then('a body of the declared size is served and a larger one gets 413, also in chunks')
def check_body_limit(context: Context) -> None:
    fleet = context.fleet
    for size, name, status in (
        (_BODY_BYTES, 'body-fits', 200),
        (_BODY_BYTES + 1, 'too-large-2', 413),
    ):
        body = b'x' * size
        data = head(name, f'Content-Length: {size}') + body
        check_status(fleet, data, status)
        data = head(f'{name}-chunks', 'Transfer-Encoding: chunked') + in_chunks(body)
        check_status(fleet, data, status)


@then('a header that only mentions an encoding is served')
def check_mention(context: Context) -> None:
    fields = ('Content-Length: 0', 'Note: transfer-encoding: chunked')
    check_status(context.fleet, head('mention', *fields), 200)


@then('no request that was too large has reached an endpoint')
def check_none_too_large(context: Context) -> None:
    assert sorted(run_ids(context)) == [
        'body-fits',
        'body-fits-chunks',
        'header-fits',
        'mention',
    ]


@when('{count:d} callers send a byte of a header every tenth of a second')
def send_slowly(context: Context, count: int) -> None:
    pool = context.stack.enter_context(ThreadPoolExecutor(count))
    context.slow = [pool.submit(trickle, context.fleet) for _ in range(count)]


def trickle(fleet: EntryFleet) -> float:
    """Return how long a connection stays open on which a header never ends."""
    began_at = time.monotonic()
    with connect(fleet) as caller:
        caller.settimeout(0.1)
        open_s: float = 0
        while open_s < _TIMEOUT_S and is_open(caller):
            open_s = time.monotonic() - began_at
    return open_s


def is_open(caller: socket.socket) -> bool:
    """Send one byte and return whether the daemon keeps the connection."""
    try:
        caller.sendall(b'P')
        return bool(caller.recv(1))
    except TimeoutError:
        return True
    except ConnectionError:
        return False


@then('others are served meanwhile')
def check_others(context: Context) -> None:
    answers = [context.fleet.ask('/look/x', adapter='') for _ in range(20)]
    assert all(answer.status == 200 for answer in answers), answers


@then('the slow ones are cut within a second of the declared time')
def check_cut(context: Context) -> None:
    open_s = [call.result() for call in context.slow]
    assert max(open_s) < _HEADER_S + 1, open_s
    assert min(open_s) > _HEADER_S / 2, open_s


@when('requests come with two lengths, or with a length and in chunks')
def smuggle(context: Context) -> None:
    hidden = head('hidden', 'Content-Length: 0')
    length = f'Content-Length: {len(hidden)}'
    for number, fields in enumerate(
        (
            ('Content-Length: 0', length),
            (length, 'Content-Length: 0'),
            ('Content-Length: 5', 'Transfer-Encoding: chunked'),
            ('Transfer-Encoding: chunked', 'Transfer-Encoding: identity', length),
            ('Transfer-Encoding: xchunked', 'Content-Length: 0'),
            ('Content-Length: +0',),
            ('Content-Length : 0',),
        )
    ):
        body = b'0\r\n\r\n' + hidden if 'chunked' in ''.join(fields) else hidden
        with connect(context.fleet) as caller:
            caller.sendall(head(f'outer-{number}', *fields) + body)
            read_all(caller)


def read_all(caller: socket.socket) -> None:
    """Read until the connection ends or nothing more comes."""
    caller.settimeout(0.3)
    data = b'-'
    while data:
        try:
            data = caller.recv(65_536)
        except OSError:
            return


@then("the endpoint runs none that a caller didn't send as such")
def check_not_smuggled(context: Context) -> None:
    assert 'hidden' not in run_ids(context), run_ids(context)
