"""Permits to send requests to endpoints that limit the requests of all daemons.

The owner of an endpoint grants them, whichever daemon has heard of the limit. A daemon
that can't reach the owner sends its share of the limit. A cold endpoint has the limit of
its group; no more may reach it in any one second, so a permit is used at once, and all
daemons that may be running have a share.
"""

from __future__ import annotations

import logging
import threading
from collections import defaultdict
from collections.abc import Mapping
from typing import Any

from pimentohoist import _clock
from pimentohoist._decisions.cold_endpoints import (
    fleet_share,
)
from pimentohoist._decisions.rate_grants import RateGranter, RatePacer
from pimentohoist._entry.cold_endpoints import ColdEndpoints
from pimentohoist._entry.endpoint_limits import EndpointLimits, LimitStatement
from pimentohoist._entry.in_flight_requests import InFlightRequests
from pimentohoist._entry.members import MembersController
from pimentohoist._entry.ownership import OwnershipController
from pimentohoist._generated import peer_pb2
from pimentohoist._peers import PeerClients
from pimentohoist.entry_models import Endpoint
from pimentohoist.exceptions import PeerError

_STEP = 'permit'
_TIMEOUT_S = 0.15
_OWNER_RETRY_S = 1.0
"""After a call to the owner failed, permits are taken of the own share for this time."""

_MAX_UNUSED_S = 1.0
"""Permits that are kept for longer would add up to a burst."""

_MIN_FLEET_KNOWN_S = 5.0
"""By then a daemon that starts has read the others' addresses, or heard of them; it doesn't
know its share before."""

_NO_STATEMENT_S = 1_000_000.0
"""Age that tells an owner that a limit isn't of a statement but of a cold endpoint; no
statement is kept for so long."""

_MS_PER_S = 1000

_logger = logging.getLogger(__name__)


class EndpointPermits:
    """Takes permits for this daemon's requests, and grants them as an endpoint's owner.

    Attributes
    ----------
    refused : int
        Requests that got no permit for a cold endpoint since the start.
    """

    def __init__(
        self,
        limits: EndpointLimits,
        cold: ColdEndpoints,
        members: MembersController,
        ownership: OwnershipController,
        peers: PeerClients,
        in_flight: InFlightRequests,
    ) -> None:
        self.limits = limits
        self.cold = cold
        self.refused = 0
        self._created_at = _clock.now()
        self.members = members
        self.ownership = ownership
        self.peers = peers
        self.in_flight = in_flight
        self._granters: dict[str, RateGranter] = {}
        self._pacers: dict[str, RatePacer] = {}
        self._blocked_until: dict[str, float] = {}
        self._owner_failed_at: dict[str, float] = {}
        self._unused: defaultdict[str, list[float]] = defaultdict(list)
        self._lock = threading.Lock()
        limits.on_end.append(self._forget)
        cold.on_end.append(self._forget)

    def peer_methods(self) -> Mapping[str, Any]:
        """Return the methods that other daemons call."""
        return {'TakePermit': self._handle_take_permit}

    def take(self, endpoint: Endpoint) -> bool:
        """Return whether a request may be sent to an endpoint now."""
        if self._per_s(endpoint.incarnation) is None:
            return True
        is_cold = self.is_cold(endpoint)
        if not is_cold and self._take_unused(endpoint.incarnation):
            return True
        if self.blocked_s(endpoint):
            return False
        wait_s = self._wait_s(endpoint)
        if wait_s:
            self._blocked_until[endpoint.incarnation] = _clock.now() + wait_s
            self.refused += is_cold
        return not wait_s

    def may_prepare(self, endpoint: Endpoint) -> bool:
        """Return whether a request may wait for its adapter at an endpoint.

        It has its permit then, unless the endpoint is cold.
        """
        return (
            not self.blocked_s(endpoint)
            if self.is_cold(endpoint)
            else self.take(endpoint)
        )

    def may_send(self, endpoint: Endpoint) -> bool:
        """Return whether a request that has waited for its adapter may be sent now."""
        return not self.is_cold(endpoint) or self.take(endpoint)

    def is_cold(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint is cold, and limited for that."""
        return self.cold.per_s(endpoint.incarnation) is not None

    def give_back(self, endpoint: Endpoint) -> None:
        """Keep a permit that wasn't used for a request that soon follows."""
        if self.is_cold(endpoint):
            return
        if self.limits.limit_per_s(endpoint.incarnation) is not None:
            with self._lock:
                self._unused[endpoint.incarnation].append(_clock.now())

    def blocked_s(self, endpoint: Endpoint) -> float:
        """Return the seconds until a permit may be asked for; 0 if it may be now."""
        if self._per_s(endpoint.incarnation) is None:
            return 0
        blocked_until = self._blocked_until.get(endpoint.incarnation, 0)
        return max(0, blocked_until - _clock.now())

    def _per_s(self, incarnation: str) -> float | None:
        """Return the permits a second for an endpoint; None if it needs none."""
        stated = (self.limits.limit_per_s(incarnation), self.cold.per_s(incarnation))
        return min((per_s for per_s in stated if per_s is not None), default=None)

    def _take_unused(self, incarnation: str) -> bool:
        since = _clock.now() - _MAX_UNUSED_S
        with self._lock:
            unused = [at for at in self._unused.pop(incarnation, ()) if at >= since]
            if len(unused) > 1:
                self._unused[incarnation] = unused[1:]
        return bool(unused)

    def _wait_s(self, endpoint: Endpoint) -> float:
        """Return 0 if a permit is taken, else the seconds after which to ask again."""
        owner = self.ownership.owner_address(endpoint.endpoint_id)
        if owner == self.members.member:
            return self._grant(endpoint.endpoint_id, endpoint.incarnation, owner)
        failed_at = self._owner_failed_at.get(endpoint.incarnation, float('-inf'))
        if owner is None or _clock.now() < failed_at + _OWNER_RETRY_S:
            return self._take_own_share(endpoint.incarnation)
        request = self._request(endpoint)
        try:
            reply = self.peers.call(owner, 'TakePermit', request, timeout_s=_TIMEOUT_S)
        except PeerError as error:
            extra = {'step': _STEP, 'endpoint': endpoint.endpoint_id, 'peer': owner}
            _logger.info('owner grants no permits: %s', error, extra=extra)
            self._owner_failed_at[endpoint.incarnation] = _clock.now()
            return self._take_own_share(endpoint.incarnation)
        if reply.is_not_owner:
            return self._take_own_share(endpoint.incarnation)
        return 0 if reply.is_granted else reply.wait_ms / _MS_PER_S

    def _request(self, endpoint: Endpoint) -> peer_pb2.PermitRequest:
        statement = self.limits.statement(endpoint.incarnation)
        age_s = _NO_STATEMENT_S
        if statement is not None and not self.is_cold(endpoint):
            age_s = max(0, _clock.now() - statement.sent_at)
        return peer_pb2.PermitRequest(
            endpoint=endpoint.endpoint_id,
            incarnation=endpoint.incarnation,
            member=self.members.member,
            limit_per_s=self._per_s(endpoint.incarnation) or 0,
            statement_age_ms=int(age_s * _MS_PER_S),
        )

    def _handle_take_permit(
        self, request: peer_pb2.PermitRequest
    ) -> peer_pb2.PermitReply:
        if not self.ownership.is_owner(request.endpoint):
            return peer_pb2.PermitReply(is_not_owner=True)
        age_s = request.statement_age_ms / _MS_PER_S
        cold_per_s = None if age_s < _NO_STATEMENT_S else request.limit_per_s
        if cold_per_s is None:
            statement = LimitStatement(request.limit_per_s, _clock.now() - age_s)
            self.limits.record(request.incarnation, statement, request.member)
        wait_s = self._grant(
            request.endpoint, request.incarnation, request.member, cold_per_s
        )
        return peer_pb2.PermitReply(
            is_granted=not wait_s, wait_ms=max(1, int(wait_s * _MS_PER_S))
        )

    def _grant(
        self,
        endpoint_id: str,
        incarnation: str,
        member: str,
        cold_per_s: float | None = None,
    ) -> float:
        """Grant a permit; return 0, or the seconds after which to ask again.

        `cold_per_s` is the rate that the asking daemon knows of a cold endpoint; this one
        may not have heard that it is cold.
        """
        per_s = self._per_s(incarnation) or cold_per_s
        if not per_s:
            return 0
        now = _clock.now()
        is_cold = bool(cold_per_s) or self.cold.per_s(incarnation) is not None
        share = self.members.live_share()
        if is_cold:
            share = min(1, (1 + len(self.members.live())) / self._fleet())
        bounds = self.members.settings.cold_bounds if is_cold else None
        with self._lock:
            granter = self._granters.get(incarnation)
            if granter is None:
                # What runs at a cold endpoint was sent before; the limit is on arrivals.
                running = 0 if is_cold else self._running(endpoint_id)
                granter = RateGranter(per_s, running, now)
                self._granters[incarnation] = granter
                extra = {
                    'step': _STEP,
                    'endpoint': endpoint_id,
                    'limit_per_s': per_s,
                    'running': running,
                }
                _logger.info('permits are granted', extra=extra)
            granter.per_s = per_s
            granter.burst = None if bounds is None else bounds.burst(per_s)
            return granter.take(member, now, share)

    def _running(self, endpoint_id: str) -> int:
        others = sum(
            heartbeat.in_flight_at(endpoint_id) for heartbeat in self.members.live()
        )
        return others + self.in_flight.count_on(endpoint_id)

    def _fleet(self) -> int:
        """Return among how many daemons the requests to a cold endpoint are divided."""
        now = _clock.now()
        confirmed_at = tuple(self.members.member_list.confirmed_at.items())
        ages_s = [
            now - at for member, at in confirmed_at if member != self.members.member
        ]
        return fleet_share(ages_s, self.members.known_count())

    def _take_own_share(self, incarnation: str) -> float:
        per_s = self._per_s(incarnation)
        if per_s is None:
            return 0
        now = _clock.now()
        share = 1 + self.members.known_count()
        if self.cold.per_s(incarnation) is not None:
            unknown_s = self._created_at + _MIN_FLEET_KNOWN_S - now
            if unknown_s > 0:
                return unknown_s
            share = self._fleet()
        with self._lock:
            pacer = self._pacers.setdefault(incarnation, RatePacer())
            return pacer.take(per_s / share, now)

    def _forget(self, incarnation: str) -> None:
        """Drop what is known about an endpoint whose limit has ended."""
        with self._lock:
            for states in (
                self._granters,
                self._pacers,
                self._blocked_until,
                self._unused,
                self._owner_failed_at,
            ):
                states.pop(incarnation, None)
