"""Splits a stream of server-sent events, so that only complete ones are relayed."""

from __future__ import annotations

import re

from pimentohoist._entry.held_bytes import HeldBytes
from pimentohoist._limited_reader import ByteLimitError

_EVENT_ENDS = (b'\n\n', b'\n\r\n')
_MAX_TAIL_BYTES = 2
_MAX_EVENT_BYTES = 1_048_576
_EVENT_ID = re.compile(rb'^id: ?([^\r\n]*)', re.MULTILINE)


class EventSplitter:
    """Collects the bytes of a stream and returns its complete events.

    Attributes
    ----------
    last_event_id : str or None
        Id of the last complete event that has one.
    """

    def __init__(self) -> None:
        self.last_event_id: str | None = None
        self._held = HeldBytes()
        self._tail = b''

    def __len__(self) -> int:
        """Return the number of bytes after the last complete event."""
        return len(self._held)

    def feed(self, part: bytes) -> bytes:
        """Add bytes; return the events that are complete now, unchanged; may be empty.

        Raises
        ------
        ByteLimitError
            An event is too large.
        """
        # The end of an event may have begun in an earlier part.
        searched = self._tail + part
        end = max(_end_of_last(mark, searched) for mark in _EVENT_ENDS)
        self._tail = searched[-_MAX_TAIL_BYTES:]
        if not end:
            self._hold(part)
            return b''
        end -= len(searched) - len(part)
        complete = self.flush() + part[:end]
        remainder = part[end:]
        self._tail = remainder[-_MAX_TAIL_BYTES:]
        self._hold(remainder)
        ids = _EVENT_ID.findall(complete)
        if ids:
            self.last_event_id = ids[-1].decode(errors='replace')
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


def _end_of_last(mark: bytes, text: bytes) -> int:
    """Return where the last occurrence of a mark ends; 0 if there is none."""
    found_at = text.rfind(mark)
    return 0 if found_at < 0 else found_at + len(mark)
