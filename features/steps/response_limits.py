"""Steps on the limits on responses, without daemons and mostly without sockets."""

from __future__ import annotations

import http.client
import io
import re
import socket
import threading
from collections import deque
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress

from behave import then
from behave.runner import Context
from hypothesis import example, given, seed, settings
from hypothesis import strategies as st

from pimentohoist._entry.connections import ConnectionPool, UpstreamExchange
from pimentohoist._entry.event_stream import EventSplitter
from pimentohoist._entry.response_memory import ResponseMemory
from pimentohoist._http_client import HttpClient
from pimentohoist._http_connection import HttpRequest
from pimentohoist._limited_reader import ByteLimitError, LimitedResponse
from pimentohoist._platform_clients.engine import EventReader
from pimentohoist.entry_models import Endpoint, EntryRequest
from pimentohoist.exceptions import PeerError

_SEED = 20261204
_GENERATED = settings(max_examples=300, deadline=None, database=None)
_SOCKET_EXAMPLES = settings(max_examples=150, deadline=None, database=None)
_MAX_BODY_BYTES = 2000
_MAX_HEAD_BYTES = 65_536
_MAX_READ_BYTES = 16_384
_MAX_FRAMING_FACTOR = 8
_MAX_EVENT_BYTES = 1_048_576
_LINE_PART = b'x' * 16_384
_FREE_BYTES = 16_384
_PIECES = st.sampled_from(
    [
        b'HTTP/1.1 200 OK\r\n',
        b'HTTP/1.0 200 OK\r\n',
        b'HTTP/1.1 100 Continue\r\n\r\n',
        b'HTTP/1.1 204 No Content\r\n\r\n',
        b'HTTP/1.1 999999999999 ?\r\n',
        b'HTTP/9.9 200 OK\r\n',
        b'Content-Length: 5\r\n',
        b'Content-Length: -5\r\n',
        b'Content-Length: 99999999999999999999\r\n',
        b'Content-Length: %b\r\n' % (b'9' * 5000),
        b'Transfer-Encoding: chunked\r\n',
        b'Connection: close\r\n',
        b'Pimentohoist-Attempt-Id: r1\r\n',
        b'Pimentohoist-Response-Seal: 1\r\n',
        b'Keep-Alive: timeout=999999\r\n',
        b'\xff\xfe: \x00\r\n',
        b'no colon\r\n',
        b' folded\r\n',
        b'\r\n',
        b'\n',
        b'5\r\nhello\r\n',
        b'0\r\n',
        b'0\r\n\r\n',
        b'-5\r\n',
        b'1_0\r\n',
        b'ffffffffffffffffffff\r\n',
        b'5;%b\r\n' % (b'e' * 70_000),
        b'x' * 3000,
        b'X-More: 1\r\n' * 120,
        b'HTTP/1.1 100 Continue\r\n\r\n' * 4000,
    ]
)
_OWN_HEAD = (
    b'HTTP/1.1 200 OK\r\n'
    b'Pimentohoist-Attempt-Id: r1\r\nPimentohoist-Response-Seal: 1\r\n'
)
_MIXED = st.lists(_PIECES | st.binary(max_size=20), max_size=12)
_ANSWERS = (
    _MIXED
    | _MIXED.map(lambda pieces: [_OWN_HEAD, *pieces])
    | _MIXED.map(lambda pieces: [_OWN_HEAD, b'\r\n', *pieces])
)
"""Arbitrary pieces, and pieces behind a sound beginning of a head or a sound head."""
_EVENT_END = re.compile(rb'\n\r?\n|\n\r[^\n]|\r\r')
_EVENT_ENDS = (b'\n\n', b'\n\r\n', b'\n\r', b'\r\r', b'\r\r\n')
_EVENT_PIECES = st.sampled_from(
    [b'id: 1\n', b'id:2\r\n', b'data: x', b'\n', b'\r\n', b'\r', b'\n\n', b'\r\n\r\n']
)


class _Source(io.RawIOBase):
    """Yields pieces, one a read."""

    def __init__(self, pieces: list[bytes]) -> None:
        self.pieces = [piece for piece in pieces if piece]
        self.size = sum(map(len, pieces))

    def readable(self) -> bool:
        return True

    def readinto(self, buffer: bytearray) -> int:
        if not self.pieces:
            return 0
        piece = self.pieces.pop(0)
        count = io.BytesIO(piece).readinto(buffer)
        if piece[count:]:
            self.pieces.insert(0, piece[count:])
        return count

    def taken(self) -> int:
        return self.size - sum(map(len, self.pieces))


class _SourceSocket:
    """The part of a socket that a response uses."""

    def __init__(self, pieces: list[bytes]) -> None:
        self.source = _Source(pieces)

    def makefile(self, mode: str, buffering: int) -> _Source:
        return self.source

    def gettimeout(self) -> float:
        return 0


@then('generated answers are read within the limits or end in a known error')
def check_generated_answers(context: Context) -> None:
    outcomes = {'read': 0, 'refused': 0}

    @seed(_SEED)
    @_GENERATED
    @given(pieces=_ANSWERS)
    @example(pieces=[b'HTTP/1.1 100 Continue\r\n\r\n' * 100_000])
    def check(pieces: list[bytes]) -> None:
        sock = _SourceSocket(pieces)
        response = LimitedResponse(sock)
        try:
            response.begin()
            body = response.read_all(_MAX_BODY_BYTES)
        except (http.client.HTTPException, OSError):
            outcomes['refused'] += 1
        else:
            outcomes['read'] += 1
            assert len(body) <= _MAX_BODY_BYTES
        limit = 2 * _MAX_HEAD_BYTES + _MAX_FRAMING_FACTOR * _MAX_READ_BYTES
        assert sock.source.taken() <= limit, sock.source.taken()
        if response.headers is None:
            assert sock.source.taken() <= _MAX_HEAD_BYTES, sock.source.taken()

    check()
    assert min(outcomes.values()) > 10, outcomes
    _check_generated_at_clients(context)


def _check_generated_at_clients(context: Context) -> None:
    listener = socket.create_server(('127.0.0.1', 0))
    context.stack.callback(listener.close)
    address = f'127.0.0.1:{listener.getsockname()[1]}'
    answers: deque[bytes] = deque(maxlen=1)
    threading.Thread(
        target=_serve_answers, args=(listener, answers), daemon=True
    ).start()

    @seed(_SEED)
    @_SOCKET_EXAMPLES
    @given(pieces=_ANSWERS)
    def check(pieces: list[bytes]) -> None:
        answers.append(b''.join(pieces))
        _check_client(address)
        _check_exchange(address)

    check()


def _serve_answers(listener: socket.socket, answers: deque[bytes]) -> None:
    while True:
        try:
            connection, _ = listener.accept()
        except OSError:
            return
        with connection, suppress(OSError):
            connection.recv(65_536)
            connection.sendall(answers[0])
            connection.shutdown(socket.SHUT_WR)
            # A close with unread bytes would reset the connection.
            connection.recv(65_536)


def _check_client(address: str) -> None:
    client = HttpClient(address, timeout_s=2, step='test')
    with suppress(PeerError):
        client.request(HttpRequest('GET', '/', is_repeatable=False))
    client.close()


def _ignore(exchange: UpstreamExchange) -> None:
    """Do nothing with an exchange."""


def _check_exchange(address: str) -> None:
    connections = ConnectionPool()
    endpoint = Endpoint('e', 's', address, 'a', 4, False, 1, 0)
    request = EntryRequest('r1', 'GET', 'h', '/x', (), b'', '', None, None, None, 0)
    try:
        exchange = connections.send(endpoint, request, [('Host', 'h')], _ignore)
    except PeerError:
        return
    with suppress(PeerError):
        exchange.read_head()
        exchange.read_body()
    exchange.close()
    connections.close_idle(address)


@then('generated streams are relayed unchanged or exceed the limit of an event')
def check_generated_events(context: Context) -> None:
    @seed(_SEED)
    @_GENERATED
    @given(
        pieces=st.lists(_EVENT_PIECES | st.binary(max_size=6), max_size=30),
        size=st.integers(1, 9),
    )
    def check(pieces: list[bytes], size: int) -> None:
        stream = b''.join(pieces)
        splitter = EventSplitter()
        relayed = b''
        for start in range(0, len(stream), size):
            events = splitter.feed(stream[start : start + size])
            assert not events or events.endswith(_EVENT_ENDS), events
            relayed += events
            rest = stream[len(relayed) : start + size]
            assert len(splitter) == len(rest), rest
            assert not _EVENT_END.search(rest), rest
        assert relayed + splitter.flush() == stream

    check()
    _check_event_limit(EventSplitter().feed)


def _check_event_limit(feed: Callable[[bytes], object]) -> None:
    taken = 0
    limit = ''
    try:
        while taken <= 2 * _MAX_EVENT_BYTES:
            feed(_LINE_PART)
            taken += len(_LINE_PART)
    except ByteLimitError as error:
        limit = error.limit
    assert limit == 'event', limit
    assert taken <= _MAX_EVENT_BYTES, taken


@then('an event line without an end is given up at its limit')
def check_event_line(context: Context) -> None:
    reader = EventReader()
    assert reader.feed(b'data: a\nda') == [b'a']
    assert reader.feed(b'ta') == []
    assert reader.feed(b': b\n\ndata: [DONE]\n') == [b'b']
    _check_event_limit(reader.feed)


@then('the oldest large body may grow and the others wait until it ends')
def check_memory(context: Context) -> None:
    memory = ResponseMemory(max_total_bytes=100)
    first, second = 'first', 'second'
    _check_resizes(memory, [(first, 60), (second, 40), ('small', 0)], can=True)
    _check_resizes(memory, [(second, 41)], can=False)
    _check_resizes(memory, [(first, 1_000_000), (second, 30)], can=True)
    with ThreadPoolExecutor(1) as pool:
        waiting = pool.submit(memory.resize, second, _FREE_BYTES + 41)
        memory.release(first)
        assert waiting.result()
    _check_resizes(memory, [(second, 1_000_000)], can=True)
    _check_resizes(memory, [(first, 1)], can=False)
    memory.release(second)
    _check_resizes(memory, [(first, 1)], can=True)


def _check_resizes(
    memory: ResponseMemory, resizes: list[tuple[str, int]], *, can: bool
) -> None:
    for holder, size in resizes:
        assert memory.resize(holder, _FREE_BYTES + size) is can, (holder, size)
