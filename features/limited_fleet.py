"""Callers of a fleet whose endpoints name limits, and checks of what these get."""

from __future__ import annotations

import http.client
import itertools
import threading
import time
from bisect import bisect_right
from dataclasses import dataclass, field
from typing import Self

from entry_fleet import EntryFleet

from pimentohoist_standins.opaque_engine import OpaqueEngine

WINDOW_S = 4.0
CONTACT_S = 3.0
"""The stated time until daemons have to have heard of an event."""

_ADAPTERS = 9
_THREADS = 24
_OVER = 1.5
_SLACK = 5


@dataclass(frozen=True)
class Call:
    """A caller's request: when it was sent, how long it took and what came."""

    sent_at: float
    took_s: float
    status: int
    retry_after: str = ''


@dataclass
class LimitedFleet:
    """Callers that send requests to all daemons in turn, at a steady rate."""

    fleet: EntryFleet
    path: str
    rate: float
    calls: list[Call] = field(default_factory=list)
    limited: list[OpaqueEngine] = field(default_factory=list)
    limit_per_s: float = 0
    named_at: float = 0
    ended_at: float = 0

    def __post_init__(self) -> None:
        self.closed = threading.Event()
        self.numbers = itertools.count()
        self.began_at = time.monotonic()
        self.threads = [
            threading.Thread(target=self.send_calls, daemon=True)
            for _ in range(_THREADS)
        ]

    def __enter__(self) -> Self:
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.closed.set()
        for thread in self.threads:
            thread.join()

    def name_limit(self, engines: list[OpaqueEngine], limit: str) -> None:
        """Have engines name a limit in all responses from now on."""
        self.limited = engines
        self.limit_per_s = float(limit)
        self.named_at = time.monotonic()
        for engine in engines:
            engine.faults.limits = [limit]

    def end_limit(self) -> None:
        """Have the engines name no limit any more."""
        for engine in self.limited:
            engine.faults.limits.clear()
        self.ended_at = time.monotonic()

    def busiest(self) -> OpaqueEngine:
        """Return the engine that has got most requests."""
        return max(self.fleet.engines, key=lambda engine: len(engine.state.arrivals))

    def most_in_window(self, engine: OpaqueEngine, since: float) -> int:
        """Return the most arrivals after a time in a window that ends while the limit binds."""
        times = engine.state.arrivals
        arrivals = [at for at in times if since < at <= self.ended_at]
        first = bisect_right(arrivals, self.named_at + CONTACT_S)
        counts = (
            index + 1 - bisect_right(arrivals, arrivals[index] - WINDOW_S)
            for index in range(first, len(arrivals))
        )
        return max(counts, default=0)

    def allowed_in_window(self) -> int:
        """Return the most arrivals that the stated rule allows in a window."""
        return int(_OVER * self.limit_per_s * WINDOW_S + _SLACK)

    def calls_between(self, began_at: float, ended_at: float) -> list[Call]:
        """Return the calls that were sent in a span of time."""
        return [call for call in self.calls if began_at <= call.sent_at < ended_at]

    def send_calls(self) -> None:
        while not self.closed.is_set():
            number = next(self.numbers)
            due_at = self.began_at + number / self.rate
            if self.closed.wait(max(0, due_at - time.monotonic())):
                return
            self.send(number)

    def headers(self) -> dict[str, str]:
        """Return more headers of each request."""
        return {}

    def send(self, number: int) -> None:
        """Send a request; a daemon that is stopped or killed fails it."""
        sent_at = time.monotonic()
        status, retry_after = 0, ''
        try:
            response = self.fleet.send_request(
                self.path,
                adapter=f'a{number % _ADAPTERS}',
                daemon=number % len(self.fleet.daemons),
                **self.headers(),
            )
        except (OSError, http.client.HTTPException):
            status = 0
        else:
            status = response.status
            retry_after = response.headers.get('Retry-After', '')
        took_s = time.monotonic() - sent_at
        self.calls.append(Call(sent_at, took_s, status, retry_after))
