"""The HTTP server for callers, which keeps connections open after streams too."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from functools import partial
from typing import Any, cast

from waitress.parser import HTTPRequestParser, ParsingError
from waitress.receiver import FixedStreamReceiver
from waitress.utilities import RequestEntityTooLarge

from pimentohoist import _clock
from pimentohoist._decisions.caller_budget import (
    CALLERS_SHARE,
    connection_limit,
)
from pimentohoist._entry.body_receiver import BodyBuffer, ChunkedReceiver
from pimentohoist._entry.caller_memory import CallerMemory
from pimentohoist._http_server import HttpServer, ServerChannel, ServerTask, WsgiApp
from pimentohoist.entry_models import CallerLimits
from pimentohoist.exceptions import (
    BodyTimeoutError,
    PimentohoistError,
    UnavailableError,
)
from pimentohoist.platform import InstanceLimits

RECEIVED_AT = 'pimentohoist.received_at'
"""Key of the WSGI environment: time of `_clock.now` in seconds of a request's last byte."""

REFUSAL = 'pimentohoist.refusal'
"""Key of the WSGI environment: the error with which a request is refused whose body wasn't
read completely; else None."""

CheckHead = Callable[[str, str, Mapping[str, str]], str]
"""Checks the method, the target and the headers of a request that has a body. Returns the
name of its workspace, empty without one; raises PimentohoistError."""

_STEP = 'receive'
_THREADS = 160
"""Requests handled at once; at the heaviest load of an instance about a hundred wait."""

_MAX_HEADER_BYTES = 65_536
_MAX_BODY_BYTES = 16_777_216
_MAX_WIRE_FACTOR = 16
"""Bytes on the wire for each byte of a body, above what `ChunkedReceiver` accepts."""

_MAX_RESPONSE_BUFFER_BYTES = 1_048_576
"""A response that is read more slowly than it comes is held up to this size."""

_NO_OVERFLOW_BYTES = 1_073_741_824
"""Waitress moves larger buffers to files; none becomes as large."""

_MIN_COUNTED_BYTES = 16_384
_DEFAULT_LIMITS = InstanceLimits()
_RETRY_AFTER_S = 1.0
_TRANSFER_ENCODING = b'\ntransfer-encoding:'
_HEADER_TIMEOUT_S = 10.0
"""Limits that apply until a configuration with the operators' limits is known."""


@dataclass(frozen=True, slots=True)
class ServerSize:
    """What a server may use of its daemon.

    Attributes
    ----------
    connections_share : float
        Share of the daemon's connections.
    threads : int
        Requests that are handled at once.
    max_body_bytes : int
        Size of a body, until a configuration declares another one.
    """

    connections_share: float = CALLERS_SHARE
    threads: int = _THREADS
    max_body_bytes: int = _MAX_BODY_BYTES


_CALLERS_SIZE = ServerSize()


class CallersServer(HttpServer):
    """Serves callers; while it drains, connections close after their next response.

    Parameters
    ----------
    memory : CallerMemory or None
        Account of the bytes held for callers, which servers may share; None for one of
        its own.
    limits : InstanceLimits
        What the instance has, if the account is its own.
    size : ServerSize
        What the server may use; by default that of the server for callers.

    Attributes
    ----------
    header_timeout_s, body_timeout_s : float
        Time from a header's or a body's first byte to its last.
    is_draining : bool
        Whether connections close after their next response.
    check_head : callable
        Checks a request before its body is read.
    """

    def __init__(
        self,
        app: WsgiApp,
        address: str,
        *,
        memory: CallerMemory | None = None,
        limits: InstanceLimits = _DEFAULT_LIMITS,
        size: ServerSize = _CALLERS_SIZE,
    ) -> None:
        self.memory = memory or CallerMemory(limits)
        max_descriptors = self.memory.limits.max_descriptors
        super().__init__(
            app,
            address,
            threads=size.threads,
            max_body_bytes=_MAX_WIRE_FACTOR * size.max_body_bytes,
            connection_limit=connection_limit(max_descriptors, size.connections_share),
            max_request_header_size=_MAX_HEADER_BYTES,
            clear_untrusted_proxy_headers=False,
            log_socket_errors=False,
            outbuf_high_watermark=_MAX_RESPONSE_BUFFER_BYTES,
            outbuf_overflow=_NO_OVERFLOW_BYTES,
        )
        self.is_draining = False
        self.header_timeout_s = _HEADER_TIMEOUT_S
        self.body_timeout_s = self.memory.limits.body_timeout_s
        self.check_head: CheckHead = accept_head
        self._server.callers_server = self
        self._server.adj.callers_server = self
        self._server.adj.max_body_bytes = size.max_body_bytes
        self._server.channel_class = _Channel

    def apply_limits(self, limits: CallerLimits) -> None:
        """Apply the declared limits, also to connections that are open."""
        adjustments = self._server.adj
        # Waitress refuses a size that equals its limit; the declared limits are inclusive.
        adjustments.max_request_header_size = limits.max_header_bytes + 1
        adjustments.max_request_body_size = _MAX_WIRE_FACTOR * (
            limits.max_body_bytes + _MAX_HEADER_BYTES
        )
        adjustments.max_body_bytes = limits.max_body_bytes
        self.memory.allow_bodies(limits.max_body_bytes)
        self._server.idle_timeout_s = limits.idle_timeout_s
        self.header_timeout_s = limits.header_timeout_s


def accept_head(method: str, target: str, headers: Mapping[str, str]) -> str:
    """Accept any request, of no workspace."""
    return ''


class _Parser(HTTPRequestParser):
    """Refuses bodies that are too large and requests whose end is ambiguous.

    Attributes
    ----------
    group : str
        Workspace or address to which the request's bytes are counted.
    refusal : PimentohoistError or None
        Why its body isn't read to the end; the request doesn't run.
    eviction : PimentohoistError or None
        Set by any thread if others need its memory.
    body_started_at : float or None
        Time of `_clock.now` in seconds of its head's end.
    """

    adj: Any
    body_rcv: Any
    request_uri: str
    expect_continue: bool

    def __init__(self, adj: Any, group: str = '') -> None:
        super().__init__(adj)
        self.group = group
        self.completed_at: float | None = None
        self.body_started_at: float | None = None
        self.refusal: PimentohoistError | None = None
        self.eviction: PimentohoistError | None = None
        self._is_closed = False

    @property
    def held_bytes(self) -> int:
        """Return how many bytes of the request are held."""
        body = self.body_rcv
        body_bytes = 0 if body is None else len(body)
        return self.header_bytes_received + body_bytes

    def received(self, data: bytes) -> Any:
        """Parse bytes and check the body's size without the framing of its chunks.

        Waitress's own limit counts the framing too.
        """
        consumed = super().received(data)
        body = self.body_rcv
        body_bytes = 0 if body is None else len(body)
        size = max(self.content_length, body_bytes)
        if size > self.adj.max_body_bytes and self.error is None:
            self.error = RequestEntityTooLarge(
                f'body exceeds {self.adj.max_body_bytes} bytes'
            )
            self.completed = True
        if self.headers_finished and body is not None and self.body_started_at is None:
            self.body_started_at = _clock.now()
            self._check_head()
        if self.completed and self.completed_at is None:
            self.completed_at = _clock.now()
        self._record()
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
        if self.chunked:
            self.body_rcv = ChunkedReceiver(BodyBuffer(), self.adj.max_body_bytes)
        elif self.body_rcv is not None:
            self.body_rcv = FixedStreamReceiver(
                self.content_length, cast(Any, BodyBuffer())
            )

    def refuse(self, error: PimentohoistError) -> None:
        """End the request without the rest of its body; it doesn't run."""
        self.refusal = error
        self.completed = True
        self.completed_at = _clock.now()
        # Waitress would ask for the body.
        self.expect_continue = False
        self._discard_body()
        self._record()

    def close(self) -> None:
        """Discard what is held of the request."""
        super().close()
        self._is_closed = True
        self.adj.callers_server.memory.release(self)

    def _check_head(self) -> None:
        if self.error is not None:
            self.expect_continue = False
            self._discard_body()
            return
        server = self.adj.callers_server
        try:
            workspace = server.check_head(
                self.command, self.request_uri, dict(self.headers)
            )
        except PimentohoistError as error:
            self.refuse(error)
            server.memory.record_refusal('head', self.group, self.held_bytes)
        else:
            self.group = workspace or self.group

    def _discard_body(self) -> None:
        if self.body_rcv is not None:
            self.body_rcv.getbuf().close()
            self.body_rcv = None

    def _record(self) -> None:
        memory = self.adj.callers_server.memory
        if self.empty:
            memory.release(self)
        elif not self._is_closed:
            memory.record(self, self.held_bytes, is_complete=self.completed)


class _Task(ServerTask):
    """Keeps the connection open after a chunked response, which its last chunk ends."""

    def get_environment(self) -> Any:
        request: Any = self.request
        return {
            **super().get_environment(),
            RECEIVED_AT: request.completed_at,
            REFUSAL: request.refusal,
        }

    def build_response_header(self) -> Any:
        request: Any = self.request
        is_unread = request.refusal is not None
        if is_unread or self.channel.server.callers_server.is_draining:
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
    """Gives up heads and bodies that take too long, and reads while there is memory."""

    task_class = _Task
    server: Any
    request: Any
    requests: Any
    requests_lock: Any
    parser_class: Any
    group: str
    eviction: PimentohoistError | None = None

    def __init__(
        self, server: Any, connected: Any, address: Any, *args: Any, **options: Any
    ) -> None:
        self.header_started_at: float | None = None
        self.group = address[0]
        self.parser_class = partial(_Parser, group=self.group)
        self.is_waiting = False
        self._counted_bytes = 0
        super().__init__(server, connected, address, *args, **options)

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
        """Return whether to read on, and check the time of a header or a body.

        The server calls this about once a second at least.
        """
        now = _clock.now()
        if self.requests or self.total_outbufs_len:
            # The response before it comes first.
            self.header_started_at = self.header_started_at and now
        started_at = self.header_started_at
        callers_server = self.server.callers_server
        if started_at is not None:
            elapsed_s = now - started_at
            self.will_close = (
                self.will_close or elapsed_s > callers_server.header_timeout_s
            )
        if not (self._is_lingering or self.will_close or self.close_when_flushed):
            self._check_body(now)
        self._check_reader()
        self.is_waiting = False
        if not super().readable():
            return False
        request: Any = self.request
        self.is_waiting = request is not None and not callers_server.memory.may_read(
            request, self.adj.recv_bytes, self.socket
        )
        return not self.is_waiting

    def writable(self) -> Any:
        """Return whether there are bytes to send, and count those."""
        held = self.total_outbufs_len
        if held != self._counted_bytes and max(held, self._counted_bytes) >= (
            _MIN_COUNTED_BYTES
        ):
            self._counted_bytes = held
            self.server.callers_server.memory.record(self, held, is_complete=True)
        return super().writable()

    def handle_close(self) -> None:
        """Close the connection; what is held of its next request is discarded."""
        request: Any = self.request
        if request is not None:
            request.close()
        self.server.callers_server.memory.release(self)
        super().handle_close()

    def _check_body(self, now: float) -> None:
        """Refuse a request whose body is given up."""
        request = self.request
        if request is None:
            self._check_idle()
        elif request.eviction is not None:
            self._evict(request)
        elif request.body_started_at is not None:
            self._check_body_time(request, now)

    def _evict(self, request: Any) -> None:
        if request.body_started_at is None:
            self.will_close = True
        else:
            self._refuse(request, 'memory', request.eviction)

    def _check_body_time(self, request: Any, now: float) -> None:
        if self.requests or self.total_outbufs_len:
            # The response before it comes first.
            request.body_started_at = now
            return
        elapsed_s = now - request.body_started_at
        is_silent = self.idle_s() >= self.server.idle_timeout_s
        if is_silent and self.is_waiting:
            error: PimentohoistError = UnavailableError(
                'the body was not read in time',
                step=_STEP,
                retry_after_s=_RETRY_AFTER_S,
            )
            self._refuse(request, 'wait', error)
        elif is_silent or elapsed_s > self.server.callers_server.body_timeout_s:
            error = BodyTimeoutError('the body did not come in time', step=_STEP)
            self._refuse(request, 'time', error)

    def _refuse(self, request: Any, reason: str, error: PimentohoistError) -> None:
        """Queue the response to a request whose body isn't read to the end."""
        held = request.held_bytes
        with self.requests_lock:
            if self.request is not request:
                return
            request.refuse(error)
            self.request = None
            self.sent_continue = False
            self.requests.append(request)
            if len(self.requests) == 1:
                self.server.add_task(self)
        self.server.callers_server.memory.record_refusal(reason, request.group, held)

    def _check_idle(self) -> None:
        """Close a connection without a request, if others wait to be accepted."""
        is_idle = self.request is None and not (self.requests or self.total_outbufs_len)
        if is_idle and self.server.in_connection_overflow:
            server = self.server.callers_server
            if self.is_unused_for(server.header_timeout_s):
                server.memory.record_refusal('connections', self.group, 0)
                self.will_close = True

    def _check_reader(self) -> None:
        """Reset a connection whose other end takes nothing of its response."""
        if self.total_outbufs_len and self.idle_s() >= self.server.idle_timeout_s:
            self.server.callers_server.memory.record_refusal(
                'reader', self.group, self.total_outbufs_len
            )
            self.reset_on_close()
            self.will_close = True
