"""Steps on limits for callers: sizes, slow headers, request smuggling."""

from __future__ import annotations

import socket
import time
from concurrent.futures import ThreadPoolExecutor

from behave import then, when
from behave.runner import Context
from entry_fleet import KEY, EntryFleet

_MAX_HEADER_BYTES = 4096
_MAX_BODY_BYTES = 20_000
_HEADER_TIMEOUT_S = 1.0
"""The limits that `entry_fleet.declaration` declares."""

_TIMEOUT_S = 5
_CHUNK_BYTES = 1000


def request_head(request_id: str, *fields: str) -> bytes:
    lines = (
        'POST /pay/x HTTP/1.1',
        'Host: house.example',
        f'Api-Key: {KEY}',
        f'Pimentohoist-Attempt-Id: {request_id}',
        *fields,
    )
    return ''.join(f'{line}\r\n' for line in lines).encode() + b'\r\n'


def encode_chunks(body: bytes) -> bytes:
    parts = (
        body[start : start + _CHUNK_BYTES]
        for start in range(0, len(body), _CHUNK_BYTES)
    )
    return (
        b''.join(b'%x\r\n%s\r\n' % (len(part), part) for part in parts) + b'0\r\n\r\n'
    )


def connect(fleet: EntryFleet) -> socket.socket:
    return socket.create_connection((fleet.daemons[0].host, 8000), _TIMEOUT_S)


def status_of(fleet: EntryFleet, data: bytes) -> int:
    """Send bytes and return the status of the first response; 0 if there is none."""
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


def request_with_header_size(size: int, request_id: str) -> bytes:
    """Return a request whose header has a size, including its final blank line."""
    bare = request_head(request_id, 'Content-Length: 0', 'Filler: ')
    return request_head(
        request_id, 'Content-Length: 0', f'Filler: {"x" * (size - len(bare))}'
    )


def executed_ids(context: Context) -> list[str]:
    return [run.request_id for run in context.fleet.ledger.state.executed_requests]


@then('a header of the declared size is served and a larger one gets 431')
def check_header_limit(context: Context) -> None:
    fleet = context.fleet
    fits = request_with_header_size(_MAX_HEADER_BYTES, 'header-fits')
    check_status(fleet, fits, 200)
    too_large = request_with_header_size(_MAX_HEADER_BYTES + 1, 'too-large-1')
    check_status(fleet, too_large, 431)


@then('a body of the declared size is served and a larger one gets 413, also in chunks')
def check_body_limit(context: Context) -> None:
    fleet = context.fleet
    for size, name, status in (
        (_MAX_BODY_BYTES, 'body-fits', 200),
        (_MAX_BODY_BYTES + 1, 'too-large-2', 413),
    ):
        body = b'x' * size
        data = request_head(name, f'Content-Length: {size}') + body
        check_status(fleet, data, status)
        data = request_head(
            f'{name}-chunks', 'Transfer-Encoding: chunked'
        ) + encode_chunks(body)
        check_status(fleet, data, status)


@then('a header that only mentions a transfer encoding is served')
def check_mention(context: Context) -> None:
    fields = ('Content-Length: 0', 'Note: transfer-encoding: chunked')
    check_status(context.fleet, request_head('mention', *fields), 200)


@then('no request that was too large has reached an endpoint')
def check_none_too_large(context: Context) -> None:
    assert sorted(executed_ids(context)) == [
        'body-fits',
        'body-fits-chunks',
        'header-fits',
        'mention',
    ]


@when('{count:d} callers send a byte of a header every tenth of a second')
def send_slowly(context: Context, count: int) -> None:
    pool = context.stack.enter_context(ThreadPoolExecutor(count))
    context.slow_connections = [
        pool.submit(measure_slow_connection, context.fleet) for _ in range(count)
    ]


def measure_slow_connection(fleet: EntryFleet) -> float:
    """Return how long a connection stays open if its header never ends."""
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


@then('other callers are served meanwhile')
def check_others(context: Context) -> None:
    responses = [context.fleet.send_request('/look/x', adapter='') for _ in range(20)]
    assert all(response.status == 200 for response in responses), responses


@then('the slow connections are closed within a second of the declared time')
def check_closed(context: Context) -> None:
    open_s = [call.result() for call in context.slow_connections]
    assert max(open_s) < _HEADER_TIMEOUT_S + 1, open_s
    assert min(open_s) > _HEADER_TIMEOUT_S / 2, open_s


@when('requests have two lengths, or a length and chunks')
def smuggle(context: Context) -> None:
    smuggled = request_head('hidden', 'Content-Length: 0')
    length = f'Content-Length: {len(smuggled)}'
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
        body = b'0\r\n\r\n' + smuggled if 'chunked' in ''.join(fields) else smuggled
        with connect(context.fleet) as caller:
            caller.sendall(request_head(f'outer-{number}', *fields) + body)
            read_all(caller)


def read_all(caller: socket.socket) -> None:
    """Read until the connection ends or no more bytes arrive."""
    caller.settimeout(0.3)
    data = b'-'
    while data:
        try:
            data = caller.recv(65_536)
        except OSError:
            return


@then('the endpoint executes no smuggled request')
def check_not_smuggled(context: Context) -> None:
    assert 'hidden' not in executed_ids(context), executed_ids(context)
