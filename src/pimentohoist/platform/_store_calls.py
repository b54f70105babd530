"""Counts the calls to the store by their purpose: each of them has a cost."""

from __future__ import annotations

import logging
import threading
import time
from collections import Counter
from collections.abc import Iterator

_LOG_INTERVAL_S = 10.0

_logger = logging.getLogger(__name__)


class StoreCalls:
    """The calls of all clients of the store that share it; may be used by several threads.

    Attributes
    ----------
    sent : Counter of str
        Calls by purpose, those without an answer included.
    refused : Counter of str
        Calls by purpose that got an error status, such as 429 or 503.
    """

    def __init__(self) -> None:
        self.sent: Counter[str] = Counter()
        self.refused: Counter[str] = Counter()
        self._started_at = time.monotonic()
        self._logged_at = self._started_at
        self._logged = 0
        self._lock = threading.Lock()

    def record_sent(self, purpose: str) -> None:
        """Count a call, and log the counts if the last line is old."""
        now = time.monotonic()
        with self._lock:
            self.sent[purpose] += 1
            is_due = now - self._logged_at > _LOG_INTERVAL_S
            if is_due:
                self._logged_at = now
        if is_due:
            self.log()

    def record_refused(self, purpose: str) -> None:
        """Count the refusal of a call that was counted as sent."""
        with self._lock:
            self.refused[purpose] += 1

    def log(self) -> None:
        """Log the counts since the start, unless they are unchanged since the last line."""
        with self._lock:
            sent, refused = dict(self.sent), dict(self.refused)
            before, self._logged = self._logged, sum(sent.values())
        if sum(sent.values()) == before:
            return
        extra = {
            'step': 'store',
            'calls': sent,
            'refused': refused,
            'counted_s': round(time.monotonic() - self._started_at, 1),
        }
        _logger.info('store calls', extra=extra)

    def metrics(self) -> Iterator[str]:
        """Yield the counts as lines of metrics."""
        with self._lock:
            counts = {'calls': dict(self.sent), 'refusals': dict(self.refused)}
        for name, by_purpose in counts.items():
            for purpose, count in sorted(by_purpose.items()):
                label = f'{{purpose="{purpose}"}}'
                yield f'pimentohoist_store_{name}_total{label} {count}'
