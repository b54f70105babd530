"""The HTTP server for callers, which keeps connections open after streams too."""

from __future__ import annotations

from typing import Any

from waitress.parser import HTTPRequestParser, ParsingError
from waitress.utilities import RequestEntityTooLarge

from pimentohoist import _clock
from pimentohoist._http_server import HttpServer, ServerChannel, ServerTask, WsgiApp
from pimentohoist.entry_models import CallerLimits

RECEIVED_AT = 'pimentohoist.received_at'
"""Key of the WSGI environment: time of `_clock.now` in seconds of a request's last byte."""

_THREADS = 160
"""Requests handled at once; at the heaviest load of an instance about a hundred wait."""

_MAX_CONNECTIONS = 2000
_MAX_HEADER_BYTES = 65_536
_MAX_BODY_BYTES = 16_777_216
_MAX_FRAMING_FACTOR = 6
"""Bytes on the wire for each byte of a body that is sent in chunks of one byte."""

_TRANSFER_ENCODING = b'\ntransfer-encoding:'
_HEADER_TIMEOUT_S = 10.0
"""Limits that apply until a configuration with the operators' limits is known."""


class CallersServer(HttpServer):
    """Serves callers; while it drains, connections close after their next response.

    Attributes
    ----------
    header_timeout_s : float
        Time from a header's first byte to its last.
    is_draining : bool
        Whether connections close after their next response.
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
        self.is_draining = False
        self.header_timeout_s = _HEADER_TIMEOUT_S
        self._server.callers_server = self
        self._server.adj.max_body_bytes = _MAX_BODY_BYTES
        self._server.channel_class = _Channel

    def apply_limits(self, limits: CallerLimits) -> None:
        """Apply the declared limits, also to connections that are open."""
        adjustments = self._server.adj
        # Waitress refuses a size that equals its limit; the declared limits are inclusive.
        adjustments.max_request_header_size = limits.max_header_bytes + 1
        adjustments.max_request_body_size = (
            _MAX_FRAMING_FACTOR * limits.max_body_bytes + 1
        )
        adjustments.max_body_bytes = limits.max_body_bytes
        self._server.idle_timeout_s = limits.idle_timeout_s
        self.header_timeout_s = limits.header_timeout_s


class _Parser(HTTPRequestParser):
    """Refuses bodies that are too large and requests whose end is ambiguous."""

    adj: Any

    def __init__(self, adj: Any) -> None:
        super().__init__(adj)
        self.completed_at: float | None = None

    def received(self, data: bytes) -> Any:
        """Parse bytes and check the body's size without the framing of its chunks.

        Waitress's own limit counts the framing too.
        """
        consumed = super().received(data)
        body = self.body_rcv
        size = max(self.content_length, 0 if body is None else len(body))
        if size > self.adj.max_body_bytes and self.error is None:
            self.error = RequestEntityTooLarge(
                f'body exceeds {self.adj.max_body_bytes} bytes'
            )
            self.completed = True
        if self.completed and self.completed_at is None:
            self.completed_at = _clock.now()
        return consumed

    def parse_header(self, header_plus: bytes) -> None:
        """Refuse chunks together with a length, and chunks before HTTP/1.1."""
        super().parse_header(header_plus)
        has_transfer_encoding = _TRANSFER_ENCODING in header_plus.lower()
        has_length = 'CONTENT_LENGTH' in self.headers
        if has_transfer_encoding and (has_length or not self.chunked):
            raise ParsingError(
                'Transfer-Encoding: expected chunked in HTTP/1.1 without Content-Length'
            )


class _Task(ServerTask):
    """Keeps the connection open after a chunked response, which its last chunk ends."""

    def get_environment(self) -> Any:
        request: Any = self.request
        return {**super().get_environment(), RECEIVED_AT: request.completed_at}

    def build_response_header(self) -> Any:
        if self.channel.server.callers_server.is_draining:
            super().set_close_on_finish()
        return super().build_response_header()

    def set_close_on_finish(self) -> None:
        request: Any = self.request
        connection_header = request.headers.get('CONNECTION', '').lower()
        if (
            self.chunked_response
            and connection_header != 'close'
            and not self.wrote_header
        ):
            return
        super().set_close_on_finish()


class _Channel(ServerChannel):
    """Closes a connection whose header takes too long, even if bytes still arrive."""

    parser_class = _Parser
    task_class = _Task
    server: Any

    def __init__(self, *args: Any, **options: Any) -> None:
        self.header_started_at: float | None = None
        super().__init__(*args, **options)

    def received(self, data: bytes) -> Any:
        """Parse bytes and record when a header begins."""
        consumed = super().received(data)
        request: Any = self.request
        if request is None or request.headers_finished:
            self.header_started_at = None
        elif self.header_started_at is None:
            self.header_started_at = _clock.now()
        return consumed

    def readable(self) -> Any:
        """Return whether to read on, and check the header's time.

        The server calls this about once a second at least.
        """
        if self.requests or self.total_outbufs_len:
            # The response before it comes first.
            self.header_started_at = self.header_started_at and _clock.now()
        started_at = self.header_started_at
        if started_at is not None:
            elapsed_s = _clock.now() - started_at
            self.will_close = (
                self.will_close
                or elapsed_s > self.server.callers_server.header_timeout_s
            )
        return super().readable()
