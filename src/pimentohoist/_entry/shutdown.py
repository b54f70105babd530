"""A daemon's planned stop: what it still accepts, and the log records that explain it."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager

from pimentohoist import _clock
from pimentohoist._decisions.shutdown_schedule import ExpectedTimes, ShutdownSchedule
from pimentohoist._entry.filters import add_jitter
from pimentohoist._entry.request_monitor import MonitoredRequest
from pimentohoist.entry_models import ExecutionPolicy, Route
from pimentohoist.exceptions import UnavailableError

_STEP = 'stop'
_MS_PER_S = 1000
_RESTART_S = 1.0
"""Time until a daemon that is started now is ready."""

_MAX_LOGGED_REQUESTS = 100
"""Requests that are named one by one when the daemon ends before they do."""

_logger = logging.getLogger(__name__)


class Shutdown:
    """Decides which requests a stopping daemon accepts.

    Attributes
    ----------
    grace_s : float
        Seconds from the signal to the kill.
    schedule : ShutdownSchedule or None
        Times of the stop; None before the signal.
    is_closed : bool
        Whether all requests are refused.
    has_alternative : callable
        Returns whether another daemon is ready.
    """

    def __init__(self, grace_s: float, has_alternative: Callable[[], bool]) -> None:
        self.grace_s = grace_s
        self.has_alternative = has_alternative
        self.schedule: ShutdownSchedule | None = None
        self.is_closed = False

    def begin(self, signalled_at: float) -> ShutdownSchedule:
        """Set the time of the signal and return the times of the stop."""
        self.schedule = ShutdownSchedule(signalled_at, self.grace_s)
        return self.schedule

    def close(self) -> None:
        """Refuse all requests from now on."""
        if not self.is_closed:
            _logger.info('all requests are refused', extra=self._extra())
        self.is_closed = True

    def check(
        self, request_id: str, route: Route, limit_s: float, usual_s: float | None
    ) -> None:
        """Raise UnavailableError if a request may outlast the daemon.

        Parameters
        ----------
        limit_s : float
            Seconds until the request's deadline.
        usual_s : float or None
            Seconds that requests of its route usually take at most; None if unknown.
        """
        schedule = self.schedule
        if schedule is None:
            return
        now = _clock.now()
        is_stream = route.execution_policy is ExecutionPolicy.STREAM
        times = ExpectedTimes(limit_s, usual_s, self.has_alternative(), is_stream)
        needed_s = schedule.needed_s(now, times)
        is_accepted = not self.is_closed and schedule.may_begin(now, times)
        extra = {
            **self._extra(),
            'id': request_id,
            'route': route.name,
            'needed_s': round(needed_s, 3),
            'is_closed': self.is_closed,
            'outcome': 'accepted' if is_accepted else 'refused',
        }
        _logger.info('request arrived during the stop', extra=extra)
        if not is_accepted:
            raise self.refusal(f'the request may take {needed_s:.1f} s')

    def refusal(self, cause: str) -> UnavailableError:
        """Return the error for a request that hasn't run and won't."""
        # Another daemon can serve the caller at once; else one must start first.
        wait_s = 0 if self.has_alternative() else add_jitter(_RESTART_S)
        return UnavailableError(
            f'the daemon is stopping: {cause}', step=_STEP, retry_after_s=wait_s
        )

    def record_progress(self, message: str, running: int) -> None:
        """Log a step of the stop with the number of requests in flight."""
        _logger.info(message, extra={**self._extra(), 'running': running})

    def record_cut(self, requests: Sequence[MonitoredRequest]) -> None:
        """Log the requests that the end of the process cuts off."""
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
        schedule = self.schedule
        since_s = _clock.now() - schedule.signalled_at if schedule else 0
        return {
            'step': _STEP,
            'since_signal_s': round(since_s, 3),
            'left_s': round(self.grace_s - since_s, 3),
        }
