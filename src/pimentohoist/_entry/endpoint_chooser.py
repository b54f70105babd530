"""Chooses the endpoint of an attempt and pins the request's adapter there."""

from __future__ import annotations

import logging
import random
from collections.abc import Iterator
from dataclasses import dataclass

from pimentohoist import _clock
from pimentohoist._decisions.endpoint_choice import (
    Candidate,
    choose_engines,
    rank_services,
)
from pimentohoist._entry.endpoint_permits import EndpointPermits
from pimentohoist._entry.endpoint_rooms import EndpointRooms
from pimentohoist._entry.endpoints import EndpointsController
from pimentohoist._entry.filters import add_jitter
from pimentohoist._entry.heartbeat import Heartbeat
from pimentohoist._entry.members import MembersController
from pimentohoist._entry.request_context import RequestContext, log_fields
from pimentohoist._entry.request_forwarding import RequestForwarding
from pimentohoist._entry.owned_engines import OwnedEnginesController
from pimentohoist._entry.in_flight_requests import InFlightRequests
from pimentohoist.entry_models import AdapterKey, Endpoint
from pimentohoist.exceptions import (
    NotOwnerError,
    PeerError,
    PimentohoistError,
    UnavailableError,
)

RETRY_AFTER_S = 0.5
"""By then a load has usually ended, and so has the request that it waits for."""

_STEP = 'choose'
_MAX_IMMEDIATE_HOLDS = 6
"""Engines that may refuse to hold an adapter if they can't begin to load it at once."""

_MAX_WAITING_HOLDS = 2
"""Engines on which the adapter is then waited for."""

_MAX_EVENT_GAP_S = 1.0
"""Callers leave a stream after 2 s without an event, and reading the prompt takes time."""

_NO_OWNER_ERRORS = (NotOwnerError, PeerError)

_logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class ChosenEndpoint:
    """The endpoint of one attempt, and the adapter version that it must have."""

    endpoint: Endpoint
    adapter_version: int | None = None


@dataclass(frozen=True, slots=True)
class _HoldAttempt:
    """How to ask an engine's owner for an adapter.

    Attributes
    ----------
    wait_s : float
        Longest wait in seconds.
    fail_fast : bool
        Refuse at once if no load can begin.
    is_holder : bool
        Whether the engine probably has the adapter.
    """

    wait_s: float
    fail_fast: bool
    is_holder: bool


class EndpointChooser:
    """Chooses among the endpoints that may get requests.

    Attributes
    ----------
    without_home : int
        Requests with homes for which no endpoint could be chosen, since the start.
    """

    def __init__(
        self,
        endpoints: EndpointsController,
        members: MembersController,
        owned_engines: OwnedEnginesController,
        in_flight: InFlightRequests,
        permits: EndpointPermits,
        forwarding: RequestForwarding,
        rooms: EndpointRooms,
    ) -> None:
        self.endpoints = endpoints
        self.members = members
        self.owned_engines = owned_engines
        self.in_flight = in_flight
        self.permits = permits
        self.forwarding = forwarding
        self.rooms = rooms
        self.without_home = 0

    def choose(self, context: RequestContext) -> ChosenEndpoint:
        """Return the endpoint of the next attempt; raises UnavailableError.

        It is another daemon if this one can't reach the endpoints.
        """
        if self.forwarding.is_wanted(context):
            forwarder = self.forwarding.choose(context)
            if forwarder is not None:
                return ChosenEndpoint(forwarder)
        if self.forwarding.links.is_cut_off(context.group.name):
            raise self._unavailable(context)
        adapter = context.request.adapter
        homes, regions = context.homes, self.members.settings.regions
        usable = {
            endpoint.endpoint_id: endpoint
            for endpoint in self.endpoints.usable(context.group.name)
            if endpoint.endpoint_id not in context.tried_endpoints
            and self._takes_requests(endpoint)
            and regions.is_home(homes, endpoint.failure_domain)
            and context.stream_version in {None, endpoint.software_version}
        }
        if adapter is not None and context.group.engine is not None:
            usable = _filter_by_model(usable, adapter.model)
        if not usable:
            self._record_no_home(context)
            raise self._unavailable(context)
        if context.group.engine is None or adapter is None or not adapter.name:
            return self._choose_service(context, adapter, usable)
        return self._choose_engine(context, adapter, usable)

    def candidates_for(self, group: str, adapter: AdapterKey) -> list[Candidate]:
        """Return the engines of a group that a request for an adapter may use."""
        usable = {
            endpoint.endpoint_id: endpoint for endpoint in self.endpoints.usable(group)
        }
        return self._candidates(_filter_by_model(usable, adapter.model), adapter)

    def _record_no_home(self, context: RequestContext) -> None:
        """Log a request for which there is no endpoint, since it has homes."""
        if context.homes is None:
            return
        self.without_home += 1
        extra = {**log_fields(context), 'homes': sorted(context.homes)}
        _logger.info('no endpoint in the homes of a request', extra=extra)

    def _takes_requests(self, endpoint: Endpoint) -> bool:
        is_blocked = bool(self.permits.blocked_s(endpoint))
        return not is_blocked and self.rooms.has_room(endpoint)

    def _choose_service(
        self,
        context: RequestContext,
        adapter: AdapterKey | None,
        usable: dict[str, Endpoint],
    ) -> ChosenEndpoint:
        candidates = self._candidates(usable, adapter)
        for endpoint_id in rank_services(candidates, random.random()):
            endpoint = usable[endpoint_id]
            if not self.rooms.take(endpoint):
                continue
            if self.permits.take(endpoint):
                return ChosenEndpoint(endpoint)
            self.rooms.give_back(endpoint)
        raise self._unavailable(context)

    def _unavailable(self, context: RequestContext) -> PimentohoistError:
        group = context.group.name
        quiet_s = self.endpoints.quiet_s(group)
        if quiet_s:
            return UnavailableError(
                f'all endpoints of group {group} want no requests for {quiet_s:.1f} s',
                step=_STEP,
                retry_after_s=quiet_s + add_jitter(RETRY_AFTER_S),
            )
        blocked_s = self._blocked_s(group)
        if blocked_s:
            return UnavailableError(
                f'the endpoints of group {group} get what their limits allow',
                step=_STEP,
                retry_after_s=blocked_s + add_jitter(RETRY_AFTER_S),
            )
        return context.failure or UnavailableError(
            self._cause(group), step=_STEP, retry_after_s=add_jitter(RETRY_AFTER_S)
        )

    def _cause(self, group: str) -> str:
        """Return why no endpoint of a group may be chosen."""
        if self.forwarding.links.is_cut_off(group):
            return f'no endpoint of group {group} can be reached'
        usable = self.endpoints.usable(group)
        if usable and not any(self.rooms.has_room(endpoint) for endpoint in usable):
            return f'the endpoints of group {group} have no room'
        return f'no endpoint available in group {group}'

    def _blocked_s(self, group: str) -> float:
        """Return the seconds until a usable endpoint of a group may take a request."""
        usable = self.endpoints.usable(group)
        return min((self.permits.blocked_s(endpoint) for endpoint in usable), default=0)

    def _choose_engine(
        self, context: RequestContext, adapter: AdapterKey, usable: dict[str, Endpoint]
    ) -> ChosenEndpoint:
        """Pin the adapter on one of the engines and return it."""
        candidates = self._candidates(usable, adapter)
        ordered = choose_engines(str(adapter), candidates)
        holders = {entry.endpoint_id for entry in candidates if entry.has_adapter}
        for endpoint_id, fail_fast in _hold_attempts(ordered):
            wait_s = _max_wait_s(context)
            if wait_s <= 0:
                break
            attempt = _HoldAttempt(wait_s, fail_fast, endpoint_id in holders)
            chosen = self._try_engine(context, usable[endpoint_id], attempt)
            if chosen is not None:
                return chosen
        raise self._not_provided(context, usable)

    def _try_engine(
        self, context: RequestContext, endpoint: Endpoint, attempt: _HoldAttempt
    ) -> ChosenEndpoint | None:
        # A request that would get no permit must not wait for its adapter.
        if not (self.rooms.has_room(endpoint) and self.permits.may_prepare(endpoint)):
            return None
        version = self._hold(context, endpoint.endpoint_id, attempt)
        # What the endpoint asks may have changed during the wait.
        may_get_work = version is not None and self.endpoints.may_get_work(endpoint)
        if may_get_work and self.rooms.take(endpoint):
            if self.permits.may_send(endpoint):
                return ChosenEndpoint(endpoint, version or None)
            self.rooms.give_back(endpoint)
            return None
        self.permits.give_back(endpoint)
        return None

    def _not_provided(
        self, context: RequestContext, usable: dict[str, Endpoint]
    ) -> PimentohoistError:
        if all(self.permits.blocked_s(endpoint) for endpoint in usable.values()):
            return self._unavailable(context)
        adapter = context.request.adapter
        return UnavailableError(
            f'no engine could provide adapter {adapter}: {context.failure}',
            step=_STEP,
            retry_after_s=add_jitter(RETRY_AFTER_S),
        )

    def _hold(
        self,
        context: RequestContext,
        endpoint_id: str,
        attempt: _HoldAttempt,
    ) -> int | None:
        """Pin the adapter on an engine; return its version, or None if that failed.

        The version is 0 if the engine has no reachable owner and no version was declared.
        """
        adapter = context.request.adapter or AdapterKey('')
        try:
            return self.owned_engines.load_and_pin(
                endpoint_id, adapter, attempt.wait_s, fail_fast=attempt.fail_fast
            )
        except PimentohoistError as error:
            context.failure = error
            extra = {**log_fields(context), 'endpoint': endpoint_id}
            _logger.info('adapter not available on engine: %s', error, extra=extra)
            # Without its owner an engine evicts nothing; it refuses the request if the
            # adapter is missing.
            if attempt.is_holder and isinstance(error, _NO_OWNER_ERRORS):
                return self.owned_engines.declarations.version_of(adapter)
            return None

    def _candidates(
        self, usable: dict[str, Endpoint], adapter: AdapterKey | None
    ) -> list[Candidate]:
        heartbeats = self.members.live()
        engine_statuses: dict[str, tuple[int, list[str]]] = {}
        if adapter is not None:
            engine_statuses.update(self.owned_engines.statuses())
            for heartbeat in heartbeats:
                engine_statuses.update(heartbeat.engines)
        name = str(adapter or '')
        return [
            self._candidate(
                endpoint,
                heartbeats,
                engine_statuses.get(endpoint_id) or _reported_status(endpoint),
                name,
            )
            for endpoint_id, endpoint in usable.items()
        ]

    def _candidate(
        self,
        endpoint: Endpoint,
        heartbeats: list[Heartbeat],
        status: tuple[int, list[str]],
        adapter: str,
    ) -> Candidate:
        endpoint_id = endpoint.endpoint_id
        health = self.endpoints.health_of(endpoint_id)
        others_in_flight = sum(
            heartbeat.in_flight_at(endpoint_id) for heartbeat in heartbeats
        )
        free, held = status
        return Candidate(
            endpoint_id,
            endpoint.slots,
            self.in_flight.count_on(endpoint_id) + others_in_flight,
            health.latency_s,
            health.cost_factor(_clock.now()),
            endpoint.failure_domain == self.members.settings.failure_domain,
            adapter in held,
            free,
            self.endpoints.limits.limit_per_s(endpoint.incarnation) is not None,
            self.permits.is_cold(endpoint),
        )


def _reported_status(endpoint: Endpoint) -> tuple[int, list[str]]:
    """Return the status of an engine without an owner, from its own record."""
    return 0, [str(adapter) for adapter in endpoint.adapters]


def _hold_attempts(ordered: list[str]) -> Iterator[tuple[str, bool]]:
    """Yield the engines to try, and whether to refuse if no load can begin at once."""
    for endpoint_id in ordered[:_MAX_IMMEDIATE_HOLDS]:
        yield endpoint_id, True
    for endpoint_id in ordered[:_MAX_WAITING_HOLDS]:
        yield endpoint_id, False


def _max_wait_s(context: RequestContext) -> float:
    """Return how long to wait for an adapter.

    A new request waits until its latency target or deadline. The target says nothing of a
    stream that has begun; its caller waits for the next event.
    """
    if context.monitored.is_cancelled:
        return 0
    now = _clock.now()
    if context.stream_version is not None:
        return min(context.remaining_s(now), _MAX_EVENT_GAP_S)
    until_target_s = context.request.arrived_at + context.route.latency_target_s - now
    return min(context.remaining_s(now), until_target_s)


def _filter_by_model(usable: dict[str, Endpoint], model: str) -> dict[str, Endpoint]:
    """Return the engines that report a model, or all engines if none reports it."""
    holders = {
        endpoint_id: endpoint
        for endpoint_id, endpoint in usable.items()
        if model in endpoint.models
    }
    return holders or usable
