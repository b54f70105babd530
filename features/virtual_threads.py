"""Threads and locks on a virtual clock."""

from __future__ import annotations

import heapq
import itertools
import sys
import threading
from collections.abc import Callable
from contextlib import suppress
from typing import Any, Protocol

_LOCK_RETRY_S = 0.001


class FreezingClock(Protocol):
    """A virtual clock whose daemons may be frozen.

    Attributes
    ----------
    now : float
        Virtual time in seconds.
    """

    now: float

    def resumes_at(self, daemon: int, now: float) -> float:
        """Return when a frozen daemon resumes."""


class VirtualThreads:
    """Runs jobs in threads of which one at a time runs, in order of a virtual clock."""

    def __init__(self, clock: FreezingClock) -> None:
        self.clock = clock
        self.is_closed = False
        self._events: list[tuple[float, int, int, Callable[[], Any]]] = []
        self._numbers = itertools.count()
        self._control = threading.Semaphore(0)
        self._local = threading.local()
        self._turns: list[threading.Semaphore] = []

    def call_at(self, at: float, daemon: int, function: Callable[[], Any]) -> None:
        """Call a function at a time, or later if the daemon is frozen then."""
        heapq.heappush(self._events, (at, next(self._numbers), daemon, function))

    def start(self, daemon: int, function: Callable[..., None], *args: Any) -> None:
        """Start a job of a daemon."""
        turn = threading.Semaphore(0)
        self._turns.append(turn)

        def run() -> None:
            self._local.turn, self._local.daemon = turn, daemon
            turn.acquire()
            with suppress(SystemExit):
                if not self.is_closed:
                    function(*args)
            self._control.release()

        threading.Thread(target=run, daemon=True).start()
        self.call_at(self.clock.now, daemon, lambda: self._resume(turn))

    def sleep(self, seconds: float) -> None:
        """Block the job that calls this."""
        turn = self._local.turn
        at = self.clock.now + seconds
        self.call_at(at, self._local.daemon, lambda: self._resume(turn))
        self._control.release()
        turn.acquire()
        if self.is_closed:
            sys.exit()

    def run_until(self, end: float) -> None:
        """Run what is due."""
        while self._events and self._events[0][0] <= end:
            at, _, daemon, function = heapq.heappop(self._events)
            resumes_at = self.clock.resumes_at(daemon, at)
            if resumes_at > at:
                self.call_at(resumes_at, daemon, function)
                continue
            self.clock.now = at
            function()
        self.clock.now = end

    def close(self) -> None:
        """End all jobs."""
        self.is_closed = True
        for turn in self._turns:
            turn.release()

    def _resume(self, turn: threading.Semaphore) -> None:
        turn.release()
        self._control.acquire()


class VirtualLock:
    """A lock of jobs on a virtual clock."""

    def __init__(self, threads: VirtualThreads) -> None:
        self.threads = threads
        self._is_held = False

    def __enter__(self) -> None:
        """Wait until no other job holds the lock."""
        while self._is_held:
            self.threads.sleep(_LOCK_RETRY_S)
        self._is_held = True

    def __exit__(self, *exc_info: object) -> None:
        """Release the lock."""
        self._is_held = False
