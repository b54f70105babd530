"""Steps on responses that aren't well-formed, at raw servers on loopback addresses."""

from __future__ import annotations

import http.client
import socket
import string
import struct
import threading
from collections.abc import Callable
from functools import partial
from types import MappingProxyType

from behave import register_type, then
from behave.runner import Context

from pimentohoist._entry.connections import ConnectionPool
from pimentohoist._http_client import HttpClient
from pimentohoist._http_connection import HttpRequest
from pimentohoist.entry_models import Endpoint, EntryRequest
from pimentohoist.exceptions import PeerError
from pimentohoist.platform import ReadPosition, Store
from pimentohoist_standins.odd_heads import (
    MALFORMED_LINES,
    MALFORMED_RESPONSES,
    SOUND_RESPONSES,
    OddResponse,
    Place,
)
from pimentohoist_standins.raw_server import (
    RawServer,
    send_in_turn,
    send_once,
    send_slowly,
)

_LINGER_RESETS = struct.pack('ii', 1, 0)
_READ_BYTES = 65_536
_TIMEOUT_S = 5.0
_ALPHANUMERIC = string.ascii_letters + string.digits
_TOKEN_OCTETS = _ALPHANUMERIC.encode() + b"!#$%&'*+-.^_`|~"
_VALUE_OCTETS = b'\t' + bytes(range(0x20, 0x7F)) + bytes(range(0x80, 0x100))
_REQUEST = HttpRequest('GET', '/x')
_OWN = 'Pimentohoist-Attempt-Id: r1\r\nPimentohoist-Response-Seal: 1\r\n'
_CHUNKED = 'Transfer-Encoding: chunked\r\n'
_RESPONSES = MappingProxyType(
    {
        'status': f'HTTP/1.1 {{}} x\r\n{_OWN}Content-Length: 5\r\n\r\nhello',
        'length': f'HTTP/1.1 200 x\r\n{_OWN}Content-Length: {{}}\r\n\r\nhello',
        'chunk size': (
            f'HTTP/1.1 200 x\r\n{_OWN}{_CHUNKED}\r\n{{}}\r\nhello\r\n0\r\n\r\n'
        ),
        'chunk end': (f'HTTP/1.1 200 x\r\n{_OWN}{_CHUNKED}\r\n5\r\nhello{{}}0\r\n\r\n'),
    }
)
_MALFORMED = (
    f'HTTP/1.1  200 x\r\n{_OWN}Content-Length: 5\r\n\r\nhello',
    f'HTTP/1.1\t200 x\r\n{_OWN}Content-Length: 5\r\n\r\nhello',
    f'HTTP/1.1 200 x\r\n{_OWN}Content-Length: 5\r\nContent-Length: 4\r\n\r\nhello',
    f'HTTP/1.1 200 x\r\n{_OWN}Transfer-Encoding: gzip, chunked\r\n\r\nhello',
)


def _part_name(text: str) -> str:
    return text


_part_name.pattern = '|'.join(_RESPONSES)  # type: ignore[attr-defined]
register_type(PartName=_part_name)


def _exchange(
    address: str,
    size: int = 0,
    *,
    request_id: str = 'r1',
    pool: ConnectionPool | None = None,
    is_daemon: bool = False,
) -> bytes:
    """Return the body of an endpoint's response; raises PeerError."""
    endpoint = Endpoint('e', 's', address, 'a', 4, False, 1, 0, is_daemon=is_daemon)
    body = b'x' * size
    request = EntryRequest(
        request_id, 'POST', 'h', '/x', (), body, '', None, None, None, 0
    )
    connections = pool or ConnectionPool()
    exchange = connections.send(endpoint, request, [('Host', 'h')], lambda opened: None)
    timer = threading.Timer(_TIMEOUT_S, exchange.abort)
    timer.start()
    try:
        exchange.read_head()
        return b''.join(exchange.read_body())
    finally:
        timer.cancel()
        exchange.close()


def _client(address: str) -> HttpClient:
    return HttpClient(address, timeout_s=_TIMEOUT_S, step='test')


def _call(address: str, *, client: HttpClient | None = None) -> bytes:
    """Return the body of a response of the store or of another daemon."""
    return (client or _client(address)).request(_REQUEST).body


def _stream(address: str) -> bytes:
    with _client(address).stream(_REQUEST) as response:
        return response.read_all(_READ_BYTES)


def _start(address: str) -> bytes:
    with _client(address).start(_REQUEST, timeout_s=_TIMEOUT_S) as pending:
        return pending.response().read_all(_READ_BYTES)


def _send(address: str) -> bytes:
    return _client(address).send(_REQUEST).read_response().body


_READERS = MappingProxyType(
    {
        'endpoint': _exchange,
        'daemon': partial(_exchange, is_daemon=True),
        **{'call': _call, 'stream': _stream, 'start': _start, 'send': _send},
    }
)


def _bodies(response: str) -> list[bytes | None]:
    """Return what each client takes as the response's body; None if it takes none."""
    with RawServer(partial(send_once, response.encode())) as server:
        return [_taken(client, server.address) for client in (_exchange, _call)]


def _taken(client: Callable[[str], bytes], address: str) -> bytes | None:
    try:
        return client(address)
    except (PeerError, http.client.HTTPException):
        return None


def _response(part: str, text: str) -> str:
    return _RESPONSES[part].format(text.replace('CRLF', '\r\n'))


@then('no client takes a response with the {part:PartName} {text}')
def check_refused(context: Context, part: str, text: str) -> None:
    assert _bodies(_response(part, text)) == [None, None], _bodies(
        _response(part, text)
    )


@then('each client takes the same response with the {part:PartName} {text}')
def check_taken(context: Context, part: str, text: str) -> None:
    bodies = _bodies(_response(part, text))
    assert bodies == [b'hello', b'hello'], bodies


@then('no client takes a status after two blanks, two lengths or an unknown coding')
def check_malformed(context: Context) -> None:
    taken = [_bodies(response) for response in _MALFORMED]
    assert all(bodies == [None, None] for bodies in taken), taken


@then(
    'an upload of {size:d} bytes whose connection is reset after {read:d} bytes '
    'has no response'
)
def check_reset(context: Context, size: int, read: int) -> None:
    def serve(connection: socket.socket) -> None:
        connection.recv(1)
        connection.sendall(f'HTTP/1.1 200 x\r\n{_OWN}\r\nhello'.encode())
        left = read
        while left > 0:
            left -= len(connection.recv(min(left, _READ_BYTES)))
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESETS)

    with RawServer(serve) as server:
        body = _taken(lambda target: _exchange(target, size), server.address)
    assert body is None, body


def _taken_by_readers(response: OddResponse, send: Callable = send_once) -> set:
    with RawServer(partial(send, response.data())) as server:
        return {_taken(read, server.address) for read in _READERS.values()}


@then("no reader takes a response whose {part} has a line that isn't well-formed")
def check_malformed_part(context: Context, part: str) -> None:
    taken = {
        response: bodies
        for response in MALFORMED_RESPONSES[part]
        if (bodies := _taken_by_readers(response)) != {None}
    }
    assert not taken, f'{len(taken)}: {list(taken.items())[:4]}'


@then('each reader takes a response whose {part} is sound and rare')
def check_sound_part(context: Context, part: str) -> None:
    lost = {
        response: bodies
        for response in SOUND_RESPONSES[part]
        if (bodies := _taken_by_readers(response)) != {response.body}
    }
    assert not lost, f'{len(lost)}: {list(lost.items())[:4]}'


@then('each reader takes just the octets that a token and a value may have')
def check_octets(context: Context) -> None:
    for octet in map(bytes, zip(range(256))):
        # A colon ends the name, and the rest is the value.
        in_name = OddResponse(line=b'X-%bOdd: 1' % octet)
        expected = in_name.body if octet in _TOKEN_OCTETS + b':' else None
        assert _taken_by_readers(in_name) == {expected}, octet
        in_value = OddResponse(line=b'X-Odd: 1%b2' % octet)
        expected = in_value.body if octet in _VALUE_OCTETS else None
        assert _taken_by_readers(in_value) == {expected}, octet


@then('heads that come byte by byte are taken if they are sound, else refused')
def check_slow_heads(context: Context) -> None:
    for part, (response, *_) in SOUND_RESPONSES.items():
        bodies = _taken_by_readers(response, send_slowly)
        assert bodies == {response.body}, (part, bodies)
    for part, (response, *_) in MALFORMED_RESPONSES.items():
        bodies = _taken_by_readers(response, send_slowly)
        assert bodies == {None}, (part, bodies)


@then('each reader takes a head whose lines end in a line feed alone')
def check_line_feeds(context: Context) -> None:
    data = OddResponse().data().replace(b'\r\n', b'\n')
    with RawServer(partial(send_once, data)) as server:
        bodies = {_taken(read, server.address) for read in _READERS.values()}
    assert bodies == {b'hello'}, bodies


@then('a connection that brought a malformed {part} carries no other request')
def check_connections(context: Context, part: str) -> None:
    for response in MALFORMED_RESPONSES[part]:
        pool, client = ConnectionPool(), _client('')
        exchanges = [
            partial(_exchange, pool=pool, request_id=name) for name in ('r1', 'r2')
        ]
        for readers in (exchanges, [partial(_call, client=client) for _ in exchanges]):
            answers = [response.data(), OddResponse('r2').data()]
            with RawServer(partial(send_in_turn, answers)) as server:
                client.address = server.address
                bodies = [_taken(read, server.address) for read in readers]
            assert bodies == [None, b'hello'], (response, bodies)
            assert server.connections == len(readers), response


@then('a store whose answer has such a line has told neither an era nor records')
def check_store(context: Context) -> None:
    for name, line in MALFORMED_LINES.items():
        response = OddResponse(body=bytes(16), line=line, place=Place.FIRST)
        data = response.data().replace(b'Pimentohoist-Attempt-Id: r1', b'Store-Era: 7')
        with RawServer(partial(send_once, data)) as server:
            store = Store(server.address)
            read = _taken(partial(_read_store, store), server.address)
        assert (read, store.era.current) == (None, 0), (name, read)


def _read_store(store: Store, address: str) -> object:
    return store.read_changes('topic', ReadPosition(0, 0), wait_s=0)
