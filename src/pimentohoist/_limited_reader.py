"""Reads responses from sockets within limits on their bytes and their time.

`http.client` skips any number of ``100 Continue`` heads and trailer lines, and its
timeouts start again with each byte, so limits have to apply below it.
"""

from __future__ import annotations

import http.client
import io
import math
import socket
import time

from typing import Any, cast

from pimentohoist._strict_response import StrictResponse

MAX_HEAD_BYTES = 65_536
MAX_READ_BYTES = 16_384
_MAX_FRAMING_BYTES = 65_536
_FRAMING_FACTOR = 8
"""A body may take `_MAX_FRAMING_BYTES` more on the wire than this factor times its data;
a chunk of one byte takes six."""


class ByteLimitError(http.client.HTTPException):
    """A response has more bytes than a limit allows.

    Attributes
    ----------
    limit : str
        Name of the limit: ``head``, ``framing``, ``body`` or ``event``.
    max_bytes : int
        The limit.
    """

    def __init__(self, limit: str, max_bytes: int) -> None:
        super().__init__(f'response exceeds the limit of {max_bytes} bytes ({limit})')
        self.limit = limit
        self.max_bytes = max_bytes


class LimitedReader(io.RawIOBase):
    """Reads from a socket up to a number of bytes, and optionally until a deadline.

    Parameters
    ----------
    source : io.RawIOBase
        Unbuffered reader of the socket.

    Attributes
    ----------
    deadline : float
        Time of `time.monotonic` at which reads time out; infinite if the socket's own
        timeout applies to each read.
    """

    def __init__(self, source: io.RawIOBase, sock: socket.socket) -> None:
        self.source = source
        self.sock = sock
        self.deadline = math.inf
        self.allow_head()

    def allow_head(self) -> None:
        """Set the limit for the heads that come before a body."""
        self._allow('head', MAX_HEAD_BYTES)

    def allow_body(self) -> None:
        """Set the limit for a body, to which `count_data` adds."""
        self._allow('framing', _MAX_FRAMING_BYTES)

    def count_data(self, size: int) -> None:
        """Raise the limit for a body, since it has this many bytes of data more."""
        self._left_bytes += size * _FRAMING_FACTOR

    def limit_error(self) -> ByteLimitError:
        """Return the error of the limit that applies now."""
        return ByteLimitError(self._limit, self._max_bytes)

    def readable(self) -> bool:
        """Return True."""
        return True

    def readinto(self, buffer: Any) -> int | None:
        """Read bytes into a buffer; raises ByteLimitError and TimeoutError."""
        if not self._left_bytes:
            raise self.limit_error()
        if math.isfinite(self.deadline):
            self._set_socket_timeout()
        count = self.source.readinto(memoryview(buffer)[: self._left_bytes])
        self._left_bytes -= count or 0
        return count

    def close(self) -> None:
        """Close the source."""
        self.source.close()
        super().close()

    def _set_socket_timeout(self) -> None:
        # A read of bytes that have arrived already never times out by itself.
        remaining_s = self.deadline - time.monotonic()
        if remaining_s <= 0:
            raise TimeoutError('response not complete before its deadline')
        self.sock.settimeout(remaining_s)

    def _allow(self, limit: str, max_bytes: int) -> None:
        self._limit = limit
        self._max_bytes = max_bytes
        self._left_bytes = max_bytes


class LimitedResponse(StrictResponse):
    """A response with limits on its bytes and a deadline for all of it.

    The socket's timeout, which `http.client` applies to each read, applies to the
    complete response from the creation of this object on.

    Attributes
    ----------
    reader : LimitedReader
        Reader of the socket.
    """

    def __init__(
        self,
        sock: socket.socket,
        debuglevel: int = 0,
        method: str | None = None,
        url: str | None = None,
    ) -> None:
        self.reader = LimitedReader(sock.makefile('rb', buffering=0), sock)
        timeout_s = sock.gettimeout()
        if timeout_s:
            self.reader.deadline = time.monotonic() + timeout_s
        buffered = io.BufferedReader(self.reader)
        super().__init__(
            cast('socket.socket', _ReaderSocket(buffered)),
            debuglevel,
            method,
            url,
        )

    def begin(self) -> None:
        """Read the head, then set the limit for the body."""
        super().begin()
        self.reader.allow_body()

    def read_part(self) -> bytes:
        """Return the bytes of the body that have arrived; empty at its end."""
        part = self.read1(MAX_READ_BYTES)
        self.reader.count_data(len(part))
        return part

    def read_all(self, max_bytes: int) -> bytes:
        """Return the complete body; raises ByteLimitError and IncompleteRead."""
        if (self.length or 0) > max_bytes:
            raise ByteLimitError('body', max_bytes)
        body = bytearray()
        try:
            self._read_into(body, max_bytes)
        except BaseException:
            # The error's traceback would keep the bytes until the next collection.
            body.clear()
            raise
        return bytes(body)

    def _read_into(self, body: bytearray, max_bytes: int) -> None:
        part = self.read_part()
        while part:
            body += part
            if len(body) > max_bytes:
                raise ByteLimitError('body', max_bytes)
            part = self.read_part()
        if self.length:
            raise http.client.IncompleteRead(b'', self.length)
        # A body of known length has ended by now, but only this call closes it.
        self.read()


class _ReaderSocket:
    """Passes a reader to `http.client`, which makes its own from a socket."""

    def __init__(self, reader: io.BufferedIOBase) -> None:
        self.reader = reader

    def makefile(self, mode: str) -> io.BufferedIOBase:
        return self.reader
