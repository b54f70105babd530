"""An HTTP client for one peer, which reuses recently opened connections.

An open connection can stop responding for good while new ones work. So a reused
connection gets only part of the timeout: if no response arrives, it and all idle
connections are closed, and the request is sent on a new one before the peer is
considered failed.
"""

from __future__ import annotations

import http.client
import logging
import math
import socket
import threading
import time
from collections.abc import Iterator
from contextlib import ExitStack, closing, contextmanager
from dataclasses import replace
from http import HTTPStatus
from typing import Any, Self, cast

from pimentohoist._addresses import split_address
from pimentohoist._http_connection import (
    Http10Connection,
    HttpConnection,
    HttpRequest,
    HttpResponse,
    OpenConnection,
)
from pimentohoist._http_errors import closing_peer_errors, translate_errors
from pimentohoist._limited_reader import LimitedResponse
from pimentohoist._sockets import has_input
from pimentohoist.exceptions import (
    PeerConnectError,
    PeerError,
    PeerRefusedError,
    PeerTimeoutError,
)

_MAX_IDLE_CONNECTIONS = 16
_MAX_CONNECTION_AGE_S = 30.0
_CONNECT_TIMEOUT_S = 1.0
_MAX_REUSED_SILENCE_S = 5.0
_MAX_BODY_BYTES = 16_777_216
_MAX_QUOTED_BODY_BYTES = 200
_KEEPALIVE_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 5),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 2),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 3),
)


_logger = logging.getLogger(__name__)


class HttpClient:
    """Client of one peer; many threads may use it at once.

    Parameters
    ----------
    timeout_s : float
        Time for a complete response, in seconds.
    connect_timeout_s : float
        Time to open a connection, in seconds.
    max_body_bytes : int
        Size of the largest body of a response.
    is_kept_after_refusal : bool
        Whether a connection is used again after a response with an error status. A peer
        that writes its refusals twice would refuse the next request there.
    """

    def __init__(
        self,
        address: str,
        *,
        timeout_s: float,
        step: str,
        max_body_bytes: int = _MAX_BODY_BYTES,
        is_kept_after_refusal: bool = True,
        connect_timeout_s: float = _CONNECT_TIMEOUT_S,
    ) -> None:
        self.address = address
        self.timeout_s = timeout_s
        self.step = step
        self.max_body_bytes = max_body_bytes
        self.is_kept_after_refusal = is_kept_after_refusal
        self.connect_timeout_s = connect_timeout_s
        self._idle: list[OpenConnection] = []
        self._lock = threading.Lock()

    def request(
        self, request: HttpRequest, *, timeout_s: float | None = None
    ) -> HttpResponse:
        """Send a request and return the complete response, whatever its status.

        Raises
        ------
        PeerConnectError
            Nothing was sent.
        PeerTimeoutError, PeerError
            The request may have taken effect.
        """
        with self._open_response(request, timeout_s) as response:
            with translate_errors(self):
                body = response.read_all(self.max_body_bytes)
            return HttpResponse(response.status, dict(response.headers), body)

    def request_json(
        self, request: HttpRequest, *, timeout_s: float | None = None
    ) -> Any:
        """Return the JSON of a successful response; else raise PeerRefusedError."""
        reply = self.request(request, timeout_s=timeout_s)
        if reply.status >= HTTPStatus.BAD_REQUEST:
            raise PeerRefusedError(
                f'status {reply.status}: {reply.body[:_MAX_QUOTED_BODY_BYTES].decode(errors="replace")}',
                step=self.step,
                peer=self.address,
                peer_status=reply.status,
            )
        try:
            return reply.document()
        except ValueError as error:
            raise PeerError(
                f'response is not JSON: {error}', step=self.step, peer=self.address
            ) from error

    @contextmanager
    def stream(
        self, request: HttpRequest, *, timeout_s: float | None = None
    ) -> Iterator[LimitedResponse]:
        """Send a request and yield the response, to be read in parts."""
        with self._open_response(request, timeout_s) as response:
            yield response

    @contextmanager
    def start(
        self, request: HttpRequest, *, timeout_s: float
    ) -> Iterator[PendingResponse]:
        """Send a request on a new connection and yield the pending response.

        The request uses HTTP/1.0, so that the body isn't chunked and a read of data that
        has arrived never waits for more.
        """
        connection = self._open(Http10Connection)
        with closing(connection.http):
            with translate_errors(self):
                connection.start_response_timeout(timeout_s)
                # http.client adds no Host header to HTTP/1.0 requests.
                headers = {'Host': self.address, **request.headers}
                connection.send(replace(request, headers=headers))
            with PendingResponse(self, connection) as pending:
                yield pending

    def send(self, request: HttpRequest) -> SentRequest:
        """Send a request on a new connection; its response is read later.

        Raises
        ------
        PeerConnectError
            Nothing was sent.
        PeerError
            The request may have taken effect.
        """
        connection = self._open()
        with closing_peer_errors(self, connection.http):
            connection.start_response_timeout(self.timeout_s)
            connection.send(request)
        return SentRequest(self, connection)

    def close(self) -> None:
        """Close the idle connections."""
        with self._lock:
            idle, self._idle = self._idle, []
        for connection in idle:
            connection.http.close()

    @contextmanager
    def _open_response(
        self, request: HttpRequest, timeout_s: float | None
    ) -> Iterator[LimitedResponse]:
        response_timeout_s = self.timeout_s if timeout_s is None else timeout_s
        connection, response = self._send(request, response_timeout_s)
        try:
            yield response
        except BaseException:
            response.close()
            connection.http.close()
            raise
        self._release(connection, response)

    def _send(
        self, request: HttpRequest, timeout_s: float
    ) -> tuple[OpenConnection, LimitedResponse]:
        connection = self._acquire(request)
        if not connection.is_reused:
            return connection, self._send_on(connection, request, timeout_s)
        half_timeout_s = (timeout_s - request.wait_s) / 2
        first_timeout_s = request.wait_s + min(half_timeout_s, _MAX_REUSED_SILENCE_S)
        sent_at = time.monotonic()
        try:
            return connection, self._send_on(connection, request, first_timeout_s)
        except PeerError as error:
            # The reused connection may have been dead, which isn't the peer's failure.
            if isinstance(error, PeerTimeoutError):
                self.close()
            self._log_resend(request, error, time.monotonic() - sent_at)
            connection = self._reopen_after(error)
        second_timeout_s = request.wait_s + timeout_s - first_timeout_s
        return connection, self._send_on(connection, request, second_timeout_s)

    def _log_resend(
        self, request: HttpRequest, error: PeerError, waited_s: float
    ) -> None:
        extra = {
            'step': self.step,
            'peer': self.address,
            'path': request.path,
            'waited_s': round(waited_s, 3),
            'cause': error.message,
        }
        _logger.info('reused connection failed, request sent again', extra=extra)

    def _reopen_after(self, error: PeerError) -> OpenConnection:
        """Open a connection; if that fails, raise `error`, as the request may have run."""
        try:
            return self._open()
        except PeerConnectError:
            raise error from None

    def _send_on(
        self, connection: OpenConnection, request: HttpRequest, timeout_s: float
    ) -> LimitedResponse:
        with closing_peer_errors(self, connection.http):
            connection.start_response_timeout(timeout_s)
            connection.send(request)
            return connection.receive()

    def _acquire(self, request: HttpRequest) -> OpenConnection:
        min_opened_at = time.monotonic() - _MAX_CONNECTION_AGE_S
        with self._lock:
            while request.is_repeatable and self._idle:
                connection = self._idle.pop()
                # Unread bytes are no response to the next request, or the end.
                is_recent = connection.opened_at > min_opened_at
                if is_recent and not has_input(connection.http.sock):
                    connection.is_reused = True
                    return connection
                connection.http.close()
        return self._open()

    def _open(
        self, connection_class: type[HttpConnection] = HttpConnection
    ) -> OpenConnection:
        host, port = split_address(self.address)
        connection = connection_class(host, port, timeout=self.connect_timeout_s)
        try:
            connection.connect()
        except OSError as error:
            raise PeerConnectError(
                f'no connection: {error}', step=self.step, peer=self.address
            ) from error
        for level, option, setting in _KEEPALIVE_OPTIONS:
            connection.sock.setsockopt(level, option, setting)
        return OpenConnection(connection, time.monotonic())

    def _release(
        self, connection: OpenConnection, response: http.client.HTTPResponse
    ) -> None:
        is_reusable = response.isclosed() and connection.http.sock is not None
        if response.status >= HTTPStatus.BAD_REQUEST:
            is_reusable = is_reusable and self.is_kept_after_refusal
        with self._lock:
            if is_reusable and len(self._idle) < _MAX_IDLE_CONNECTIONS:
                self._idle.append(connection)
                return
        response.close()
        connection.http.close()


class SentRequest:
    """A request that was sent on a connection of its own.

    Attributes
    ----------
    socket : socket
        Readable when the response has begun to arrive or the connection has failed.
    """

    def __init__(self, client: HttpClient, connection: OpenConnection) -> None:
        self.client = client
        self.socket: socket.socket = connection.http.sock
        self._connection = connection

    def close(self) -> None:
        """Close the connection."""
        self._connection.http.close()

    def read_response(self) -> HttpResponse:
        """Return the complete response; the client's timeout starts now.

        Raises
        ------
        PeerTimeoutError, PeerError
            The request may have taken effect.
        """
        with translate_errors(self.client):
            self._connection.start_response_timeout(self.client.timeout_s)
            response = self._connection.receive()
            body = response.read_all(self.client.max_body_bytes)
        return HttpResponse(response.status, dict(response.headers), body)


class PendingResponse:
    """A request that was sent, and its response as it arrives.

    Attributes
    ----------
    socket : socket
        Readable when data has arrived.
    """

    def __init__(self, client: HttpClient, connection: OpenConnection) -> None:
        self.client = client
        self.socket: socket.socket = connection.http.sock
        self._http = connection.http
        self._stack = ExitStack()

    def __enter__(self) -> Self:
        """Return the pending response."""
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Close the response."""
        self._stack.close()

    def response(self) -> LimitedResponse:
        """Wait for the status line and the headers."""
        with translate_errors(self.client):
            response = cast(LimitedResponse, self._http.getresponse())
            return self._stack.enter_context(closing(response))

    def start_body(self, response: LimitedResponse) -> bool:
        """Return whether a part of the body arrived with the headers.

        From now on reads don't block: where no data has arrived, they find an end.
        """
        response.reader.deadline = math.inf
        self.socket.setblocking(False)
        return bool(response.peek(1))
