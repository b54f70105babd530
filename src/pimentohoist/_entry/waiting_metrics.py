"""Metrics of requests that search an engine for their adapter."""

from __future__ import annotations

import threading
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

_MAX_WAIT_MS = 60_000
_SIGNIFICANT_DIGITS = 2
_MS_PER_S = 1000
_PERCENTILES = (50, 95, 99)


@dataclass(frozen=True, slots=True)
class SearchOutcome:
    """How a request's search for an engine has ended.

    Attributes
    ----------
    reason : str
        Why the request was refused; empty if an engine has its adapter.
    expected_loss : float
        Loss by the refusal, in on-time responses of priority 0; 0 if there is none.
    """

    priority: int
    waited_s: float
    reason: str
    expected_loss: float


class WaitingMetrics:
    """Waiting times by priority, and refusals by priority and reason."""

    def __init__(self) -> None:
        self._histograms: dict[int, HdrHistogram] = {}
        self._refusals: Counter[tuple[int, str]] = Counter()
        self._lock = threading.Lock()

    def record(self, outcome: SearchOutcome) -> None:
        """Count a search that has ended."""
        waited_ms = min(_MAX_WAIT_MS, max(1, round(outcome.waited_s * _MS_PER_S)))
        with self._lock:
            histogram = self._histograms.setdefault(
                outcome.priority, HdrHistogram(1, _MAX_WAIT_MS, _SIGNIFICANT_DIGITS)
            )
            histogram.record_value(waited_ms)
            if outcome.reason:
                self._refusals[outcome.priority, outcome.reason] += 1

    def lines(self) -> Iterator[str]:
        """Yield the metrics as lines of text."""
        with self._lock:
            waits_ms = {
                (priority, percentile): histogram.get_value_at_percentile(percentile)
                for priority, histogram in self._histograms.items()
                for percentile in _PERCENTILES
            }
            refusals = dict(self._refusals)
        for (priority, percentile), wait_ms in sorted(waits_ms.items()):
            labels = f'priority="{priority}",quantile="{percentile / 100}"'
            yield f'pimentohoist_adapter_wait_ms{{{labels}}} {wait_ms}'
        for (priority, reason), count in sorted(refusals.items()):
            labels = f'priority="{priority}",reason="{reason}"'
            yield f'pimentohoist_adapter_refusals_total{{{labels}}} {count}'
