"""What endpoints ask of this daemon: no new work, or none for a time."""

from __future__ import annotations

import logging
import random
import threading
from dataclasses import dataclass

from pimentohoist import _clock
from pimentohoist.entry_models import Endpoint, EndpointNotice

_LEAVING_ANNOUNCED_S = 4.0
_MAX_AGE_S = 600.0
"""Long after an endpoint that leaves has ended."""

_MAX_RETURN_SPREAD_S = 0.25
"""Daemons that were asked at the same time don't return in the same instant."""

_logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class _Leave:
    source: str
    at: float


class EndpointNotices:
    """Which incarnations of endpoints leave, and which want no requests for a time."""

    def __init__(self) -> None:
        self._leaves: dict[str, _Leave] = {}
        self._quiet_until: dict[str, float] = {}
        self._lock = threading.Lock()

    def record(self, endpoint: Endpoint, notice: EndpointNotice) -> None:
        """Record what a response of an endpoint says."""
        if notice.is_leaving:
            self.record_leaving(endpoint.incarnation, 'response')
        if notice.quiet_s is not None:
            self._record_quiet(endpoint, notice.quiet_s)

    def record_leaving(self, incarnation: str, source: str) -> None:
        """Record that an incarnation leaves; the first source counts."""
        now = _clock.now()
        with self._lock:
            if incarnation in self._leaves:
                return
            self._leaves = {
                known: leave
                for known, leave in self._leaves.items()
                if now - leave.at < _MAX_AGE_S
            }
            self._leaves[incarnation] = _Leave(source, now)
        endpoint_id, _, _ = incarnation.rpartition('#')
        extra = {'step': 'endpoints', 'endpoint': endpoint_id, 'source': source}
        _logger.info('endpoint is leaving: %s', incarnation, extra=extra)

    def is_leaving(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint gets no new work since it leaves."""
        return endpoint.is_draining or endpoint.incarnation in self._leaves

    def quiet_s(self, endpoint: Endpoint) -> float:
        """Return the seconds for which an endpoint wants no requests; 0 if it does."""
        until = self._quiet_until.get(endpoint.incarnation)
        return 0 if until is None else max(0, until - _clock.now())

    def announced(self) -> list[str]:
        """Return the incarnations of which it became known lately that they leave."""
        since = _clock.now() - _LEAVING_ANNOUNCED_S
        leaves = tuple(self._leaves.items())
        return [incarnation for incarnation, leave in leaves if leave.at >= since]

    def _record_quiet(self, endpoint: Endpoint, quiet_s: float) -> None:
        now = _clock.now()
        until = now + quiet_s + random.uniform(0, _MAX_RETURN_SPREAD_S)
        with self._lock:
            self._quiet_until = {
                incarnation: at
                for incarnation, at in self._quiet_until.items()
                if at > now
            }
            is_known = endpoint.incarnation in self._quiet_until
            known_until = self._quiet_until.get(endpoint.incarnation, until)
            self._quiet_until[endpoint.incarnation] = max(until, known_until)
        if not is_known:
            extra = {
                'step': 'endpoints',
                'endpoint': endpoint.endpoint_id,
                'quiet_s': quiet_s,
            }
            _logger.info('endpoint wants no requests', extra=extra)
