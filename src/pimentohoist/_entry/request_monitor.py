"""Ends exchanges whose caller has gone or whose time is over."""

from __future__ import annotations

import logging
import threading
from collections.abc import Callable
from dataclasses import dataclass
from typing import Self

from pimentohoist import _clock
from pimentohoist._entry.connections import UpstreamExchange

_TICK_S = 0.1
"""An engine must stop within half a second of its caller's leaving."""

_SILENT_S = 0.7
"""Nothing from an endpoint for so long, though it has requests: many times its usual."""

_logger = logging.getLogger(__name__)


@dataclass(slots=True)
class MonitoredRequest:
    """A request, from its arrival to the end of its answer.

    Attributes
    ----------
    deadline : float
        Its caller or its route allow no longer.
    exchange : UpstreamExchange or None
        What is under way for it.
    """

    deadline: float
    poll_disconnected: Callable[[], bool]
    exchange: UpstreamExchange | None = None
    is_cancelled: bool = False
    is_disconnected: bool = False

    def attach(self, exchange: UpstreamExchange) -> None:
        """End this exchange too when the request's time is over."""
        self.exchange = exchange
        if self.is_cancelled:
            exchange.abort()

    def cancel(self, *, is_disconnected: bool) -> None:
        """End what is under way and let nothing more begin."""
        self.is_disconnected = is_disconnected
        self.is_cancelled = True
        if self.exchange is not None:
            self.exchange.abort()


class RequestMonitor:
    """Implements `Controller`: looks at all requests several times a second.

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
        """Start looking."""
        self._thread.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Stop."""
        self._closed.set()

    def __len__(self) -> int:
        """Return the number of requests under way."""
        return len(self._requests)

    def begin(self, monitored: MonitoredRequest) -> None:
        """Look after a request until `finish`."""
        self._requests[id(monitored)] = monitored

    def finish(self, monitored: MonitoredRequest) -> None:
        """Look no more after a request."""
        self._requests.pop(id(monitored), None)

    def _run(self) -> None:
        while not self._closed.wait(_TICK_S):
            now = _clock.now()
            for monitored in tuple(self._requests.values()):
                try:
                    self._check(monitored, now)
                except Exception:
                    _logger.exception('watch failed', extra={'step': 'watch'})

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
        if now - exchange.silent_since() > _SILENT_S:
            self.record_silence(exchange.endpoint.endpoint_id)
