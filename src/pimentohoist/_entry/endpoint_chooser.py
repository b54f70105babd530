"""Chooses the endpoint of an attempt and pins the request's adapter there."""

from __future__ import annotations

import logging
import random
from dataclasses import dataclass, replace
from itertools import chain

from pimentohoist import _clock
from pimentohoist._decisions.endpoint_choice import (
    Candidate,
    choose_engines,
    rank_services,
)
from pimentohoist._decisions.prompt_separation import is_better_elsewhere
from pimentohoist._entry.adapter_search import (
    NO_OWNER_ERRORS,
    AdapterSearch,
    HoldAttempt,
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
from pimentohoist._entry.prompt_lengths import PromptLengths
from pimentohoist._entry.waiting_metrics import WaitingMetrics
from pimentohoist._entry.in_flight_requests import InFlightRequests
from pimentohoist.entry_models import AdapterKey, Endpoint
from pimentohoist.exceptions import (
    PimentohoistError,
    UnavailableError,
)

RETRY_AFTER_S = 0.5
"""By then a load has usually ended, and so has the request that it waits for."""

_STEP = 'choose'
_MAX_IMMEDIATE_HOLDS = 6
"""Engines that may refuse to hold an adapter if they can't begin to load it at once."""

_logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class ChosenEndpoint:
    """The endpoint of one attempt, and the adapter version that it must have."""

    endpoint: Endpoint
    adapter_version: int | None = None


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
        self.prompt_lengths = PromptLengths(members)
        self.waiting = WaitingMetrics()
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
        return self._choose_engine(context, usable)

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
        self, context: RequestContext, usable: dict[str, Endpoint]
    ) -> ChosenEndpoint:
        """Pin the adapter on one of the engines and return it."""
        search = AdapterSearch(context)
        if any(map(self.rooms.is_bounded, usable.values())):
            search.end_at_target()
        chosen = self._search(search, usable)
        self.waiting.record(search.end(is_served=chosen is not None))
        if chosen is None:
            raise self._not_provided(search, usable)
        return chosen

    def _search(
        self, search: AdapterSearch, usable: dict[str, Endpoint]
    ) -> ChosenEndpoint | None:
        """Ask and wait in rounds, until waiting is useless everywhere."""
        while not search.is_over():
            remaining = {
                endpoint_id: endpoint
                for endpoint_id, endpoint in usable.items()
                if self.endpoints.may_get_work(endpoint)
            }
            candidates = self._by_prompt_length(
                search.context, self._candidates(remaining, search.adapter)
            )
            ordered = choose_engines(str(search.adapter), candidates)
            ordered = ordered[:_MAX_IMMEDIATE_HOLDS]
            holders = (one.endpoint_id for one in candidates if one.has_adapter)
            search.begin_round(ordered, frozenset(holders))
            chosen = self._try_engines(search, usable, ordered)
            if chosen is not None:
                return chosen
            if search.places.next_place() is None:
                break
        return None

    def _try_engines(
        self, search: AdapterSearch, usable: dict[str, Endpoint], ordered: list[str]
    ) -> ChosenEndpoint | None:
        """Ask the owners of the engines in turn, then wait where that is shortest."""
        at_once = map(search.ask_at_once, ordered)
        for attempt in chain(at_once, iter(search.next_wait, None)):
            if search.is_over():
                return None
            endpoint = usable[attempt.endpoint_id]
            chosen = self._try_engine(search, endpoint, attempt)
            if chosen is not None:
                return chosen
        return None

    def _try_engine(
        self, search: AdapterSearch, endpoint: Endpoint, attempt: HoldAttempt
    ) -> ChosenEndpoint | None:
        # A request that would get no permit must not wait for its adapter.
        if not (self.rooms.has_room(endpoint) and self.permits.may_prepare(endpoint)):
            search.places.drop(endpoint.endpoint_id)
            return None
        version = self._hold(search, attempt)
        # What the endpoint asks may have changed during the wait.
        may_get_work = self.endpoints.may_get_work(endpoint)
        if version is not None and may_get_work and self.rooms.take(endpoint):
            if self.permits.may_send(endpoint):
                return ChosenEndpoint(endpoint, version or None)
            self.rooms.give_back(endpoint)
            search.places.drop(endpoint.endpoint_id)
            return None
        self.permits.give_back(endpoint)
        if version is not None or not may_get_work:
            search.places.drop(endpoint.endpoint_id)
        return None

    def _not_provided(
        self, search: AdapterSearch, usable: dict[str, Endpoint]
    ) -> PimentohoistError:
        context = search.context
        if all(self.permits.blocked_s(endpoint) for endpoint in usable.values()):
            return self._unavailable(context)
        wait_s = search.places.retry_after_s
        return UnavailableError(
            f'no engine could provide adapter {search.adapter}: {context.failure}',
            step=_STEP,
            retry_after_s=add_jitter(RETRY_AFTER_S if wait_s is None else wait_s),
        )

    def _hold(self, search: AdapterSearch, attempt: HoldAttempt) -> int | None:
        """Pin the adapter on an engine; return its version, or None if that failed.

        The version is 0 if the engine has no reachable owner and no version was declared.
        """
        try:
            return self.owned_engines.load_and_pin(
                attempt.endpoint_id,
                search.adapter,
                attempt.wait_s,
                needs=search.needs,
                fail_fast=attempt.fail_fast,
            )
        except PimentohoistError as error:
            search.record_failure(attempt, error)
            # Without its owner an engine evicts nothing; it refuses the request if the
            # adapter is missing.
            is_holder = attempt.endpoint_id in search.holders
            if is_holder and isinstance(error, NO_OWNER_ERRORS):
                return self.owned_engines.declarations.version_of(search.adapter)
            return None

    def _by_prompt_length(
        self, context: RequestContext, candidates: list[Candidate]
    ) -> list[Candidate]:
        """Mark the engines where a prompt of this length would delay others, or wait."""
        group = context.group.name
        staying = (
            endpoint.endpoint_id
            for endpoint in self.endpoints.alive()
            if endpoint.group == group
            and not self.endpoints.notices.is_leaving(endpoint)
        )
        reserved = self.prompt_lengths.reserved(group, staying)
        if not reserved:
            return candidates
        is_long = self.prompt_lengths.is_long(context)
        return [
            replace(
                candidate,
                is_better_elsewhere=is_better_elsewhere(
                    is_long=is_long,
                    is_reserved=candidate.endpoint_id in reserved,
                    requests_in_flight=candidate.in_flight,
                ),
            )
            for candidate in candidates
        ]

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


def _filter_by_model(usable: dict[str, Endpoint], model: str) -> dict[str, Endpoint]:
    """Return the engines that report a model, or all engines if none reports it."""
    holders = {
        endpoint_id: endpoint
        for endpoint_id, endpoint in usable.items()
        if model in endpoint.models
    }
    return holders or usable
