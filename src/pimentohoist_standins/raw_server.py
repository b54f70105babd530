"""A server that answers each request with bytes as they are given."""

from __future__ import annotations

import http.client
import io
import socket
import threading
from collections.abc import Callable
from contextlib import suppress
from typing import Self

_LOOPBACK = '127.0.0.1'
_READ_BYTES = 65_536

Serve = Callable[[socket.socket], None]


class RawServer:
    """Context manager that serves the connections of one loopback address.

    Parameters
    ----------
    serve : callable
        Serves one connection, which is closed afterwards; such as one of this module's
        functions with what it sends.

    Attributes
    ----------
    connections : int
        Connections accepted since the start.
    """

    def __init__(self, serve: Serve) -> None:
        self.serve = serve
        self.connections = 0
        self._listener = socket.create_server((_LOOPBACK, 0))
        self.address = '{}:{}'.format(*self._listener.getsockname())

    def __enter__(self) -> Self:
        """Start the server."""
        threading.Thread(target=self._accept, daemon=True).start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Stop the server."""
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _accept(self) -> None:
        with suppress(OSError):
            while True:
                connection, _ = self._listener.accept()
                self.connections += 1
                run = threading.Thread(target=self._run, args=(connection,))
                run.daemon = True
                run.start()

    def _run(self, connection: socket.socket) -> None:
        with connection, suppress(OSError):
            self.serve(connection)


def send_once(data: bytes, connection: socket.socket) -> None:
    """Answer the first request."""
    connection.recv(_READ_BYTES)
    connection.sendall(data)


def send_slowly(data: bytes, connection: socket.socket) -> None:
    """Answer the first request, with one byte a packet."""
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    connection.recv(_READ_BYTES)
    for octet in data:
        connection.sendall(bytes((octet,)))


def send_in_turn(answers: list[bytes], connection: socket.socket) -> None:
    """Answer each request with the next bytes, which connections may share."""
    with connection.makefile('rb') as reader:
        while answers and _read_request(reader):
            connection.sendall(answers.pop(0))


def _read_request(reader: io.BufferedReader) -> bool:
    """Read a request; return whether one came."""
    if not reader.readline():
        return False
    fields = http.client.parse_headers(reader)
    reader.read(int(fields.get('Content-Length', '0')))
    return True
