"""Cancellation at engines of requests whose responses are no longer read."""

from __future__ import annotations

import logging
import threading
from collections.abc import Mapping
from concurrent.futures import ThreadPoolExecutor
from typing import Any, Self

from pimentohoist.exceptions import PeerError
from pimentohoist.protocols import Engine

_THREADS = 4
_MAX_PENDING = 1000
_logger = logging.getLogger(__name__)


class CancellationsController:
    """Sends cancellations in threads, so that no request waits for a dead engine."""

    def __init__(self) -> None:
        self.sent = 0
        self.failed = 0
        self.dropped = 0
        self.pending = 0
        self._pool = ThreadPoolExecutor(_THREADS, thread_name_prefix='cancel')
        self._lock = threading.Lock()

    def __enter__(self) -> Self:
        """Start."""
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Stop; cancellations that were not sent yet are dropped."""
        self._pool.shutdown(wait=False, cancel_futures=True)

    def cancel(self, engine: Engine, request_id: str) -> None:
        """Queue the cancellation of a request, or drop it if too many are pending."""
        with self._lock:
            if self.pending >= _MAX_PENDING:
                self.dropped += 1
                return
            self.pending += 1
        self._pool.submit(self._send, engine, request_id)

    def dump(self) -> Mapping[str, Any]:
        """Return the numbers of cancellations by outcome."""
        with self._lock:
            return {
                'sent': self.sent,
                'failed': self.failed,
                'dropped': self.dropped,
                'pending': self.pending,
            }

    def _send(self, engine: Engine, request_id: str) -> None:
        try:
            engine.cancel(request_id)
        except PeerError as error:
            self._count(is_sent=False)
            _logger.info(
                'cancellation not sent',
                extra={
                    'request_id': request_id,
                    'step': error.step,
                    'peer': error.peer,
                },
            )
        else:
            self._count(is_sent=True)

    def _count(self, *, is_sent: bool) -> None:
        with self._lock:
            self.pending -= 1
            self.sent += int(is_sent)
            self.failed += int(not is_sent)
