"""An HTTP server on one address, with its own threads for requests."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable, Iterable
from typing import Any, Self

from waitress.server import create_server

from pimentohoist._addresses import split_address

WsgiApp = Callable[..., Iterable[bytes]]

_SHUTDOWN_TIMEOUT_S = 1.0
# Above 0, waitress reads on while a request runs and so detects a disconnected client.
_LOOKAHEAD_REQUESTS = 1
_IDLE_CONNECTION_TIMEOUT_S = 60
_IDLE_POLL_INTERVAL_S = 0.01


class HttpServer:
    """Serves a WSGI application from the start to the end of its context."""

    def __init__(
        self,
        app: WsgiApp,
        address: str,
        *,
        threads: int,
        max_body_bytes: int = 1_073_741_824,
        **adjustments: Any,
    ) -> None:
        host, port = split_address(address)
        self.address = address
        options = {
            'connection_limit': max(1000, 2 * threads),
            'channel_timeout': _IDLE_CONNECTION_TIMEOUT_S,
            **adjustments,
        }
        self._server: Any = create_server(
            app,
            host=host,
            port=port,
            threads=threads,
            max_request_body_size=max_body_bytes,
            channel_request_lookahead=_LOOKAHEAD_REQUESTS,
            cleanup_interval=5,
            asyncore_use_poll=True,
            ident=None,
            **options,
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
        """Stop accepting, let requests in flight finish and close the sockets."""
        self._is_closing = True
        self._server.accepting = False
        deadline = time.monotonic() + _SHUTDOWN_TIMEOUT_S
        while not self.is_idle() and time.monotonic() < deadline:
            time.sleep(_IDLE_POLL_INTERVAL_S)
        self._server.task_dispatcher.shutdown(
            cancel_pending=True, timeout=_SHUTDOWN_TIMEOUT_S
        )
        self._server.close()

    def is_idle(self) -> bool:
        """Return whether no request is being received, queued, executed or answered."""
        channels = tuple(self._server.active_channels.values())
        return not any(
            channel.requests or channel.request or channel.total_outbufs_len
            for channel in channels
        )

    def _run(self) -> None:
        try:
            self._server.run()
        except OSError:
            # Closing the socket ends the loop with an error on some platforms.
            if not self._is_closing:
                raise
