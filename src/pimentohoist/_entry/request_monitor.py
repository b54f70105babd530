"""Cancels requests whose caller has disconnected, or whose time is over."""

from __future__ import annotations

import logging
import threading
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import Enum, auto
from typing import Protocol, Self

from pimentohoist import _clock
from pimentohoist._entry.connections import UpstreamExchange
from pimentohoist.entry_models import Endpoint

_CHECK_INTERVAL_S = 0.1
"""An engine must stop within half a second of its caller's disconnecting."""

_SILENCE_TIMEOUT_S = 0.7
"""An endpoint that has requests and sends no byte for this time counts as silent; its
usual gaps are many times shorter."""

_LATE_S = 0.2
"""Turns of the monitor that are later than this leave too little of the half second."""

_MS_PER_S = 1000

_logger = logging.getLogger(__name__)


class Cancellation(Enum):
    """Why a request was cancelled."""

    DISCONNECTED = auto()
    DEADLINE = auto()
    STOP = auto()


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
    cancellation : Cancellation or None
        Why it was cancelled; None if it wasn't.
    cancelled_at : float or None
        Time of `_clock.now` in seconds at which it was cancelled.
    may_repeat : bool
        Whether it may be sent again although it may have run.
    """

    request_id: str
    arrived_at: float
    deadline: float
    poll_disconnected: Callable[[], bool]
    exchange: UpstreamExchange | None = None
    cancellation: Cancellation | None = None
    cancelled_at: float | None = None
    may_repeat: bool = False

    @property
    def is_cancelled(self) -> bool:
        """Return whether no attempt may begin or go on."""
        return self.cancellation is not None

    def check_caller(self) -> bool:
        """Cancel the request if its caller has left; return whether it is cancelled."""
        if not self.is_cancelled and self.poll_disconnected():
            self.cancel(Cancellation.DISCONNECTED)
        return self.is_cancelled

    def attach(self, exchange: UpstreamExchange) -> None:
        """Set the exchange to abort on cancellation; abort it now if already cancelled."""
        self.exchange = exchange
        if self.is_cancelled:
            exchange.abort()

    def cancel(self, cancellation: Cancellation) -> None:
        """Abort the exchange and let no other begin."""
        if self.cancelled_at is None:
            self.cancelled_at = _clock.now()
        self.cancellation = cancellation
        if self.exchange is not None:
            self.exchange.abort()

    def times_ms(self) -> dict[str, int]:
        """Return after how many ms it was last sent, and cancelled, if it was."""
        sent_at = None if self.exchange is None else self.exchange.sent_at
        times = {'sent_ms': sent_at, 'cancelled_ms': self.cancelled_at}
        return {
            name: round((at - self.arrived_at) * _MS_PER_S)
            for name, at in times.items()
            if at is not None
        }


class SilenceListener(Protocol):
    """Learns of endpoints that have requests and send nothing."""

    def record_silence(self, endpoint: Endpoint) -> None:
        """Record that an endpoint has sent nothing for a while."""

    def is_isolated(self) -> bool:
        """Return whether no endpoint can be reached."""


class RequestMonitor:
    """Implements `Controller`: checks all requests several times a second.

    Attributes
    ----------
    cancelled : Counter of (str, str)
        Requests that were cancelled, by reason and by whether they were sent to an endpoint.
    late_turns : int
        Turns that came so late that departed callers may have been noticed too late.
    max_late_s : float
        How late the latest turn came, in seconds.
    """

    def __init__(self, listener: SilenceListener) -> None:
        self.listener = listener
        self.cancelled: Counter[tuple[str, str]] = Counter()
        self.late_turns = 0
        self.max_late_s = float(0)
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

    def cancel_all(self, cancellation: Cancellation) -> None:
        """Cancel the requests in flight."""
        for monitored in self.in_flight():
            if not monitored.is_cancelled:
                monitored.cancel(cancellation)

    def add(self, monitored: MonitoredRequest) -> None:
        """Check a request until it is removed."""
        self._requests[id(monitored)] = monitored

    def remove(self, monitored: MonitoredRequest) -> None:
        """Stop checking a request."""
        known = self._requests.pop(id(monitored), None)
        if known is not None and known.cancellation is not None:
            stage = 'waiting' if known.exchange is None else 'sent'
            self.cancelled[known.cancellation.name.lower(), stage] += 1

    def lines(self) -> Iterator[str]:
        """Yield metrics as text."""
        for (reason, stage), count in tuple(self.cancelled.items()):
            labels = f'reason="{reason}",stage="{stage}"'
            yield f'pimentohoist_requests_cancelled_total{{{labels}}} {count}'
        yield f'pimentohoist_request_checks_late_total {self.late_turns}'
        max_late_ms = round(self.max_late_s * _MS_PER_S)
        yield f'pimentohoist_request_checks_late_ms_max {max_late_ms}'

    def _run(self) -> None:
        due_at = _clock.now() + _CHECK_INTERVAL_S
        while not self._closed.wait(_CHECK_INTERVAL_S):
            now = _clock.now()
            self._record_turn(now - due_at)
            due_at = now + _CHECK_INTERVAL_S
            for monitored in tuple(self._requests.values()):
                try:
                    self._check(monitored, now)
                except Exception:
                    _logger.exception(
                        'checking a request failed', extra={'step': 'watch'}
                    )

    def _record_turn(self, late_s: float) -> None:
        self.max_late_s = max(self.max_late_s, late_s)
        if late_s <= _LATE_S:
            return
        self.late_turns += 1
        extra = {
            'step': 'watch',
            'late_ms': round(late_s * _MS_PER_S),
            'requests': len(self._requests),
        }
        _logger.warning('requests were checked late', extra=extra)

    def _check(self, monitored: MonitoredRequest, now: float) -> None:
        if monitored.check_caller():
            return
        if now >= monitored.deadline:
            monitored.cancel(Cancellation.DEADLINE)
        elif monitored.exchange is not None:
            self._check_silence(monitored, monitored.exchange, now)

    def _check_silence(
        self, monitored: MonitoredRequest, exchange: UpstreamExchange, now: float
    ) -> None:
        if now - exchange.silent_since() <= _SILENCE_TIMEOUT_S:
            return
        self.listener.record_silence(exchange.endpoint)
        is_daemon = exchange.endpoint.is_daemon
        if monitored.may_repeat and not is_daemon and self.listener.is_isolated():
            # Its endpoint may be well, but no answer will come through this daemon's links.
            exchange.abort()
