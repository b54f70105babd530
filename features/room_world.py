"""A simulated endpoint that falls over when it turns many requests away, and its daemons."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from pimentohoist._decisions.brittle_room import BrittleRoom, RoomUse

WORK_S = 0.15
FALL_S = 4.0
_HEARTBEAT_S = 0.25
_MAX_HEARTBEAT_DELAY_S = 0.03
_MAX_NETWORK_S = 0.004
_WINDOW_S = 1.0
_SKEWED_SHARE = 0.3
"""Share of requests that go to one daemon more, where callers are uneven."""


@dataclass
class Daemon:
    """What one daemon knows of the endpoint."""

    room: BrittleRoom
    rank: int = 0
    in_flight: int = 0
    heard: dict[int, int] = field(default_factory=dict)


@dataclass
class RoomWorld:
    """Daemons that send requests to one endpoint, in simulated time.

    Parameters
    ----------
    room : int
        Requests that the endpoint executes at once.
    slots : int
        Requests that it says to execute at once.
    rate : float
        Requests a second from the callers of all daemons.
    """

    seed: int
    daemon_count: int
    room: int
    slots: int
    brittle: int
    rate: float
    is_skewed: bool = False
    now: float = 0
    running: int = 0
    served: int = 0
    turned_away: list[float] = field(default_factory=list)
    falls: list[float] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.random = random.Random(self.seed)
        self.numbers = itertools.count()
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.daemons = [
            Daemon(BrittleRoom(self.slots, self.brittle, self.now), rank)
            for rank in range(self.daemon_count)
        ]

    def play(self, duration_s: float) -> None:
        """Play a span of time from an idle endpoint on."""
        for index in range(self.daemon_count):
            self._at(self.random.uniform(0, _HEARTBEAT_S), self._beats(index))
        self._at(0, self._arrive)
        while self.events[0][0] < duration_s:
            self.now, _, act = heapq.heappop(self.events)
            act()

    def _at(self, delay_s: float, act: Callable[[], None]) -> None:
        heapq.heappush(self.events, (self.now + delay_s, next(self.numbers), act))

    def _arrive(self) -> None:
        self._at(self.random.expovariate(self.rate), self._arrive)
        index = self.random.randrange(self.daemon_count)
        if self.is_skewed and self.random.random() < _SKEWED_SHARE:
            index = 0
        daemon = self.daemons[index]
        if self._is_down() or not daemon.room.take(self._use(daemon), self.now):
            return
        daemon.in_flight += 1
        delay_s = self.random.uniform(0, _MAX_NETWORK_S)
        self._at(delay_s, lambda: self._reach(index))

    def _reach(self, index: int) -> None:
        """Execute a request or turn it away."""
        if self._is_down():
            self.daemons[index].in_flight -= 1
            return
        if self.running < self.room:
            self.running += 1
            self._at(WORK_S, partial(self._finish, index, len(self.falls)))
            return
        self.turned_away.append(self.now)
        recent = sum(at > self.now - _WINDOW_S for at in self.turned_away)
        last_fall = self.falls[-1] if self.falls else float('-inf')
        if recent > self.brittle and self.now > last_fall + FALL_S:
            self.falls.append(self.now)
            self.running = 0
        self._at(
            self.random.uniform(0, _MAX_NETWORK_S), lambda: self._be_rejected(index)
        )

    def _finish(self, index: int, falls: int) -> None:
        self.daemons[index].in_flight -= 1
        if falls == len(self.falls):
            self.running -= 1
            self.served += 1

    def _be_rejected(self, index: int) -> None:
        daemon = self.daemons[index]
        daemon.room.record_rejection(self._use(daemon), self.now)
        daemon.in_flight -= 1
        self._send_heartbeat(index, self.now)

    def _beats(self, index: int) -> Callable[[], None]:
        def beat() -> None:
            self._send_heartbeat(index, None)
            self._at(_HEARTBEAT_S, beat)

        return beat

    def _send_heartbeat(self, index: int, rejected_at: float | None) -> None:
        in_flight = self.daemons[index].in_flight
        for daemon in self.daemons:
            if daemon.rank != index:
                delay_s = self.random.uniform(0, _MAX_HEARTBEAT_DELAY_S)
                news = (daemon, index, in_flight, rejected_at)
                self._at(delay_s, partial(self._hear, *news))

    def _hear(
        self, daemon: Daemon, index: int, in_flight: int, rejected_at: float | None
    ) -> None:
        daemon.heard[index] = in_flight
        if rejected_at is not None:
            daemon.room.record_rejection(self._use(daemon), rejected_at)

    def _use(self, daemon: Daemon) -> RoomUse:
        others = sum(daemon.heard.values())
        return RoomUse(daemon.in_flight, others, self.daemon_count, daemon.rank)

    def _is_down(self) -> bool:
        return bool(self.falls) and self.now < self.falls[-1] + FALL_S
