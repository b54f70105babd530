"""The socket on which daemons exchange datagrams."""

from __future__ import annotations

import logging
import socket
import threading
from collections.abc import Callable

from pimentohoist._addresses import split_address

_MAX_DATAGRAM_BYTES = 65_000
_FAILURE_PAUSE_S = 0.25

_logger = logging.getLogger(__name__)


class HeartbeatSocket:
    """Sends datagrams, and receives them in a thread of its own.

    Attributes
    ----------
    sent, received : int
        Datagrams since the start.
    sent_bytes : int
        Bytes of the datagrams that were sent.
    """

    def __init__(self, host: str, port: int) -> None:
        self.host = host
        self.port = port
        self.sent = 0
        self.sent_bytes = 0
        self.received = 0
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._closed = threading.Event()

    def start(self, handle: Callable[[bytes], None]) -> None:
        """Pass each datagram that arrives on."""
        self._socket.bind((self.host, self.port))
        threading.Thread(
            target=self._receive, args=(handle,), name='datagrams', daemon=True
        ).start()

    def close(self) -> None:
        """Close the socket."""
        self._closed.set()
        self._socket.close()

    def send(self, data: bytes, address: str) -> None:
        """Send a datagram to the daemon at an address; it may be lost."""
        host, _ = split_address(address)
        try:
            self._socket.sendto(data, (host, self.port))
        except OSError as error:
            if not self._closed.is_set():
                extra = {'step': 'beat', 'peer': host, 'cause': str(error)}
                _logger.debug('heartbeat not sent', extra=extra)
            return
        self.sent += 1
        self.sent_bytes += len(data)

    def _receive(self, handle: Callable[[bytes], None]) -> None:
        while not self._closed.is_set():
            try:
                data, _ = self._socket.recvfrom(_MAX_DATAGRAM_BYTES)
            except OSError as error:
                self._record_failure(error)
                continue
            self.received += 1
            handle(data)

    def _record_failure(self, error: OSError) -> None:
        if not self._closed.is_set():
            extra = {'step': 'beat', 'cause': str(error)}
            _logger.warning('heartbeat not received', extra=extra)
            self._closed.wait(_FAILURE_PAUSE_S)
