"""The endpoints whose home this daemon is, and the calls that other daemons make."""

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
from pimentohoist._controllers.held_pins import MS_PER_S, HeldPins, MemberOwners
from pimentohoist._controllers.load_permits import LoadPermits
from pimentohoist._controllers.pin_collection import PinCollection
from pimentohoist._controllers.ownership_watch import OwnershipWatch
from pimentohoist._decisions.loads import LoadRequest
from pimentohoist._decisions.queue import QueuedRequest
from pimentohoist._decisions.ownership_terms import OwnershipTerm
from pimentohoist._generated import peer_pb2
from pimentohoist.exceptions import NotOwnerError, PimentohoistError
from pimentohoist.models import AdapterVersion
from pimentohoist.protocols import Engine, Peers

_STEP = 'endpoint_homes'
_TICK_S = 0.05
_IDLE_S = 0.25
_PAUSE_S = 0.2
_RETRY_AFTER_S = 0.3
_HOLD_S = 0.5
_MAX_HELD_CALLS = 24
_LOAD_THREADS = 16
_logger = logging.getLogger(__name__)


class EndpointOwners:
    """Keeps an `EndpointOwner` for each endpoint whose home this daemon is.

    Attributes
    ----------
    owners : dict of str to EndpointOwner
        By name of the place.
    """

    def __init__(
        self,
        view: MemberOwners,
        configuration: ConfigurationController,
        peers: Peers,
        pins: HeldPins,
        proofs: ExitProber,
        engine_at: Callable[[EndpointRef], Engine],
    ) -> None:
        self.view = view
        self.configuration = configuration
        self.peers = peers
        self.pins = pins
        self.watch = OwnershipWatch(view, configuration)
        self.engine_at = engine_at
        self.takeover = OwnerTakeover(
            PinCollection(view, peers, pins), proofs, self._is_kept
        )
        self.permits = LoadPermits(view, configuration, peers)
        self.owners: dict[str, EndpointOwner] = {}
        self._lock = threading.RLock()
        self._closed = threading.Event()
        self._held_calls = threading.Semaphore(_MAX_HELD_CALLS)
        self._loads = ThreadPoolExecutor(_LOAD_THREADS, 'loads')

    def __enter__(self) -> Self:
        """Start deciding."""
        threading.Thread(target=self._tick, name='endpoint-homes', daemon=True).start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Stop; orders under way end by themselves."""
        self._closed.set()
        self._loads.shutdown(wait=False, cancel_futures=True)

    def acquire(self, request: peer_pb2.AcquireRequest) -> peer_pb2.AcquireReply:
        """Answer a request for a slot; NotOwnerError if this is not the home."""
        owner = self._require(request.endpoint)
        is_held = self._held_calls.acquire(blocking=False)
        try:
            refusal = owner.ask(
                _waiting(request),
                must_queue=request.must_queue,
                hold_s=_HOLD_S if is_held else 0,
            )
        finally:
            if is_held:
                self._held_calls.release()
        if refusal is not None:
            return peer_pb2.AcquireReply(
                refusal=refusal.reason.value,
                retry_after_ms=_finite_ms(refusal.retry_after_s),
            )
        if owner.is_pinned(request.request_id):
            return peer_pb2.AcquireReply(
                pin_id=request.request_id, fencing_number=self.view.epoch
            )
        return peer_pb2.AcquireReply(is_queued=True)

    def release(self, request: peer_pb2.ReleaseRequest) -> peer_pb2.Acknowledgement:
        """Answer a release; one that is not known is acknowledged as well."""
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

    def _require(self, name: str) -> EndpointOwner:
        with self._lock:
            term = self.watch.term(name)
            if term is None or not self.view.is_owner(name):
                raise NotOwnerError(
                    f'not the home of {name}', step=_STEP, retry_after_s=_RETRY_AFTER_S
                )
            owner = self.owners.get(name)
            if owner is None or owner.term != term:
                endpoint_ref = self.watch.endpoint_ref(name)
                if endpoint_ref is None:
                    raise NotOwnerError(
                        f'no endpoint {name} yet',
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
            self.engine_at(endpoint_ref),
            lambda: self.view.is_owner(endpoint_ref.name),
            lambda: self.view.epoch,
        )
        self._end_owner(endpoint_ref.name)
        owner = EndpointOwner(orders, term)
        self.owners[endpoint_ref.name] = owner
        for work in (self.takeover.collect, self.takeover.fence, self._load):
            threading.Thread(
                target=work, args=(owner,), name=endpoint_ref.name, daemon=True
            ).start()
        return owner

    def _is_kept(self, owner: EndpointOwner) -> bool:
        with self._lock:
            is_present = self.owners.get(owner.endpoint_ref.name) is owner
        return is_present and not self._closed.is_set()

    def _tick(self) -> None:
        while not self._closed.wait(_TICK_S):
            self.pins.record_members()
            self.permits.watch()
            try:
                self._begin_owned_endpoints()
            except Exception:
                _logger.exception('homes not begun', extra={'step': _STEP})
            with self._lock:
                owners = tuple(self.owners.values())
            for owner in owners:
                self._tick_owner(owner)

    def _begin_owned_endpoints(self) -> None:
        """Take over what is at home here now, before anybody asks for it."""
        with self._lock:
            names = {endpoint_ref.name for endpoint_ref in self.watch.owned_endpoints()}
        for name in names - self.owners.keys():
            with suppress(NotOwnerError):
                self._require(name)

    def _end_owner(self, name: str) -> None:
        owner = self.owners.pop(name, None)
        if owner is not None:
            owner.close()
            _logger.info('no longer the home', extra={'endpoint': name})

    def _tick_owner(self, owner: EndpointOwner) -> None:
        with self._lock:
            if self.watch.term(owner.endpoint_ref.name) != owner.term:
                self._end_owner(owner.endpoint_ref.name)
                return
        owner.tick()
        if owner.is_verified and owner.verify_at <= time.monotonic():
            owner.verify_at = float('inf')
            self._loads.submit(owner.verify)

    def _load(self, owner: EndpointOwner) -> None:
        """Get permits for what the endpoint needs, as long as it is kept."""
        while self._is_kept(owner):
            load_requests, loading = owner.load_needs(_IDLE_S)
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
            self._closed.wait(_PAUSE_S)
            return
        self._start_load(owner, adapter)
        if not load_requests:
            self._closed.wait(_IDLE_S)

    def _start_load(self, owner: EndpointOwner, adapter: AdapterVersion | None) -> None:
        plan = owner.begin_load(adapter) if adapter else None
        if plan is not None:
            self._loads.submit(owner.execute, plan)


def _waiting(request: peer_pb2.AcquireRequest) -> QueuedRequest:
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


def _finite_ms(seconds: float) -> int:
    max_s = 60
    return int(min(seconds, max_s) * MS_PER_S)
