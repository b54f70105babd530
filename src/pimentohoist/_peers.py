"""The gRPC server and clients for calls between daemons."""

from __future__ import annotations

import threading
from collections.abc import Callable, Mapping
from typing import Any, Self, TypeVar

import grpc

from pimentohoist._elastic_pool import ElasticExecutor
from pimentohoist._generated import peer_pb2_grpc
from pimentohoist.exceptions import (
    PeerConnectError,
    PeerError,
    PeerRefusedError,
    PeerTimeoutError,
    PimentohoistError,
)

ReplyT = TypeVar('ReplyT')
PeerMethods = Mapping[str, Callable[[Any], Any]]

_STEP = 'peers'
_SERVER_THREADS = 64
_STOP_GRACE_S = 1.0
_KEEPALIVE_MS = 5000
_KEEPALIVE_TIMEOUT_MS = 2000
_GRPC_OPTIONS = (
    ('grpc.keepalive_time_ms', _KEEPALIVE_MS),
    ('grpc.keepalive_timeout_ms', _KEEPALIVE_TIMEOUT_MS),
    ('grpc.keepalive_permit_without_calls', 1),
    ('grpc.http2.max_pings_without_data', 0),
    ('grpc.http2.min_ping_interval_without_data_ms', _KEEPALIVE_MS),
    ('grpc.initial_reconnect_backoff_ms', 100),
    ('grpc.max_reconnect_backoff_ms', 1000),
    ('grpc.enable_http_proxy', 0),
    ('grpc.so_reuseport', 0),
    ('grpc.use_local_subchannel_pool', 1),
)


class PeerServer:
    """Serves other daemons' calls from the start to the end of its context.

    Parameters
    ----------
    address : str
        ``ip:port`` to listen on.
    methods : mapping of str to callable
        Handlers by the name of the service's method. A handler takes the request message
        and returns the reply message or, for a streamed reply, an iterator of messages. A
        `PimentohoistError` that it raises reaches the caller as `PeerRefusedError`.
    """

    def __init__(
        self, address: str, methods: PeerMethods, threads: int = _SERVER_THREADS
    ) -> None:
        self.address = address
        self._server = grpc.server(
            ElasticExecutor(threads, 'peers'), options=_GRPC_OPTIONS
        )
        peer_pb2_grpc.add_PeerServicer_to_server(_servicer(methods), self._server)
        self._server.add_insecure_port(address)

    def __enter__(self) -> Self:
        """Start serving."""
        self._server.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Give calls in flight a short time to finish, then stop."""
        self._server.stop(_STOP_GRACE_S).wait()


class PeerClients:
    """Connections to other daemons, one for each address."""

    def __init__(self) -> None:
        self._channels: dict[str, grpc.Channel] = {}
        self._lock = threading.Lock()

    def __enter__(self) -> Self:
        """Start with no connection."""
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Close all connections."""
        self.close()

    def close(self) -> None:
        """Close all connections; calls in flight fail."""
        with self._lock:
            channels = tuple(self._channels.values())
            self._channels.clear()
        for channel in channels:
            channel.close()

    def call(self, address: str, method: str, request: Any, *, timeout_s: float) -> Any:
        """Call a method of the daemon at `address` and return its reply.

        Raises
        ------
        PeerConnectError
            The daemon can't be reached; it has not received the call.
        PeerRefusedError
            The daemon refused the call.
        PeerTimeoutError, PeerError
            The call may have taken effect.
        """
        stub = peer_pb2_grpc.PeerStub(self._channel(address))
        try:
            return getattr(stub, method)(request, timeout=timeout_s)
        except grpc.RpcError as error:
            raise self._error(address, method, error) from error

    def discard_connection(self, address: str) -> None:
        """Drop the connection to `address`; the next call opens a new one.

        Calls in flight keep the old connection until they end.
        """
        with self._lock:
            self._channels.pop(address, None)

    def _channel(self, address: str) -> grpc.Channel:
        with self._lock:
            if address not in self._channels:
                self._channels[address] = grpc.insecure_channel(address, _GRPC_OPTIONS)
            return self._channels[address]

    def _error(self, address: str, method: str, error: Any) -> PeerError:
        text = f'{method}: {error.details()}'
        match error.code():
            case grpc.StatusCode.DEADLINE_EXCEEDED:
                # The connection may be dead: the next call opens a new one.
                self.discard_connection(address)
                return PeerTimeoutError(text, step=_STEP, peer=address)
            case grpc.StatusCode.FAILED_PRECONDITION:
                return PeerRefusedError(text, step=_STEP, peer=address, peer_status=0)
            case grpc.StatusCode.UNAVAILABLE if 'connect' in text.lower():
                # In its backoff, a connection reports the error of an earlier attempt.
                self.discard_connection(address)
                return PeerConnectError(text, step=_STEP, peer=address)
        return PeerError(text, step=_STEP, peer=address)


def _servicer(methods: PeerMethods) -> Any:
    servicer = peer_pb2_grpc.PeerServicer()
    for name, function in methods.items():
        if not hasattr(servicer, name):
            raise ValueError(f'the peer service has no method {name}')
        setattr(servicer, name, _with_refusal_status(function))
    return servicer


def _with_refusal_status(
    function: Callable[[Any], ReplyT],
) -> Callable[[Any, Any], ReplyT]:
    def handle(request: Any, context: Any) -> ReplyT:  # noqa: WPS430
        try:
            return function(request)
        except PimentohoistError as error:
            context.abort(grpc.StatusCode.FAILED_PRECONDITION, str(error))
            raise

    return handle
