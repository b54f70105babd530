"""Probes of members that left the view, to find out whether they still act."""

from __future__ import annotations

import threading
from collections.abc import Iterable, Mapping
from concurrent.futures import ThreadPoolExecutor

from pimentohoist._controllers.heartbeat_monitor import MemberProber
from pimentohoist._generated import peer_pb2
from pimentohoist.models import Member
from pimentohoist.protocols import Clock

_MAX_PROBE_REQUEST_AGE_S = 1.0
_MAX_PROBED_MEMBERS = 8


class ExitProber:
    """Sends heartbeats to departed members while probes of them are requested.

    Attributes
    ----------
    fenced_at : mapping of int to float
        By epoch: monotonic time at which all older views were known to be fenced.
    ended_at, inactive_since : mapping of str to float
        By incarnation: monotonic time at which its process was known to have ended, and
        at which it was known that it no longer acts under this name.
    """

    def __init__(
        self,
        prober: MemberProber,
        fenced_at: Mapping[int, float],
        pool: ThreadPoolExecutor,
        clock: Clock,
    ) -> None:
        self.prober = prober
        self.fenced_at = fenced_at
        self.ended_at: Mapping[str, float] = prober.ended.ended_at
        self.inactive_since: Mapping[str, float] = prober.ended.inactive_since
        self._pool = pool
        self._clock = clock
        self._requested: dict[str, tuple[Member, float]] = {}
        self._lock = threading.Lock()

    def request_probes(self, members: Iterable[Member]) -> None:
        """Request probes of members that left the view; repeat it to keep probing."""
        requested_at = self._clock()
        with self._lock:
            for member in members:
                self._requested[member.incarnation] = (member, requested_at)

    def tick(self, request: peer_pb2.HeartbeatRequest) -> None:
        """Send a heartbeat to members with a recent probe request."""
        since = self._clock() - _MAX_PROBE_REQUEST_AGE_S
        with self._lock:
            self._requested = {
                incarnation: probe
                for incarnation, probe in self._requested.items()
                if probe[1] > since and incarnation not in self.ended_at
            }
            pending = tuple(self._requested.values())
        for member, _ in pending[:_MAX_PROBED_MEMBERS]:
            self._pool.submit(self.prober.call, member, 'Heartbeat', request)
