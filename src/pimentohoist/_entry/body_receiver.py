"""Receivers of requests' bodies, which hold them in memory and within limits.

Those of waitress move large bodies to temporary files and copy what is left of each read
for each chunk.
"""

from __future__ import annotations

import io
import re
from typing import Any, cast

from waitress.rfc7230 import CHUNK_EXT_RE
from waitress.utilities import BadRequest, Error, RequestEntityTooLarge

from pimentohoist._entry.held_bytes import HeldBytes

_MAX_LINE_BYTES = 4096
_MAX_FRAMING_BYTES = 65_536
_FRAMING_FACTOR = 7
"""A body may take `_MAX_FRAMING_BYTES` and this factor times its data for its framing; a
chunk of one byte takes five bytes, or six with a size of two digits."""

_MAX_TRAILER_BYTES = 16_384
_CHUNK_SIZE = re.compile(rb'([0-9a-fA-F]{1,15})(;[^\r\n]*)?\r\n')
_BYTE_CHUNKS = re.compile(rb'(?:1\r\n[\x00-\xff]\r\n)+')
"""A run of chunks of one byte, which the expression skips at once."""

_BYTE_CHUNK_BYTES = 6
_BYTE_CHUNK_DATA = 3
"""Size of a chunk of one byte, and where its byte is."""

_LINE_END = b'\r\n'
_HEXADECIMAL = 16


def _is_valid(extensions: bytes) -> bool:
    return cast(Any, CHUNK_EXT_RE).match(extensions) is not None


class BodyBuffer:
    """Holds a body in memory; stands in for waitress's buffer."""

    def __init__(self) -> None:
        self._held = HeldBytes()

    def __len__(self) -> int:
        """Return the number of bytes."""
        return len(self._held)

    def append(self, part: bytes) -> None:
        """Add bytes."""
        self._held.append(part)

    def getfile(self) -> io.BytesIO:
        """Return the body as a file, once; the buffer is empty afterwards."""
        body = io.BytesIO()
        # A join would hold a list of all parts beside the body and its copy.
        for part in self._held:
            body.write(part)
        self._held.clear()
        # The value is trimmed to its size, and shared with the file and its reader.
        return io.BytesIO(body.getvalue())

    def close(self) -> None:
        """Discard the body."""
        self._held.clear()


class ChunkedReceiver:
    """Receives a chunked body in time linear in its bytes.

    Attributes
    ----------
    completed : bool
        Whether the last chunk and the trailers have come.
    error : waitress.utilities.Error or None
        Why the body is refused.
    """

    def __init__(self, buffer: BodyBuffer, max_bytes: int) -> None:
        self.completed = False
        self.error: Error | None = None
        self.max_bytes = max_bytes
        self._buffer = buffer
        self._rest = b''
        self._received = 0
        self._size = 0
        self._left = 0
        self._awaits_chunk_end = False
        self._trailer_bytes: int | None = None

    def __len__(self) -> int:
        """Return the number of bytes of data."""
        return self._size

    def getfile(self) -> io.BytesIO:
        """Return the body as a file, once."""
        return self._buffer.getfile()

    def getbuf(self) -> BodyBuffer:
        """Return the buffer."""
        return self._buffer

    def received(self, received: bytes) -> int:
        """Parse bytes; return how many of them belong to the body."""
        if self.completed or self.error is not None:
            return 0
        # What was left over is shorter than a line may be.
        pending = self._rest + received
        end = self._parse_chunks(pending)
        if self._trailer_bytes is not None and self.error is None:
            end = self._parse_trailers(pending, end)
        self._rest = pending[end:]
        if self.completed:
            consumed = len(received) - len(self._rest)
            self._rest = b''
            return consumed
        self._received += len(received)
        self._check_framing()
        return len(received)

    def _parse_chunks(self, pending: bytes) -> int:
        """Parse the chunks that have come; return where the rest begins."""
        found = bytearray()
        before, start = -1, 0
        while start > before and self._trailer_bytes is None and self.error is None:
            before = start
            if self._left:
                start = self._take_data(pending, start, found)
            elif self._awaits_chunk_end:
                start = self._take_chunk_end(pending, start)
            else:
                start = self._take_size(pending, start, found)
        if found:
            self._buffer.append(bytes(found))
            self._size += len(found)
        return start

    def _take_data(self, pending: bytes, start: int, found: bytearray) -> int:
        part = pending[start : start + self._left]
        found += part
        self._left -= len(part)
        self._awaits_chunk_end = not self._left
        return start + len(part)

    def _take_chunk_end(self, pending: bytes, start: int) -> int:
        end = start + len(_LINE_END)
        found = pending[start:end]
        if found == _LINE_END:
            self._awaits_chunk_end = False
            return end
        if not _LINE_END.startswith(found):
            self.error = BadRequest('Chunk not properly terminated')
        return start

    def _take_size(self, pending: bytes, start: int, found: bytearray) -> int:
        run = _BYTE_CHUNKS.match(pending, start)
        if run is not None:
            data_start = start + _BYTE_CHUNK_DATA
            found += pending[data_start : run.end() : _BYTE_CHUNK_BYTES]
            start = run.end()
        line = _CHUNK_SIZE.match(pending, start)
        if line is None or line.end() - start > _MAX_LINE_BYTES:
            self._check_size_line(pending, start)
            return start
        self._begin_chunk(line, len(found))
        return line.end()

    def _begin_chunk(self, line: re.Match[bytes], unrecorded: int) -> None:
        extensions = line[2]
        self._left = int(line[1], _HEXADECIMAL)
        if extensions is not None and not _is_valid(extensions):
            self.error = BadRequest('Invalid chunk extension')
        elif self._size + unrecorded + self._left > self.max_bytes:
            self.error = RequestEntityTooLarge(f'body exceeds {self.max_bytes} bytes')
        elif not self._left:
            self._trailer_bytes = 0

    def _check_size_line(self, pending: bytes, start: int) -> None:
        if len(pending) - start > _MAX_LINE_BYTES:
            self.error = RequestEntityTooLarge(
                f'line of a chunk exceeds {_MAX_LINE_BYTES} bytes'
            )
        elif pending.find(_LINE_END, start) >= 0:
            self.error = BadRequest('Invalid chunk size')

    def _parse_trailers(self, pending: bytes, start: int) -> int:
        """Skip the trailers that have come; return where the rest begins."""
        end = pending.find(_LINE_END, start)
        while end >= 0:
            self._trailer_bytes = (self._trailer_bytes or 0) + end + 2 - start
            if end == start:
                self.completed = True
                return end + 2
            start = end + 2
            end = pending.find(_LINE_END, start)
        rest = len(pending) - start
        if (self._trailer_bytes or 0) + rest > _MAX_TRAILER_BYTES:
            self.error = RequestEntityTooLarge(
                f'trailers exceed {_MAX_TRAILER_BYTES} bytes'
            )
        return start

    def _check_framing(self) -> None:
        framing = self._received - self._size
        max_framing = _MAX_FRAMING_BYTES + _FRAMING_FACTOR * self._size
        if framing > max_framing and self.error is None:
            self.error = RequestEntityTooLarge(
                f'framing of the body exceeds {max_framing} bytes'
            )
