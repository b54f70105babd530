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
class Watched:
    """A request, from its arrival to the end of its answer.

    Attributes
    ----------
    deadline : float
        Its caller or its route allow no longer.
    exchange : UpstreamExchange or None
        What is under way for it.
    """

    deadline: float
    has_caller_left: Callable[[], bool]
    exchange: UpstreamExchange | None = None
    is_over: bool = False
    has_left: bool = False

    def watch(self, exchange: UpstreamExchange) -> None:
        """End this exchange too when the request's time is over."""
        self.exchange = exchange
        if self.is_over:
            exchange.abort()

    def end(self, *, has_left: bool) -> None:
        """End what is under way and let nothing more begin."""
        self.has_left = has_left
        self.is_over = True
        if self.exchange is not None:
            self.exchange.abort()


class Watch:
    """Implements `Controller`: looks at all requests several times a second.

    Parameters
    ----------
    record_silence : callable
        Called with the id of an endpoint that has requests and sends nothing.
    """

    def __init__(self, record_silence: Callable[[str], None]) -> None:
        self.record_silence = record_silence
        self._entries: dict[int, Watched] = {}
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
        return len(self._entries)

    def begin(self, watched: Watched) -> None:
        """Look after a request until `finish`."""
        self._entries[id(watched)] = watched

    def finish(self, watched: Watched) -> None:
        """Look no more after a request."""
        self._entries.pop(id(watched), None)

    def _run(self) -> None:
        while not self._closed.wait(_TICK_S):
            now = _clock.now()
            for watched in tuple(self._entries.values()):
                try:
                    self._look(watched, now)
                except Exception:
                    _logger.exception('watch failed', extra={'step': 'watch'})

    def _look(self, watched: Watched, now: float) -> None:
        if watched.is_over:
            return
        if watched.has_caller_left():
            watched.end(has_left=True)
        elif now >= watched.deadline:
            watched.end(has_left=False)
        elif watched.exchange is not None:
            self._look_for_silence(watched.exchange, now)

    def _look_for_silence(self, exchange: UpstreamExchange, now: float) -> None:
        if now - exchange.silent_since() > _SILENT_S:
            self.record_silence(exchange.endpoint.endpoint_id)
