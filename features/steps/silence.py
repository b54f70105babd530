"""Steps for open connections that stop carrying data."""

from __future__ import annotations

import json
import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from dataclasses import replace
from typing import Self

from behave import given, then, when
from behave.runner import Context

from pimentohoist._addresses import split_address
from pimentohoist._generated import peer_pb2
from pimentohoist._http_client import HttpClient
from pimentohoist._http_connection import HttpRequest, HttpResponse
from pimentohoist._peers import PeerClients, PeerServer
from pimentohoist.configuration import Configuration
from pimentohoist.exceptions import PeerError, PeerTimeoutError
from pimentohoist.keys import create_key
from pimentohoist_standins.demo import demo_sections
from pimentohoist_standins.fleet import Fleet

_POLL_S = 0.1
_LOOPBACK = '127.0.0.1'
_TOKEN_S = 0.02
_REQUEST_TIMEOUT_S = 60
_CALL_TIMEOUT_S = 1
_RECV_BYTES = 65_536
_RESPONSE_HEAD = b'HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n'


@given('a daemon with {endpoint} whose connections can go silent')
def start_fleet(context: Context, endpoint: str) -> None:
    fleet = context.stack.enter_context(Fleet())
    context.fleet = fleet
    fleet.start_standin('engine-1', 'engine', token_s=_TOKEN_S)
    fleet.start_standin('ledger', 'service')
    fleet.start_daemon('entry-1')
    section, context.key = create_key('line-1', 'lipstick-house')
    report = fleet.publish(Configuration.of(*demo_sections(fleet), section))
    assert report.is_in_force, report.text()


def send(context: Context, method: str, path: str, body: bytes = b'') -> HttpResponse:
    request = HttpRequest.from_json(method, path)
    headers = {
        **request.headers,
        'Authorization': f'Bearer {context.key}',
        'Idempotency-Key': 'lot',
    }
    request = replace(request, body=body, headers=headers, is_repeatable=False)
    return context.fleet.request('entry-1', request, timeout_s=_REQUEST_TIMEOUT_S)


@when("the log's open connections go silent")
def silence_log(context: Context) -> None:
    context.errors = context.fleet.state('entry-1')['configuration']['errors']
    context.fleet.control('log', silence=True)
    context.silent_at = time.monotonic()


@then(
    'the daemon reads the log to its head again within {limit_s:d} s without an error'
)
def check_log_read(context: Context, limit_s: int) -> None:
    while True:
        silence_s = time.monotonic() - context.silent_at
        state = context.fleet.state('entry-1')['configuration']
        if silence_s > 1 and state['head_read_s_ago'] < silence_s - 1:
            break
        assert silence_s < limit_s, state
        time.sleep(_POLL_S)
    assert state['errors'] == context.errors, state


@when("the ledger's open connections go silent before an idempotent call")
def silence_ledger(context: Context) -> None:
    assert send(context, 'GET', '/services/records/lots').status == 200
    context.fleet.control('ledger', silence=True)
    context.silent_at = time.monotonic()
    context.response = send(context, 'GET', '/services/records/lots?page=2')


@then('the call is answered within {limit_s:d} s and the ledger received it')
def check_call(context: Context, limit_s: int) -> None:
    assert time.monotonic() - context.silent_at < limit_s
    assert (context.response.status, context.response.body) == (200, b'{"entries": 0}')
    paths = [entry['path'] for entry in context.fleet.received_requests('ledger')]
    assert '/lots?page=2' in paths, paths


@then('an action sent afterwards is recorded once')
def check_action(context: Context) -> None:
    response = send(context, 'POST', '/services/release/lots', b'{}')
    assert (response.status, response.body) == (201, b'{"entry": 1}'), response
    seen = [entry['method'] for entry in context.fleet.received_requests('ledger')]
    assert seen.count('POST') == 1, seen


@when("the engine's connections go silent during a stream of {tokens:d} tokens")
def silence_engine(context: Context, tokens: int) -> None:
    document = {
        'model': 'batch-summary@1',
        'prompt': 'Review.',
        'max_tokens': tokens,
        'stream': True,
    }
    body = json.dumps(document).encode()
    with ThreadPoolExecutor(1) as pool:
        sent = pool.submit(send, context, 'POST', '/v1/completions', body)
        while not any(
            'request_id' in entry
            for entry in context.fleet.received_requests('engine-1')
        ):
            time.sleep(_POLL_S)
        time.sleep(tokens * _TOKEN_S / 2)
        context.fleet.control('engine-1', silence=True)
        context.silent_at = time.monotonic()
        context.response = sent.result()


@then(
    'the caller receives the complete stream of {tokens:d} tokens within {limit_s:d} s'
)
def check_stream(context: Context, tokens: int, limit_s: int) -> None:
    assert time.monotonic() - context.silent_at < limit_s
    lines = [line for line in context.response.body.decode().splitlines() if line]
    assert lines[-1] == 'data: [DONE]', lines[-1]
    parts = [json.loads(line.removeprefix('data: ')) for line in lines[:-1]]
    assert len([part for part in parts if part.get('choices')]) == tokens, parts[-1]
    assert len(context.fleet.received_requests('engine-1')) > 1


class TcpProxy:
    """Forwards TCP connections; `silence` stops forwarding on those that are open."""

    def __init__(self, target: str) -> None:
        self.target = target
        self.generation = 0
        self.listener = socket.create_server((_LOOPBACK, 0))
        self.address = f'{_LOOPBACK}:{self.listener.getsockname()[1]}'

    def __enter__(self) -> Self:
        self._start_thread(self._accept)
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.listener.close()

    def silence(self) -> None:
        self.generation += 1

    def _accept(self) -> None:
        with suppress(OSError):
            while True:
                client, _ = self.listener.accept()
                upstream = socket.create_connection(split_address(self.target))
                self._start_thread(self._forward, client, upstream)
                self._start_thread(self._forward, upstream, client)

    def _forward(self, source: socket.socket, sink: socket.socket) -> None:
        generation = self.generation
        with suppress(OSError):
            part = source.recv(_RECV_BYTES)
            while part:
                if generation == self.generation:
                    sink.sendall(part)
                part = source.recv(_RECV_BYTES)

    def _start_thread(self, target: object, *arguments: object) -> None:
        threading.Thread(target=target, args=arguments, daemon=True).start()  # type: ignore[arg-type]


@given('a peer whose connections can go silent')
def start_proxied_peer(context: Context) -> None:
    with socket.create_server((_LOOPBACK, 0)) as free:
        address = f'{_LOOPBACK}:{free.getsockname()[1]}'
    methods = {'Heartbeat': lambda request: peer_pb2.HeartbeatReply()}
    context.stack.enter_context(PeerServer(address, methods))
    context.proxy = context.stack.enter_context(TcpProxy(address))
    context.peers = context.stack.enter_context(PeerClients())
    send_heartbeat(context)


def send_heartbeat(context: Context) -> None:
    context.peers.call(
        context.proxy.address,
        'Heartbeat',
        peer_pb2.HeartbeatRequest(),
        timeout_s=_CALL_TIMEOUT_S,
    )


@when('the connection to the peer goes silent')
def silence_peer(context: Context) -> None:
    context.proxy.silence()
    context.silent_at = time.monotonic()


@then(
    'a call to the peer fails once and the next call is answered within {limit_s:d} s'
)
def check_peer(context: Context, limit_s: int) -> None:
    failures = 0
    while True:
        try:
            send_heartbeat(context)
        except PeerError:
            failures += 1
        else:
            break
    assert failures == 1, failures
    assert time.monotonic() - context.silent_at < limit_s


@given('a server that sends one byte of its response every {pause_s:g} s')
def start_slow_server(context: Context, pause_s: float) -> None:
    context.listener = context.stack.enter_context(socket.create_server((_LOOPBACK, 0)))
    threading.Thread(
        target=send_slowly, args=(context.listener, pause_s), daemon=True
    ).start()


def send_slowly(listener: socket.socket, pause_s: float) -> None:
    connection, _ = listener.accept()
    with connection, suppress(OSError):
        connection.recv(_RECV_BYTES)
        connection.sendall(_RESPONSE_HEAD)
        while True:
            connection.sendall(b'x')
            time.sleep(pause_s)


@then(
    'a request to it with a time limit of {time_limit_s:d} s ends as timed out within '
    '{limit_s:d} s'
)
def check_time_limit(context: Context, time_limit_s: int, limit_s: int) -> None:
    address = f'{_LOOPBACK}:{context.listener.getsockname()[1]}'
    client = HttpClient(address, timeout_s=time_limit_s, step='test')
    sent_at = time.monotonic()
    try:
        client.request(HttpRequest.from_json('GET', '/'))
    except PeerTimeoutError:
        assert time.monotonic() - sent_at < limit_s
    else:
        raise AssertionError('the request did not time out')
