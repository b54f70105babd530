"""Connections to endpoints that carry requests unchanged.

A connection keeps one reader for all its answers, so that bytes of an extra answer stay
visible: an answer that names another request is dropped, and a connection with unread
bytes isn't used again.
"""

from __future__ import annotations

import http.client
import io
import select
import socket
import threading
from collections import defaultdict
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from dataclasses import dataclass
from typing import cast

from pimentohoist import _clock
from pimentohoist._addresses import split_address
from pimentohoist.entry_models import EntryRequest, Endpoint
from pimentohoist.exceptions import PeerConnectError, PeerError, PeerTimeoutError
from pimentohoist.platform import belongs_to

_STEP = 'endpoint'
_CONNECT_TIMEOUT_S = 0.6
_UNACKNOWLEDGED_MS = 1500
"""After this time without an acknowledgement a connection counts as lost."""

_KEEPALIVE = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _UNACKNOWLEDGED_MS),
)
"""Only probes show that an endpoint has gone without a word while it is waited for."""

_MAX_IDLE_S = 4.0
_IDLE_MARGIN_S = 0.5
_MAX_KEPT = 64
_MAX_EXTRA_ANSWERS = 3
_PART_BYTES = 65_536
_BODILESS = frozenset(('GET', 'HEAD', 'DELETE', 'OPTIONS'))


class _SharedReader(io.BufferedReader):
    """Stays open when an answer that was read from it is closed."""

    def close(self) -> None:
        """Do nothing; `_Connection.close` closes the socket."""


class _SharedSocket:
    """Gives all answers of a connection the same reader."""

    def __init__(self, raw: socket.socket) -> None:
        self.raw = raw
        self.reader = _SharedReader(socket.SocketIO(raw, 'r'))

    def makefile(self, mode: str) -> io.BufferedReader:
        return self.reader

    def sendall(self, data: bytes) -> None:
        self.raw.sendall(data)

    def close(self) -> None:
        """Leave the socket open for answers that end with the connection."""


class _Connection:
    """One connection to an endpoint."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.kept_at: float | None = None
        self.idle_limit_s = _MAX_IDLE_S
        self.raw = socket.create_connection(split_address(address), _CONNECT_TIMEOUT_S)
        self.raw.settimeout(None)
        for level, option, setting in _KEEPALIVE:
            self.raw.setsockopt(level, option, setting)
        self.shared = _SharedSocket(self.raw)

    def abort(self) -> None:
        """End the connection from any thread."""
        # It may have ended already.
        with suppress(OSError):
            self.raw.shutdown(socket.SHUT_RDWR)

    def end(self) -> None:
        """Close the connection for good."""
        self.abort()
        self.raw.close()

    def is_clean(self) -> bool:
        """Return whether nothing came after the last answer, nor an end."""
        if _has_input(self.raw):
            return False
        self.raw.settimeout(0)
        is_empty = not self.shared.reader.peek(1)
        self.raw.settimeout(None)
        return is_empty


def _has_input(raw: socket.socket) -> bool:
    poll = select.poll()
    poll.register(raw, select.POLLIN)
    return bool(poll.poll(0))


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of an endpoint's answer."""

    status: int
    reason: str
    headers: http.client.HTTPMessage


class UpstreamExchange:
    """A request that was sent to an endpoint, and its answer as it comes."""

    def __init__(
        self,
        connections: Connections,
        connection: _Connection,
        endpoint: Endpoint,
        method: str,
    ) -> None:
        self.connections = connections
        self.connection = connection
        self.method = method
        self.endpoint = endpoint
        self.sent_at = _clock.now()
        self.is_aborted = False
        self._is_closed = False
        self._lock = threading.Lock()
        self._response: http.client.HTTPResponse | None = None

    def abort(self) -> None:
        """Stop waiting for the answer; the endpoint stops its work."""
        with self._lock:
            # A connection that was given back may carry another request by now.
            if not self._is_closed:
                self.is_aborted = True
                self.connection.abort()

    def read_head(self, request_id: str) -> ResponseHead:
        """Wait for the head of the answer to a request."""
        for _ in range(_MAX_EXTRA_ANSWERS):
            with _errors(self.endpoint.address):
                response = self._next_response()
            self._record_heard()
            if belongs_to(request_id, response.status, response.headers):
                self._response = response
                return ResponseHead(response.status, response.reason, response.headers)
            # A second answer to an earlier request came in its place.
            with _errors(self.endpoint.address):
                response.read()
        raise self._failure('too many answers to other requests')

    def read_whole(self) -> bytes:
        """Return the whole body."""
        return b''.join(self.parts())

    def parts(self) -> Iterator[bytes]:
        """Yield the body as it comes; raises PeerError if it is cut off."""
        response = self._response
        if response is None:
            raise self._failure('no head was read')
        while True:
            with _errors(self.endpoint.address):
                part = response.read1(_PART_BYTES)
            if not part:
                break
            self._record_heard()
            yield part
        if response.length:
            raise self._failure(f'{response.length} bytes are missing')
        with _errors(self.endpoint.address):
            # A body of known length is over now, but only this closes it.
            response.read()

    def close(self) -> None:
        """Keep the connection if the answer was read to its end."""
        with self._lock:
            if self._is_closed:
                return
            self._is_closed = True
        response = self._response
        is_over = response is not None and response.isclosed()
        if response is None or not is_over or self.is_aborted or response.will_close:
            self.connection.end()
            return
        self.connection.idle_limit_s = _idle_limit_s(response.headers)
        self.connections.put_back(self.connection)

    def silent_since(self) -> float:
        """Return when the endpoint was last heard of, or was sent this request."""
        received_at = self.connections.received_at.get(
            self.endpoint.address, self.sent_at
        )
        return max(self.sent_at, received_at)

    def _record_heard(self) -> None:
        self.connections.received_at[self.endpoint.address] = _clock.now()

    def _next_response(self) -> http.client.HTTPResponse:
        response = http.client.HTTPResponse(
            cast('socket.socket', self.connection.shared), method=self.method
        )
        response.begin()
        return response

    def _failure(self, text: str) -> PeerError:
        return PeerError(text, step=_STEP, peer=self.endpoint.address)


class Connections:
    """Kept connections, by endpoint address.

    Attributes
    ----------
    received_at : dict of str to float
        When bytes last came from an address.
    """

    def __init__(self) -> None:
        self.opened = 0
        self.received_at: dict[str, float] = {}
        self._kept: defaultdict[str, list[_Connection]] = defaultdict(list)
        self._lock = threading.Lock()

    def send(
        self,
        endpoint: Endpoint,
        request: EntryRequest,
        headers: list[tuple[str, str]],
    ) -> UpstreamExchange:
        """Send a request.

        Raises
        ------
        PeerConnectError
            Not one byte has left.
        PeerError
            It may have arrived.
        """
        connection = self._take(endpoint.address)
        exchange = UpstreamExchange(self, connection, endpoint, request.method)
        try:
            _write(connection, request, headers)
        except (OSError, http.client.HTTPException) as error:
            connection.end()
            raise PeerError(
                f'not sent: {error}', step=_STEP, peer=endpoint.address
            ) from error
        return exchange

    def can_reach(self, address: str) -> bool:
        """Return whether a connection can be opened; it is kept."""
        try:
            connection = self._open(address)
        except PeerConnectError:
            return False
        self.put_back(connection)
        return True

    def put_back(self, connection: _Connection) -> None:
        """Keep a connection for later requests."""
        connection.kept_at = _clock.now()
        with self._lock:
            kept = self._kept[connection.address]
            if len(kept) < _MAX_KEPT:
                kept.append(connection)
                return
        connection.end()

    def forget(self, address: str) -> None:
        """Close what is kept of an address, since one of them went silent."""
        with self._lock:
            kept = self._kept.pop(address, [])
        for connection in kept:
            connection.end()

    def _take(self, address: str) -> _Connection:
        while True:
            with self._lock:
                kept = self._kept[address]
                connection = kept.pop() if kept else None
            if connection is None:
                return self._open(address)
            idle_s = _clock.now() - (connection.kept_at or 0)
            if idle_s < connection.idle_limit_s and connection.is_clean():
                return connection
            connection.end()

    def _open(self, address: str) -> _Connection:
        try:
            connection = _Connection(address)
        except OSError as error:
            raise PeerConnectError(
                f'no connection: {error}', step=_STEP, peer=address
            ) from error
        self.opened += 1
        return connection


def _write(
    connection: _Connection, request: EntryRequest, headers: list[tuple[str, str]]
) -> None:
    writer = http.client.HTTPConnection(*split_address(connection.address))
    writer.sock = connection.shared
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


def _idle_limit_s(headers: http.client.HTTPMessage) -> float:
    """Return how long the endpoint keeps the connection open, less a margin."""
    for part in headers.get('Keep-Alive', '').split(','):
        name, _, seconds = part.strip().partition('=')
        if name.lower() == 'timeout' and seconds.isdecimal():
            return min(_MAX_IDLE_S, int(seconds) - _IDLE_MARGIN_S)
    return _MAX_IDLE_S


@contextmanager
def _errors(address: str) -> Iterator[None]:
    try:
        yield
    except TimeoutError as error:
        raise PeerTimeoutError(str(error), step=_STEP, peer=address) from error
    except (OSError, http.client.HTTPException, ValueError) as error:
        text = f'{type(error).__name__}: {error}'
        raise PeerError(text, step=_STEP, peer=address) from error
