"""Events in virtual time, and work that shares a server's speed."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable

_DONE = 1e-9


class Loop:
    """Events in virtual time."""

    def __init__(self) -> None:
        self.now = float(0)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    def at(self, when: float, event: Callable[[], None]) -> None:
        """Run `event` at a time."""
        heapq.heappush(self._events, (when, next(self._numbers), event))

    def run(self, end: float) -> None:
        """Run all events up to a time."""
        while self._events and self._events[0][0] <= end:
            self.now, _, event = heapq.heappop(self._events)
            event()


class Server:
    """A weight store or an engine: at full speed up to some jobs at once, shared beyond.

    Parameters
    ----------
    jobs_per_s : float
        Jobs of size 1 that it completes at full speed.
    """

    def __init__(self, loop: Loop, jobs_per_s: float, jobs_at_once: int) -> None:
        self.loop = loop
        self.jobs_per_s = jobs_per_s
        self.jobs_at_once = jobs_at_once
        self.speed = float(1)
        self.max_in_flight = 0
        self._left: dict[int, tuple[float, Callable[[], None]]] = {}
        self._numbers = itertools.count()
        self._moved_at = float(0)
        self._version = 0

    def start(self, done: Callable[[], None], size: float = 1) -> None:
        """Do a job, then call `done`."""
        self._move()
        self._left[next(self._numbers)] = (size, done)
        self.max_in_flight = max(self.max_in_flight, len(self._left))
        self._plan()

    def change_speed(self, speed: float) -> None:
        """Change the speed of all jobs."""
        self._move()
        self.speed = speed
        self._plan()

    def _per_job(self) -> float:
        sharers = max(len(self._left), self.jobs_at_once)
        return self.speed * self.jobs_per_s / sharers

    def _move(self) -> None:
        moved = (self.loop.now - self._moved_at) * self._per_job()
        self._moved_at = self.loop.now
        self._left = {
            number: (left - moved, done) for number, (left, done) in self._left.items()
        }

    def _plan(self) -> None:
        self._version += 1
        version = self._version
        if self._left:
            least = min(left for left, _ in self._left.values())
            wait_s = max(0, least) / self._per_job()
            self.loop.at(self.loop.now + wait_s, lambda: self._finish(version))

    def _finish(self, version: int) -> None:
        if version != self._version:
            return
        self._move()
        ended = [number for number, entry in self._left.items() if entry[0] <= _DONE]
        calls = [self._left.pop(number)[1] for number in ended]
        self._plan()
        for done in calls:
            done()
