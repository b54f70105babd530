"""Structured logs: one JSON object per line, written without ever blocking."""

from __future__ import annotations

import logging
import queue
import sys
import threading
from contextlib import suppress
from logging.handlers import QueueHandler
from typing import Self, TextIO

from pythonjsonlogger.json import JsonFormatter

_FORMAT = '%(asctime)s %(levelname)s %(name)s %(message)s'
_MAX_QUEUED_LINES = 2000
"""Lines queued while the reader of the output is slow: about half a megabyte."""

_FLUSH_TIMEOUT_S = 1.0
"""Time to write queued lines when the process ends; a working reader needs less."""


def configure_logs(level: str, *, instance: str) -> None:
    """Write log records of `level` and above as JSON, with the instance's name."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(_formatter(instance))
    logging.basicConfig(level=level, handlers=[handler], force=True)
    _quiet_libraries()


class BoundedLogs:
    """Writes logs in its own thread; drops lines while its queue is full.

    Attributes
    ----------
    dropped : int
        Lines that were not written.
    """

    def __init__(self, level: str, *, instance: str, stream: TextIO) -> None:
        self.dropped = 0
        self._level = level
        self._writer = logging.StreamHandler(stream)
        self._writer.setFormatter(_formatter(instance))
        self._queued: queue.Queue[logging.LogRecord | None] = queue.Queue(
            _MAX_QUEUED_LINES
        )
        self._thread = threading.Thread(target=self._write, name='logs', daemon=True)

    def __enter__(self) -> Self:
        """Start writing."""
        handler = _DroppingHandler(self._queued, self)
        logging.basicConfig(level=self._level, handlers=[handler], force=True)
        _quiet_libraries()
        self._thread.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Write the queued lines and stop; drop them if the output isn't being read."""
        self.flush(_FLUSH_TIMEOUT_S)

    def flush(self, timeout_s: float) -> None:
        """Write the queued lines and stop, within a time in seconds."""
        with suppress(queue.Full):
            self._queued.put_nowait(None)
        self._thread.join(timeout_s)

    def _write(self) -> None:
        for record in iter(self._queued.get, None):
            self._writer.handle(record)


class _DroppingHandler(QueueHandler):
    def __init__(
        self, queued: queue.Queue[logging.LogRecord | None], logs: BoundedLogs
    ) -> None:
        super().__init__(queued)
        self.logs = logs

    def enqueue(self, record: logging.LogRecord) -> None:
        """Queue a line unless the queue is full."""
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            self.logs.dropped += 1

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        """Return the record unchanged; the writing thread formats it."""
        return record


def _formatter(instance: str) -> JsonFormatter:
    return JsonFormatter(_FORMAT, static_fields={'instance': instance}, timestamp=False)


def _quiet_libraries() -> None:
    logging.getLogger('waitress').setLevel(logging.ERROR)
