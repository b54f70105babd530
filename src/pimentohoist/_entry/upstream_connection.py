"""One HTTP connection to an endpoint, with one reader for all its responses.

So the bytes of an unexpected response aren't lost in the reader of the one before it.
"""

from __future__ import annotations

import http.client
import io
import socket
from contextlib import suppress

from pimentohoist._addresses import split_address
from pimentohoist._limited_reader import LimitedReader
from pimentohoist._sockets import has_input
from pimentohoist.entry_models import EntryRequest

_CONNECT_TIMEOUT_S = 0.6
_UNACKNOWLEDGED_TIMEOUT_MS = 2500
"""A connection whose data isn't acknowledged within this time is closed as lost, whatever
the number of unanswered probes. Sound endpoints fall silent for a second or so; callers
leave a stream after 2 s or more without an event."""

_SOCKET_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _UNACKNOWLEDGED_TIMEOUT_MS),
)
"""Keepalive probes, since nothing else shows during a wait for a response that an
endpoint has vanished without closing the connection."""

_MAX_REQUESTS = 1024
"""Requests on one connection, whose ids it keeps."""

_MAX_IDLE_S = 4.0
_IDLE_MARGIN_S = 0.5
_BODILESS = frozenset(('GET', 'HEAD', 'DELETE', 'OPTIONS'))


class _SharedReader(io.BufferedReader):
    """Stays open when a response that was read from it is closed."""

    def close(self) -> None:
        """Do nothing; `UpstreamConnection.close` closes the socket."""


class _SharedSocket:
    """Gives all responses of a connection the same reader."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.limits = LimitedReader(socket.SocketIO(sock, 'r'), sock)
        self.reader = _SharedReader(self.limits)

    def makefile(self, mode: str) -> io.BufferedReader:
        return self.reader

    def sendall(self, data: bytes) -> None:
        self.sock.sendall(data)

    def close(self) -> None:
        """Leave the socket open: responses without a length end with the connection."""


class UpstreamConnection:
    """One connection to an endpoint; carries one request at a time.

    Attributes
    ----------
    carried : set of str
        Ids of the requests that were written to it.
    started_ms : int or None
        Start that the endpoint reported after the connection was opened; None before.

    Parameters
    ----------
    connected : socket or None
        A socket that is connected to the address; None to open one.
    """

    def __init__(self, address: str, connected: socket.socket | None = None) -> None:
        self.address = address
        self.carried: set[str] = set()
        self.started_ms: int | None = None
        self.idle_since: float | None = None
        self.max_idle_s = _MAX_IDLE_S
        self.sock = connected or socket.create_connection(
            split_address(address), _CONNECT_TIMEOUT_S
        )
        self.sock.settimeout(None)
        for level, option, setting in _SOCKET_OPTIONS:
            self.sock.setsockopt(level, option, setting)
        self.shared_socket = _SharedSocket(self.sock)

    def abort(self) -> None:
        """Shut the connection down; may be called from any thread."""
        # The connection may be closed already.
        with suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Close the connection."""
        self.abort()
        self.sock.close()

    def may_carry(self, request_id: str) -> bool:
        """Return whether a response would show that it belongs to this request.

        A response to an earlier attempt under the same id can't be told apart, nor can
        any response to a request without an id.
        """
        if not self.carried:
            return True
        is_new = bool(request_id) and request_id not in self.carried
        return is_new and len(self.carried) < _MAX_REQUESTS

    def is_reusable(self) -> bool:
        """Return whether no bytes and no end have come since the last response."""
        if has_input(self.sock):
            return False
        self.sock.settimeout(0)
        self.shared_socket.limits.allow_head()
        is_empty = not self.shared_socket.reader.peek(1)
        self.sock.settimeout(None)
        return is_empty

    def write_request(
        self, request: EntryRequest, headers: list[tuple[str, str]]
    ) -> None:
        """Send a request; raises OSError and HTTPException."""
        self.carried.add(request.request_id)
        writer = http.client.HTTPConnection(*split_address(self.address))
        writer.sock = self.shared_socket
        writer.putrequest(
            request.method, request.target, skip_host=True, skip_accept_encoding=True
        )
        for name, text in headers:
            writer.putheader(name, text)
        if request.body:
            writer.putheader('Content-Length', str(len(request.body)))
        elif request.method not in _BODILESS:
            writer.putheader('Content-Length', '0')
        writer.endheaders(request.body or None)

    def set_max_idle(self, headers: http.client.HTTPMessage) -> None:
        """Set how long it may be idle, by the headers of its last response."""
        self.max_idle_s = _max_idle_s(headers)


def _max_idle_s(headers: http.client.HTTPMessage) -> float:
    """Return how long the endpoint keeps an idle connection open, less a margin."""
    for part in headers.get('Keep-Alive', '').split(','):
        name, _, seconds = part.strip().partition('=')
        if name.lower() == 'timeout' and seconds.isdecimal():
            return min(_MAX_IDLE_S, int(seconds) - _IDLE_MARGIN_S)
    return _MAX_IDLE_S
