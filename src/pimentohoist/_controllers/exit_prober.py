"""Finds out whether members that have left the view still act."""

from __future__ import annotations

import threading
from collections.abc import Iterable, Mapping
from concurrent.futures import ThreadPoolExecutor

from pimentohoist._controllers.heartbeat_monitor import MemberProber
from pimentohoist._generated import peer_pb2
from pimentohoist.models import Member
from pimentohoist.protocols import Clock

_DOUBT_S = 1.0
_MAX_DOUBTED = 8


class ExitProber:
    """Asks departed members for as long as somebody wants to know of them.

    Attributes
    ----------
    fenced_at : mapping of int to float
        By epoch: when all older views were known to be fenced.
    ended_at, inactive_since : mapping of str to float
        By incarnation: when its process was known to have ended; when it was known that
        it no longer acts under this name.
    """

    def __init__(
        self,
        asker: MemberProber,
        fenced_at: Mapping[int, float],
        pool: ThreadPoolExecutor,
        clock: Clock,
    ) -> None:
        self.asker = asker
        self.fenced_at = fenced_at
        self.ended_at: Mapping[str, float] = asker.ended.ended_at
        self.inactive_since: Mapping[str, float] = asker.ended.inactive_since
        self._pool = pool
        self._clock = clock
        self._doubted: dict[str, tuple[Member, float]] = {}
        self._lock = threading.Lock()

    def ask_for(self, members: Iterable[Member]) -> None:
        """Find out shortly about members that have left the view."""
        asked_at = self._clock()
        with self._lock:
            for member in members:
                self._doubted[member.incarnation] = (member, asked_at)

    def tick(self, request: peer_pb2.HeartbeatRequest) -> None:
        """Send a heartbeat to those that are doubted."""
        since = self._clock() - _DOUBT_S
        with self._lock:
            self._doubted = {
                name: doubt
                for name, doubt in self._doubted.items()
                if doubt[1] > since and name not in self.ended_at
            }
            doubted = tuple(self._doubted.values())
        for member, _ in doubted[:_MAX_DOUBTED]:
            self._pool.submit(self.asker.ask, member, 'Heartbeat', request)
