"""Endpoints that are leaving, by the platform's list or by their own status."""

from __future__ import annotations

import logging
import threading
import time
from collections.abc import Callable, Mapping
from concurrent.futures import ThreadPoolExecutor, wait
from dataclasses import replace
from typing import Any, Self

from pimentohoist._decisions.retry_budget import excluded_endpoints
from pimentohoist.configuration import Endpoint, GroupKind
from pimentohoist.exceptions import PeerError
from pimentohoist.exchanges import SlotRequest
from pimentohoist.models import EngineStatus
from pimentohoist.protocols import Clock, Engine, InstanceList, Service, Slot, Slots

_STEP = 'instances'
_POLL_INTERVAL_S = 0.5
_RECENT_USE_S = 10.0
_STATUS_TIMEOUT_S = 1.0
_STATUS_THREADS = 16
_logger = logging.getLogger(__name__)


class InstancesController:
    """Polls the platform's list and the engines in use for endpoints that are leaving.

    The last known state stays in force while the list or an engine doesn't answer.
    """

    def __init__(
        self,
        instance_list: InstanceList,
        engine: Callable[[Endpoint], Engine],
        clock: Clock = time.monotonic,
    ) -> None:
        self.instance_list = instance_list
        self.engine = engine
        self.clock = clock
        self.leaving_by_list: frozenset[str] = frozenset()
        self.leaving_by_status: frozenset[str] = frozenset()
        self.list_errors = 0
        self._used: dict[Endpoint, float] = {}
        self._lock = threading.Lock()
        self._closed = threading.Event()
        self._pool = ThreadPoolExecutor(
            _STATUS_THREADS, thread_name_prefix='engine-status'
        )
        self._threads = tuple(
            threading.Thread(target=self._poll_repeatedly, args=(poll,), daemon=True)
            for poll in (self.poll_list, self.poll_engines)
        )

    def __enter__(self) -> Self:
        """Start polling."""
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Stop polling."""
        self._closed.set()
        self._pool.shutdown(wait=False, cancel_futures=True)

    def is_leaving(self, address: str) -> bool:
        """Return whether the endpoint at `address` takes no new work."""
        return address in self.leaving_by_list or address in self.leaving_by_status

    def record_use(self, endpoint: Endpoint) -> None:
        """Record that an engine is in use, so that its status is polled."""
        with self._lock:
            self._used[endpoint] = self.clock()

    def poll_list(self) -> None:
        """Read the platform's list."""
        try:
            entries = self.instance_list.entries()
        except PeerError as error:
            self.list_errors += 1
            _logger.warning(
                'list of instances not read: %s',
                error.message,
                extra={'step': _STEP, 'peer': error.peer},
            )
            return
        self.leaving_by_list = frozenset(
            entry.address for entry in entries if entry.is_leaving
        )

    def poll_engines(self) -> None:
        """Read the status of all engines in use, in parallel."""
        oldest = self.clock() - _RECENT_USE_S
        with self._lock:
            self._used = {
                endpoint: used_at
                for endpoint, used_at in self._used.items()
                if used_at > oldest or endpoint.address in self.leaving_by_status
            }
            endpoints = tuple(self._used)
        calls = [self._pool.submit(self._status, endpoint) for endpoint in endpoints]
        wait(calls, timeout=_STATUS_TIMEOUT_S)
        statuses = [call.result() if call.done() else None for call in calls]
        self.leaving_by_status = frozenset(
            endpoint.address
            for endpoint, status in zip(endpoints, statuses, strict=True)
            if self._is_reported_leaving(endpoint, status)
        )

    def dump(self) -> Mapping[str, Any]:
        """Return the addresses of endpoints that are leaving, and failed reads of the list."""
        return {
            'leaving_by_list': sorted(self.leaving_by_list),
            'leaving_by_word': sorted(self.leaving_by_status),
            'list_errors': self.list_errors,
        }

    def _status(self, endpoint: Endpoint) -> EngineStatus | None:
        try:
            return self.engine(endpoint).status()
        except PeerError:
            return None

    def _is_reported_leaving(
        self, endpoint: Endpoint, status: EngineStatus | None
    ) -> bool:
        if status is None:
            return endpoint.address in self.leaving_by_status
        return status.is_leaving

    def _poll_repeatedly(self, poll: Callable[[], None]) -> None:
        while not self._closed.is_set():
            poll()
            self._closed.wait(_POLL_INTERVAL_S)


class NonLeavingSlots:
    """Implements `Slots` without the endpoints that are leaving.

    Endpoints that failed the request are tried again if no others are left.
    """

    def __init__(self, slots: Slots, instances: InstancesController) -> None:
        self.slots = slots
        self.instances = instances

    def acquire(self, request: SlotRequest) -> Slot:
        """Wait for a slot and return it."""
        while True:
            slot = self.slots.acquire(self._without_leaving(request))
            if not self.instances.is_leaving(slot.endpoint.address):
                break
            # The endpoint started to leave while the request waited.
            slot.__exit__(None, None, None)
        if request.group.kind is GroupKind.ENGINE:
            self.instances.record_use(slot.endpoint)
        return slot

    def engine(self, endpoint: Endpoint) -> Engine:
        """Return the client of an engine."""
        return self.slots.engine(endpoint)

    def service(self, endpoint: Endpoint) -> Service:
        """Return the client of a plain service."""
        return self.slots.service(endpoint)

    def _without_leaving(self, request: SlotRequest) -> SlotRequest:
        endpoints = request.group.endpoints
        leaving = {
            endpoint.name
            for endpoint in endpoints
            if self.instances.is_leaving(endpoint.address)
        }
        excluded = excluded_endpoints(
            request.excluded, leaving, (endpoint.name for endpoint in endpoints)
        )
        return replace(request, excluded=excluded)
