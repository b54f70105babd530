"""Chooses the endpoint of an attempt and has the request's adapter held there."""

from __future__ import annotations

import logging
import random
from collections.abc import Iterator
from dataclasses import dataclass

from pimentohoist import _clock
from pimentohoist._decisions.endpoint_choice import (
    Candidate,
    choose_engines,
    choose_plain,
)
from pimentohoist._entry.endpoints import EndpointsController
from pimentohoist._entry.filters import add_jitter
from pimentohoist._entry.members import Heartbeat, MembersController
from pimentohoist._entry.request_context import RequestContext, log_fields
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
"""A load and the run that it waits for have ended by then, as a rule."""

_STEP = 'choose'
_MAX_ASKED = 6
"""Engines that are asked whether they can load an adapter at once."""

_MAX_WAITED_FOR = 2

_NO_OWNER = (NotOwnerError, PeerError)

_logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Target:
    """An endpoint chosen for one attempt, and the version it must have."""

    endpoint: Endpoint
    adapter_version: int | None = None


class EndpointChooser:
    """Chooses among the endpoints that may get work."""

    def __init__(
        self,
        endpoints: EndpointsController,
        members: MembersController,
        owned_engines: OwnedEnginesController,
        in_flight: InFlightRequests,
    ) -> None:
        self.endpoints = endpoints
        self.members = members
        self.owned_engines = owned_engines
        self.in_flight = in_flight

    def choose(self, context: RequestContext) -> Target:
        """Return where to send a request next; raises UnavailableError."""
        adapter = context.request.adapter
        usable = {
            endpoint.endpoint_id: endpoint
            for endpoint in self.endpoints.usable(context.group.name)
            if endpoint.endpoint_id not in context.endpoints
        }
        if adapter is not None and context.group.engine is not None:
            usable = _with_model(usable, adapter.model)
        if not usable:
            raise context.failure or UnavailableError(
                f'no endpoint of {context.group.name}',
                step=_STEP,
                retry_after_s=add_jitter(RETRY_AFTER_S),
            )
        if context.group.engine is None or adapter is None or not adapter.name:
            names = choose_plain(self._candidates(usable, adapter), random.random())
            return Target(usable[names[0]])
        return self._choose_engine(context, adapter, usable)

    def _choose_engine(
        self, context: RequestContext, adapter: AdapterKey, usable: dict[str, Endpoint]
    ) -> Target:
        """Have the adapter held by one of the engines."""
        candidates = self._candidates(usable, adapter)
        ordered = choose_engines(str(adapter), candidates)
        holders = {entry.endpoint_id for entry in candidates if entry.has_adapter}
        for name, is_impatient in _turns(ordered):
            wait_s = _wait_s(context)
            if wait_s <= 0:
                break
            is_holder = name in holders
            version = self._hold(context, name, wait_s, is_impatient, is_holder)
            if version is not None:
                return Target(usable[name], version or None)
        raise UnavailableError(
            f'no engine could hold {adapter}: {context.failure}',
            step=_STEP,
            retry_after_s=add_jitter(RETRY_AFTER_S),
        )

    def _hold(
        self,
        context: RequestContext,
        endpoint_id: str,
        wait_s: float,
        is_impatient: bool,
        is_holder: bool,
    ) -> int | None:
        """Return the version that is held for the request; None if none is."""
        adapter = context.request.adapter or AdapterKey('')
        try:
            return self.owned_engines.hold(
                endpoint_id, adapter, wait_s, is_impatient=is_impatient
            )
        except PimentohoistError as error:
            context.failure = error
            extra = {**log_fields(context), 'endpoint': endpoint_id}
            _logger.info('adapter not held: %s', error, extra=extra)
            # Without its home an engine keeps what it has, and says so if not.
            if is_holder and isinstance(error, _NO_OWNER):
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
                engine_statuses.get(endpoint_id) or _own_word(endpoint),
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
        others = sum(heartbeat.running_on(endpoint_id) for heartbeat in heartbeats)
        free, held = status
        return Candidate(
            endpoint_id,
            endpoint.slots,
            self.in_flight.on_endpoint(endpoint_id) + others,
            health.latency_s,
            health.cost_factor(_clock.now()),
            endpoint.failure_domain == self.members.settings.failure_domain,
            adapter in held,
            free,
        )


def _own_word(endpoint: Endpoint) -> tuple[int, list[str]]:
    """Return what an engine without a home says of itself."""
    return 0, [str(adapter) for adapter in endpoint.adapters]


def _turns(ordered: list[str]) -> Iterator[tuple[str, bool]]:
    """Yield the engines to ask, and whether only for a place that is free at once."""
    for asked in ordered[:_MAX_ASKED]:
        yield asked, True
    for waited_for in ordered[:_MAX_WAITED_FOR]:
        yield waited_for, False


def _wait_s(context: RequestContext) -> float:
    """Return how long an adapter may be waited for: an answer in time needs it then."""
    if context.monitored.is_cancelled:
        return 0
    now = _clock.now()
    on_time_s = context.request.arrived_at + context.route.goal_s - now
    return min(context.remaining_s(now), on_time_s)


def _with_model(usable: dict[str, Endpoint], model: str) -> dict[str, Endpoint]:
    """Return the engines that hold a model, or all if none says that it does."""
    holders = {
        endpoint_id: endpoint
        for endpoint_id, endpoint in usable.items()
        if model in endpoint.models
    }
    return holders or usable
