"""Structured logs: one JSON object a line, written without ever blocking."""

from __future__ import annotations

import logging
import queue
import sys
from logging.handlers import QueueHandler, QueueListener
from typing import Self, TextIO

from pythonjsonlogger.json import JsonFormatter

_FORMAT = '%(asctime)s %(levelname)s %(name)s %(message)s'
_MOST_WAITING = 2000
"""Lines kept while the reader of the output is slow: about half a megabyte."""


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
        writer = logging.StreamHandler(stream)
        writer.setFormatter(_formatter(instance))
        waiting: queue.Queue[logging.LogRecord] = queue.Queue(_MOST_WAITING)
        self._handler = _DroppingHandler(waiting, self)
        self._listener = QueueListener(waiting, writer)

    def __enter__(self) -> Self:
        """Start writing."""
        logging.basicConfig(level=self._level, handlers=[self._handler], force=True)
        _quiet_libraries()
        self._listener.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Write what waits and stop."""
        self._listener.stop()


class _DroppingHandler(QueueHandler):
    def __init__(
        self, waiting: queue.Queue[logging.LogRecord], logs: BoundedLogs
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
