"""Splits a stream of server-sent events, so that only complete ones are relayed."""

from __future__ import annotations

import re

from pimentohoist._entry.held_bytes import HeldBytes
from pimentohoist._limited_reader import ByteLimitError

_LAST_EVENT_END = re.compile(rb'.*(?:\n(?:\r?\n|\r(?=[^\n]))|\r\r\n?)', re.DOTALL)
"""Text up to its last blank line. Lines end in LF, CR LF or CR; a CR that ends a blank line
after an LF is complete once the next byte is known not to be the LF of a CR LF."""

_LINE_END = re.compile(rb'\r\n|\n|\r')
_BYTE_ORDER_MARK = b'\xef\xbb\xbf'
_MAX_TAIL_BYTES = 2
_MAX_EVENT_BYTES = 1_048_576
_EVENT_ID = re.compile(rb'(?:\A(?:\xef\xbb\xbf)?|[\r\n])id: ?([^\r\n]*)')
"""An id at the beginning of a line, or after the byte order mark of a stream."""


class EventSplitter:
    """Collects the bytes of a stream and returns its complete events.

    Attributes
    ----------
    last_event_id : str or None
        Id of the last complete event that has one.
    last_ids : list of str
        Ids of the last two of them.
    """

    def __init__(self) -> None:
        self.last_event_id: str | None = None
        self.last_ids: list[str] = []
        self._held = HeldBytes()
        self._tail = b''

    def __len__(self) -> int:
        """Return the number of bytes after the last complete event."""
        return len(self._held)

    def is_inside_event(self) -> bool:
        """Return whether an event has begun and isn't complete.

        Comments, blank lines and a byte order mark belong to no event.
        """
        held = b''.join(self._held).removeprefix(_BYTE_ORDER_MARK)
        *lines, begun_line = _LINE_END.split(held)
        is_inside = False
        for line in lines:
            is_inside = bool(line) and (is_inside or _is_field(line))
        return is_inside or _is_field(begun_line)

    def feed(self, part: bytes) -> bytes:
        """Add bytes; return the events that are complete now, unchanged; may be empty.

        Raises
        ------
        ByteLimitError
            An event is too large.
        """
        # The end of an event may have begun in an earlier part.
        searched = self._tail + part
        found = _LAST_EVENT_END.match(searched)
        self._tail = searched[-_MAX_TAIL_BYTES:]
        if found is None:
            self._hold(part)
            return b''
        end = found.end() - (len(searched) - len(part))
        complete = self.flush() + part[:end]
        remainder = part[end:]
        self._tail = remainder[-_MAX_TAIL_BYTES:]
        self._hold(remainder)
        ids = _EVENT_ID.findall(complete)
        if ids:
            self.last_event_id = ids[-1].decode(errors='replace')
            newest = [event_id.decode(errors='replace') for event_id in ids[-2:]]
            self.last_ids = [*self.last_ids, *newest][-2:]
        return complete

    def flush(self) -> bytes:
        """Return and discard the bytes after the last complete event."""
        remainder = b''.join(self._held)
        self.discard()
        return remainder

    def discard(self) -> None:
        """Discard the bytes after the last complete event."""
        self._held.clear()
        self._tail = b''

    def _hold(self, part: bytes) -> None:
        if len(self._held) + len(part) > _MAX_EVENT_BYTES:
            self.discard()
            raise ByteLimitError('event', _MAX_EVENT_BYTES)
        self._held.append(part)


def _is_field(line: bytes) -> bool:
    return bool(line) and not line.startswith(b':')
