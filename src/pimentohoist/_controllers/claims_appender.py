"""Appends records to the claims stream in batches, in a separate thread."""

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

OnClaimsRefused = Callable[[frozenset[str], LogError], None]


class ClaimsAppender:
    """Queues records and appends them; records put during an append form the next batch.

    Parameters
    ----------
    max_records : int
        Maximum number of records in one append.
    on_refused : callable
        Called with the ids of claims that were not appended, and the error.
    """

    def __init__(
        self,
        log: Log,
        clock: Clock,
        on_refused: OnClaimsRefused,
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
        self._drain_deadline = float('inf')

    def __enter__(self) -> Self:
        """Start appending."""
        self._thread.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Append the queued records, for a limited time, and stop."""
        self._drain_deadline = self.clock() + _DRAIN_TIMEOUT_S
        self._closed.set()
        with self._changed:
            self._changed.notify_all()
        self._thread.join()

    def put(self, record: ClaimsRecord) -> None:
        """Queue a record for appending."""
        with self._changed:
            self.queue.put(record)
            self._changed.notify_all()

    def withdraw(self, claim_id: str) -> bool:
        """Stop appending a claim; return whether a copy of it may be in the log."""
        with self._changed:
            return self.queue.withdraw(claim_id)

    def dump(self) -> Mapping[str, Any]:
        """Return the number of unappended records, appends and errors."""
        with self._changed:
            queued = len(self.queue)
        return {
            'unappended_records': queued,
            'appends': self.appends,
            'append_errors': self.errors,
        }

    def _run(self) -> None:
        batch = self._next_batch()
        while batch and self.clock() < self._drain_deadline:
            self._append(batch)
            batch = self._next_batch()

    def _next_batch(self) -> tuple[bytes, ...]:
        """Wait for records; return none once closed with all records appended."""
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
                self.queue.retry_batch()
            self._record_failure(unknown)
        except LogError as error:
            with self._changed:
                refused_claim_ids = self.queue.refuse()
            self.on_refused(refused_claim_ids, error)
            self._record_failure(error)
        else:
            with self._changed:
                self.queue.accept()
            self.appends += 1

    def _record_failure(self, error: LogError) -> None:
        self.errors += 1
        _logger.warning(
            'failed to append to the claims stream: %s',
            error.message,
            extra={'step': _STEP, 'peer': error.peer, 'run': error.run_state.value},
        )
        self._closed.wait(_PAUSE_AFTER_ERROR_S)
