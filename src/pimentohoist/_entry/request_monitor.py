"""Cancels requests whose caller has disconnected or whose deadline has passed."""

from __future__ import annotations

import logging
import threading
from collections.abc import Callable
from dataclasses import dataclass
from typing import Self

from pimentohoist import _clock
from pimentohoist._entry.connections import UpstreamExchange

_CHECK_INTERVAL_S = 0.1
"""An engine must stop within half a second of its caller's disconnecting."""

_SILENCE_TIMEOUT_S = 0.7
"""An endpoint that has requests and sends no byte for this time counts as silent; its
usual gaps are many times shorter."""

_logger = logging.getLogger(__name__)


@dataclass(slots=True)
class MonitoredRequest:
    """A request, from its arrival to the end of its response.

    Attributes
    ----------
    request_id : str
        The caller's id of this attempt.
    arrived_at, deadline : float
        Times of `_clock.now` in seconds at which it arrived and is cancelled.
    poll_disconnected : callable
        Returns whether the caller has disconnected.
    exchange : UpstreamExchange or None
        Its newest exchange with an endpoint.
    is_cancelled : bool
        Whether the caller has disconnected or the deadline has passed.
    is_disconnected : bool
        Whether it was cancelled because the caller has disconnected.
    """

    request_id: str
    arrived_at: float
    deadline: float
    poll_disconnected: Callable[[], bool]
    exchange: UpstreamExchange | None = None
    is_cancelled: bool = False
    is_disconnected: bool = False

    def attach(self, exchange: UpstreamExchange) -> None:
        """Set the exchange to abort on cancellation; abort it now if already cancelled."""
        self.exchange = exchange
        if self.is_cancelled:
            exchange.abort()

    def cancel(self, *, is_disconnected: bool) -> None:
        """Abort the exchange and let no other begin."""
        self.is_disconnected = is_disconnected
        self.is_cancelled = True
        if self.exchange is not None:
            self.exchange.abort()


class RequestMonitor:
    """Implements `Controller`: checks all requests several times a second.

    Parameters
    ----------
    record_silence : callable
        Called with the id of an endpoint that has requests and sends nothing.
    """

    def __init__(self, record_silence: Callable[[str], None]) -> None:
        self.record_silence = record_silence
        self._requests: dict[int, MonitoredRequest] = {}
        self._closed = threading.Event()
        self._thread = threading.Thread(target=self._run, name='watch', daemon=True)

    def __enter__(self) -> Self:
        """Start checking."""
        self._thread.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Stop checking."""
        self._closed.set()

    def __len__(self) -> int:
        """Return the number of requests in flight."""
        return len(self._requests)

    def in_flight(self) -> list[MonitoredRequest]:
        """Return the requests in flight, the oldest first."""
        return sorted(self._requests.values(), key=lambda request: request.arrived_at)

    def add(self, monitored: MonitoredRequest) -> None:
        """Check a request until it is removed."""
        self._requests[id(monitored)] = monitored

    def remove(self, monitored: MonitoredRequest) -> None:
        """Stop checking a request."""
        self._requests.pop(id(monitored), None)

    def _run(self) -> None:
        while not self._closed.wait(_CHECK_INTERVAL_S):
            now = _clock.now()
            for monitored in tuple(self._requests.values()):
                try:
                    self._check(monitored, now)
                except Exception:
                    _logger.exception(
                        'checking a request failed', extra={'step': 'watch'}
                    )

    def _check(self, monitored: MonitoredRequest, now: float) -> None:
        if monitored.is_cancelled:
            return
        if monitored.poll_disconnected():
            monitored.cancel(is_disconnected=True)
        elif now >= monitored.deadline:
            monitored.cancel(is_disconnected=False)
        elif monitored.exchange is not None:
            self._check_silence(monitored.exchange, now)

    def _check_silence(self, exchange: UpstreamExchange, now: float) -> None:
        if now - exchange.silent_since() > _SILENCE_TIMEOUT_S:
            self.record_silence(exchange.endpoint.endpoint_id)
