"""Slots on endpoints for this daemon's requests, acquired from the owners."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable, Mapping
from concurrent.futures import ThreadPoolExecutor
from typing import Any, Self

from pimentohoist._controllers.configuration import ConfigurationController
from pimentohoist._controllers.exit_prober import ExitProber
from pimentohoist._controllers.endpoint_owners import EndpointOwners
from pimentohoist._controllers.engine_orders import EndpointRef
from pimentohoist._controllers.held_pins import HeldPins, OwnershipView
from pimentohoist._controllers.owner_client import SlotDecision, OwnerClient
from pimentohoist._decisions.admission import RefusalReason
from pimentohoist._decisions.owner_search import OwnerSearch
from pimentohoist._decisions.placement import CopyTable, order_endpoints
from pimentohoist._platform_clients.engine import HttpEngine
from pimentohoist._platform_clients.service import HttpService
from pimentohoist._rendezvous import rank_names
from pimentohoist.configuration import Endpoint
from pimentohoist.exceptions import DeadlineError, UnavailableError
from pimentohoist.exchanges import SlotRequest
from pimentohoist.models import AdapterVersion
from pimentohoist.protocols import Engine, Peers, Service, Slot

_STEP = 'endpoints'
_RETRY_AFTER_S = 1.0
_READ_TIMEOUT_S = 10.0
_MAX_CANDIDATES = 4
_RELEASE_THREADS = 8
_FAILURE_MEMORY_S = 1.0
_REPEAT_PAUSE_S = 0.1


class AcquiredSlot:
    """Implements `Slot`: the hold of one request on an endpoint."""

    def __init__(
        self, endpoint: Endpoint, release: Callable[[AcquiredSlot], None]
    ) -> None:
        self.endpoint = endpoint
        self.has_failed = False
        self.acquired_at = time.monotonic()
        self._release: Callable[[AcquiredSlot], None] | None = release

    def __enter__(self) -> Self:
        """Hold the slot."""
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Release the slot; later calls do nothing."""
        release, self._release = self._release, None
        if release is not None:
            release(self)

    def mark_failed(self) -> None:
        """Record that the endpoint failed the request."""
        self.has_failed = True


class EndpointsController:
    """Implements `Slots`, and owns a part of the endpoints.

    Parameters
    ----------
    exit_prober : ExitProber
        Finds out which former members have ended.
    max_hold_s : float
        Longest duration of a request in seconds.
    """

    def __init__(
        self,
        view: OwnershipView,
        configuration: ConfigurationController,
        peers: Peers,
        exit_prober: ExitProber,
        max_hold_s: float,
    ) -> None:
        self.pins = HeldPins(view, exit_prober, max_hold_s)
        self.endpoint_owners = EndpointOwners(
            view,
            configuration,
            peers,
            self.pins,
            exit_prober,
            lambda endpoint_ref: self.engine(endpoint_ref.endpoint),
        )
        self._release_pool = ThreadPoolExecutor(_RELEASE_THREADS, 'releases')
        self.owner_client = OwnerClient(
            view, peers, self.pins, self.endpoint_owners, self._release_pool.submit
        )
        self.copies = CopyTable()
        self.in_flight: dict[str, int] = {}
        self._failed_at: dict[str, float] = {}
        self._engines: dict[str, Engine] = {}
        self._services: dict[str, Service] = {}
        self._lock = threading.RLock()

    def __enter__(self) -> Self:
        """Start owning endpoints."""
        self.endpoint_owners.__enter__()
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Stop, after all pending releases were sent to the owners."""
        self._release_pool.shutdown()
        self.endpoint_owners.__exit__(*exc_info)

    def engine(self, endpoint: Endpoint) -> Engine:
        """Return the client of an engine."""
        with self._lock:
            if endpoint.address not in self._engines:
                engine = HttpEngine(endpoint.address, timeout_s=_READ_TIMEOUT_S)
                self._engines[endpoint.address] = engine
            return self._engines[endpoint.address]

    def service(self, endpoint: Endpoint) -> Service:
        """Return the client of a plain service."""
        with self._lock:
            if endpoint.address not in self._services:
                service = HttpService(endpoint.address, timeout_s=_READ_TIMEOUT_S)
                self._services[endpoint.address] = service
            return self._services[endpoint.address]

    def acquire(self, request: SlotRequest) -> Slot:
        """Wait for a slot and return it.

        Raises
        ------
        UnavailableError, DeadlineError
            There is none in time; the request was not executed.
        """
        if request.adapter is None:
            return self._acquire_service(request)
        return self._acquire_engine(request, request.adapter)

    def peer_methods(self) -> Mapping[str, Callable[[Any], Any]]:
        """Return the handlers of peer calls by method."""
        return {
            'Acquire': self.endpoint_owners.acquire,
            'Release': self.endpoint_owners.release,
            'ReportPins': self.pins.report,
            'TakeLoadPermit': self.endpoint_owners.permits.handle,
        }

    def dump(self) -> Mapping[str, Any]:
        """Return requests in flight, pins, owned endpoints and load permits."""
        with self._lock:
            in_flight = dict(self.in_flight)
        return {
            'in_flight': in_flight,
            'pins': self.pins.dump(),
            'homes': self.endpoint_owners.dump(),
            'load_permits': self.endpoint_owners.permits.dump(),
        }

    def _acquire_service(self, request: SlotRequest) -> Slot:
        since = time.monotonic() - _FAILURE_MEMORY_S
        with self._lock:
            endpoint = min(
                _candidates(request),
                key=lambda candidate: (
                    self._failed_at.get(candidate.address, since) > since,
                    self.in_flight.get(candidate.address, 0),
                ),
            )
            return self._hold(endpoint, None)

    def _acquire_engine(self, request: SlotRequest, adapter: AdapterVersion) -> Slot:
        endpoints = self._order_candidates(request, adapter)
        search = OwnerSearch(len(endpoints), time.monotonic(), request.deadline)
        decisions: dict[int, SlotDecision] = {}
        question = search.next(time.monotonic())
        while question is not None:
            if question.is_repeated:
                time.sleep(_REPEAT_PAUSE_S)
            endpoint_ref = EndpointRef(request.group, endpoints[question.number])
            decision = self.owner_client.acquire(
                endpoint_ref, request, must_queue=question.must_queue
            )
            if decision.is_pinned:
                return self._hold(endpoint_ref.endpoint, decision)
            self._record_busy(adapter, decision, question.number)
            decisions[question.number] = decision
            search.record(question, decision.reason)
            question = search.next(time.monotonic())
        raise _slot_error(request, tuple(decisions.values()))

    def _record_busy(
        self, adapter: AdapterVersion, decision: SlotDecision, number: int
    ) -> None:
        if decision.reason == RefusalReason.BUSY:
            with self._lock:
                self.copies.record_busy(adapter, number + 1, time.monotonic())

    def _order_candidates(
        self, request: SlotRequest, adapter: AdapterVersion
    ) -> tuple[Endpoint, ...]:
        by_name = {endpoint.name: endpoint for endpoint in _candidates(request)}
        by_address = {name: endpoint.address for name, endpoint in by_name.items()}
        with self._lock:
            names = order_endpoints(
                rank_names(str(adapter), by_name),
                self.copies.copies(adapter, time.monotonic()),
                {
                    name: self.in_flight.get(address, 0)
                    for name, address in by_address.items()
                },
            )
        return tuple(by_name[name] for name in names[:_MAX_CANDIDATES])

    def _hold(self, endpoint: Endpoint, decision: SlotDecision | None) -> AcquiredSlot:
        with self._lock:
            in_flight = self.in_flight.get(endpoint.address, 0)
            self.in_flight[endpoint.address] = in_flight + 1
        return AcquiredSlot(endpoint, lambda slot: self._release(slot, decision))

    def _release(self, slot: AcquiredSlot, decision: SlotDecision | None) -> None:
        address = slot.endpoint.address
        service_s = time.monotonic() - slot.acquired_at
        with self._lock:
            self.in_flight[address] -= 1
            if slot.has_failed:
                self._failed_at[address] = time.monotonic()
        if decision is not None:
            self._release_pool.submit(
                self.owner_client.release,
                decision,
                service_s,
                has_failed=slot.has_failed,
            )


def _candidates(request: SlotRequest) -> tuple[Endpoint, ...]:
    endpoints = tuple(
        endpoint
        for endpoint in request.group.endpoints
        if endpoint.name not in request.excluded
    )
    if not endpoints:
        raise UnavailableError(
            f'group {request.group.name} has no endpoint left',
            step=_STEP,
            retry_after_s=_RETRY_AFTER_S,
        )
    return endpoints


def _slot_error(
    request: SlotRequest, refusals: tuple[SlotDecision, ...]
) -> UnavailableError:
    reasons = sorted({decision.reason for decision in refusals})
    is_late = RefusalReason.DEADLINE in reasons
    error_type = DeadlineError if is_late else UnavailableError
    return error_type(
        f'no slot for adapter {request.adapter}: {", ".join(reasons)}',
        step=_STEP,
        peer=refusals[0].endpoint_ref.endpoint.address,
        retry_after_s=min(decision.retry_after_s for decision in refusals),
    )
