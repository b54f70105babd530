"""Steps on responses that aren't well-formed, at raw servers on loopback addresses."""

from __future__ import annotations

import socket
import struct
import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from types import MappingProxyType

from behave import register_type, then
from behave.runner import Context

from pimentohoist._entry.connections import ConnectionPool
from pimentohoist._http_client import HttpClient
from pimentohoist._http_connection import HttpRequest
from pimentohoist.entry_models import Endpoint, EntryRequest
from pimentohoist.exceptions import PeerError

_LOOPBACK = '127.0.0.1'
_LINGER_RESETS = struct.pack('ii', 1, 0)
_READ_BYTES = 65_536
_TIMEOUT_S = 5.0
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

Serve = Callable[[socket.socket], None]


@contextmanager
def _server(serve: Serve) -> Iterator[str]:
    """Serve connections with a function until the context ends."""

    def accept() -> None:
        with suppress(OSError):
            while True:
                connection, _ = listener.accept()
                with connection, suppress(OSError):
                    serve(connection)

    with socket.create_server((_LOOPBACK, 0)) as listener:
        threading.Thread(target=accept, daemon=True).start()
        yield f'{_LOOPBACK}:{listener.getsockname()[1]}'
        listener.shutdown(socket.SHUT_RDWR)


def _answer(response: str) -> Serve:
    def serve(connection: socket.socket) -> None:
        connection.recv(_READ_BYTES)
        connection.sendall(response.encode())

    return serve


def _exchange(address: str, size: int = 0) -> bytes:
    """Return the body of an endpoint's response; raises PeerError."""
    endpoint = Endpoint('e', 's', address, 'a', 4, False, 1, 0)
    body = b'x' * size
    request = EntryRequest('r1', 'POST', 'h', '/x', (), body, '', None, None, None, 0)
    pool = ConnectionPool()
    exchange = pool.send(endpoint, request, [('Host', 'h')], lambda opened: None)
    timer = threading.Timer(_TIMEOUT_S, exchange.abort)
    timer.start()
    try:
        exchange.read_head()
        return b''.join(exchange.read_body())
    finally:
        timer.cancel()
        exchange.close()


def _call(address: str) -> bytes:
    """Return the body of a response of the store or of another daemon."""
    client = HttpClient(address, timeout_s=_TIMEOUT_S, step='test')
    return client.request(HttpRequest('GET', '/x')).body


def _bodies(response: str) -> list[bytes | None]:
    """Return what each client takes as the response's body; None if it takes none."""
    with _server(_answer(response)) as address:
        return [_taken(client, address) for client in (_exchange, _call)]


def _taken(client: Callable[[str], bytes], address: str) -> bytes | None:
    try:
        return client(address)
    except PeerError:
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

    with _server(serve) as address:
        body = _taken(lambda target: _exchange(target, size), address)
    assert body is None, body
