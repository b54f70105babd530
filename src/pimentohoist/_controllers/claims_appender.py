"""Appends records to the claims stream, batched, by a thread of its own."""

from __future__ import annotations

import logging
import threading
from collections.abc import Callable, Mapping
from typing import Any, Self

from pimentohoist._claims_fold import CLAIMS_STREAM, ClaimsRecord
from pimentohoist._decisions.claims import MAX_BATCH_RECORDS, AppendQueue
from pimentohoist.exceptions import AppendUnknownError, LogError
from pimentohoist.protocols import Clock, Log

_STEP = 'claims_appender'
_PAUSE_AFTER_ERROR_S = 0.2
_DRAIN_TIMEOUT_S = 3.0
_logger = logging.getLogger(__name__)

OnRefused = Callable[[frozenset[str], LogError], None]


class ClaimsAppender:
    """Owner of the queue: while one append is under way, the next batch gathers.

    Parameters
    ----------
    on_refused : callable
        Told the ids of claims that were not appended, and why.
    """

    def __init__(
        self,
        log: Log,
        clock: Clock,
        on_refused: OnRefused,
        max_records: int = MAX_BATCH_RECORDS,
    ) -> None:
        self.log = log
        self.clock = clock
        self.on_refused = on_refused
        self.queue = AppendQueue(max_records)
        self.appends = 0
        self.errors = 0
        self._changed = threading.Condition()
        self._closed = threading.Event()
        self._thread = threading.Thread(target=self._run, name='claims-append')
        self._deadline = float('inf')

    def __enter__(self) -> Self:
        """Start appending."""
        self._thread.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Append what waits, for a short time, and stop."""
        self._deadline = self.clock() + _DRAIN_TIMEOUT_S
        self._closed.set()
        with self._changed:
            self._changed.notify_all()
        self._thread.join()

    def put(self, record: ClaimsRecord) -> None:
        """Add a record to what is to be appended."""
        with self._changed:
            self.queue.put(record)
            self._changed.notify_all()

    def withdraw(self, claim_id: str) -> bool:
        """Stop appending a claim; return whether a copy of it may be in the log."""
        with self._changed:
            return self.queue.withdraw(claim_id)

    def dump(self) -> Mapping[str, Any]:
        """Return counts."""
        with self._changed:
            waiting = len(self.queue)
        return {
            'unappended_records': waiting,
            'appends': self.appends,
            'append_errors': self.errors,
        }

    def _run(self) -> None:
        batch = self._next_batch()
        while batch and self.clock() < self._deadline:
            self._append(batch)
            batch = self._next_batch()

    def _next_batch(self) -> tuple[bytes, ...]:
        """Wait for records; empty once all are appended and the context has ended."""
        with self._changed:
            self._changed.wait_for(self._has_work_or_is_closed)
            return self.queue.take()

    def _has_work_or_is_closed(self) -> bool:
        return len(self.queue) > 0 or self._closed.is_set()

    def _append(self, batch: tuple[bytes, ...]) -> None:
        try:
            self.log.append(CLAIMS_STREAM, batch)
        except AppendUnknownError as unknown:
            with self._changed:
                self.queue.repeat()
            self._report(unknown)
        except LogError as error:
            with self._changed:
                refused = self.queue.refuse()
            self.on_refused(refused, error)
            self._report(error)
        else:
            with self._changed:
                self.queue.accept()
            self.appends += 1

    def _report(self, error: LogError) -> None:
        self.errors += 1
        _logger.warning(
            'claims not appended: %s',
            error.message,
            extra={'step': _STEP, 'peer': error.peer, 'run': error.run_state.value},
        )
        self._closed.wait(_PAUSE_AFTER_ERROR_S)
