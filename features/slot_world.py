"""Adapter slots of one engine while its owners change, with a virtual clock.

The daemons run the package's `OwnershipController` and `EngineOwner`; the store's group,
the network, the threads and the engine are test doubles.
"""

from __future__ import annotations

import json
import random
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from http import HTTPStatus
from types import SimpleNamespace
from typing import Any
from unittest import mock

from entry_engine import key
from entry_group import PartitionGroup
from owner_world import LEASE_S, OwnerFault, OwnerWorld
from slot_engine import SlotEngine
from virtual_threads import VirtualLock, VirtualThreads

from pimentohoist._entry.engine_owner import EngineOwner
from pimentohoist._entry.ownership import OwnershipController
from pimentohoist._http_connection import HttpRequest, HttpResponse
from pimentohoist.entry_models import AdapterKey
from pimentohoist.exceptions import PeerTimeoutError, PimentohoistError

CAPACITY = 10
_ENGINE = 'engine-1'
_ADAPTERS = 20
_WAIT_S = 1.0
_MAX_RUN_S = 1.0
_MAX_ONE_WAY_S = 0.03
_FAST_ONE_WAY_S = 0.002
_ORDER_TIMEOUT_S = 0.2
_MEMBER_TIMEOUT_S = 2.5
_HEARTBEAT_TICKS = 3
_REBALANCE_S = 0.5
_LOST_SHARE = 0.5
_MAX_LATE_ORDER_S = 12.0


class _EngineClient:
    """Takes a daemon's orders to the engine in place of its HTTP client."""

    def __init__(self, world: SlotWorld, daemon: int) -> None:
        self.world = world
        self.daemon = daemon
        self.address = 'engine'

    def request(
        self, request: HttpRequest, *, timeout_s: float = _ORDER_TIMEOUT_S
    ) -> HttpResponse:
        world = self.world
        world.threads.sleep(world.one_way_s())
        if world.is_engine_silent:
            world.threads.sleep(timeout_s)
            raise PeerTimeoutError('no answer', step='order', peer=self.address)
        outcome = world.order_outcome()
        if request.method == 'GET':
            body = world.engine.report(world.now)
            world.threads.sleep(world.one_way_s())
            return HttpResponse(HTTPStatus.OK, {}, body)
        order = json.loads(request.body)
        if outcome == 'late':
            at = world.now + world.random.uniform(0, _MAX_LATE_ORDER_S)
            world.threads.call_at(at, -1, lambda: world.engine.order(order, world.now))
        status = HTTPStatus.OK
        if outcome != 'late':
            status = world.engine.order(order, world.now)
        if outcome != 'answered':
            world.threads.sleep(timeout_s)
            raise PeerTimeoutError('no answer', step='order', peer=self.address)
        world.threads.sleep(world.one_way_s())
        return HttpResponse(status, {}, b'')

    def close(self) -> None:
        """Do nothing."""


class _ExpiringGroup(PartitionGroup):
    """A group that drops members that haven't joined for some time."""

    def __init__(self, world: SlotWorld) -> None:
        super().__init__()
        self.world = world
        self.joined_at: dict[str, float] = {}

    def join(self, group: str, member: str, generation: int, lease_s: float) -> Any:
        now = self.world.now
        for other in tuple(self.members):
            joined_at = self.joined_at.setdefault(other, now)
            if other != member and now - joined_at > _MEMBER_TIMEOUT_S:
                self.leave(group, other)
        self.joined_at[member] = now
        return super().join(group, member, generation, lease_s)


class _LateGroupClient:
    """Takes a daemon's joins to the group; some take effect late and unanswered."""

    def __init__(self, world: SlotWorld, daemon: int, client: Any) -> None:
        self.world = world
        self.daemon = daemon
        self.client = client
        self.address = client.address
        self.timeout_s = client.timeout_s

    def request(self, request: HttpRequest, *, timeout_s: float) -> HttpResponse:
        world = self.world
        fault = world.fault_of('late_joins')
        if fault is None or world.random.random() > _LOST_SHARE:
            return self.client.request(request, timeout_s=timeout_s)
        asked = json.loads(request.body)
        world.threads.call_at(
            world.now + fault.age_s,
            -1,
            lambda: world.group.join(
                'group', asked['member'], asked['generation'], LEASE_S
            ),
        )
        raise PeerTimeoutError('no answer', step='store', peer=self.address)


class SlotWorld(OwnerWorld):
    """A group of daemons that load adapters on one engine for requests."""

    def __init__(self, count: int, faults: list[OwnerFault], seed: int) -> None:
        super().__init__(count, faults)
        self.random = random.Random(seed)
        self.group = _ExpiringGroup(self)
        self.threads = VirtualThreads(self)
        self.engine = SlotEngine()
        self.is_engine_silent = False
        self.owners: dict[str, EngineOwner] = {}
        self._changed_at: dict[int, float] = {}
        self._waiting: list[tuple[AdapterKey, float]] = []
        self._uses: list[tuple[AdapterKey, float]] = []

    def run(self, end_s: float) -> None:
        """Run to the end of a history."""
        with self.virtual_time():
            super().run(end_s)

    @contextmanager
    def virtual_time(self) -> Iterator[None]:
        """Have the package's modules use the virtual clock and threads."""
        with ExitStack() as stack:
            stack.enter_context(mock.patch('pimentohoist._clock.now', lambda: self.now))
            for module in ('engine_session', 'adapter_loader'):
                name = f'pimentohoist._entry.{module}.sleep'
                stack.enter_context(mock.patch(name, self.threads.sleep))
            stack.callback(self.threads.close)
            yield

    def fault_of(self, kind: str) -> OwnerFault | None:
        """Return the fault of a kind that is under way."""
        elapsed_s = self.now - self.began_at
        for fault in self.faults:
            ends_s = fault.start_s + fault.duration_s
            if fault.kind == kind and fault.start_s <= elapsed_s < ends_s:
                return fault
        return None

    def resumes_at(self, daemon: int, now: float) -> float:
        """Return when a frozen daemon resumes."""
        for fault in self.faults:
            starts_at = self.began_at + fault.start_s
            ends_at = starts_at + fault.duration_s
            if fault.kind == 'freeze' and fault.daemon == daemon:
                if starts_at <= now < ends_at:
                    return ends_at
        return now

    def one_way_s(self) -> float:
        """Return how long a message takes."""
        return self.random.uniform(0, _MAX_ONE_WAY_S)

    def order_outcome(self) -> str:
        """Return whether an order is answered, unanswered, or late and unanswered."""
        if not self.fault_of('late_orders'):
            return 'answered'
        return self.random.choice(('answered', 'answered', 'unanswered', 'late'))

    def request(self, owner: EngineOwner, adapter: AdapterKey) -> None:
        """Request an adapter, and run the request if the adapter is loaded."""
        try:
            owner.load_and_pin(adapter, 1, self.now)
        except PimentohoistError:
            self._waiting.append((adapter, self.now + _WAIT_S))
            return
        self._waiting = [entry for entry in self._waiting if entry[0] != adapter]
        ends_at = self.now + self.random.uniform(0, _MAX_RUN_S)
        self.engine.run(adapter, ends_at)
        self._uses.append((adapter, ends_at))

    def start_owner(self, number: int, lease: Any) -> EngineOwner:
        """Start a daemon's owner of the engine."""
        endpoint: Any = SimpleNamespace(
            endpoint_id=_ENGINE, address='127.0.0.1:1', models=('m',)
        )
        loaders: Any = SimpleNamespace(
            submit=lambda function, *args: self.threads.start(number, function, *args)
        )
        owner = EngineOwner(endpoint, CAPACITY, 'm', lease, loaders)
        lock: Any = VirtualLock(self.threads)
        client: Any = _EngineClient(self, number)
        owner.session.lock = lock
        owner.session.orders.client = client
        loaders.submit(owner.start)
        return owner

    def _daemon(self, number: int) -> OwnershipController:
        daemon = super()._daemon(number)
        client: Any = _LateGroupClient(self, number, daemon.store.client)
        daemon.store.client = client
        return daemon

    def _end_due_faults(self) -> None:
        self.threads.run_until(self.now)
        self.engine.advance(self.now)
        super()._end_due_faults()

    def _join(self, daemon: OwnershipController, number: int, tick: int) -> None:
        if self.resumes_at(number, self.now) > self.now:
            return
        generation = daemon.own.generation
        is_changing = self.now - self._changed_at.get(number, 0) < _REBALANCE_S
        super()._join(daemon, number, number if is_changing else tick)
        if daemon.own.generation != generation:
            self._changed_at[number] = self.now
        self._uses = [use for use in self._uses if use[1] > self.now]
        owner = self.owners.get(daemon.own.member)
        if owner and not tick % _HEARTBEAT_TICKS:
            owner.record_use('callers', frozenset(adapter for adapter, _ in self._uses))

    def _order(self, daemon: OwnershipController) -> None:
        number = self.daemons.index(daemon)
        if self.resumes_at(number, self.now) > self.now:
            return
        member = daemon.own.member
        owner = self.owners.get(member)
        if owner and not daemon.is_owner(_ENGINE):
            self.owners.pop(member).close()
            return
        if owner is None and daemon.may_order(_ENGINE):
            owner = self.start_owner(number, _lease_of(daemon))
            self.owners[member] = owner
        if owner:
            self._request_adapters(owner)

    def _request_adapters(self, owner: EngineOwner) -> None:
        """Request a new adapter and those that requests wait for."""
        newest = key(self.random.randrange(_ADAPTERS))
        waiting = {adapter for adapter, until in self._waiting if until > self.now}
        self._waiting = [entry for entry in self._waiting if entry[1] > self.now]
        for adapter in (*sorted(waiting, key=str), newest):
            self.request(owner, adapter)


class OwnersInTurn(SlotWorld):
    """Two owners of an engine, of which the former one doesn't know of the next."""

    def __init__(self) -> None:
        super().__init__(2, [], seed=1)

    def one_way_s(self) -> float:
        return _FAST_ONE_WAY_S

    def next_owner(self, number: int) -> EngineOwner:
        """Start an owner whose fencing number is higher than those before."""
        lease: Any = SimpleNamespace(
            holder=f'daemon-{number}',
            may_order=lambda: True,
            fencing_number=lambda: number + 1,
            quiet_s=lambda: 0,
            record_order=lambda: None,
        )
        return self.start_owner(number, lease)

    def run_for(self, seconds: float) -> None:
        """Let time pass."""
        self.threads.run_until(self.now + seconds)


def _lease_of(daemon: OwnershipController) -> Any:
    return SimpleNamespace(
        holder=daemon.own.member,
        may_order=lambda: daemon.may_order(_ENGINE),
        fencing_number=lambda: daemon.own.generation,
        quiet_s=lambda: 0,
        record_order=lambda: daemon.record_order(_ENGINE),
    )
