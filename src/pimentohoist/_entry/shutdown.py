"""The state of a daemon's planned stop, and the log records that explain it."""

from __future__ import annotations

import logging
import time
from collections.abc import Iterator, Sequence
from contextlib import contextmanager

from pimentohoist import _clock
from pimentohoist._entry.request_monitor import MonitoredRequest

_STEP = 'stop'
_MS_PER_S = 1000
_MAX_LOGGED_REQUESTS = 100
"""Requests that are named one by one when the daemon ends before they do."""

_logger = logging.getLogger(__name__)


class Shutdown:
    """Follows a planned stop.

    Attributes
    ----------
    grace_s : float
        Seconds from the signal to the kill.
    signalled_at : float or None
        Time of `_clock.now` in seconds at which the signal came; None before.
    """

    def __init__(self, grace_s: float) -> None:
        self.grace_s = grace_s
        self.signalled_at: float | None = None

    def begin(self) -> None:
        """Record the signal; later signals change nothing."""
        if self.signalled_at is None:
            self.signalled_at = _clock.now()

    def since_signal_s(self) -> float:
        """Return the seconds since the signal; 0 before it."""
        return 0 if self.signalled_at is None else _clock.now() - self.signalled_at

    def record_arrival(self, request_id: str, route: str, timeout_s: float) -> None:
        """Log a request that arrives after the signal."""
        if self.signalled_at is not None:
            extra = {
                **self._extra(),
                'id': request_id,
                'route': route,
                'timeout_s': round(timeout_s, 3),
            }
            _logger.info('request arrived during the stop', extra=extra)

    def record_progress(self, message: str, running: int) -> None:
        """Log a step of the stop with the number of requests in flight."""
        _logger.info(message, extra={**self._extra(), 'running': running})

    def record_cut(self, requests: Sequence[MonitoredRequest]) -> None:
        """Log the requests that the end of the process will cut off."""
        for request in requests[:_MAX_LOGGED_REQUESTS]:
            exchange = request.exchange
            extra = {
                **self._extra(),
                'id': request.request_id,
                'age_ms': round((_clock.now() - request.arrived_at) * _MS_PER_S),
                'endpoint': exchange.endpoint.endpoint_id if exchange else '',
            }
            _logger.warning('request cut off by the stop', extra=extra)

    @contextmanager
    def timed(self, part: str) -> Iterator[None]:
        """Log how long a part of the stop took."""
        began_at = time.monotonic()
        try:
            yield
        finally:
            self._record_part(part, time.monotonic() - began_at)

    def _record_part(self, part: str, took_s: float) -> None:
        extra = {**self._extra(), 'part': part, 'took_ms': round(took_s * _MS_PER_S)}
        _logger.info('part of the stop ended', extra=extra)

    def _extra(self) -> dict[str, object]:
        since_s = self.since_signal_s()
        return {
            'step': _STEP,
            'since_signal_s': round(since_s, 3),
            'left_s': round(self.grace_s - since_s, 3),
        }
