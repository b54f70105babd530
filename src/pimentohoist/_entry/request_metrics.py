"""Counters and latency histograms of an entry daemon."""

from __future__ import annotations

import threading
from collections import Counter
from collections.abc import Iterator
from http import HTTPStatus

from hdrh.histogram import HdrHistogram

from pimentohoist._decisions.recent_durations import RecentDurations

_MAX_DURATION_MS = 60_000
_SIGNIFICANT_DIGITS = 2
_MS_PER_S = 1000
_MAX_ROUTES = 64
_OTHER_ROUTES = 'others'
_PERCENTILES = (50, 95, 99)


class RequestMetrics:
    """Counts of requests by route and status, and histograms of their durations."""

    def __init__(self) -> None:
        self.statuses: Counter[tuple[str, int]] = Counter()
        self.histograms: dict[str, HdrHistogram] = {}
        self._recent: dict[str, RecentDurations] = {}
        self._lock = threading.Lock()

    def record(self, route: str, status: int, duration_s: float) -> None:
        """Count a request that has ended."""
        with self._lock:
            if route not in self.histograms and len(self.histograms) >= _MAX_ROUTES:
                route = _OTHER_ROUTES
            histogram = self.histograms.get(route)
            if histogram is None:
                histogram = HdrHistogram(1, _MAX_DURATION_MS, _SIGNIFICANT_DIGITS)
                self.histograms[route] = histogram
                self._recent[route] = RecentDurations()
            if status < HTTPStatus.BAD_REQUEST:
                self._recent[route].record(duration_s)
            self.statuses[route, status] += 1
            duration_ms = min(_MAX_DURATION_MS, max(1, round(duration_s * _MS_PER_S)))
            histogram.record_value(duration_ms)

    def usual_max_s(self, route: str) -> float | None:
        """Return the seconds that a route's answers usually take at most.

        If too few are known, those of the slowest other route count; None if there is
        none.
        """
        with self._lock:
            usual_s = {
                name: longest_s
                for name, recent in self._recent.items()
                if (longest_s := recent.usual_max_s()) is not None
            }
        return usual_s.get(route) or max(usual_s.values(), default=None)

    def lines(self) -> Iterator[str]:
        """Yield the metrics as lines of text."""
        with self._lock:
            statuses = dict(self.statuses)
            histograms = dict(self.histograms)
        for (route, status), count in sorted(statuses.items()):
            labels = f'route="{route}",status="{status}"'
            yield f'pimentohoist_requests_total{{{labels}}} {count}'
        for route, histogram in sorted(histograms.items()):
            for percentile in _PERCENTILES:
                labels = f'route="{route}",quantile="{percentile / 100}"'
                duration_ms = histogram.get_value_at_percentile(percentile)
                yield f'pimentohoist_request_ms{{{labels}}} {duration_ms}'
