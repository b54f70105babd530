"""Steps on answers without an end, at clients in this process."""

from __future__ import annotations

import json
import socket
import sys
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from functools import partial
from pathlib import Path

from behave import given, then
from behave.runner import Context

sys.path.append(str(Path(__file__).resolve().parent.parent))

from pimentohoist._entry.connections import (  # noqa: E402
    ConnectionPool,
    UpstreamExchange,
)
from pimentohoist._http_client import HttpClient  # noqa: E402
from pimentohoist._http_connection import HttpRequest  # noqa: E402
from pimentohoist.entry_models import (  # noqa: E402
    AdapterKey,
    Endpoint,
    EntryRequest,
)
from pimentohoist.exceptions import (  # noqa: E402
    OversizedResponseError,
    PeerError,
    PimentohoistError,
)
from pimentohoist.platform import (  # noqa: E402
    EngineOrders,
    KeyedRecord,
    ReadPosition,
    Store,
)
from pimentohoist_standins.endless import (  # noqa: E402
    ENDLESS_ANSWERS,
    TRICKLED_ANSWERS,
    EndlessAnswer,
)
from pimentohoist_standins.keyed_store import KeyedStore  # noqa: E402
from pimentohoist_standins.opaque_engine import OpaqueEngine  # noqa: E402

_LOOPBACK = '127.0.0.1'
_PAUSE_S = 0.05
_GUARD_S = 6
_TOPIC = 'keyed.op'
_START = ReadPosition(0, 0)
_OFFSETS_BYTES = 16
_RECORD_HEAD_BYTES = 5
_RECEIVED_BYTES = 65_536
_DIGITS = b'0' * 4000
_INVALID_CHUNK = (
    b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n'
    b'Pimentohoist-Attempt-Id: r1\r\nPimentohoist-Response-Seal: 1\r\n\r\nsize\r\n'
)


def _duration_s(call: Callable[[], object]) -> float:
    """Return how long a call takes to fail with an error of the package."""
    errors: list[Exception] = []

    def run() -> None:
        try:
            call()
        except Exception as error:
            errors.append(error)

    started_at = time.monotonic()
    thread = threading.Thread(target=run, daemon=True)
    thread.start()
    thread.join(_GUARD_S)
    duration_s = time.monotonic() - started_at
    assert not errors or isinstance(errors[0], PimentohoistError), repr(errors)
    return duration_s if errors else float('inf')


def _check_all(limit_s: float, call: Callable[[EndlessAnswer], object]) -> None:
    """Check how long a call with each kind of answer takes to fail.

    Trickled answers are read side by side, since they need no time of the processor.
    """
    durations = {
        kind: _duration_s(partial(call, answer))
        for kind, answer in ENDLESS_ANSWERS.items()
    }
    with ThreadPoolExecutor(len(TRICKLED_ANSWERS)) as pool:
        trickled = {
            f'{kind}, trickled': pool.submit(
                _duration_s, partial(call, answer.trickled(_PAUSE_S))
            )
            for kind, answer in TRICKLED_ANSWERS.items()
        }
    durations.update({kind: taken.result() for kind, taken in trickled.items()})
    slow = {kind: taken for kind, taken in durations.items() if taken > limit_s}
    assert not slow, slow


@then(
    'every kind of endless report is given up within {report_s:f} s'
    ' and of endless order within {order_s:f} s'
)
def check_orders(context: Context, report_s: float, order_s: float) -> None:
    def start(answer: EndlessAnswer) -> EngineOrders:
        engine = OpaqueEngine((_LOOPBACK, 0), 'e1', 'm1')
        context.stack.enter_context(engine)
        engine.faults.endless_reports = answer
        return EngineOrders(engine.address, 'e1')

    _check_all(report_s, lambda answer: start(answer).report())
    _check_all(order_s, lambda answer: start(answer).load(AdapterKey('m1', 'a1'), 0, 1))


@then('every kind of endless answer of the store is given up within {limit_s:d} s')
def check_store(context: Context, limit_s: int) -> None:
    def start(answer: EndlessAnswer) -> Store:
        stand_in = context.stack.enter_context(KeyedStore((_LOOPBACK, 0)))
        stand_in.endless_answer = answer
        return Store(stand_in.address)

    def read_sent(answer: EndlessAnswer) -> None:
        start(answer).send_read(_TOPIC, ReadPosition(0, 0), wait_s=0).result()

    _check_all(limit_s, lambda answer: start(answer).read_newest(_TOPIC))
    _check_all(limit_s, read_sent)


@then('a read of endless pages is given up within {limit_s:d} s')
def check_pages(context: Context, limit_s: int) -> None:
    stand_in = context.stack.enter_context(KeyedStore((_LOOPBACK, 0)))
    stand_in.put(_TOPIC, 'config', {'version': 1})
    stand_in.has_endless_pages = True
    store = Store(stand_in.address, timeout_s=0.4)
    try:
        assert _duration_s(lambda: store.read_newest(_TOPIC)) < limit_s
    finally:
        stand_in.has_endless_pages = False


@then('a read that is cut after any byte fails or has the complete records')
def check_cut_reads(context: Context) -> None:
    stand_in = context.stack.enter_context(KeyedStore((_LOOPBACK, 0)))
    bodies = [b'{"version": 1}', b'{"version": 2}']
    for body in bodies:
        stand_in.put(_TOPIC, 'config', json.loads(body))
    store = Store(stand_in.address, timeout_s=0.4)
    whole, _ = store.read_changes(_TOPIC, _START, wait_s=0)
    assert [record.body for record in whole] == bodies, whole
    size = _OFFSETS_BYTES + sum(map(_record_bytes, whole))
    ends = [_OFFSETS_BYTES + _record_bytes(whole[0]), size]
    for cut_bytes in range(size + 1):
        stand_in.cut_answers_bytes = cut_bytes
        expected = whole[: sum(end <= cut_bytes for end in ends)]
        _check_cut_read(store, expected, may_be_empty=cut_bytes == _OFFSETS_BYTES)


def _check_cut_read(
    store: Store, expected: list[KeyedRecord], *, may_be_empty: bool
) -> None:
    try:
        records, position = store.read_changes(_TOPIC, _START, wait_s=0)
    except PeerError:
        assert not expected
        return
    assert records == expected, records
    assert records or may_be_empty, position
    assert position.offset == len(expected), position


def _record_bytes(record: KeyedRecord) -> int:
    return _RECORD_HEAD_BYTES + len(record.key) + len(record.body or b'')


@then('an endless chunk size that begins with the head exceeds the limit of framing')
def check_chunk_size(context: Context) -> None:
    listener = context.stack.enter_context(socket.create_server((_LOOPBACK, 0)))
    threading.Thread(target=_send_chunk_size, args=(listener,), daemon=True).start()
    address = f'{_LOOPBACK}:{listener.getsockname()[1]}'
    endpoint = Endpoint('e', 's', address, 'a', 4, False, 1, 0)
    request = EntryRequest('r1', 'GET', 'h', '/x', (), b'', '', None, None, None, 0)
    exchange = ConnectionPool().send(endpoint, request, [('Host', 'h')], _ignore)
    try:
        exchange.read_head()
        exchange.read_body()
    except OversizedResponseError as error:
        assert 'framing' in error.message, error
        return
    finally:
        exchange.close()
    raise AssertionError('the response was read')


@then('it exceeds a limit of the client of the store too')
def check_client_chunk_size(context: Context) -> None:
    listener = context.stack.enter_context(socket.create_server((_LOOPBACK, 0)))
    threading.Thread(target=_send_chunk_size, args=(listener,), daemon=True).start()
    address = f'{_LOOPBACK}:{listener.getsockname()[1]}'
    client = HttpClient(address, timeout_s=_GUARD_S, step='store')
    try:
        client.request(HttpRequest('GET', '/'))
    except OversizedResponseError:
        return
    raise AssertionError('the response was read')


def _send_chunk_size(listener: socket.socket) -> None:
    connection, _ = listener.accept()
    with connection, suppress(OSError):
        connection.recv(_RECEIVED_BYTES)
        connection.sendall(_INVALID_CHUNK.removesuffix(b'size\r\n') + _DIGITS)
        while True:
            connection.sendall(_DIGITS)


def _ignore(exchange: UpstreamExchange) -> None:
    """Do nothing with an exchange."""


@given('a service that sends an invalid chunk size and keeps the connection open')
def start_service(context: Context) -> None:
    listener = socket.create_server((_LOOPBACK, 0))
    context.stack.callback(listener.close)
    context.address = f'{_LOOPBACK}:{listener.getsockname()[1]}'
    context.connections = []
    threading.Thread(target=_serve, args=(context, listener), daemon=True).start()


def _serve(context: Context, listener: socket.socket) -> None:
    while True:
        try:
            connection, _ = listener.accept()
        except OSError:
            return
        requests: list[bytes] = []
        context.connections.append(requests)
        threading.Thread(
            target=_answer, args=(connection, requests), daemon=True
        ).start()


def _answer(connection: socket.socket, requests: list[bytes]) -> None:
    with connection:
        while request := connection.recv(65_536):
            requests.append(request)
            connection.sendall(_INVALID_CHUNK)


@then('neither client sends its next request on that connection')
def check_new_connections(context: Context) -> None:
    client = HttpClient(context.address, timeout_s=1, step='test')
    request = partial(client.request, HttpRequest('GET', '/'))
    for send in (request, _exchange(context)):
        context.connections.clear()
        for _ in range(2):
            try:
                send()
            except PeerError:
                continue
            raise AssertionError('the answer was taken for complete')
        counts = [len(requests) for requests in context.connections]
        assert counts == [1, 1], counts


def _exchange(context: Context) -> Callable[[], object]:
    """Return a function that sends a request as an entry daemon does."""
    connections = ConnectionPool()
    endpoint = Endpoint('e', 's', context.address, 'a', 4, False, 1, 0)
    request = EntryRequest('r1', 'GET', 'h', '/x', (), b'', '', None, None, None, 0)

    def send() -> None:
        exchange = connections.send(
            endpoint, request, [('Host', 'h')], lambda opened: None
        )
        try:
            exchange.read_head()
            exchange.read_body()
        finally:
            exchange.close()

    return send


@given('a service that reads {rate_kb:d} KB of a request every {pause_s:f} s')
def start_slow_reader(context: Context, rate_kb: int, pause_s: float) -> None:
    listener = socket.create_server((_LOOPBACK, 0))
    context.stack.callback(listener.close)
    context.address = f'{_LOOPBACK}:{listener.getsockname()[1]}'
    threading.Thread(
        target=_read_slowly, args=(listener, rate_kb * 1000, pause_s), daemon=True
    ).start()


def _read_slowly(listener: socket.socket, size: int, pause_s: float) -> None:
    connection, _ = listener.accept()
    with connection, suppress(OSError):
        while connection.recv(size):
            time.sleep(pause_s)


@then('a request of {size_mb:d} MB that is aborted after {delay_s:f} s ends within 1 s')
def check_abort_while_sending(context: Context, size_mb: int, delay_s: float) -> None:
    endpoint = Endpoint('e', 's', context.address, 'a', 4, False, 1, 0)
    body = b'x' * (size_mb * 1_000_000)
    request = EntryRequest('r1', 'POST', 'h', '/x', (), body, '', None, None, None, 0)

    def abort_later(exchange: UpstreamExchange) -> None:
        timer = threading.Timer(delay_s, exchange.abort)
        context.stack.callback(timer.cancel)
        timer.start()

    duration_s = _duration_s(
        lambda: ConnectionPool().send(endpoint, request, [('Host', 'h')], abort_later)
    )
    assert duration_s < 1, duration_s
