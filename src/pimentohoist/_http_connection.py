"""Connections of an HTTP client, and the requests and responses that they carry."""

from __future__ import annotations

import http.client
import json
import socket
import time
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, cast

from pimentohoist._limited_reader import LimitedResponse

_MIN_SOCKET_TIMEOUT_S = 0.001


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A request to a peer.

    Attributes
    ----------
    is_repeatable : bool
        Whether it may be sent again after a failure that leaves unknown whether it was
        executed; only then is an idle connection reused, since that may be dead.
    wait_s : float
        How long the peer may deliberately delay its response, in seconds.
    """

    method: str
    path: str
    body: bytes = field(default=b'', repr=False)
    headers: Mapping[str, str] = field(default_factory=dict, repr=False)
    is_repeatable: bool = True
    wait_s: float = 0

    @classmethod
    def from_json(cls, method: str, path: str, document: Any = None) -> HttpRequest:
        """Return a request with a JSON body."""
        body = b'' if document is None else json.dumps(document).encode()
        return cls(method, path, body, {'Content-Type': 'application/json'})


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A peer's complete response."""

    status: int
    headers: Mapping[str, str]
    body: bytes

    def document(self) -> Any:
        """Return the parsed JSON body; raises ValueError."""
        return json.loads(self.body)


@dataclass(slots=True)
class OpenConnection:
    """An open connection and the timeout of the response that is awaited on it.

    Attributes
    ----------
    opened_at, deadline : float
        Monotonic times in seconds.
    """

    http: http.client.HTTPConnection
    opened_at: float
    is_reused: bool = False
    deadline: float = float('inf')
    sock: socket.socket | None = None

    def start_response_timeout(self, timeout_s: float) -> None:
        """Start the timeout for the complete response."""
        self.deadline = time.monotonic() + timeout_s
        self.sock = self.http.sock
        self._set_socket_timeout()

    def send(self, request: HttpRequest) -> None:
        """Send a request."""
        self.http.request(
            request.method, request.path, request.body, dict(request.headers)
        )

    def receive(self) -> LimitedResponse:
        """Return the response, whose body is read before the connection's deadline."""
        self._set_socket_timeout()
        return cast(LimitedResponse, self.http.getresponse())

    def _set_socket_timeout(self) -> None:
        if self.sock is not None:
            remaining_s = self.deadline - time.monotonic()
            self.sock.settimeout(max(_MIN_SOCKET_TIMEOUT_S, remaining_s))


class HttpConnection(http.client.HTTPConnection):
    """A connection whose responses have limits on their bytes and their time."""

    response_class = LimitedResponse


class Http10Connection(HttpConnection):
    """A connection for one request, whose response isn't chunked."""

    _http_vsn = 10
    _http_vsn_str = 'HTTP/1.0'
