"""HTTP connections to one peer, reused while they are young.

An open connection can go silent for good while new ones work. So a kept connection gets
only part of the time: if nothing comes, it and all that were kept beside it are dropped,
and the request is sent on a new one before the peer is said to have failed.
"""

from __future__ import annotations

import http.client
import json
import socket
import threading
import time
from collections.abc import Iterator, Mapping
from contextlib import AbstractContextManager, ExitStack, closing, contextmanager
from dataclasses import dataclass, field, replace
from http import HTTPStatus
from typing import Any, Self

from pimentohoist._addresses import split_address
from pimentohoist.exceptions import (
    PeerConnectError,
    PeerError,
    PeerRefusedError,
    PeerTimeoutError,
)

_MAX_IDLE_CONNECTIONS = 16
_MAX_CONNECTION_AGE_S = 30.0
_CONNECT_TIMEOUT_S = 1.0
_MAX_KEPT_SILENCE_S = 5.0
_MIN_TIMEOUT_S = 0.001
_PART_BYTES = 65_536
_QUOTED_BYTES = 200
_SOCKET_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 5),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 2),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 3),
)


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A request to a peer.

    Attributes
    ----------
    is_repeatable : bool
        Whether it may be sent again after a failure that leaves its fate unknown; only
        then is a kept connection used, since that may turn out to be dead.
    wait_s : float
        How long the peer may be silent of its own accord before it answers.
    """

    method: str
    path: str
    body: bytes = field(default=b'', repr=False)
    headers: Mapping[str, str] = field(default_factory=dict, repr=False)
    is_repeatable: bool = True
    wait_s: float = 0

    @classmethod
    def of_json(cls, method: str, path: str, document: Any = None) -> HttpRequest:
        """Return a request with a JSON body."""
        body = b'' if document is None else json.dumps(document).encode()
        return cls(method, path, body, {'Content-Type': 'application/json'})


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A peer's whole answer."""

    status: int
    headers: Mapping[str, str]
    body: bytes

    def document(self) -> Any:
        """Return the parsed JSON body; raises ValueError."""
        return json.loads(self.body)


@dataclass(slots=True)
class _Connection:
    http: http.client.HTTPConnection
    opened_at: float
    is_reused: bool = False
    deadline: float = float('inf')
    sock: socket.socket | None = None

    def expect_answer(self, timeout_s: float) -> None:
        """Count the time for the whole answer from now."""
        self.deadline = time.monotonic() + timeout_s
        self.sock = self.http.sock
        self.limit_next_read()

    def send(self, request: HttpRequest) -> None:
        """Send a request."""
        self.http.request(
            request.method, request.path, request.body, dict(request.headers)
        )

    def limit_next_read(self) -> None:
        """Let the next read wait no longer than the whole answer may."""
        if self.sock is not None:
            remaining_s = self.deadline - time.monotonic()
            self.sock.settimeout(max(_MIN_TIMEOUT_S, remaining_s))


class _PlainConnection(http.client.HTTPConnection):
    """A connection for one request, answered without chunks."""

    _http_vsn = 10
    _http_vsn_str = 'HTTP/1.0'


class HttpClient:
    """Client of one peer, for many threads."""

    def __init__(self, address: str, *, timeout_s: float, step: str) -> None:
        self.address = address
        self.timeout_s = timeout_s
        self.step = step
        self._idle: list[_Connection] = []
        self._lock = threading.Lock()

    def ask(
        self, request: HttpRequest, *, timeout_s: float | None = None
    ) -> HttpResponse:
        """Send a request and return the whole answer, whatever its status.

        Raises
        ------
        PeerConnectError
            Nothing was sent.
        PeerTimeoutError, PeerError
            The request may have taken effect.
        """
        with self._answer(request, timeout_s) as (connection, response):
            with _errors(self.address, self.step):
                body = _read_whole(connection, response)
            return HttpResponse(response.status, dict(response.headers), body)

    def ask_json(self, request: HttpRequest, *, timeout_s: float | None = None) -> Any:
        """Return the JSON of a successful answer; else raise PeerRefusedError."""
        reply = self.ask(request, timeout_s=timeout_s)
        if reply.status >= HTTPStatus.BAD_REQUEST:
            raise PeerRefusedError(
                f'status {reply.status}: {reply.body[:_QUOTED_BYTES].decode(errors="replace")}',
                step=self.step,
                peer=self.address,
                peer_status=reply.status,
            )
        try:
            return reply.document()
        except ValueError as error:
            raise PeerError(
                f'answer is not JSON: {error}', step=self.step, peer=self.address
            ) from error

    @contextmanager
    def stream(
        self, request: HttpRequest, *, timeout_s: float | None = None
    ) -> Iterator[http.client.HTTPResponse]:
        """Send a request and give the answer to be read in parts."""
        with self._answer(request, timeout_s) as (_, response):
            yield response

    @contextmanager
    def start(
        self, request: HttpRequest, *, timeout_s: float
    ) -> Iterator[PendingResponse]:
        """Send a request on a connection of its own and give the answer to come.

        It is asked for by HTTP/1.0, so the answer's body is what comes, in no chunks, and
        a read of what has arrived never waits for more.
        """
        connection = self._open(_PlainConnection)
        with closing(connection.http):
            with _errors(self.address, self.step):
                connection.expect_answer(timeout_s)
                # HTTP/1.0 adds none by itself.
                headers = {'Host': self.address, **request.headers}
                connection.send(replace(request, headers=headers))
            with PendingResponse(self, connection) as begun:
                yield begun

    def close(self) -> None:
        """Close the idle connections."""
        with self._lock:
            idle, self._idle = self._idle, []
        for connection in idle:
            connection.http.close()

    @contextmanager
    def _answer(
        self, request: HttpRequest, timeout_s: float | None
    ) -> Iterator[tuple[_Connection, http.client.HTTPResponse]]:
        limit_s = self.timeout_s if timeout_s is None else timeout_s
        connection, response = self._send(request, limit_s)
        try:
            yield connection, response
        finally:
            self._put_back(connection, response)

    def _send(
        self, request: HttpRequest, timeout_s: float
    ) -> tuple[_Connection, http.client.HTTPResponse]:
        connection = self._take(request)
        if not connection.is_reused:
            return connection, self._exchange(connection, request, timeout_s)
        half_s = (timeout_s - request.wait_s) / 2
        first_s = request.wait_s + min(half_s, _MAX_KEPT_SILENCE_S)
        try:
            return connection, self._exchange(connection, request, first_s)
        except PeerError as error:
            # The kept connection may have been dead; the peer isn't blamed for that.
            if isinstance(error, PeerTimeoutError):
                self.close()
            connection = self._open_after(error)
        second_s = request.wait_s + timeout_s - first_s
        return connection, self._exchange(connection, request, second_s)

    def _open_after(self, error: PeerError) -> _Connection:
        """Open a connection; if there is none, the request may still have run."""
        try:
            return self._open()
        except PeerConnectError:
            raise error from None

    def _exchange(
        self, connection: _Connection, request: HttpRequest, timeout_s: float
    ) -> http.client.HTTPResponse:
        with _errors(self.address, self.step, connection.http):
            connection.expect_answer(timeout_s)
            connection.send(request)
            return connection.http.getresponse()

    def _take(self, request: HttpRequest) -> _Connection:
        oldest = time.monotonic() - _MAX_CONNECTION_AGE_S
        with self._lock:
            while request.is_repeatable and self._idle:
                connection = self._idle.pop()
                if connection.opened_at > oldest:
                    connection.is_reused = True
                    return connection
                connection.http.close()
        return self._open()

    def _open(
        self, kind: type[http.client.HTTPConnection] = http.client.HTTPConnection
    ) -> _Connection:
        host, port = split_address(self.address)
        connection = kind(host, port, timeout=_CONNECT_TIMEOUT_S)
        try:
            connection.connect()
        except OSError as error:
            raise PeerConnectError(
                f'no connection: {error}', step=self.step, peer=self.address
            ) from error
        for level, option, setting in _SOCKET_OPTIONS:
            connection.sock.setsockopt(level, option, setting)
        return _Connection(connection, time.monotonic())

    def _put_back(
        self, connection: _Connection, response: http.client.HTTPResponse
    ) -> None:
        is_clean = response.isclosed() and connection.http.sock is not None
        with self._lock:
            if is_clean and len(self._idle) < _MAX_IDLE_CONNECTIONS:
                self._idle.append(connection)
                return
        response.close()
        connection.http.close()


class PendingResponse:
    """A request that was sent, and its answer as it comes.

    Attributes
    ----------
    socket : socket
        Readable when there is something to read.
    """

    def __init__(self, client: HttpClient, connection: _Connection) -> None:
        self.client = client
        self.socket: socket.socket = connection.http.sock
        self._http = connection.http
        self._stack = ExitStack()

    def __enter__(self) -> Self:
        """Give the answer."""
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Close the answer."""
        self._stack.close()

    def response(self) -> http.client.HTTPResponse:
        """Wait for the answer's head."""
        with errors_of(self.client):
            return self._stack.enter_context(closing(self._http.getresponse()))

    def start_body(self, response: http.client.HTTPResponse) -> bool:
        """Return whether a part of the body came with the head.

        From now on a read doesn't wait; it finds an end where there is nothing to read.
        """
        self.socket.setblocking(False)
        return bool(response.peek(1))


def errors_of(client: HttpClient) -> AbstractContextManager[None]:
    """Return a context that turns errors of reading an answer into ours."""
    return _errors(client.address, client.step)


@contextmanager
def _errors(
    address: str, step: str, connection: http.client.HTTPConnection | None = None
) -> Iterator[None]:
    try:
        yield
    except (OSError, http.client.HTTPException) as error:
        if connection is not None:
            connection.close()
        kind = PeerTimeoutError if isinstance(error, TimeoutError) else PeerError
        raise kind(
            f'{type(error).__name__}: {error}', step=step, peer=address
        ) from error


def _read_whole(connection: _Connection, response: http.client.HTTPResponse) -> bytes:
    """Return the body, in however many parts it comes, within the time limit."""
    parts = [b'']
    part = response.read1(_PART_BYTES)
    while part:
        parts.append(part)
        connection.limit_next_read()
        part = response.read1(_PART_BYTES)
    body = b''.join(parts)
    if response.length:
        raise http.client.IncompleteRead(body, response.length)
    # A body of known length is over now, but only this closes it.
    response.read()
    return body
