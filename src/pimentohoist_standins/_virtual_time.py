"""An event loop in virtual time, and a server whose jobs share its capacity."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable

# Rounding leaves finished jobs with a remainder that is not exactly zero.
_MAX_UNDONE_SIZE = 1e-9


class EventLoop:
    """Runs scheduled events in order of virtual time, which is in seconds."""

    def __init__(self) -> None:
        self.now = float(0)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    def schedule(self, when: float, event: Callable[[], None]) -> None:
        """Schedule `event` for a time."""
        heapq.heappush(self._events, (when, next(self._numbers), event))

    def run(self, end: float) -> None:
        """Run all events up to and including a time."""
        while self._events and self._events[0][0] <= end:
            self.now, _, event = heapq.heappop(self._events)
            event()


class ProcessorSharingServer:
    """Simulates a weight store or an engine as a processor-sharing server.

    Up to `full_speed_jobs` jobs each run at full speed; more jobs share the capacity.

    Parameters
    ----------
    jobs_per_s : float
        Jobs of size 1 completed a second when `full_speed_jobs` or more run.
    full_speed_jobs : int
        Concurrent jobs above which each job slows down.
    """

    def __init__(
        self, loop: EventLoop, jobs_per_s: float, full_speed_jobs: int
    ) -> None:
        self.loop = loop
        self.jobs_per_s = jobs_per_s
        self.full_speed_jobs = full_speed_jobs
        self.speed = float(1)
        self.max_in_flight = 0
        self._remaining: dict[int, tuple[float, Callable[[], None]]] = {}
        self._numbers = itertools.count()
        self._advanced_at = float(0)
        self._schedule_version = 0

    def start(self, on_done: Callable[[], None], size: float = 1) -> None:
        """Start a job of `size` and call `on_done` when it completes."""
        self._advance()
        self._remaining[next(self._numbers)] = (size, on_done)
        self.max_in_flight = max(self.max_in_flight, len(self._remaining))
        self._schedule_completion()

    def change_speed(self, speed: float) -> None:
        """Set the speed factor of all jobs, 1 being the usual speed."""
        self._advance()
        self.speed = speed
        self._schedule_completion()

    def _job_speed(self) -> float:
        sharers = max(len(self._remaining), self.full_speed_jobs)
        return self.speed * self.jobs_per_s / sharers

    def _advance(self) -> None:
        progress = (self.loop.now - self._advanced_at) * self._job_speed()
        self._advanced_at = self.loop.now
        self._remaining = {
            number: (remaining - progress, on_done)
            for number, (remaining, on_done) in self._remaining.items()
        }

    def _schedule_completion(self) -> None:
        self._schedule_version += 1
        version = self._schedule_version
        if self._remaining:
            shortest = min(remaining for remaining, _ in self._remaining.values())
            wait_s = max(0, shortest) / self._job_speed()
            self.loop.schedule(
                self.loop.now + wait_s, lambda: self._complete_jobs(version)
            )

    def _complete_jobs(self, version: int) -> None:
        if version != self._schedule_version:
            return
        self._advance()
        ended = [
            number
            for number, job in self._remaining.items()
            if job[0] <= _MAX_UNDONE_SIZE
        ]
        callbacks = [self._remaining.pop(number)[1] for number in ended]
        self._schedule_completion()
        for on_done in callbacks:
            on_done()
