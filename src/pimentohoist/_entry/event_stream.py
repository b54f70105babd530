"""Splits a stream of server-sent events, so that only complete ones are relayed."""

from __future__ import annotations

import re

_EVENT_END = re.compile(rb'\r?\n\r?\n')
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
        self._buffer = b''

    def feed(self, part: bytes) -> bytes:
        """Add bytes; return the events that are complete now, unchanged; may be empty."""
        text = self._buffer + part
        ends = [match.end() for match in _EVENT_END.finditer(text)]
        if not ends:
            self._buffer = text
            return b''
        end = ends[-1]
        complete = text[:end]
        self._buffer = text[end:]
        ids = _EVENT_ID.findall(complete)
        if ids:
            self.last_event_id = ids[-1].decode(errors='replace')
        return complete

    def flush(self) -> bytes:
        """Return and discard the bytes after the last complete event."""
        remainder, self._buffer = self._buffer, b''
        return remainder
