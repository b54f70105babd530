"""How many requests to send to an endpoint that falls over when it turns many away.

The endpoint's room is shared by daemons that hear of each other's requests a little late,
so each keeps to its share while the endpoint is busy.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

_PAUSE_S = 0.3
"""No request is sent for this time after the endpoint turned too many away: by then all
daemons have heard of it, and of the requests that are in flight."""

_BURST_S = 0.05
"""Rejections within this time show the same."""

_CONTENDED_S = 2.0
"""For this time after a rejection each daemon keeps to its share."""

_SPARE_SHARE = 0.5
"""Up to this share of the room, a daemon may send requests without a place."""

_SPARE_INTERVAL_S = 0.5
"""In this time all daemons together send as many such requests as the room holds: half as
many in the time of a heartbeat, by which they hear of them."""

_LEAST_TURN = 0.5
"""Share of its interval after which a daemon's turn may come, in the order of ranks."""

_WINDOW_S = 1.0
_TOLERATED_SHARE = 0.25
"""Share of the rejections that the endpoint bears in a second before daemons pause; others
may be on their way."""

_REDUCTION = 0.75
"""Share of the requests in flight that the endpoint is believed to have room for, once it
has turned one away."""

_RECOVERY_PER_S = 0.1
"""Share of its slots by which that grows in a second."""


@dataclass(frozen=True, slots=True)
class RoomUse:
    """Requests of the fleet at one endpoint.

    Attributes
    ----------
    own : int
        Requests of this daemon that are in flight or about to be sent.
    others : int
        Requests of the other daemons, by their newest heartbeats.
    daemons : int
        Daemons that may send requests, this one included.
    rank : int
        This daemon's rank among them, from 0: places that can't be shared equally go to
        the first ones.
    """

    own: int
    others: int
    daemons: int
    rank: int


class BrittleRoom:
    """The room of one endpoint, as this daemon believes it.

    Parameters
    ----------
    slots : int
        Requests that the endpoint says to execute at once.
    brittle_per_s : float
        Requests that it turns away in a second without falling over.
    now : float
        When it was first known to be brittle, in seconds.
    """

    def __init__(self, slots: int, brittle_per_s: float, now: float) -> None:
        self.slots = max(1, slots)
        self.brittle_per_s = brittle_per_s
        self.rejected_at = float('-inf')
        self.taken_at = now
        self._rejections: list[float] = []
        self._believed = float(self.slots)

    def may_send(self, use: RoomUse, now: float) -> bool:
        """Return whether one more request is within this daemon's share of the room."""
        if now < self.rejected_at + _PAUSE_S and self._is_exhausted(now):
            return False
        room = self.believed(now)
        in_flight = use.own + use.others
        if in_flight + 1 > room:
            return False
        return use.own < _share(math.floor(room), use) or (
            in_flight < room * _SPARE_SHARE and now >= self._spare_from(use, room)
        )

    def take(self, use: RoomUse, now: float) -> bool:
        """Take a place for one more request; return whether there is one."""
        may_send = self.may_send(use, now)
        if may_send:
            self.taken_at = now
        return may_send

    def record_rejection(self, use: RoomUse, rejected_at: float) -> None:
        """Record that the endpoint turned a request away for want of room."""
        if any(abs(rejected_at - at) < _BURST_S for at in self._rejections):
            return
        since = rejected_at - _WINDOW_S
        self._rejections = [at for at in self._rejections if at > since]
        self._rejections.append(rejected_at)
        # What was heard of the others is older than the rejection, and may be too little.
        in_flight = max(use.own + use.others, use.own * use.daemons)
        held = min(self.believed(rejected_at), in_flight)
        self._believed = max(1, held * _REDUCTION)
        self.rejected_at = max(self.rejected_at, rejected_at)

    def believed(self, now: float) -> float:
        """Return the requests for which there is room."""
        grown = self.slots * _RECOVERY_PER_S * max(0, now - self.rejected_at)
        return min(self.slots, self._believed + grown)

    def _spare_from(self, use: RoomUse, room: float) -> float:
        """Return when this daemon may send a request without a place, others in turn."""
        idle_since = max(self.taken_at, self.rejected_at + _CONTENDED_S)
        interval_s = _SPARE_INTERVAL_S * use.daemons / room
        return idle_since + interval_s * (_LEAST_TURN + use.rank / use.daemons)

    def _is_exhausted(self, now: float) -> bool:
        recent = sum(at > now - _WINDOW_S for at in self._rejections)
        return recent > self.brittle_per_s * _TOLERATED_SHARE


def _share(room: int, use: RoomUse) -> int:
    """Return a daemon's places; those of all daemons add up to the room."""
    equal, left = divmod(room, use.daemons)
    return equal + (use.rank < left)
