"""Metrics of requests by workspace, in bounded memory."""

from __future__ import annotations

import threading
from collections import Counter
from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, Self

from hdrh.histogram import HdrHistogram

from pimentohoist.exchanges import RequestTiming

OTHER_WORKSPACES = 'others'
ANSWERED = 'answered'

_MAX_WORKSPACES = 32
_MAX_RECORDED_MS = 3_600_000
_SIGNIFICANT_DIGITS = 2
_MS_PER_S = 1000
_MIN_STALL_S = 0.05
_PERCENTILES: Mapping[str, float] = MappingProxyType(
    {'p50': 50, 'p95': 95, 'p99': 99, 'max': 100}
)
_MEASURES = (
    'slot_wait_ms',
    'first_token_ms',
    'between_tokens_ms',
    'total_ms',
)


class WorkspaceMetrics:
    """One workspace's counts and histograms."""

    def __init__(self) -> None:
        self.outcomes: Counter[str] = Counter()
        self.stalled = 0
        self.tokens = 0
        self.slot_s: float = 0
        self.histograms = {
            name: HdrHistogram(1, _MAX_RECORDED_MS, _SIGNIFICANT_DIGITS)
            for name in _MEASURES
        }

    def record(self, outcome: str, timing: RequestTiming, ended_at: float) -> None:
        """Count a request that has ended."""
        self.outcomes[outcome] += 1
        self.stalled += int(timing.slot_wait_s > _MIN_STALL_S)
        self.tokens += timing.tokens
        self.slot_s += timing.slot_s
        if outcome != ANSWERED:
            return
        self._record('total_ms', ended_at - timing.started_at)
        if timing.first_token_at is not None:
            self._record('slot_wait_ms', timing.slot_wait_s)
            self._record('first_token_ms', timing.first_token_at - timing.started_at)
        gaps = self.histograms['between_tokens_ms']
        for gap_ms, count in timing.gaps_ms.items():
            gaps.record_value(max(1, gap_ms), count)

    def dump(self) -> Mapping[str, Any]:
        """Return counts, and the percentiles of each histogram that has values."""
        requests = self.outcomes.total()
        tokens_per_slot_s = round(self.tokens / self.slot_s, 1) if self.slot_s else None
        return {
            'outcomes': dict(self.outcomes),
            'served_share': _ratio(self.outcomes[ANSWERED], requests),
            'load_stall_share': _ratio(self.stalled, requests),
            'tokens': self.tokens,
            'tokens_per_slot_s': tokens_per_slot_s,
            **{
                name: _percentiles(histogram)
                for name, histogram in self.histograms.items()
                if histogram.get_total_count()
            },
        }

    def _record(self, measure: str, seconds: float) -> None:
        self.histograms[measure].record_value(max(1, round(seconds * _MS_PER_S)))


class MetricsController:
    """Collects the metrics of this daemon's requests.

    The first `_MAX_WORKSPACES` workspaces have an entry each; later ones share one entry.
    """

    def __init__(self) -> None:
        self.workspaces: dict[str, WorkspaceMetrics] = {}
        self._lock = threading.Lock()

    def __enter__(self) -> Self:
        """Return itself; there is nothing to start."""
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Do nothing; there is nothing to stop."""

    def record(
        self, workspace: str, outcome: str, timing: RequestTiming, ended_at: float
    ) -> None:
        """Count a request that has ended."""
        with self._lock:
            self._workspace_metrics(workspace).record(outcome, timing, ended_at)

    def dump(self) -> Mapping[str, Any]:
        """Return the metrics by workspace."""
        with self._lock:
            return {name: entry.dump() for name, entry in self.workspaces.items()}

    def _workspace_metrics(self, workspace: str) -> WorkspaceMetrics:
        has_entry = workspace in self.workspaces
        if not has_entry and len(self.workspaces) >= _MAX_WORKSPACES:
            workspace = OTHER_WORKSPACES
        return self.workspaces.setdefault(workspace, WorkspaceMetrics())


def _ratio(part: int, whole: int) -> float | None:
    return round(part / whole, 4) if whole else None


def _percentiles(histogram: Any) -> Mapping[str, int]:
    return {
        name: histogram.get_value_at_percentile(percentile)
        for name, percentile in _PERCENTILES.items()
    }
