"""The HTTP server of callers: keeps connections open, also after streams."""

from __future__ import annotations

from typing import Any

from waitress.channel import HTTPChannel
from waitress.parser import HTTPRequestParser, ParsingError
from waitress.task import WSGITask
from waitress.utilities import RequestEntityTooLarge

from pimentohoist import _clock
from pimentohoist._http_server import HttpServer, WsgiApp
from pimentohoist.entry_models import CallerLimits

_THREADS = 160
"""Requests at once; the heaviest load of an instance keeps about a hundred waiting."""

_MAX_CONNECTIONS = 2000
_MAX_HEADER_BYTES = 65_536
_MAX_BODY_BYTES = 16_777_216
_MAX_FRAMING = 6
"""Bytes on the wire for one of a body that comes in chunks of one byte."""

_TRANSFER_ENCODING = b'\ntransfer-encoding:'
_HEADER_S = 10.0
"""Limits until a configuration is known, which holds the operators' own."""


class CallersServer(HttpServer):
    """Serves callers; while it is leaving, connections end with their next answer.

    Attributes
    ----------
    header_s : float
        Longest time that a header may take.
    """

    def __init__(self, app: WsgiApp, address: str) -> None:
        super().__init__(
            app,
            address,
            threads=_THREADS,
            max_body_bytes=_MAX_BODY_BYTES,
            connection_limit=_MAX_CONNECTIONS,
            max_request_header_size=_MAX_HEADER_BYTES,
            clear_untrusted_proxy_headers=False,
            log_socket_errors=False,
        )
        self.is_leaving = False
        self.header_s = _HEADER_S
        self._server.callers = self
        self._server.adj.body_bytes = _MAX_BODY_BYTES
        self._server.channel_class = _Channel

    def limit(self, limits: CallerLimits) -> None:
        """Put the declared limits in force, also for connections that are open."""
        adjustments = self._server.adj
        # The library refuses what reaches a limit; the declared ones may be reached.
        adjustments.max_request_header_size = limits.header_bytes + 1
        adjustments.max_request_body_size = _MAX_FRAMING * limits.body_bytes + 1
        adjustments.body_bytes = limits.body_bytes
        adjustments.channel_timeout = max(1, int(limits.idle_s))
        self.header_s = limits.header_s


class _Parser(HTTPRequestParser):
    """Refuses large bodies, and requests whose end two readers could see differently."""

    adj: Any

    def received(self, data: bytes) -> Any:
        """Take in bytes; the library's own limit counts the framing of chunks too."""
        consumed = super().received(data)
        body = self.body_rcv
        size = max(self.content_length, 0 if body is None else len(body))
        if size > self.adj.body_bytes and self.error is None:
            self.error = RequestEntityTooLarge(f'body beyond {self.adj.body_bytes}')
            self.completed = True
        return consumed

    def parse_header(self, header_plus: bytes) -> None:
        """Refuse a length beside chunks, and chunks before HTTP/1.1."""
        super().parse_header(header_plus)
        is_encoded = _TRANSFER_ENCODING in header_plus.lower()
        has_length = 'CONTENT_LENGTH' in self.headers
        if is_encoded and (has_length or not self.chunked):
            raise ParsingError('the length of the body is ambiguous')


class _Task(WSGITask):
    """An answer in chunks ends with its last chunk, not with the connection."""

    channel: Any

    def build_response_header(self) -> Any:
        if self.channel.server.callers.is_leaving:
            super().set_close_on_finish()
        return super().build_response_header()

    def set_close_on_finish(self) -> None:
        request: Any = self.request
        asked = request.headers.get('CONNECTION', '').lower()
        if self.chunked_response and asked != 'close' and not self.wrote_header:
            return
        super().set_close_on_finish()


class _Channel(HTTPChannel):
    """Closes a connection whose header takes too long; bytes don't prolong it."""

    parser_class = _Parser
    task_class = _Task
    server: Any

    def __init__(self, *args: Any, **options: Any) -> None:
        self.header_began_at: float | None = None
        super().__init__(*args, **options)

    def received(self, data: bytes) -> Any:
        """Take in bytes and note when a header begins."""
        answer = super().received(data)
        request: Any = self.request
        if request is None or request.headers_finished:
            self.header_began_at = None
        elif self.header_began_at is None:
            self.header_began_at = _clock.now()
        return answer

    def readable(self) -> Any:
        """Return whether to read on; asked about once a second at least."""
        began_at = self.header_began_at
        if began_at is not None:
            took_s = _clock.now() - began_at
            self.will_close = self.will_close or took_s > self.server.callers.header_s
        return super().readable()
