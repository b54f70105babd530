"""Follows a stream of the log and keeps its fold up to date."""

from __future__ import annotations

import logging
import threading
import time
from collections.abc import Mapping
from typing import Any, Generic, Self, TypeVar

from pimentohoist.exceptions import LogError
from pimentohoist.protocols import Clock, Fold, Log

FoldT = TypeVar('FoldT', bound=Fold)

_LONG_POLL_S = 1.0
_PAUSE_AFTER_ERROR_S = 0.2
_logger = logging.getLogger(__name__)


class StreamFollower(Generic[FoldT]):
    """A controller that applies a stream's records as they come.

    Attributes
    ----------
    fold : Fold
        State; read it only while holding `changed`.
    changed : threading.Condition
        Notified after each applied page.
    head_read_at : float
        Monotonic time in seconds before the last question whose answer showed that the
        fold had reached the head; minus infinity if there was none.
    """

    def __init__(
        self, log: Log, stream: str, fold: FoldT, clock: Clock = time.monotonic
    ) -> None:
        self.log = log
        self.stream = stream
        self.fold = fold
        self.clock = clock
        self.changed = threading.Condition()
        self.head_read_at = float('-inf')
        self.errors = 0
        self._closed = threading.Event()
        self._thread = threading.Thread(
            target=self._follow, name=f'follow-{stream}', daemon=True
        )

    def __enter__(self) -> Self:
        """Start following."""
        self._thread.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Stop following; the last long poll may outlive this call."""
        self._closed.set()

    def wait_for(self, offset: int, timeout_s: float) -> bool:
        """Return whether the fold covers the record at `offset` in time."""
        with self.changed:
            return self.changed.wait_for(
                lambda: self.fold.next_offset > offset, timeout_s
            )

    def wait_until_read(self, timeout_s: float) -> bool:
        """Return whether the head was reached once in time."""
        with self.changed:
            return self.changed.wait_for(
                lambda: self.head_read_at > float('-inf'), timeout_s
            )

    def dump(self) -> Mapping[str, Any]:
        """Return position and freshness."""
        with self.changed:
            has_read = self.head_read_at > float('-inf')
            age_s = round(self.clock() - self.head_read_at, 3) if has_read else None
            return {
                'stream': self.stream,
                'next_offset': self.fold.next_offset,
                'head_read_s_ago': age_s,
                'errors': self.errors,
            }

    def read_once(self, wait_s: float) -> None:
        """Read one page and apply it; raises LogError."""
        asked_at = self.clock()
        page = self.log.read(self.stream, self.fold.next_offset, wait_s=wait_s)
        with self.changed:
            for record in page.records:
                self.fold.apply(record)
            if self.fold.next_offset >= page.next_offset:
                self.head_read_at = asked_at
            self.changed.notify_all()

    def _follow(self) -> None:
        while not self._closed.is_set():
            has_read = self.head_read_at > float('-inf')
            try:
                self.read_once(_LONG_POLL_S if has_read else 0)
            except LogError as error:
                self._report(error)

    def _report(self, error: LogError) -> None:
        self.errors += 1
        _logger.warning(
            'stream not read',
            extra={'stream': self.stream, 'step': error.step, 'peer': error.peer},
        )
        self._closed.wait(_PAUSE_AFTER_ERROR_S)
