"""Endpoints of each group: clients, and where an adapter is resident."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable, Mapping
from typing import Any, Self

from pimentohoist._platform.engine import HttpEngine
from pimentohoist._platform.service import HttpService
from pimentohoist._view_fold import rank_names
from pimentohoist.configuration import Endpoint
from pimentohoist.exceptions import DeadlineError, PeerError, UnavailableError
from pimentohoist.exchanges import SlotRequest
from pimentohoist.models import AdapterOrder, AdapterVersion
from pimentohoist.protocols import Engine, Homes, Service, Slot

_STEP = 'endpoints'
_RETRY_AFTER_S = 1.0
_READ_TIMEOUT_S = 10.0


class HeldSlot:
    """Implements `Slot`: one request's place on an endpoint of this daemon's count."""

    def __init__(self, endpoint: Endpoint, release: Callable[[HeldSlot], None]) -> None:
        self.endpoint = endpoint
        self.has_failed = False
        self.is_alone = False
        self._release = release

    def __enter__(self) -> Self:
        """Hold the slot."""
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Give the slot back."""
        self._release(self)

    def mark_failed(self) -> None:
        """Say that the endpoint failed the request."""
        self.has_failed = True


class EndpointsController:
    """Gives slots on endpoints to requests and loads adapters there."""

    def __init__(self, homes: Homes) -> None:
        self.homes = homes
        self.in_flight: dict[str, int] = {}
        self.resident: dict[str, set[AdapterVersion]] = {}
        self._engines: dict[str, Engine] = {}
        self._services: dict[str, Service] = {}
        self._lock = threading.RLock()
        self._loading: dict[tuple[str, AdapterVersion], threading.Lock] = {}
        self._suspects: dict[str, threading.Semaphore] = {}

    def __enter__(self) -> Self:
        """Start."""
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Stop."""

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
        """Return a slot on an endpoint that can run the request now."""
        if request.adapter is None:
            return self._acquire_service(request)
        return self._acquire_engine(request, request.adapter)

    def dump(self) -> Mapping[str, Any]:
        """Return requests in flight and resident adapters by address."""
        with self._lock:
            return {
                'in_flight': dict(self.in_flight),
                'resident': {
                    address: sorted(str(adapter) for adapter in adapters)
                    for address, adapters in self.resident.items()
                },
            }

    def _acquire_service(self, request: SlotRequest) -> Slot:
        with self._lock:
            endpoint = min(
                _candidates(request),
                key=lambda candidate: self.in_flight.get(candidate.address, 0),
            )
            return self._hold(endpoint)

    def _acquire_engine(self, request: SlotRequest, adapter: AdapterVersion) -> Slot:
        by_name = {endpoint.name: endpoint for endpoint in _candidates(request)}
        endpoint = by_name[rank_names(str(adapter), by_name)[0]]
        if request.is_alone:
            self._wait_alone(endpoint, request.deadline)
        slot = self._hold(endpoint)
        slot.is_alone = request.is_alone
        try:
            self._ensure_resident(endpoint, adapter)
        except PeerError:
            slot.__exit__()
            raise
        return slot

    def _wait_alone(self, endpoint: Endpoint, deadline: float) -> None:
        with self._lock:
            place = self._suspects.setdefault(endpoint.address, threading.Semaphore())
        if not place.acquire(timeout=max(0, deadline - time.monotonic())):
            raise DeadlineError(
                f'{endpoint.name} runs another suspect',
                step=_STEP,
                retry_after_s=_RETRY_AFTER_S,
            )

    def _hold(self, endpoint: Endpoint) -> HeldSlot:
        with self._lock:
            in_flight = self.in_flight.get(endpoint.address, 0)
            self.in_flight[endpoint.address] = in_flight + 1
        return HeldSlot(endpoint, self._release)

    def _release(self, slot: HeldSlot) -> None:
        address = slot.endpoint.address
        with self._lock:
            self.in_flight[address] -= 1
            if slot.is_alone:
                self._suspects[address].release()
            if slot.has_failed:
                # It may have restarted cold; each adapter is ordered again.
                self.resident.pop(address, None)

    def _ensure_resident(self, endpoint: Endpoint, adapter: AdapterVersion) -> None:
        with self._lock:
            resident = self.resident.setdefault(endpoint.address, set())
            place = (endpoint.address, adapter)
            loading = self._loading.setdefault(place, threading.Lock())
        with loading:
            if adapter in resident:
                return
            order = AdapterOrder(adapter, self.homes.epoch)
            self.engine(endpoint).load(order)
            resident.add(adapter)


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
