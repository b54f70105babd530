"""Steps for servers that close, and for connections that end."""

from __future__ import annotations

import http.client
import socket
import threading
import time
from collections.abc import Iterable
from types import SimpleNamespace
from unittest import mock

from behave import given, then, when
from behave.runner import Context
from entry_fleet import EntryFleet, configuration_document, wait_for
from stop_callers import Caller, Stop

from pimentohoist import _clock
from pimentohoist._entry.server import RECEIVED_AT, CallersServer
from pimentohoist._http_server import HttpServer

_STREAM = '/models/x'
_LONG_MS = 20_000
_LONG_LOAD_S = 60
_HOST = '127.42.78.1'
_PORT = 8000
_ADDRESS = f'{_HOST}:{_PORT}'
_ACCEPT_DELAY_S = 0.2
_READ_TIMEOUT_S = 2.0
_BETWEEN_SENDS_S = 0.05
_BODY = bytes(16_777_216)
_RECEIVE_BUFFER_BYTES = 65_536
_BUFFERED_BYTES = 500_000
"""More than a caller's buffer and less than a server's."""

_JUMP_TO_READ_S = 2.5
"""The server looks at its connections once a second at least."""

_REQUEST = b'GET / HTTP/1.1\r\nHost: house.example\r\n\r\n'


@given('a stopping fleet of {daemons:d} daemons whose adapters never load')
def start_fleet_without_adapters(context: Context, daemons: int) -> None:
    context.fleet = context.stack.enter_context(EntryFleet())
    for number in range(daemons):
        engine = context.fleet.add_engine(f'engine-{number}')
        engine.faults.load_s = _LONG_LOAD_S
    document = configuration_document(1, timeout_ms=_LONG_MS)
    for route in document['routes']:
        route['goal-ms'] = _LONG_MS
    context.fleet.store.put('keyed.op', 'config', document)
    context.fleet.start_ready(daemons)
    context.stop = Stop(context.fleet.daemons[0])


@when('{count:d} streams that wait for an adapter are under way as SIGTERM comes')
def stop_with_waiting_streams(context: Context, count: int) -> None:
    stop = context.stop
    stop.signalled_at = time.monotonic()
    for number in range(count):
        stop.start_thread(Caller(stop).send, _STREAM, f'waiting-{number}')
    wait_for(lambda: len(stop.requests) == count, 3)
    stop.begin()
    stop.join()


@given('a server that is slow to register the connections that it accepts')
def start_slow_acceptor(context: Context) -> None:
    context.accepted = threading.Event()

    def app(environ: dict, start_response: object) -> Iterable[bytes]:
        start_response('200 OK', [('Content-Length', '0')])
        return [b'']

    def fix_address(address: object) -> object:
        # The server calls this between accepting a connection and registering it.
        context.accepted.set()
        time.sleep(_ACCEPT_DELAY_S)
        return address

    context.server = HttpServer(app, _ADDRESS, threads=4)
    context.server._server.fix_addr = fix_address
    context.server.__enter__()


@when('it closes between accepting a connection and registering it')
def close_while_accepting(context: Context) -> None:
    sock = context.stack.enter_context(socket.create_connection((_HOST, _PORT)))
    sock.settimeout(_READ_TIMEOUT_S)
    sock.sendall(_REQUEST)
    assert context.accepted.wait(_READ_TIMEOUT_S)
    context.server.__exit__()
    time.sleep(_ACCEPT_DELAY_S)
    began_at = time.monotonic()
    try:
        context.received = sock.recv(_RECEIVE_BUFFER_BYTES)
    except OSError as error:
        context.received = repr(error).encode()
    context.took_s = time.monotonic() - began_at


@then('the connection is answered or closed within {limit_s:g} s')
def check_answered(context: Context, limit_s: float) -> None:
    assert context.took_s <= limit_s, (context.took_s, context.received)


@given('a server that accepts no connections for {busy_s:g} s')
def start_busy_acceptor(context: Context, busy_s: float) -> None:
    def app(environ: dict, start_response: object) -> Iterable[bytes]:
        start_response('200 OK', [('Content-Length', '0')])
        return [b'']

    is_busy = threading.Event()

    def wait() -> None:
        is_busy.set()
        time.sleep(busy_s)

    context.server = HttpServer(app, _ADDRESS, threads=4)
    context.server.__enter__()
    context.server._server.trigger.pull_trigger(wait)
    assert is_busy.wait(_READ_TIMEOUT_S)


@when('{count:d} requests are sent on new connections and it closes')
def close_before_accepting(context: Context, count: int) -> None:
    context.sockets = []
    for _ in range(count):
        sock = context.stack.enter_context(socket.create_connection((_HOST, _PORT)))
        sock.settimeout(_READ_TIMEOUT_S)
        sock.sendall(_REQUEST)
        context.sockets.append(sock)
    context.server.__exit__()


@then('each of them gets a whole answer')
def check_all_answered(context: Context) -> None:
    answers = [http.client.HTTPResponse(sock) for sock in context.sockets]
    for answer in answers:
        answer.begin()
        answer.read()
    assert {answer.status for answer in answers} <= {200, 503}


@given('a server whose responses are larger than the buffers of a connection')
def start_large_server(context: Context) -> None:
    context.body = _BODY

    def app(environ: dict, start_response: object) -> Iterable[bytes]:
        start_response('200 OK', [('Content-Length', str(len(_BODY)))])
        return [_BODY]

    context.server = context.stack.enter_context(
        HttpServer(app, _ADDRESS, threads=4, idle_timeout_s=15)
    )


@when('the time of day jumps by {jump_s:g} s before a caller has read its response')
def jump_during_response(context: Context, jump_s: float) -> None:
    sock = context.stack.enter_context(socket.socket())
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES)
    sock.connect((_HOST, _PORT))
    sock.sendall(_REQUEST)
    response = http.client.HTTPResponse(sock)
    response.begin()
    channels = context.server._server.active_channels
    wait_for(
        lambda: not any(channel.requests for channel in tuple(channels.values())), 3
    )
    jumped = SimpleNamespace(time=lambda: time.time() + jump_s)
    with mock.patch('waitress.server.time', jumped):
        time.sleep(_JUMP_TO_READ_S)
        context.received = _read_body(response)


@then('the slow caller gets all of it')
def check_whole_response(context: Context) -> None:
    assert context.received == context.body, context.received[:100]


@given("a callers' server whose requests take {duration_s:g} s")
def start_callers_server(context: Context, duration_s: float) -> None:
    def app(environ: dict, start_response: object) -> Iterable[bytes]:
        time.sleep(duration_s)
        start_response('200 OK', [('Content-Length', str(len(body)))])
        return [body]

    body = bytes(_BUFFERED_BYTES)
    context.body = body
    context.server = context.stack.enter_context(CallersServer(app, _ADDRESS))
    context.server.header_timeout_s = 1


@when('a caller sends a request and the first bytes of the next header')
def send_partial_header(context: Context) -> None:
    context.received = _read_slowly(context, [_REQUEST, _REQUEST[:5]], 0)


@when('the server drains and a slow caller sends {count:d} requests one after another')
def send_while_draining(context: Context, count: int) -> None:
    context.server.is_draining = True
    context.received = _read_slowly(context, [_REQUEST for _ in range(count)], 1)


def _read_slowly(context: Context, sent: list[bytes], delay_s: float) -> bytes:
    """Send some bytes, wait, and return the body of the first response, or its error."""
    sock = context.stack.enter_context(socket.socket())
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES)
    sock.connect((_HOST, _PORT))
    for part in sent:
        sock.sendall(part)
        time.sleep(_BETWEEN_SENDS_S)
    response = http.client.HTTPResponse(sock)
    time.sleep(delay_s)
    try:
        response.begin()
    except (http.client.HTTPException, OSError) as error:
        return repr(error).encode()
    return _read_body(response)


def _read_body(response: http.client.HTTPResponse) -> bytes:
    try:
        return response.read()
    except (http.client.HTTPException, OSError) as error:
        return repr(error).encode()


@given("a callers' server with one thread whose requests take {duration_s:g} s")
def start_busy_server(context: Context, duration_s: float) -> None:
    context.arrivals = []

    def app(environ: dict, start_response: object) -> Iterable[bytes]:
        context.arrivals.append(environ[RECEIVED_AT])
        time.sleep(duration_s)
        start_response('200 OK', [('Content-Length', '0')])
        return [b'']

    context.server = context.stack.enter_context(CallersServer(app, _ADDRESS))
    context.server._server.task_dispatcher.pool.max_workers = 1


@when('two requests are sent at the same time')
def send_two(context: Context) -> None:
    connections = [http.client.HTTPConnection(_HOST, _PORT) for _ in range(2)]
    context.sent_at = _clock.now()
    for connection in connections:
        connection.request('GET', '/')
    for connection in connections:
        connection.getresponse().read()
        connection.close()


@then('both are known to have arrived within {limit_s:g} s of being sent')
def check_arrivals(context: Context, limit_s: float) -> None:
    delays = [arrived_at - context.sent_at for arrived_at in context.arrivals]
    assert len(delays) == 2
    assert all(0 <= delay < limit_s for delay in delays), delays
