"""An HTTP server on one address, whose threads start with the requests."""

from __future__ import annotations

import math
import socket
import struct
import threading
import time
from collections.abc import Callable, Iterable
from contextlib import suppress
from typing import Any, Self, cast

from waitress import wasyncore
from waitress.channel import HTTPChannel
from waitress.server import create_server
from waitress.task import WSGITask

from pimentohoist._addresses import split_address
from pimentohoist._elastic_pool import ElasticDispatcher
from pimentohoist._sockets import has_ended, has_input

WsgiApp = Callable[..., Iterable[bytes]]

_SHUTDOWN_TIMEOUT_S = 1.0
_REFUSAL_BODY = b'the server is stopping'
# Above 0, waitress reads on while a request runs and closes connections that have ended.
_LOOKAHEAD_REQUESTS = 1
_IDLE_CONNECTION_TIMEOUT_S = 60
_NO_TIMEOUT_S = 10_000_000_000
"""Disables waitress's own check."""

_LINGER_RESETS = struct.pack('ii', 1, 0)
"""Value of SO_LINGER with which a close resets the connection."""

_IDLE_POLL_INTERVAL_S = 0.01
_MAX_LINGER_S = 0.5
"""How long a connection that has ended its last response waits for the other end."""


def refuse(environ: Any, start_response: Any) -> Iterable[bytes]:
    """Return 503: the request has not run and may be sent elsewhere at once."""
    headers = [
        ('Content-Type', 'text/plain'),
        ('Content-Length', str(len(_REFUSAL_BODY))),
        ('Retry-After', '0'),
    ]
    start_response('503 Service Unavailable', headers)
    return [_REFUSAL_BODY]


class ServerTask(WSGITask):
    """Sends a response; one that fails midway never looks complete.

    A response without a length and without chunks, as a caller with HTTP/1.0 gets it, is
    complete when its connection is closed, so that only a reset tells a failure.
    """

    channel: Any

    def execute(self) -> None:
        """Send the response; raises what the application raises."""
        try:
            super().execute()
        except Exception:
            if self.wrote_header and not self._is_framed():
                self.channel.reset_on_close()
            raise

    def _is_framed(self) -> bool:
        return self.chunked_response or self.content_length is not None


class ServerChannel(HTTPChannel):
    """A connection that ends when it was idle for too long.

    Waitress measures that by the time of day, which may jump.
    """

    task_class = ServerTask
    server: Any
    socket: Any
    connected: bool
    requests_lock: Any

    def __init__(self, *args: Any, **options: Any) -> None:
        self.active_at = time.monotonic()
        self._is_reset_wanted = False
        self._ends_with_response = False
        self._has_ended_response = False
        self._is_lingering = False
        self._is_deferred = False
        super().__init__(*args, **options)

    def service(self) -> None:
        """Handle a request once the response before it has been taken.

        A client that sends requests ahead and reads nothing would have all their responses
        held for it.
        """
        with self.outbuf_lock:
            self._is_deferred = self.connected and bool(self.total_outbufs_len)
            if self._is_deferred:
                self.server.pull_trigger()
                return
        super().service()

    def handle_write(self) -> None:
        """Send bytes; begin the request that waited for that."""
        super().handle_write()
        with self.outbuf_lock:
            is_due = self._is_deferred and not self.total_outbufs_len
            self._is_deferred = self._is_deferred and not is_due
        if is_due:
            self.server.add_task(self)

    def write_soon(self, data: Any) -> Any:
        """Queue bytes of a response and record when they came."""
        self.active_at = time.monotonic()
        return super().write_soon(data)

    def send(self, data: bytes, do_close: bool = True) -> Any:
        """Send bytes and record when the other end took some."""
        sent = super().send(data, do_close=do_close)
        if sent:
            self.active_at = time.monotonic()
        return sent

    @property
    def close_when_flushed(self) -> bool:
        """Return whether the connection ends with the response that is being sent."""
        return self._ends_with_response

    @close_when_flushed.setter
    def close_when_flushed(self, is_last: bool) -> None:
        self._ends_with_response = is_last
        self._has_ended_response = self._has_ended_response or is_last

    def check_client_disconnected(self) -> Any:
        """Return whether the client has left; any thread may call this.

        The connection isn't read while it holds a further request, or bytes to send.
        """
        return not self.connected or has_ended(self.socket)

    def idle_s(self) -> float:
        """Return for how many seconds no byte has been received, written or taken."""
        return time.monotonic() - self.active_at

    def is_unused_for(self, min_idle_s: float) -> bool:
        """Return whether it was idle for some seconds and nothing waits to be read."""
        return self.idle_s() >= min_idle_s and not has_input(self.socket)

    def readable(self) -> Any:
        """Return whether to read on; called by the thread that also reads."""
        if not self.requests and self._is_expired(time.monotonic() - self.active_at):
            self.will_close = True
        return super().readable()

    def received(self, data: bytes) -> Any:
        """Parse bytes and record when they came; drop them after the last response."""
        if self._is_lingering:
            return False
        self.active_at = time.monotonic()
        return super().received(data)

    def handle_close(self) -> None:
        """Close the connection; first read what still comes after the last response.

        A connection that is closed with unread bytes is reset, and a reset destroys what
        the other end hasn't read yet.
        """
        if self._is_lingering or not self._is_reset_likely():
            super().handle_close()
            self._discard_deferred()
            return
        self._is_lingering = True
        self.will_close = False
        self.active_at = time.monotonic()
        # The other end may have closed the connection already.
        with suppress(OSError):
            self.socket.shutdown(socket.SHUT_WR)

    def reset_on_close(self) -> None:
        """Let the close of the connection reset it."""
        self._is_reset_wanted = True
        # The other end may have closed the connection already.
        with suppress(OSError):
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESETS)

    def _discard_deferred(self) -> None:
        """Close the requests that wait for a response to be taken, as no thread will."""
        with self.outbuf_lock:
            is_deferred, self._is_deferred = self._is_deferred, False
        if is_deferred:
            with self.requests_lock:
                for request in self.requests:
                    request.close()
                self.requests = []

    def _is_reset_likely(self) -> bool:
        if self._is_reset_wanted:
            return False
        return self.connected and self._has_ended_response and has_input(self.socket)

    def _is_expired(self, idle_s: float) -> bool:
        if self._is_lingering:
            return idle_s >= _MAX_LINGER_S
        if idle_s >= self.server.idle_timeout_s:
            return True
        # A response is sent, and what has arrived is read and answered, first.
        is_unused = idle_s >= self.server.max_unused_s and not self.total_outbufs_len
        return is_unused and not has_input(self.socket)


class HttpServer:
    """Serves a WSGI application from the start to the end of its context.

    Attributes
    ----------
    refusal : WsgiApp
        Answers the requests that arrive once the server closes.
    is_refusing : bool
        Whether requests get the refusal.
    shutdown_timeout_s : float
        Seconds for which a closing server waits for requests in flight.
    """

    def __init__(
        self,
        app: WsgiApp,
        address: str,
        *,
        threads: int,
        max_body_bytes: int = 1_073_741_824,
        idle_timeout_s: float = _IDLE_CONNECTION_TIMEOUT_S,
        **adjustments: Any,
    ) -> None:
        host, port = split_address(address)
        self.address = address
        options = {
            'connection_limit': max(1000, 2 * threads),
            'channel_timeout': _NO_TIMEOUT_S,
            **adjustments,
        }
        self.app = app
        self.refusal: WsgiApp = refuse
        self.is_refusing = False
        self.shutdown_timeout_s = _SHUTDOWN_TIMEOUT_S
        self._server: Any = create_server(
            self._serve,
            host=host,
            port=port,
            threads=threads,
            _dispatcher=cast(Any, ElasticDispatcher(threads, f'http-{port}')),
            max_request_body_size=max_body_bytes,
            channel_request_lookahead=_LOOKAHEAD_REQUESTS,
            cleanup_interval=5,
            asyncore_use_poll=True,
            ident=None,
            **options,
        )
        _use_server_channels(self._server, idle_timeout_s)
        self._thread = threading.Thread(
            target=self._run, name=f'http-{address}', daemon=True
        )
        self._is_closing = False
        self._has_stopped_listening = threading.Event()

    def __enter__(self) -> Self:
        """Start serving."""
        self._thread.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Refuse new requests, let those in flight finish and close the sockets."""
        self._is_closing = True
        self.refuse_requests()
        deadline = time.monotonic() + self.shutdown_timeout_s
        self._server.trigger.pull_trigger(self._stop_listening)
        self.close_idle_connections(0)
        # Connections that were accepted before are known only after that.
        self._has_stopped_listening.wait(self.shutdown_timeout_s)
        while self._server.active_channels and time.monotonic() < deadline:
            time.sleep(_IDLE_POLL_INTERVAL_S)
        self._server.task_dispatcher.shutdown(
            cancel_pending=True, timeout=max(0, deadline - time.monotonic())
        )
        self._server.close()

    def refuse_requests(self) -> None:
        """Answer the requests that arrive from now on with the refusal."""
        self.is_refusing = True

    def close_idle_connections(self, max_unused_s: float) -> None:
        """Close the connections without a request that was received completely.

        Parameters
        ----------
        max_unused_s : float
            A connection stays open for this time after its last byte, in seconds.
        """
        self._server.max_unused_s = max_unused_s
        self._server.pull_trigger()

    def is_idle(self) -> bool:
        """Return whether no request is being received, queued, executed or answered."""
        return not any(map(is_busy, tuple(self._server.active_channels.values())))

    def _stop_listening(self) -> None:
        """Close the listener; called by the thread that polls it.

        That resets the connections that wait to be accepted, so they are accepted first.
        """
        for _ in range(self._server.adj.backlog):
            if not has_input(self._server.socket):
                break
            self._server.handle_accept()
        wasyncore.dispatcher.close(self._server)
        self._has_stopped_listening.set()

    def _serve(self, environ: Any, start_response: Any) -> Iterable[bytes]:
        app = self.refusal if self.is_refusing else self.app
        return app(environ, start_response)

    def _run(self) -> None:
        try:
            self._server.run()
        except OSError:
            # Closing the socket ends the loop with an error on some platforms.
            if not self._is_closing:
                raise


def _use_server_channels(server: Any, idle_timeout_s: float) -> None:
    server.idle_timeout_s = idle_timeout_s
    server.max_unused_s = math.inf
    server.channel_class = ServerChannel


def is_busy(channel: Any) -> bool:
    """Return whether a request is being received, queued, executed or answered."""
    return bool(channel.requests or channel.request or channel.total_outbufs_len)
