"""HTTP connections to one peer, reused while they are young."""

from __future__ import annotations

import http.client
import json
import threading
import time
from collections.abc import Iterator, Mapping
from contextlib import AbstractContextManager, contextmanager
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any

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
_QUOTED_BYTES = 200


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A request to a peer.

    Attributes
    ----------
    is_repeatable : bool
        Whether it may be sent again after a failure that leaves its fate unknown; only
        then is a kept connection used, since that may turn out to be dead.
    """

    method: str
    path: str
    body: bytes = field(default=b'', repr=False)
    headers: Mapping[str, str] = field(default_factory=dict, repr=False)
    is_repeatable: bool = True

    @classmethod
    def of_json(cls, method: str, path: str, document: Any = None) -> HttpRequest:
        """Return a request with a JSON body."""
        body = b'' if document is None else json.dumps(document).encode()
        return cls(method, path, body, {'Content-Type': 'application/json'})


@dataclass(frozen=True, slots=True)
class HttpReply:
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


class HttpClient:
    """Client of one peer, for many threads."""

    def __init__(self, address: str, *, timeout_s: float, step: str) -> None:
        self.address = address
        self.timeout_s = timeout_s
        self.step = step
        self._idle: list[_Connection] = []
        self._lock = threading.Lock()

    def ask(self, request: HttpRequest, *, timeout_s: float | None = None) -> HttpReply:
        """Send a request and return the whole answer, whatever its status.

        Raises
        ------
        PeerConnectError
            Nothing was sent.
        PeerTimeoutError, PeerError
            The request may have taken effect.
        """
        with self.stream(request, timeout_s=timeout_s) as response:
            with _errors(self.address, self.step):
                body = response.read()
            return HttpReply(response.status, dict(response.headers), body)

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
        limit_s = self.timeout_s if timeout_s is None else timeout_s
        connection, response = self._send(request, limit_s)
        try:
            yield response
        finally:
            self._put_back(connection, response)

    def close(self) -> None:
        """Close the idle connections."""
        with self._lock:
            idle, self._idle = self._idle, []
        for connection in idle:
            connection.http.close()

    def _send(
        self, request: HttpRequest, timeout_s: float
    ) -> tuple[_Connection, http.client.HTTPResponse]:
        connection = self._take(request)
        try:
            return connection, self._exchange(connection, request, timeout_s)
        except PeerError as error:
            if not connection.is_reused:
                raise
            connection = self._open_after(error)
        # The kept connection may have been dead; the peer isn't blamed for that.
        return connection, self._exchange(connection, request, timeout_s)

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
            if connection.http.sock is not None:
                connection.http.sock.settimeout(timeout_s)
            connection.http.request(
                request.method, request.path, request.body, dict(request.headers)
            )
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

    def _open(self) -> _Connection:
        host, port = split_address(self.address)
        connection = http.client.HTTPConnection(host, port, timeout=_CONNECT_TIMEOUT_S)
        try:
            connection.connect()
        except OSError as error:
            raise PeerConnectError(
                f'no connection: {error}', step=self.step, peer=self.address
            ) from error
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
