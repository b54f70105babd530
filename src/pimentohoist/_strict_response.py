"""HTTP responses whose heads, chunks and trailers are read as the protocol writes them.

`http.client` has heads parsed by the parser for e-mail, which ends a head at the first line
that is no field, and takes numbers as `int` does: with signs, blanks and underscores. It
ignores a length that is no number, what ends a chunk, and trailers.
"""

from __future__ import annotations

import http.client
import re
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from http import HTTPStatus

from pimentohoist._head_grammar import (
    IncompleteHeadError,
    MalformedHeadError,
    StatusLine,
    parse_field_line,
    parse_status_line,
)

_MAX_LINE_BYTES = 65_536
_MAX_FIELDS = 100
_HEADER_LINE = 'header line'
_TRAILER_LINE = 'trailer line'
_CHUNK_SIZE = re.compile(rb'([0-9a-fA-F]{1,15})[ \t]*(?:;[^\r\n]*)?\r?\n')
_LENGTH = re.compile('[0-9]{1,19}')
_CHUNKED = 'chunked'
_CHUNK_END = b'\r\n'
_HEXADECIMAL = 16
_ENCODING = 'iso-8859-1'
_FIRST_VERSION = 10
"""HTTP/1.0, as `http.client` numbers versions."""

_BODILESS_STATUSES = frozenset((HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED))


class StrictResponse(http.client.HTTPResponse):
    """A response that is read only if its head and its sizes are well-formed.

    Its underscored methods override those of `http.client` that parse chunks and trailers.
    """

    _close_conn: Callable[[], None]
    # The method of the request, which is set by `http.client`.
    _method: str | None

    def begin(self) -> None:
        """Read the head; interim responses before it are checked and skipped.

        Raises
        ------
        RemoteDisconnected
            The connection was closed before the response.
        IncompleteHeadError
            It was closed within the head.
        MalformedHeadError
            A line of the head isn't well-formed, or the length or the coding isn't known.
        """
        if self.headers is not None:
            return
        with self._closing_malformed():
            self._read_head()

    def _read_head(self) -> None:
        status_line, headers = self._read_section()
        while status_line.status < HTTPStatus.OK:
            status_line, headers = self._read_section()
        self.version = _FIRST_VERSION + status_line.minor_version
        self.status = status_line.status
        self.reason = status_line.reason
        length = _length(headers)
        self.chunked = _is_chunked(headers)
        # Set to its size by each chunk's head.
        self.chunk_left = None
        if self.status in _BODILESS_STATUSES or self._method == 'HEAD':
            self.length = 0
        else:
            self.length = None if self.chunked else length
        has_end = self.chunked or self.length is not None
        self.will_close = not has_end or _is_closing(self.version, headers)
        self.headers = headers

    def _read_section(self) -> tuple[StatusLine, http.client.HTTPMessage]:
        """Read a status line and the fields behind it."""
        line = self._read_line('status line')
        if not line:
            raise http.client.RemoteDisconnected('connection closed without a response')
        status_line = parse_status_line(line)
        headers = http.client.HTTPMessage()
        for _ in range(_MAX_FIELDS + 1):
            field = parse_field_line(self._read_line(_HEADER_LINE), _HEADER_LINE)
            if field is None:
                return status_line, headers
            headers.add_header(*field)
        raise http.client.HTTPException(f'more than {_MAX_FIELDS} header lines')

    def _read_next_chunk_size(self) -> int:
        found = _CHUNK_SIZE.fullmatch(self._read_line('chunk size'))
        if found is None:
            self._close_conn()
            raise ValueError('malformed chunk size')
        return int(found[1], _HEXADECIMAL)

    def _read_and_discard_trailer(self) -> None:
        """Check the trailers, and drop them."""
        with self._closing_malformed():
            line = self._read_line(_TRAILER_LINE)
            # The last chunk has ended the body, so the connection may end without trailers.
            while line and parse_field_line(line, _TRAILER_LINE) is not None:
                line = self._read_line(_TRAILER_LINE)

    def _safe_read(self, amt: int) -> bytes:
        """Read a number of bytes; what ends a chunk has to be a line's end."""
        found: bytes = super()._safe_read(amt)  # type: ignore[misc]
        if self.chunked and self.chunk_left == 0 and found != _CHUNK_END:
            self._close_conn()
            raise http.client.IncompleteRead(b'')
        return found

    @contextmanager
    def _closing_malformed(self) -> Iterator[None]:
        """Close the reader if a line is malformed or cut off."""
        try:
            yield
        except (MalformedHeadError, IncompleteHeadError):
            self._close_conn()
            raise

    def _read_line(self, kind: str) -> bytes:
        line = self.fp.readline(_MAX_LINE_BYTES + 1)
        if len(line) > _MAX_LINE_BYTES:
            raise http.client.LineTooLong(kind)
        return line


def _length(headers: http.client.HTTPMessage) -> int | None:
    """Return the length of the body; None without one. Raises MalformedHeadError."""
    lengths = set(headers.get_all('Content-Length', ()))
    if not lengths:
        return None
    text = ', '.join(sorted(lengths))
    if _LENGTH.fullmatch(text) is None:
        raise MalformedHeadError('length', f'Content-Length: {text}'.encode(_ENCODING))
    return int(text)


def _is_chunked(headers: http.client.HTTPMessage) -> bool:
    """Return whether the body comes in chunks; raises MalformedHeadError."""
    codings = headers.get_all('Transfer-Encoding', ())
    text = ', '.join(codings)
    if codings and text.lower() != _CHUNKED:
        raise MalformedHeadError(
            'coding', f'Transfer-Encoding: {text}'.encode(_ENCODING)
        )
    return bool(codings)


def _is_closing(version: int, headers: http.client.HTTPMessage) -> bool:
    """Return whether the peer closes the connection after the response."""
    text = ','.join(headers.get_all('Connection', ()))
    options = {option.strip().lower() for option in text.split(',')}
    if version == _FIRST_VERSION:
        return 'keep-alive' not in options
    return 'close' in options
