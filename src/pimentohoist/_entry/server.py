"""The HTTP server of callers: keeps connections open, also after streams."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from waitress.channel import HTTPChannel
from waitress.task import WSGITask

from pimentohoist._http_server import HttpServer, WsgiApp

_THREADS = 160
"""Requests at once; the heaviest load of an instance keeps about a hundred waiting."""

_MOST_CONNECTIONS = 2000
_MAX_HEADER_BYTES = 65_536
_MAX_BODY_BYTES = 16_777_216


class CallersServer(HttpServer):
    """Serves callers; while it is leaving, connections end with their next answer."""

    def __init__(self, app: WsgiApp, address: str) -> None:
        super().__init__(
            app,
            address,
            threads=_THREADS,
            max_body_bytes=_MAX_BODY_BYTES,
            connection_limit=_MOST_CONNECTIONS,
            max_request_header_size=_MAX_HEADER_BYTES,
            clear_untrusted_proxy_headers=False,
            log_socket_errors=False,
        )
        self.is_leaving = False
        self._server.channel_class = _channel_class(lambda: self.is_leaving)

    def limit_idle(self, seconds: float) -> None:
        """Close connections that are idle for longer."""
        self._server.adj.channel_timeout = max(1, int(seconds))


def _channel_class(is_leaving: Callable[[], bool]) -> type[HTTPChannel]:
    class _Task(WSGITask):  # noqa: WPS431
        """An answer in chunks ends with its last chunk, not with the connection."""

        def build_response_header(self) -> Any:
            if is_leaving():
                super().set_close_on_finish()
            return super().build_response_header()

        def set_close_on_finish(self) -> None:
            request: Any = self.request
            asked = request.headers.get('CONNECTION', '').lower()
            if self.chunked_response and asked != 'close' and not self.wrote_header:
                return
            super().set_close_on_finish()

    class _Channel(HTTPChannel):  # noqa: WPS431
        task_class = _Task

    return _Channel
