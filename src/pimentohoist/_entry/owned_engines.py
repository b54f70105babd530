"""The engines that this daemon is the home of, and calls to the homes of others."""

from __future__ import annotations

import logging
import threading
from collections.abc import Mapping
from concurrent.futures import ThreadPoolExecutor
from typing import Any, Self

from pimentohoist import _clock
from pimentohoist._entry.declarations import DeclarationsController
from pimentohoist._entry.endpoints import EndpointsController
from pimentohoist._entry.engine_owner import EngineOwner
from pimentohoist._entry.ownership import OwnershipController
from pimentohoist._entry.members import Heartbeat, MembersController
from pimentohoist._generated import peer_pb2
from pimentohoist._peers import PeerClients
from pimentohoist.entry_models import AdapterKey, Endpoint, EngineLimits
from pimentohoist.exceptions import NotOwnerError, PimentohoistError, UnavailableError

_STEP = 'hold_adapter'
_LOADERS = 24
_TICK_S = 0.25
_CALL_SLACK_S = 0.25
"""On top of the wait that a home is asked for, for the way there and back."""

_MS_PER_S = 1000

_logger = logging.getLogger(__name__)


class _OwnerAuthority:
    """Implements `Authority` by the partitions that this daemon holds."""

    def __init__(self, owners: OwnershipController, endpoint_id: str) -> None:
        self.owners = owners
        self.endpoint_id = endpoint_id
        self.holder = owners.own.member

    def may_order(self) -> bool:
        """Return whether this daemon is the engine's home."""
        return self.owners.may_order(self.endpoint_id)

    def fencing_number(self) -> int:
        """Return the group's generation."""
        return self.owners.own.generation

    def record_order(self) -> None:
        """Note that an order was given."""
        self.owners.record_order(self.endpoint_id)


class OwnedEnginesController:
    """Implements `Controller` and answers other daemons that ask for an adapter."""

    def __init__(
        self,
        declarations: DeclarationsController,
        endpoints: EndpointsController,
        members: MembersController,
        owners: OwnershipController,
        peers: PeerClients,
    ) -> None:
        self.declarations = declarations
        self.endpoints = endpoints
        self.members = members
        self.owners = owners
        self.peers = peers
        self.engines: dict[str, EngineOwner] = {}
        self.loaders = ThreadPoolExecutor(_LOADERS, thread_name_prefix='loader')
        self._lock = threading.Lock()
        self._closed = threading.Event()
        self._woken = threading.Event()
        self._thread = threading.Thread(target=self._run, name='places', daemon=True)
        declarations.on_version = self._replace
        members.on_heartbeat.append(self._record_beat)
        owners.on_change.append(self._woken.set)

    def __enter__(self) -> Self:
        """Start taking over engines."""
        self._thread.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        """End all homes."""
        self._closed.set()
        for engine in tuple(self.engines.values()):
            engine.close()
        self.loaders.shutdown(wait=False, cancel_futures=True)

    def peer_methods(self) -> Mapping[str, Any]:
        """Return the calls that other daemons make."""
        return {'HoldAdapter': self._answer_hold}

    def hold(
        self,
        endpoint_id: str,
        adapter: AdapterKey,
        wait_s: float,
        *,
        is_impatient: bool = False,
    ) -> int:
        """Have an adapter held on an engine by its home; return the version there.

        Raises
        ------
        NotOwnerError, PeerError
            No home could be asked.
        UnavailableError
            It is not there in time.
        """
        version = self.declarations.version_of(adapter)
        address = self.owners.owner_address(endpoint_id)
        if address is None:
            raise NotOwnerError('no home is known', step=_STEP, peer=endpoint_id)
        if address == self.members.member:
            return self._hold_here(endpoint_id, adapter, version, wait_s, is_impatient)
        request = peer_pb2.HoldRequest(
            endpoint=endpoint_id,
            model=adapter.model,
            adapter=adapter.name,
            member=self.members.member,
            version=version,
            wait_ms=int(wait_s * _MS_PER_S),
            is_impatient=is_impatient,
        )
        timeout_s = wait_s + _CALL_SLACK_S
        reply = self.peers.call(address, 'HoldAdapter', request, timeout_s=timeout_s)
        if reply.is_no_home:
            raise NotOwnerError(reply.refusal, step=_STEP, peer=address)
        if reply.refusal:
            raise UnavailableError(reply.refusal, step=_STEP, peer=address)
        return int(reply.version)

    def knows_all_owners(self) -> bool:
        """Return whether the endpoints are known and the home of each engine."""
        alive = self.endpoints.alive()
        return bool(alive) and all(
            self.owners.owner_address(endpoint.endpoint_id) is not None
            for endpoint in alive
            if endpoint.models
        )

    def statuses(self) -> dict[str, tuple[int, list[str]]]:
        """Return free places and adapters of the engines that are homed here."""
        return {
            endpoint_id: engine.status()
            for endpoint_id, engine in tuple(self.engines.items())
        }

    def record_running(
        self, member: str, running: Mapping[str, Mapping[str, int]]
    ) -> None:
        """Note which adapters a daemon's requests use."""
        for endpoint_id, engine in tuple(self.engines.items()):
            names = running.get(endpoint_id, {})
            engine.record_use(member, frozenset(_adapter(name) for name in names))

    def dump(self) -> Mapping[str, Any]:
        """Return the engines that are homed here."""
        return {
            endpoint_id: {'status': engine.status(), 'loads': engine.loader.loads}
            for endpoint_id, engine in tuple(self.engines.items())
        }

    def _answer_hold(self, request: peer_pb2.HoldRequest) -> peer_pb2.HoldReply:
        adapter = AdapterKey(request.model, request.adapter)
        try:
            version = self._hold_here(
                request.endpoint,
                adapter,
                request.version,
                request.wait_ms / _MS_PER_S,
                request.is_impatient,
            )
        except PimentohoistError as error:
            is_no_home = isinstance(error, NotOwnerError)
            return peer_pb2.HoldReply(refusal=error.message, is_no_home=is_no_home)
        return peer_pb2.HoldReply(version=version)

    def _hold_here(
        self,
        endpoint_id: str,
        adapter: AdapterKey,
        version: int,
        wait_s: float,
        is_impatient: bool,
    ) -> int:
        engine = self.engines.get(endpoint_id)
        if engine is None:
            raise NotOwnerError('not the home', step=_STEP, peer=endpoint_id)
        newest = max(version, self.declarations.version_of(adapter))
        wait_until = _clock.now() + wait_s
        return engine.hold(adapter, newest, wait_until, is_impatient=is_impatient)

    def _run(self) -> None:
        while not self._closed.is_set():
            self._woken.wait(_TICK_S)
            self._woken.clear()
            try:
                self._take_over()
            except Exception:
                _logger.exception('takeover failed', extra={'step': _STEP})

    def _take_over(self) -> None:
        """Begin and end homes as partitions and engines come and go."""
        alive = {endpoint.endpoint_id: endpoint for endpoint in self.endpoints.alive()}
        for endpoint_id, engine in tuple(self.engines.items()):
            endpoint = alive.get(endpoint_id)
            is_same = (
                endpoint is not None
                and endpoint.incarnation == engine.endpoint.incarnation
            )
            if (
                engine.ledger.is_over
                or not is_same
                or not self.owners.is_owner(endpoint_id)
            ):
                self._end(endpoint_id, engine)
        for endpoint in alive.values():
            is_new = endpoint.endpoint_id not in self.engines
            if is_new and self.owners.may_order(endpoint.endpoint_id):
                self._begin(endpoint)
        live = frozenset(
            (
                self.members.member,
                *(heartbeat.member for heartbeat in self.members.live()),
            )
        )
        for owned in tuple(self.engines.values()):
            owned.forget_members(live)

    def _begin(self, endpoint: Endpoint) -> None:
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
            'fence': self.owners.own.generation,
        }
        _logger.info('home begins', extra=extra)

    def _new_owner(self, endpoint: Endpoint, limits: EngineLimits) -> EngineOwner:
        models = tuple(size.model for size in limits.models)
        capacity = limits.adapter_slot_count(endpoint.models or models[:1])
        authority = _OwnerAuthority(self.owners, endpoint.endpoint_id)
        return EngineOwner(
            endpoint, capacity, models[0] if models else '', authority, self.loaders
        )

    def _end(self, endpoint_id: str, engine: EngineOwner) -> None:
        self.engines.pop(endpoint_id, None)
        engine.close()
        extra = {
            'step': 'home',
            'endpoint': endpoint_id,
            'fenced_by': engine.ledger.fenced_by,
        }
        _logger.info('home ends', extra=extra)

    def _replace(self, adapter: AdapterKey, version: int) -> None:
        for engine in tuple(self.engines.values()):
            try:
                engine.replace(adapter, version)
            except NotOwnerError as error:
                _logger.info('not replaced: %s', error, extra={'step': _STEP})

    def _record_beat(self, heartbeat: Heartbeat, before: Heartbeat | None) -> None:
        self.record_running(heartbeat.member, heartbeat.running)


def _adapter(name: str) -> AdapterKey:
    model, _, adapter = name.partition('/')
    return AdapterKey(model, adapter)
