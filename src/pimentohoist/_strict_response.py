"""HTTP responses whose numbers are read as the protocol writes them.

`http.client` takes what `int` takes: signs, blanks, underscores, leading zeros and statuses
up to 999. It ignores a length that is no number, and what ends a chunk.
"""

from __future__ import annotations

import http.client
import re
from collections.abc import Callable

_MAX_LINE_BYTES = 65_536
_STATUS_LINE = re.compile(rb'(HTTP/1\.[01]) ([1-5][0-9]{2})(?: ([^\r\n]*))?\r?\n')
_CHUNK_SIZE = re.compile(rb'([0-9a-fA-F]{1,15})[ \t]*(?:;[^\r\n]*)?\r?\n')
_LENGTH = re.compile('[0-9]{1,19}')
_CHUNK_END = b'\r\n'
_MAX_QUOTED_BYTES = 80
_HEXADECIMAL = 16


class MalformedHeaderError(http.client.HTTPException):
    """A header that tells the end of the body isn't what the protocol allows."""


class StrictResponse(http.client.HTTPResponse):
    """A response that is read only if its status and its sizes are well-formed.

    Its underscored methods override those of `http.client` that parse them.
    """

    _close_conn: Callable[[], None]

    def begin(self) -> None:
        """Read the head; raises BadStatusLine and MalformedHeaderError."""
        super().begin()
        lengths = set(self.headers.get_all('Content-Length', ()))
        are_numbers = all(_LENGTH.fullmatch(length.strip()) for length in lengths)
        codings = self.headers.get_all('Transfer-Encoding', ())
        is_known = all(coding.strip().lower() == 'chunked' for coding in codings)
        if len(lengths) > 1 or not are_numbers or len(codings) > 1 or not is_known:
            self._close_conn()
            found = f'{sorted(lengths)} {codings}'[:_MAX_QUOTED_BYTES]
            raise MalformedHeaderError(f'malformed length or coding: {found}')

    def _read_status(self) -> tuple[str, int, str]:
        line = self._read_line('status line')
        if not line:
            raise http.client.RemoteDisconnected('connection closed without a response')
        found = _STATUS_LINE.fullmatch(line)
        if found is None:
            self._close_conn()
            raise http.client.BadStatusLine(repr(line[:_MAX_QUOTED_BYTES]))
        version, status, reason = found.groups(b'')
        return version.decode(), int(status), reason.decode('iso-8859-1').strip()

    def _read_next_chunk_size(self) -> int:
        found = _CHUNK_SIZE.fullmatch(self._read_line('chunk size'))
        if found is None:
            self._close_conn()
            raise ValueError('malformed chunk size')
        return int(found[1], _HEXADECIMAL)

    def _safe_read(self, amt: int) -> bytes:
        """Read a number of bytes; what ends a chunk has to be a line's end."""
        found: bytes = super()._safe_read(amt)  # type: ignore[misc]
        if self.chunked and self.chunk_left == 0 and found != _CHUNK_END:
            self._close_conn()
            raise http.client.IncompleteRead(b'')
        return found

    def _read_line(self, kind: str) -> bytes:
        line = self.fp.readline(_MAX_LINE_BYTES + 1)
        if len(line) > _MAX_LINE_BYTES:
            raise http.client.LineTooLong(kind)
        return line
