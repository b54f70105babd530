"""HTTP server in threads of this process, for stand-ins inside tests."""

from __future__ import annotations

import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Self


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
