"""The engines that this daemon owns, and calls to the owners of other engines."""

from __future__ import annotations

import logging
import threading
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from functools import partial
from typing import Any, Self

from pimentohoist import _clock
from pimentohoist._decisions.waiting_order import RequestNeeds
from pimentohoist._entry.declarations import DeclarationsController
from pimentohoist._entry.endpoint_notices import EndpointNotices
from pimentohoist._entry.endpoints import EndpointsController
from pimentohoist._entry.engine_owner import EngineOwner
from pimentohoist._entry.ownership import OwnershipController
from pimentohoist._entry.heartbeat import Heartbeat
from pimentohoist._entry.hold_messages import (
    decode_needs,
    decode_refusal,
    encode_needs,
    encode_refusal,
)
from pimentohoist._entry.members import MembersController
from pimentohoist._elastic_pool import ElasticExecutor
from pimentohoist._generated import peer_pb2
from pimentohoist._peers import PeerClients
from pimentohoist.entry_models import (
    AdapterKey,
    Endpoint,
    EndpointNotice,
    EngineLimits,
)
from pimentohoist.exceptions import NotOwnerError, PimentohoistError, UnavailableError

_STEP = 'hold_adapter'
_MAX_LOADER_THREADS = 24
_RECONCILE_INTERVAL_S = 0.25
_CALL_OVERHEAD_S = 0.25
"""Added to the wait that an owner is given, for the network round trip."""

_MS_PER_S = 1000

_logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class _HoldOrder:
    """What an engine's owner is asked to load and pin, and for how long it may wait."""

    adapter: AdapterKey
    version: int
    wait_s: float
    needs: RequestNeeds | None
    fail_fast: bool


class _PartitionEngineLease:
    """Implements `EngineLease` by this daemon's lease on the engine's partition."""

    def __init__(
        self,
        ownership: OwnershipController,
        endpoint: Endpoint,
        notices: EndpointNotices,
    ) -> None:
        self.ownership = ownership
        self.endpoint = endpoint
        self.notices = notices
        self.holder = ownership.own.member

    def may_order(self) -> bool:
        """Return whether this daemon may order the engine now."""
        return self.ownership.may_order(self.endpoint.endpoint_id)

    def fencing_number(self) -> int:
        """Return the generation of the store's group."""
        return self.ownership.own.generation

    def quiet_s(self) -> float:
        """Return the seconds for which the engine wants no requests."""
        return self.notices.quiet_s(self.endpoint)

    def record_order(self) -> None:
        """Record that an order was sent."""
        self.ownership.record_order(self.endpoint.endpoint_id)


class OwnedEnginesController:
    """Implements `Controller`: owns engines and serves `HoldAdapter` for them.

    Attributes
    ----------
    on_answered, on_unanswered : callable
        Called with an engine that has answered an order, or didn't in time.
    """

    def __init__(
        self,
        declarations: DeclarationsController,
        endpoints: EndpointsController,
        members: MembersController,
        ownership: OwnershipController,
        peers: PeerClients,
    ) -> None:
        self.declarations = declarations
        self.endpoints = endpoints
        self.members = members
        self.ownership = ownership
        self.peers = peers
        self.engines: dict[str, EngineOwner] = {}
        self.on_answered: Callable[[Endpoint], None] = _ignore
        self.on_unanswered: Callable[[Endpoint], None] = _ignore
        self.loaders = ElasticExecutor(_MAX_LOADER_THREADS, 'loader')
        self._lock = threading.Lock()
        self._closed = threading.Event()
        self._wake = threading.Event()
        self._thread = threading.Thread(target=self._run, name='places', daemon=True)
        declarations.on_version = self._replace_outdated
        members.on_heartbeat.append(self._record_heartbeat)
        ownership.on_change.append(self._wake.set)

    def __enter__(self) -> Self:
        """Start to acquire engines."""
        self._thread.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Stop the owners of all engines."""
        self._closed.set()
        for engine in tuple(self.engines.values()):
            engine.close()
        self.loaders.shutdown(wait=False, cancel_futures=True)

    def peer_methods(self) -> Mapping[str, Any]:
        """Return the methods that other daemons call."""
        return {'HoldAdapter': self._handle_hold_adapter}

    def load_and_pin(
        self,
        endpoint_id: str,
        adapter: AdapterKey,
        wait_s: float,
        *,
        needs: RequestNeeds | None = None,
        fail_fast: bool = False,
    ) -> int:
        """Have the engine's owner load and pin an adapter; return the version loaded.

        Parameters
        ----------
        wait_s : float
            Longest wait in seconds. If 0, the load only begins, and only if that evicts
            no adapter that was requested lately.
        needs : RequestNeeds or None
            What decides on the request's turn, on this daemon's clock.
        fail_fast : bool
            Refuse at once if a load can't begin now.

        Raises
        ------
        NotOwnerError, PeerError
            No owner could be reached.
        WaitRefusedError
            The request can't be served there before its own deadline.
        UnavailableError
            The adapter isn't loaded in time. `retry_after_s` is the expected wait, or None.
        """
        version = self.declarations.version_of(adapter)
        address = self.ownership.owner_address(endpoint_id)
        if address is None:
            raise NotOwnerError('engine has no owner', step=_STEP, peer=endpoint_id)
        if address == self.members.member:
            order = _HoldOrder(adapter, version, wait_s, needs, fail_fast)
            return self._load_and_pin_here(endpoint_id, order)
        request = peer_pb2.HoldRequest(
            endpoint=endpoint_id,
            model=adapter.model,
            adapter=adapter.name,
            member=self.members.member,
            version=version,
            wait_ms=int(wait_s * _MS_PER_S),
            is_impatient=fail_fast,
        )
        if needs is not None:
            encode_needs(needs, _clock.now(), request)
        timeout_s = wait_s + _CALL_OVERHEAD_S
        reply = self.peers.call(address, 'HoldAdapter', request, timeout_s=timeout_s)
        if reply.refusal:
            raise decode_refusal(reply, address)
        return int(reply.version)

    def are_owners_known(self) -> bool:
        """Return whether endpoints are known, and an owner for each engine of them."""
        alive = self.endpoints.alive()
        return bool(alive) and all(
            self.ownership.owner_address(endpoint.endpoint_id) is not None
            for endpoint in alive
            if endpoint.models
        )

    def statuses(self) -> dict[str, tuple[int, list[str]]]:
        """Return the free adapter slots and the adapters of each owned engine."""
        return {
            endpoint_id: engine.status()
            for endpoint_id, engine in tuple(self.engines.items())
        }

    def record_in_flight(
        self, member: str, in_flight: Mapping[str, Mapping[str, int]]
    ) -> None:
        """Record which adapters a daemon's requests use."""
        for endpoint_id, engine in tuple(self.engines.items()):
            names = in_flight.get(endpoint_id, {})
            engine.record_use(member, frozenset(_parse_adapter(name) for name in names))

    def dump(self) -> Mapping[str, Any]:
        """Return the state of the owned engines."""
        return {
            endpoint_id: {
                'status': engine.status(),
                'loads': engine.loader.loads,
                **engine.queue.dump(),
                'may_order': engine.session.may_order(),
            }
            for endpoint_id, engine in tuple(self.engines.items())
        }

    def _handle_hold_adapter(self, request: peer_pb2.HoldRequest) -> peer_pb2.HoldReply:
        order = _HoldOrder(
            AdapterKey(request.model, request.adapter),
            request.version,
            request.wait_ms / _MS_PER_S,
            decode_needs(request, _clock.now()),
            request.is_impatient,
        )
        try:
            version = self._load_and_pin_here(request.endpoint, order)
        except PimentohoistError as error:
            return encode_refusal(error)
        return peer_pb2.HoldReply(version=version)

    def _load_and_pin_here(self, endpoint_id: str, order: _HoldOrder) -> int:
        engine = self.engines.get(endpoint_id)
        if engine is None:
            raise NotOwnerError('not the owner', step=_STEP, peer=endpoint_id)
        adapter = order.adapter
        version = max(order.version, self.declarations.version_of(adapter))
        if not self.endpoints.may_get_work(engine.endpoint):
            raise UnavailableError(
                'engine is leaving or wants no requests', step=_STEP, peer=endpoint_id
            )
        if not order.wait_s:
            return engine.prepare(adapter, version)
        return engine.load_and_pin(
            adapter,
            version,
            _clock.now() + order.wait_s,
            needs=order.needs,
            fail_fast=order.fail_fast,
        )

    def _run(self) -> None:
        while not self._closed.is_set():
            self._wake.wait(_RECONCILE_INTERVAL_S)
            self._wake.clear()
            try:
                self._reconcile()
            except Exception:
                _logger.exception('engine takeover failed', extra={'step': _STEP})

    def _reconcile(self) -> None:
        """Start and stop owners as partitions and engines come and go."""
        alive = {endpoint.endpoint_id: endpoint for endpoint in self.endpoints.alive()}
        for endpoint_id, engine in tuple(self.engines.items()):
            endpoint = alive.get(endpoint_id)
            is_same_incarnation = (
                endpoint is not None
                and endpoint.incarnation == engine.endpoint.incarnation
            )
            if (
                engine.session.is_ended
                or not is_same_incarnation
                or not self.ownership.is_owner(endpoint_id)
            ):
                self._stop_owner(endpoint_id, engine)
        for endpoint in alive.values():
            is_new = endpoint.endpoint_id not in self.engines
            if is_new and self.ownership.may_order(endpoint.endpoint_id):
                self._start_owner(endpoint)
        live = frozenset(
            (
                self.members.member,
                *(heartbeat.member for heartbeat in self.members.live()),
            )
        )
        for owned in tuple(self.engines.values()):
            owned.forget_members(live)

    def _start_owner(self, endpoint: Endpoint) -> None:
        declaration = self.declarations.current
        group = declaration.groups.get(endpoint.group) if declaration else None
        if group is None or group.engine is None:
            return
        engine = self._new_owner(endpoint, group.engine)
        self.engines[endpoint.endpoint_id] = engine
        self.loaders.submit(engine.start)
        extra = {
            'step': 'home',
            'endpoint': endpoint.endpoint_id,
            'capacity': engine.adapter_slots.capacity,
            'fence': self.ownership.own.generation,
        }
        _logger.info('engine ownership began', extra=extra)

    def _new_owner(self, endpoint: Endpoint, limits: EngineLimits) -> EngineOwner:
        models = tuple(size.model for size in limits.models)
        capacity = limits.adapter_slot_count(endpoint.models or models[:1])
        notices = self.endpoints.notices
        lease = _PartitionEngineLease(self.ownership, endpoint, notices)
        owner = EngineOwner(
            endpoint, capacity, models[0] if models else '', lease, self.loaders
        )
        orders = owner.session.orders
        orders.on_notice = partial(
            _record_order_notice, self.endpoints, endpoint, self.on_answered
        )
        orders.on_failure = partial(self.on_unanswered, endpoint)
        return owner

    def _stop_owner(self, endpoint_id: str, engine: EngineOwner) -> None:
        self.engines.pop(endpoint_id, None)
        engine.close()
        extra = {
            'step': 'home',
            'endpoint': endpoint_id,
            'fenced_by': engine.session.fenced_by,
        }
        _logger.info('engine ownership ended', extra=extra)

    def _replace_outdated(self, adapter: AdapterKey, version: int) -> None:
        for engine in tuple(self.engines.values()):
            if not self.endpoints.may_get_work(engine.endpoint):
                continue
            try:
                engine.replace(adapter, version)
            except NotOwnerError as error:
                _logger.info('adapter not replaced: %s', error, extra={'step': _STEP})

    def _record_heartbeat(self, heartbeat: Heartbeat, before: Heartbeat | None) -> None:
        self.record_in_flight(heartbeat.member, heartbeat.in_flight)


def _ignore(endpoint: Endpoint) -> None:
    """Do nothing with an engine that was ordered."""


def _parse_adapter(name: str) -> AdapterKey:
    model, _, adapter = name.partition('/')
    return AdapterKey(model, adapter)


def _record_order_notice(
    endpoints: EndpointsController,
    endpoint: Endpoint,
    on_answered: Callable[[Endpoint], None],
    notice: EndpointNotice,
) -> None:
    """Record what an engine's response to an order or to a read of its report asks.

    Its limit is on requests, so such a response may name it and doesn't end it.
    """
    on_answered(endpoint)
    endpoints.notices.record(endpoint, notice)
    endpoints.cold.record_response(endpoint, notice)
    if notice.limit_per_s is not None:
        endpoints.limits.record_response(endpoint, notice, _clock.now())
