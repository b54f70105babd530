"""Keeps the requests of all daemons within the room of endpoints that are brittle.

Such an endpoint says how many requests it turns away in a second before it falls over.
Daemons share what they hear of that, and that a request was turned away, by heartbeats.
"""

from __future__ import annotations

import logging
import threading
from collections import Counter
from dataclasses import replace
from typing import Any

from pimentohoist import _clock
from pimentohoist._decisions.brittle_room import BrittleRoom, RoomUse
from pimentohoist._entry.endpoint_limits import EndpointLimits
from pimentohoist._entry.heartbeat import Heartbeat
from pimentohoist._entry.in_flight_requests import InFlightRequests
from pimentohoist._entry.members import MembersController
from pimentohoist._rendezvous import rank_names
from pimentohoist.entry_models import Endpoint

_ANNOUNCED_S = 2.0
_MAX_ANNOUNCED = 100

_logger = logging.getLogger(__name__)


class EndpointRooms:
    """Takes places at brittle endpoints for this daemon's requests.

    Parameters
    ----------
    brittle : EndpointLimits
        Which endpoints say that they are brittle.
    """

    def __init__(
        self,
        brittle: EndpointLimits,
        members: MembersController,
        in_flight: InFlightRequests,
    ) -> None:
        self.brittle = brittle
        self.members = members
        self.in_flight = in_flight
        self._rooms: dict[str, BrittleRoom] = {}
        self._reserved: Counter[str] = Counter()
        self._reported_at: dict[str, float] = {}
        self._lock = threading.Lock()
        brittle.on_end.append(self._forget)
        members.on_heartbeat.append(self._record_heartbeat)

    def is_bounded(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint is brittle, so that its room is kept to."""
        return self.brittle.limit_per_s(endpoint.incarnation) is not None

    def has_room(self, endpoint: Endpoint) -> bool:
        """Return whether a request may be sent to an endpoint now."""
        if self.brittle.limit_per_s(endpoint.incarnation) is None:
            return True
        use = self._use(endpoint.incarnation)
        with self._lock:
            return self._room(endpoint).may_send(use, _clock.now())

    def take(self, endpoint: Endpoint) -> bool:
        """Take a place at an endpoint, if it is brittle; return whether there is one."""
        if self.brittle.limit_per_s(endpoint.incarnation) is None:
            return True
        use = self._use(endpoint.incarnation)
        with self._lock:
            reserved = self._reserved[endpoint.incarnation]
            use = replace(use, own=use.own + reserved)
            if not self._room(endpoint).take(use, _clock.now()):
                return False
            self._reserved[endpoint.incarnation] += 1
            return True

    def give_back(self, endpoint: Endpoint) -> None:
        """Give a place back whose request is in flight now, or isn't sent."""
        with self._lock:
            if self._reserved[endpoint.incarnation] > 0:
                self._reserved[endpoint.incarnation] -= 1

    def record_rejection(self, endpoint: Endpoint) -> None:
        """Record that an endpoint turned a request away for want of room."""
        incarnation = endpoint.incarnation
        if self.brittle.limit_per_s(incarnation) is None:
            return
        use = self._use(incarnation)
        now = _clock.now()
        with self._lock:
            room = self._room(endpoint)
            room.record_rejection(use, now)
            self._reported_at[incarnation] = now
            believed = room.believed(now)
        extra = {
            'step': 'endpoints',
            'endpoint': endpoint.endpoint_id,
            'own': use.own,
            'others': use.others,
            'room': round(believed, 1),
        }
        _logger.info('brittle endpoint turned a request away', extra=extra)
        self.members.send_soon()

    def announced(self) -> list[list[Any]]:
        """Return the rejections of the last seconds for this daemon's heartbeats."""
        now = _clock.now()
        with self._lock:
            self._reported_at = {
                incarnation: at
                for incarnation, at in self._reported_at.items()
                if now - at < _ANNOUNCED_S
            }
            recent = list(self._reported_at.items())[-_MAX_ANNOUNCED:]
        return [[incarnation, round(now - at, 3)] for incarnation, at in recent]

    def _record_heartbeat(
        self, heartbeat: Heartbeat, previous: Heartbeat | None
    ) -> None:
        now = _clock.now()
        for incarnation, age_s in heartbeat.room_rejections:
            use = self._use(incarnation)
            with self._lock:
                room = self._rooms.get(incarnation)
                if room is not None:
                    room.record_rejection(use, now - age_s)

    def _use(self, incarnation: str) -> RoomUse:
        endpoint_id, _, _ = incarnation.rpartition('#')
        live = self.members.live()
        others = [heartbeat.member for heartbeat in live]
        ranked = rank_names(incarnation, [self.members.member, *others])
        return RoomUse(
            self.in_flight.count_on(endpoint_id),
            sum(heartbeat.in_flight_at(endpoint_id) for heartbeat in live),
            len(ranked),
            ranked.index(self.members.member),
        )

    def _room(self, endpoint: Endpoint) -> BrittleRoom:
        room = self._rooms.get(endpoint.incarnation)
        if room is None:
            brittle_per_s = self.brittle.limit_per_s(endpoint.incarnation) or 0
            room = BrittleRoom(endpoint.slots, brittle_per_s, _clock.now())
            self._rooms[endpoint.incarnation] = room
        return room

    def _forget(self, incarnation: str) -> None:
        with self._lock:
            self._rooms.pop(incarnation, None)
            self._reserved.pop(incarnation, None)
