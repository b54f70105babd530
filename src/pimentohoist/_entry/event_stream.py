"""Splits a stream of server-sent events so that only whole ones are passed on."""

from __future__ import annotations

import re

_END = re.compile(rb'\r?\n\r?\n')
_ID = re.compile(rb'^id: ?([^\r\n]*)', re.MULTILINE)


class EventSplitter:
    """Gives the whole events of a stream as their bytes come.

    Attributes
    ----------
    last_id : str or None
        Of the newest whole event that has one.
    """

    def __init__(self) -> None:
        self.last_id: str | None = None
        self._rest = b''

    def feed(self, part: bytes) -> bytes:
        """Return the events that are whole by now, unchanged; may be empty."""
        text = self._rest + part
        ends = [found.end() for found in _END.finditer(text)]
        if not ends:
            self._rest = text
            return b''
        end = ends[-1]
        whole = text[:end]
        self._rest = text[end:]
        ids = _ID.findall(whole)
        if ids:
            self.last_id = ids[-1].decode(errors='replace')
        return whole

    def rest(self) -> bytes:
        """Return what came after the last whole event."""
        rest, self._rest = self._rest, b''
        return rest
