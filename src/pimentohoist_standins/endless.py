"""Answers without an end: bytes that are sent until the caller closes the connection."""

from __future__ import annotations

import itertools
import socket
import time
from collections.abc import Iterator, Mapping
from contextlib import suppress
from dataclasses import dataclass, replace
from types import MappingProxyType

_BLOCK_BYTES = 65_536
_TRICKLED_BYTES = 1
_STATUS = b'HTTP/1.1 200 OK\r\n'
_OWN_HEAD = (
    b'HTTP/1.1 200 OK\r\nPimentohoist-Attempt-Id: {id}\r\n'
    b'Pimentohoist-Response-Seal: 1.2.3\r\n'
)
_CHUNKED_HEAD = b'%bTransfer-Encoding: chunked\r\n\r\n' % _OWN_HEAD
_CHUNK_BYTES = 4096
_CHUNK = b'%x\r\n%b\r\n' % (_CHUNK_BYTES, b'x' * _CHUNK_BYTES)
_SMALL_CHUNK = b'1;%b\r\nx\r\n' % (b'e' * 1000)


@dataclass(frozen=True, slots=True)
class EndlessAnswer:
    """An answer that never ends.

    Attributes
    ----------
    head : bytes
        Sent once; ``{id}`` stands for the id of the request.
    repeated : bytes
        Sent again and again after it.
    pause_s : float
        If not 0, single bytes are sent after the head, with this time between them, in
        seconds.
    """

    head: bytes
    repeated: bytes
    pause_s: float = 0

    def trickled(self, pause_s: float) -> EndlessAnswer:
        """Return the same answer in single bytes."""
        return replace(self, pause_s=pause_s)

    def send(self, connection: socket.socket, request_id: str = '') -> int:
        """Send bytes until the caller closes the connection; return how many."""
        sent = 0
        with suppress(OSError):
            for block in self._blocks(self.head.replace(b'{id}', request_id.encode())):
                connection.sendall(block)
                sent += len(block)
                time.sleep(self.pause_s)
        return sent

    def _blocks(self, head: bytes) -> Iterator[bytes]:
        yield head
        if self.pause_s:
            for number in itertools.cycle(self.repeated):
                yield number.to_bytes(_TRICKLED_BYTES, 'big')
        count = _BLOCK_BYTES // len(self.repeated) + 1
        yield from itertools.repeat(self.repeated * count)


ENDLESS_ANSWERS: Mapping[str, EndlessAnswer] = MappingProxyType(
    {
        'status line': EndlessAnswer(b'HTTP/1.1 200 ', b'O'),
        'header line': EndlessAnswer(b'%bX-Long: ' % _STATUS, b'x'),
        'header lines': EndlessAnswer(_STATUS, b'X-More: 1\r\n'),
        'continue heads': EndlessAnswer(b'', b'HTTP/1.1 100 Continue\r\n\r\n'),
        'body without a length': EndlessAnswer(b'%b\r\n' % _OWN_HEAD, b'x'),
        'body of a huge length': EndlessAnswer(
            b'%bContent-Length: 1000000000000\r\n\r\n' % _OWN_HEAD, b'x'
        ),
        'chunks': EndlessAnswer(_CHUNKED_HEAD, _CHUNK),
        'chunk size': EndlessAnswer(_CHUNKED_HEAD, b'0'),
        'chunk extensions': EndlessAnswer(_CHUNKED_HEAD, _SMALL_CHUNK),
        'trailers': EndlessAnswer(
            b'%b1\r\nx\r\n0\r\n' % _CHUNKED_HEAD, b'X-More: 1\r\n'
        ),
        'answer to another request': EndlessAnswer(b'%b\r\n' % _STATUS, b'x'),
    }
)
"""By what has no end."""

TRICKLED_ANSWERS: Mapping[str, EndlessAnswer] = MappingProxyType(
    {
        **ENDLESS_ANSWERS,
        'body of a huge length': EndlessAnswer(
            b'%bContent-Length: 1000000\r\n\r\n' % _OWN_HEAD, b'x'
        ),
    }
)
"""The same for answers that arrive slowly; none is too large by its own length."""

ENDLESS_EVENT = EndlessAnswer(b'', _CHUNK)
"""Follows the head of a stream, or events of it."""
