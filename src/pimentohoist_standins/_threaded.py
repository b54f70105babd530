"""HTTP server in threads of this process, for stand-ins inside tests."""

from __future__ import annotations

import socket
import sys
import threading
from contextlib import suppress
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any, Self


class ThreadedStandIn:
    """Context manager that serves HTTP from its entry to its exit."""

    def __init__(
        self, address: tuple[str, int], handler: type[BaseHTTPRequestHandler]
    ) -> None:
        self._server = _Server(address, handler)

    def __enter__(self) -> Self:
        """Start the server."""
        threading.Thread(target=self._server.serve_forever, daemon=True).start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Stop the server."""
        self._server.shutdown()
        self._server.server_close()

    def crash(self) -> None:
        """Refuse connections and cut those that are open, from any thread."""
        self._server.crash()

    @property
    def address(self) -> str:
        """Address of the server, as ``ip:port``."""
        host, port = self._server.server_address[:2]
        return f'{host!s}:{port}'


class SilentHandler(BaseHTTPRequestHandler):
    """Keeps connections open and writes no log, since tests check the responses."""

    protocol_version = 'HTTP/1.1'

    def log_message(self, format: str, *arguments: object) -> None:  # noqa: A002
        """Write nothing."""


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def __init__(self, *args: Any) -> None:
        self._open: set[socket.socket] = set()
        super().__init__(*args)

    def get_request(self) -> Any:
        """Accept a connection."""
        connection, address = super().get_request()
        self._open.add(connection)
        return connection, address

    def shutdown_request(self, request: Any) -> None:
        """Close a connection."""
        self._open.discard(request)
        super().shutdown_request(request)

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Ignore connections that the other end or a crash has cut."""
        if not isinstance(sys.exception(), OSError):
            super().handle_error(request, client_address)

    def crash(self) -> None:
        """Close the listener and cut the open connections."""
        # A close alone has no effect while the loop waits for the listener.
        self.socket.shutdown(socket.SHUT_RDWR)
        self.server_close()
        for connection in tuple(self._open):
            with suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)
        # The loop would spin on the closed listener.
        self.shutdown()
