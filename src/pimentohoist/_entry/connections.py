"""A pool of HTTP connections to endpoints, and exchanges of a request and its response.

A response that can't be shown to belong to the request is dropped, and a connection with
unread bytes isn't reused.
"""

from __future__ import annotations

import http.client
import logging
import socket
import threading
from collections import defaultdict
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from enum import Enum, auto

from pimentohoist import _clock
from pimentohoist._entry.held_bytes import HeldBytes
from pimentohoist._entry.own_response import OwnResponseReader
from pimentohoist._entry.response_head import Framing, ResponseHead, framing_of
from pimentohoist._entry.response_memory import ResponseMemory
from pimentohoist._entry.upstream_connection import UpstreamConnection
from pimentohoist._head_grammar import MalformedHeadError
from pimentohoist._http_errors import malformed_response_error
from pimentohoist._limited_reader import (
    MAX_READ_BYTES,
    ByteLimitError,
    LimitedReader,
)
from pimentohoist.entry_models import EntryRequest, Endpoint
from pimentohoist.exceptions import (
    OversizedResponseError,
    PeerConnectError,
    PeerError,
    PeerTimeoutError,
)

_STEP = 'endpoint'
_MAX_IDLE_CONNECTIONS = 64
_MAX_RESPONSES_READ = 3
_MAX_DROPPED_BYTES = 65_536
_MAX_BODY_BYTES = 16_777_216
_MAX_MEMORY_WAIT_S = 1.0
_HEARD_INTERVAL_S = 0.05

_logger = logging.getLogger(__name__)


class Reach(Enum):
    """Whether an address accepts connections; `SILENT` if nothing tells."""

    OPEN = auto()
    REFUSED = auto()
    SILENT = auto()


class UpstreamExchange:
    """A request that was sent to an endpoint, and the response to it."""

    def __init__(
        self,
        connections: ConnectionPool,
        connection: UpstreamConnection,
        endpoint: Endpoint,
        request: EntryRequest,
    ) -> None:
        self.connections = connections
        self.connection = connection
        self.request = request
        self.endpoint = endpoint
        self.sent_at = _clock.now()
        self.is_aborted = False
        self._is_closed = False
        self._lock = threading.Lock()
        self._response: http.client.HTTPResponse | None = None
        self._is_complete = False

    def abort(self) -> None:
        """End the wait for the response by a shutdown, so that the endpoint stops its work."""
        with self._lock:
            # A connection that was released may carry another request by now.
            if not self._is_closed:
                self.is_aborted = True
                self.connection.abort()

    def read_head(self) -> ResponseHead:
        """Wait for the head of the response to the request; raises PeerError."""
        reader = OwnResponseReader(self.connection, self.endpoint, self.request)
        for _ in range(_MAX_RESPONSES_READ):
            with self._wrap_errors():
                response = reader.next_response()
            self._record_received()
            if reader.is_own(response):
                self._response = response
                return ResponseHead(
                    response.status,
                    response.reason,
                    response.headers,
                    framing_of(response),
                )
            self._drop(response)
        raise self._failure(
            f'{_MAX_RESPONSES_READ} responses that belong to no request came'
        )

    def read_body(self) -> HeldBytes:
        """Return the body; raises PeerError if it is cut off or too large."""
        body = HeldBytes()
        if self._response is not None:
            self._check_body_size(self._response.length or 0)
        try:
            self._read_into(body)
        except BaseException:
            # The error's traceback would keep the bytes until the next collection.
            body.clear()
            raise
        return body

    def parts(self) -> Iterator[bytes]:
        """Yield the body as it arrives; raises PeerError if it is cut off."""
        response = self._response
        if response is None:
            raise self._failure('the body was read before the head')
        part = self._read_part(response)
        while part:
            self._record_received()
            yield part
            part = self._read_part(response)
        # A body without a length also ends with the shutdown of its connection.
        self._check_aborted()
        if response.length:
            raise self._failure(f'body cut off: {response.length} bytes are missing')
        with self._wrap_errors():
            # A body of known length has been read, but only this closes the response.
            response.read()
        if framing_of(response) is Framing.CONNECTION_END:
            # The kernel of an endpoint that has crashed closes its connections in order.
            if self.connections.check_reach(self.endpoint.address) is Reach.REFUSED:
                raise self._failure('body cut off: its endpoint refuses connections')
        self._is_complete = True

    def hold(self, size: int) -> None:
        """Record how many bytes of the response are held; wait until they may be.

        Raises
        ------
        OversizedResponseError
            Other responses have taken the memory.
        """
        memory = self.connections.memory
        deadline = _clock.now() + _MAX_MEMORY_WAIT_S
        while not memory.resize(self, size):
            # It isn't the endpoint that is silent.
            self._record_received()
            if _clock.now() > deadline:
                raise self.limit_failure(
                    ByteLimitError('memory of all responses', memory.max_total_bytes)
                )

    def limit_failure(self, error: ByteLimitError) -> OversizedResponseError:
        """Log that the response exceeds a limit and return the error to raise."""
        extra = {
            'step': _STEP,
            'endpoint': self.endpoint.endpoint_id,
            'peer': self.endpoint.address,
            'id': self.request.request_id,
            'limit': error.limit,
            'max_bytes': error.max_bytes,
        }
        _logger.warning('response exceeds a limit', extra=extra)
        return OversizedResponseError(
            str(error), step=_STEP, peer=self.endpoint.address
        )

    def close(self) -> None:
        """Release the connection if the response was read completely, or close it."""
        with self._lock:
            if self._is_closed:
                return
            self._is_closed = True
        self.connections.memory.release(self)
        response = self._response
        if (
            response is None
            or not self._is_complete
            or self.is_aborted
            or response.will_close
        ):
            self.connection.close()
            return
        self.connection.set_max_idle(response.headers)
        self.connections.release(self.connection)

    def silent_since(self) -> float:
        """Return when the endpoint last sent bytes, or was sent this request if later."""
        received_at = self.connections.received_at.get(
            self.endpoint.address, self.sent_at
        )
        return max(self.sent_at, received_at)

    def _record_received(self) -> None:
        self.connections.record_received(self.endpoint)

    def _read_into(self, body: HeldBytes) -> None:
        for part in self.parts():
            size = len(body) + len(part)
            self._check_body_size(size)
            self.hold(size)
            body.append(part)

    def _check_body_size(self, size: int) -> None:
        if size > _MAX_BODY_BYTES:
            raise self.limit_failure(ByteLimitError('body', _MAX_BODY_BYTES))

    def _read_part(self, response: http.client.HTTPResponse) -> bytes:
        # Bytes that arrived before the shutdown could still be read.
        self._check_aborted()
        with self._wrap_errors():
            part = response.read1(MAX_READ_BYTES)
        self.connection.shared_socket.limits.count_data(len(part))
        return part

    def _check_aborted(self) -> None:
        if self.is_aborted:
            raise self._failure('the exchange was aborted')

    def _drop(self, response: http.client.HTTPResponse) -> None:
        size = 0
        part = self._read_part(response)
        while part:
            size += len(part)
            if size > _MAX_DROPPED_BYTES:
                raise self.limit_failure(ByteLimitError('body', _MAX_DROPPED_BYTES))
            part = self._read_part(response)
        with self._wrap_errors():
            response.read()

    def _failure(self, text: str) -> PeerError:
        return PeerError(text, step=_STEP, peer=self.endpoint.address)

    @contextmanager
    def _wrap_errors(self) -> Iterator[None]:
        try:
            yield
        except (OSError, http.client.HTTPException, ValueError) as error:
            raise self._peer_error(error) from error

    def _peer_error(self, error: Exception) -> PeerError:
        peer = self.endpoint.address
        match error:
            case ByteLimitError() | http.client.LineTooLong():
                limits = self.connection.shared_socket.limits
                return self.limit_failure(_limit_error(limits, error))
            case MalformedHeadError():
                fields = {
                    'endpoint': self.endpoint.endpoint_id,
                    'id': self.request.request_id,
                }
                return malformed_response_error(error, _STEP, peer, fields)
            case TimeoutError():
                return PeerTimeoutError(str(error), step=_STEP, peer=peer)
        return self._failure(f'{type(error).__name__}: {error}')


class ConnectionPool:
    """A pool of connections, by endpoint address.

    Attributes
    ----------
    opened : int
        Connections opened since the start.
    received_at : dict of str to float
        Time of `_clock.now` in seconds at which an address last sent bytes.
    memory : ResponseMemory
        Memory of the responses that are buffered.
    on_heard : callable
        Called with an endpoint that has sent bytes or accepted a connection, at most once
        in `_HEARD_INTERVAL_S`.
    on_lost : callable
        Called with an endpoint to which no connection could be opened, and the cause.
    """

    def __init__(self) -> None:
        self.opened = 0
        self.on_heard: Callable[[Endpoint], None] = _ignore_heard
        self.on_lost: Callable[[Endpoint, str], None] = _ignore_lost
        self.received_at: dict[str, float] = {}
        self.memory = ResponseMemory()
        self._idle: defaultdict[str, list[UpstreamConnection]] = defaultdict(list)
        self._lock = threading.Lock()

    def send(
        self,
        endpoint: Endpoint,
        request: EntryRequest,
        headers: list[tuple[str, str]],
        on_open: Callable[[UpstreamExchange], None],
    ) -> UpstreamExchange:
        """Send a request on an idle or a new connection.

        Parameters
        ----------
        on_open : callable
            Called with the exchange before the request is sent, so that an endpoint that
            reads the request slowly can't delay an abort.

        Raises
        ------
        PeerConnectError
            No connection could be made, so no byte was sent.
        PeerError
            Sending failed; the endpoint may have received the request.
        """
        connection = self._connect(endpoint, request.request_id)
        exchange = UpstreamExchange(self, connection, endpoint, request)
        on_open(exchange)
        try:
            connection.write_request(request, headers)
        except (OSError, http.client.HTTPException) as error:
            exchange.close()
            raise PeerError(
                f'request not sent completely: {error}',
                step=_STEP,
                peer=endpoint.address,
            ) from error
        return exchange

    def check_reach(self, address: str) -> Reach:
        """Return whether a connection can be opened; it goes to the pool."""
        try:
            connection = self._open(address)
        except PeerConnectError as error:
            is_refused = isinstance(error.__cause__, ConnectionRefusedError)
            return Reach.REFUSED if is_refused else Reach.SILENT
        self.release(connection)
        return Reach.OPEN

    def record_received(self, endpoint: Endpoint) -> None:
        """Record that an endpoint has sent bytes."""
        now = _clock.now()
        before = self.received_at.get(endpoint.address, float('-inf'))
        self.received_at[endpoint.address] = now
        if now - before > _HEARD_INTERVAL_S:
            self.on_heard(endpoint)

    def adopt(self, address: str, connected: socket.socket) -> None:
        """Add a connection that was opened elsewhere to the pool."""
        self.opened += 1
        self.release(UpstreamConnection(address, connected))

    def release(self, connection: UpstreamConnection) -> None:
        """Return a connection to the pool, or close it if the pool is full."""
        connection.idle_since = _clock.now()
        with self._lock:
            idle = self._idle[connection.address]
            if len(idle) < _MAX_IDLE_CONNECTIONS:
                idle.append(connection)
                return
        connection.close()

    def close_idle(self, address: str) -> None:
        """Close the idle connections to an address, since one of them went silent."""
        with self._lock:
            idle = self._idle.pop(address, [])
        for connection in idle:
            connection.close()

    def _connect(self, endpoint: Endpoint, request_id: str) -> UpstreamConnection:
        opened = self.opened
        try:
            connection = self._acquire(endpoint.address, request_id)
        except PeerConnectError as error:
            self.on_lost(endpoint, error.message)
            raise
        if self.opened > opened:
            self.on_heard(endpoint)
        return connection

    def _acquire(self, address: str, request_id: str) -> UpstreamConnection:
        while True:
            connection = self._pop_idle(address, request_id)
            if connection is None:
                return self._open(address)
            idle_s = _clock.now() - (connection.idle_since or 0)
            if idle_s < connection.max_idle_s and connection.is_reusable():
                return connection
            connection.close()

    def _pop_idle(self, address: str, request_id: str) -> UpstreamConnection | None:
        """Return the connection that was used last and may carry the request."""
        with self._lock:
            idle = self._idle[address]
            for connection in reversed(idle):
                if connection.may_carry(request_id):
                    idle.remove(connection)
                    return connection
        return None

    def _open(self, address: str) -> UpstreamConnection:
        try:
            connection = UpstreamConnection(address)
        except OSError as error:
            raise PeerConnectError(
                f'connection failed: {error}', step=_STEP, peer=address
            ) from error
        self.opened += 1
        return connection


def _ignore_heard(endpoint: Endpoint) -> None:
    """Do nothing with an endpoint that was heard of."""


def _ignore_lost(endpoint: Endpoint, cause: str) -> None:
    """Do nothing with an endpoint that wasn't reached."""


def _limit_error(
    limits: LimitedReader, error: http.client.HTTPException
) -> ByteLimitError:
    """Return the error of our limit.

    The library's limit on a line comes first if a part of the line came with the head.
    """
    return error if isinstance(error, ByteLimitError) else limits.limit_error()
