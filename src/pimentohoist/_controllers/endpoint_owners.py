"""The endpoints that this daemon owns, and the peer calls that they answer."""

from __future__ import annotations

import logging
import threading
import time
from collections.abc import Callable, Mapping
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from typing import Any, Self

from pimentohoist._controllers.configuration import ConfigurationController
from pimentohoist._controllers.endpoint_owner import EndpointOwner
from pimentohoist._controllers.exit_prober import ExitProber
from pimentohoist._controllers.engine_orders import EngineOrders, EndpointRef
from pimentohoist._controllers.owner_takeover import OwnerTakeover
from pimentohoist._controllers.held_pins import MS_PER_S, HeldPins, OwnershipView
from pimentohoist._controllers.load_permits import LoadPermits
from pimentohoist._controllers.pin_collector import PinCollector
from pimentohoist._controllers.ownership_tracker import OwnershipTracker
from pimentohoist._decisions.loads import LoadRequest
from pimentohoist._decisions.queue import QueuedRequest
from pimentohoist._decisions.ownership_terms import OwnershipTerm
from pimentohoist._generated import peer_pb2
from pimentohoist.exceptions import NotOwnerError, PimentohoistError
from pimentohoist.models import AdapterVersion
from pimentohoist.protocols import Engine, Peers

_STEP = 'endpoint_homes'
_TICK_S = 0.05
_LOAD_POLL_S = 0.25
_PERMIT_RETRY_S = 0.2
_RETRY_AFTER_S = 0.3
_MAX_LONG_POLL_S = 0.5
_MAX_LONG_POLLS = 24
_LOAD_THREADS = 16
_logger = logging.getLogger(__name__)


class EndpointOwners:
    """Keeps an `EndpointOwner` for each endpoint that this daemon owns.

    Attributes
    ----------
    owners : dict of str to EndpointOwner
        By name of the endpoint, with its group.
    """

    def __init__(
        self,
        view: OwnershipView,
        configuration: ConfigurationController,
        peers: Peers,
        pins: HeldPins,
        exit_prober: ExitProber,
        engine_client: Callable[[EndpointRef], Engine],
    ) -> None:
        self.view = view
        self.configuration = configuration
        self.peers = peers
        self.pins = pins
        self.ownership = OwnershipTracker(view, configuration)
        self.engine_client = engine_client
        self.takeover = OwnerTakeover(
            PinCollector(view, peers, pins), exit_prober, self._is_current
        )
        self.permits = LoadPermits(view, configuration, peers)
        self.owners: dict[str, EndpointOwner] = {}
        self._lock = threading.RLock()
        self._closed = threading.Event()
        self._long_polls = threading.Semaphore(_MAX_LONG_POLLS)
        self._load_pool = ThreadPoolExecutor(_LOAD_THREADS, 'loads')

    def __enter__(self) -> Self:
        """Start the thread that applies decisions."""
        threading.Thread(target=self._run, name='endpoint-homes', daemon=True).start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Stop; orders in progress are not interrupted."""
        self._closed.set()
        self._load_pool.shutdown(wait=False, cancel_futures=True)

    def acquire(self, request: peer_pb2.AcquireRequest) -> peer_pb2.AcquireReply:
        """Answer a slot request; raises NotOwnerError unless this daemon is the owner."""
        owner = self._require_owner(request.endpoint)
        can_wait = self._long_polls.acquire(blocking=False)
        try:
            refusal = owner.acquire(
                _queued_request(request),
                must_queue=request.must_queue,
                max_wait_s=_MAX_LONG_POLL_S if can_wait else 0,
            )
        finally:
            if can_wait:
                self._long_polls.release()
        if refusal is not None:
            return peer_pb2.AcquireReply(
                refusal=refusal.reason.value,
                retry_after_ms=_bounded_ms(refusal.retry_after_s),
            )
        if owner.is_pinned(request.request_id):
            return peer_pb2.AcquireReply(
                pin_id=request.request_id, fencing_number=self.view.epoch
            )
        return peer_pb2.AcquireReply(is_queued=True)

    def release(self, request: peer_pb2.ReleaseRequest) -> peer_pb2.Acknowledgement:
        """Answer a release; that of an unknown pin is acknowledged as well."""
        with self._lock:
            owner = self.owners.get(request.endpoint)
        if owner is not None:
            owner.release(
                request.pin_id,
                request.service_time_ms / MS_PER_S,
                has_failed=request.endpoint_failed,
            )
        return peer_pb2.Acknowledgement(accepted=owner is not None)

    def dump(self) -> Mapping[str, Any]:
        """Return the state of each endpoint."""
        with self._lock:
            owners = dict(self.owners)
        return {name: owner.dump() for name, owner in owners.items()}

    def _require_owner(self, name: str) -> EndpointOwner:
        with self._lock:
            term = self.ownership.term(name)
            if term is None or not self.view.is_owner(name):
                raise NotOwnerError(
                    f'not the owner of endpoint {name}',
                    step=_STEP,
                    retry_after_s=_RETRY_AFTER_S,
                )
            owner = self.owners.get(name)
            if owner is None or owner.term != term:
                endpoint_ref = self.ownership.endpoint_ref(name)
                if endpoint_ref is None:
                    raise NotOwnerError(
                        f'endpoint {name} is not in the configuration yet',
                        step=_STEP,
                        retry_after_s=_RETRY_AFTER_S,
                    )
                owner = self._start_owner(endpoint_ref, term)
            return owner

    def _start_owner(
        self, endpoint_ref: EndpointRef, term: OwnershipTerm
    ) -> EndpointOwner:
        orders = EngineOrders(
            endpoint_ref,
            self.engine_client(endpoint_ref),
            lambda: self.view.is_owner(endpoint_ref.name),
            lambda: self.view.epoch,
        )
        self._stop_owner(endpoint_ref.name)
        owner = EndpointOwner(orders, term)
        self.owners[endpoint_ref.name] = owner
        for task in (self.takeover.collect, self.takeover.fence, self._run_loads):
            threading.Thread(
                target=task, args=(owner,), name=endpoint_ref.name, daemon=True
            ).start()
        return owner

    def _is_current(self, owner: EndpointOwner) -> bool:
        with self._lock:
            is_present = self.owners.get(owner.endpoint_ref.name) is owner
        return is_present and not self._closed.is_set()

    def _run(self) -> None:
        while not self._closed.wait(_TICK_S):
            self.pins.record_members()
            self.permits.refresh()
            try:
                self._take_over_owned_endpoints()
            except Exception:
                _logger.exception('takeover of endpoints failed', extra={'step': _STEP})
            with self._lock:
                owners = tuple(self.owners.values())
            for owner in owners:
                self._tick_owner(owner)

    def _take_over_owned_endpoints(self) -> None:
        """Take over newly owned endpoints before a request arrives for them."""
        with self._lock:
            names = {
                endpoint_ref.name for endpoint_ref in self.ownership.owned_endpoints()
            }
        for name in names - self.owners.keys():
            with suppress(NotOwnerError):
                self._require_owner(name)

    def _stop_owner(self, name: str) -> None:
        owner = self.owners.pop(name, None)
        if owner is not None:
            owner.close()
            _logger.info('no longer the owner', extra={'endpoint': name})

    def _tick_owner(self, owner: EndpointOwner) -> None:
        with self._lock:
            if self.ownership.term(owner.endpoint_ref.name) != owner.term:
                self._stop_owner(owner.endpoint_ref.name)
                return
        owner.tick()
        if owner.is_verified and owner.verify_at <= time.monotonic():
            owner.verify_at = float('inf')
            self._load_pool.submit(owner.verify)

    def _run_loads(self, owner: EndpointOwner) -> None:
        """Take permits for the endpoint's load requests while its owner is current."""
        while self._is_current(owner):
            load_requests, loading = owner.load_demand(_LOAD_POLL_S)
            if load_requests or loading:
                self._take_permit(owner, load_requests, loading)

    def _take_permit(
        self,
        owner: EndpointOwner,
        load_requests: list[LoadRequest],
        loading: tuple[AdapterVersion, ...],
    ) -> None:
        try:
            adapter = self.permits.take(owner.endpoint_ref.name, load_requests, loading)
        except PimentohoistError:
            self._closed.wait(_PERMIT_RETRY_S)
            return
        self._start_load(owner, adapter)
        if not load_requests:
            self._closed.wait(_LOAD_POLL_S)

    def _start_load(self, owner: EndpointOwner, adapter: AdapterVersion | None) -> None:
        plan = owner.begin_load(adapter) if adapter else None
        if plan is not None:
            self._load_pool.submit(owner.execute, plan)


def _queued_request(request: peer_pb2.AcquireRequest) -> QueuedRequest:
    now = time.monotonic()
    adapter = AdapterVersion(request.adapter, request.version)
    return QueuedRequest(
        request.request_id,
        request.workspace,
        adapter if request.adapter else None,
        request.cost_tokens,
        request.is_urgent,
        now + request.deadline_after_ms / MS_PER_S,
        now,
        request.is_alone,
    )


def _bounded_ms(seconds: float) -> int:
    max_s = 60
    return int(min(seconds, max_s) * MS_PER_S)
