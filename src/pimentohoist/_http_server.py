"""An HTTP server on one address, with its own threads."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable
from typing import Any, Self

from waitress.server import create_server

from pimentohoist._addresses import split_address

WsgiApp = Callable[..., Iterable[bytes]]

_SHUTDOWN_TIMEOUT_S = 5.0
_LOOKAHEAD_BYTES = 1
_IDLE_TIMEOUT_S = 60


class HttpServer:
    """Serves a WSGI application from the start to the end of its context."""

    def __init__(
        self,
        app: WsgiApp,
        address: str,
        *,
        threads: int,
        max_body_bytes: int = 1_073_741_824,
    ) -> None:
        host, port = split_address(address)
        self.address = address
        self._server: Any = create_server(
            app,
            host=host,
            port=port,
            threads=threads,
            connection_limit=max(1000, 2 * threads),
            max_request_body_size=max_body_bytes,
            channel_request_lookahead=_LOOKAHEAD_BYTES,
            channel_timeout=_IDLE_TIMEOUT_S,
            cleanup_interval=5,
            asyncore_use_poll=True,
            ident=None,
        )
        self._thread = threading.Thread(
            target=self._run, name=f'http-{address}', daemon=True
        )
        self._is_closing = False

    def __enter__(self) -> Self:
        """Start serving."""
        self._thread.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Finish the requests under way and close the socket."""
        self._is_closing = True
        self._server.task_dispatcher.shutdown(
            cancel_pending=True, timeout=_SHUTDOWN_TIMEOUT_S
        )
        self._server.close()

    def _run(self) -> None:
        try:
            self._server.run()
        except OSError:
            # Closing the socket ends the loop with an error on some platforms.
            if not self._is_closing:
                raise
