"""Steps on sound endpoints that fall silent for a second or so."""

from __future__ import annotations

import socket
import sys
import threading
import time
from collections import Counter
from pathlib import Path

from behave import given, then, when
from behave.runner import Context

sys.path.append(str(Path(__file__).resolve().parent.parent))

from pimentohoist._entry.connections import ConnectionPool  # noqa: E402
from pimentohoist._entry.upstream_connection import UpstreamConnection  # noqa: E402
from pimentohoist.entry_models import Endpoint, EntryRequest  # noqa: E402

_LOOPBACK = '127.0.0.1'
_RECEIVE_BUFFER_BYTES = 8192
_READ_BYTES = 65_536
_MB = 1_000_000
_MS_PER_S = 1000
_SETTLE_S = 1.0
_KEPT_STATUSES = frozenset((200, 503))
_RESPONSE = (
    b'HTTP/1.1 200 OK\r\nPimentohoist-Attempt-Id: r1\r\n'
    b'Pimentohoist-Response-Seal: 1.2.3\r\nContent-Length: 2\r\n\r\nok'
)


@given('an endpoint that reads nothing for {silence_s:g} s and then answers')
def start_silent_endpoint(context: Context, silence_s: float) -> None:
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES)
    listener.bind((_LOOPBACK, 0))
    listener.listen()
    context.stack.callback(listener.close)
    context.address = f'{_LOOPBACK}:{listener.getsockname()[1]}'
    context.received = 0

    def answer() -> None:
        connection, _ = listener.accept()
        time.sleep(silence_s)
        with connection:
            while context.received < context.wanted:
                context.received += len(connection.recv(_READ_BYTES))
            connection.sendall(_RESPONSE)

    threading.Thread(target=answer, daemon=True).start()


@then('a request of {size_mb:d} MB is answered')
def check_answered(context: Context, size_mb: int) -> None:
    body = bytes(size_mb * _MB)
    context.wanted = len(body)
    endpoint = Endpoint('e', 's', context.address, 'a', 4, False, 1, 0)
    request = EntryRequest('r1', 'POST', 'h', '/x', (), body, '', None, None, None, 0)
    exchange = ConnectionPool().send(
        endpoint, request, [('Host', 'h')], lambda opened: None
    )
    assert exchange.read_head().status == 200
    assert b''.join(exchange.read_body()) == b'ok'


@then("a connection whose data isn't acknowledged is given up within {limit_s:g} s")
def check_given_up(context: Context, limit_s: float) -> None:
    listener = context.stack.enter_context(socket.create_server((_LOOPBACK, 0)))
    address = f'{_LOOPBACK}:{listener.getsockname()[1]}'
    connection = UpstreamConnection(address)
    context.stack.callback(connection.close)
    options = {
        name: connection.sock.getsockopt(socket.IPPROTO_TCP, name)
        for name in (
            socket.TCP_USER_TIMEOUT,
            socket.TCP_KEEPIDLE,
            socket.TCP_KEEPINTVL,
        )
    }
    assert 0 < options[socket.TCP_USER_TIMEOUT] <= limit_s * _MS_PER_S, options
    assert options[socket.TCP_KEEPIDLE] + options[socket.TCP_KEEPINTVL] <= limit_s


@when('each engine in turn is silent for {silence_s:g} s, {times:d} times')
def silence_engines(context: Context, silence_s: float, times: int) -> None:
    fleet = context.fleet
    context.cut_at = time.monotonic()
    context.cut = []
    for engine in fleet.engines * times:
        names = [f'{daemon.host}>{engine.engine_id}' for daemon in fleet.daemons]
        fleet.links.cut(names, 'hang')
        time.sleep(silence_s)
        fleet.links.mend(names)
        time.sleep(_SETTLE_S)
    context.mended_at = time.monotonic()
    context.callers.__exit__()


@then('no request that an endpoint may have begun has failed')
def check_none_failed(context: Context) -> None:
    calls = context.callers.between(context.cut_at, context.mended_at)
    failed = [call for call in calls if call.status not in _KEPT_STATUSES]
    assert calls and not failed, (len(calls), failed[:5])


@then('no request has run twice')
def check_single_runs(context: Context) -> None:
    fleet = context.fleet
    runs = Counter(
        request.request_id
        for endpoint in (fleet.ledger, *fleet.engines)
        for request in endpoint.state.executed_requests
    )
    twice = [name for name, count in runs.items() if count > 1]
    assert not twice, twice
