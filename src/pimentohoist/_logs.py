"""Structured logs: one JSON object a line, written without ever blocking."""

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
_MAX_WAITING = 2000
"""Lines kept while the reader of the output is slow: about half a megabyte."""

_LAST_LINES_S = 1.0
"""Time to write what waits when the process ends: a reader that reads takes less."""


def configure_logs(level: str, *, instance: str) -> None:
    """Write logs of `level` and above as JSON, each with the instance's name."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(_formatter(instance))
    logging.basicConfig(level=level, handlers=[handler], force=True)
    _quiet_libraries()


class BoundedLogs:
    """Writes logs in a thread of its own; lines beyond the queue are dropped.

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
        self._waiting: queue.Queue[logging.LogRecord | None] = queue.Queue(_MAX_WAITING)
        self._thread = threading.Thread(target=self._write, name='logs', daemon=True)

    def __enter__(self) -> Self:
        """Start writing."""
        handler = _DroppingHandler(self._waiting, self)
        logging.basicConfig(level=self._level, handlers=[handler], force=True)
        _quiet_libraries()
        self._thread.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Write what waits and stop, without it if nobody reads."""
        with suppress(queue.Full):
            self._waiting.put_nowait(None)
        self._thread.join(_LAST_LINES_S)

    def _write(self) -> None:
        for record in iter(self._waiting.get, None):
            self._writer.handle(record)


class _DroppingHandler(QueueHandler):
    def __init__(
        self, waiting: queue.Queue[logging.LogRecord | None], logs: BoundedLogs
    ) -> None:
        super().__init__(waiting)
        self.logs = logs

    def enqueue(self, record: logging.LogRecord) -> None:
        """Queue a line unless the queue is full."""
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            self.logs.dropped += 1

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        """Leave the formatting to the thread that writes."""
        return record


def _formatter(instance: str) -> JsonFormatter:
    return JsonFormatter(_FORMAT, static_fields={'instance': instance}, timestamp=False)


def _quiet_libraries() -> None:
    logging.getLogger('waitress').setLevel(logging.ERROR)
