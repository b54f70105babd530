"""Owners of one engine over restores of the store, with a virtual clock.

The daemons run the package's `OwnershipController` and its client of the store; only the
store's group, the network and the engine are test doubles.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from types import SimpleNamespace
from typing import Any
from unittest import mock

from entry_group import PARTITIONS, PartitionGroup

from pimentohoist._decisions.ownership import Ownership
from pimentohoist._entry.ownership import OwnershipController
from pimentohoist._http_connection import HttpRequest, HttpResponse
from pimentohoist.exceptions import PeerTimeoutError
from pimentohoist.platform import Store

TICK_S = 0.1
LEASE_S = 3.0
_ENGINE = 'engine-1'
_JOIN_TICKS = 8
_HEARTBEAT_TICKS = 3
_COPIES_KEPT = 100


@dataclass(frozen=True)
class OwnerFault:
    """A fault of a history.

    Attributes
    ----------
    kind : str
        ``cut`` of one daemon from the store, ``restore`` of the store after an outage, or
        ``rebalance`` of the group at the end of the duration.
    age_s : float
        A restore loses what the group did in this time.
    """

    kind: str
    start_s: float
    duration_s: float
    age_s: float
    daemon: int

    def is_cut(self, daemon: int, elapsed_s: float) -> bool:
        """Return whether a daemon's calls to the store get no answer."""
        is_struck = self.kind == 'restore' or (
            self.kind == 'cut' and self.daemon == daemon
        )
        return is_struck and self.start_s <= elapsed_s < self.start_s + self.duration_s


@dataclass(frozen=True)
class Order:
    """An order that the engine has accepted."""

    at: float
    holder: str
    fence: int


class _GroupClient:
    """Answers a daemon's joins in place of its HTTP client."""

    def __init__(self, world: OwnerWorld, daemon: int) -> None:
        self.world = world
        self.daemon = daemon
        self.address = 'store'
        self.timeout_s = 1.0

    def request(self, request: HttpRequest, *, timeout_s: float) -> HttpResponse:
        world = self.world
        if world.is_cut(self.daemon):
            raise PeerTimeoutError('no answer', step='store', peer=self.address)
        asked = json.loads(request.body)
        member, generation = asked['member'], asked['generation']
        membership = world.group.join('group', member, generation, LEASE_S)
        document = {
            'generation': membership.generation,
            'parts': [['group', part, 0] for part in membership.partitions],
        }
        headers = {'Store-Era': str(world.era)} if world.has_eras else {}
        return HttpResponse(200, headers, json.dumps(document).encode())


class OwnerWorld:
    """A group of daemons that order one engine as often as they may.

    Attributes
    ----------
    orders : list of Order
        Orders that the engine has accepted, in order of time.
    """

    def __init__(
        self,
        count: int,
        faults: list[OwnerFault],
        *,
        has_eras: bool = True,
        are_fences_checked: bool = True,
    ) -> None:
        self.has_eras = has_eras
        self.are_fences_checked = are_fences_checked
        self.faults = faults
        self.group = PartitionGroup()
        self.era = 1
        self.now = 100.0
        self.began_at = self.now
        self.orders: list[Order] = []
        self._copies: list[tuple[Any, ...]] = []
        self._pending_faults = list(faults)
        self.daemons = [self._daemon(number) for number in range(count)]
        self._announced: list[Ownership] = []

    def run(self, end_s: float) -> None:
        """Run to the end of a history."""
        with mock.patch('pimentohoist._clock.now', lambda: self.now):
            for tick in range(round(end_s / TICK_S)):
                self.now = self.began_at + tick * TICK_S
                self._end_due_faults()
                if not tick % _HEARTBEAT_TICKS:
                    self._announced = [daemon.own for daemon in self.daemons]
                for number, daemon in enumerate(self.daemons):
                    self._join(daemon, number, tick)
                    self._order(daemon)
                self._keep_copy()

    def is_cut(self, daemon: int) -> bool:
        """Return whether a daemon's calls to the store get no answer."""
        elapsed_s = self.now - self.began_at
        return any(fault.is_cut(daemon, elapsed_s) for fault in self.faults)

    def shared_fences(self) -> set[int]:
        """Return the fencing numbers that two daemons' accepted orders named."""
        holders: dict[int, str] = {}
        return {
            order.fence
            for order in self.orders
            if holders.setdefault(order.fence, order.holder) != order.holder
        }

    def quick_returns(self) -> list[Order]:
        """Return orders of holders that took turns with another one within a lease."""
        last_at: dict[str, float] = {}
        last_holder = ''
        returns = []
        for order in self.orders:
            is_turn = order.holder != last_holder
            if is_turn and order.at - last_at.get(order.holder, 0) < LEASE_S:
                returns.append(order)
            last_holder = order.holder
            last_at[order.holder] = order.at
        return returns

    def _daemon(self, number: int) -> OwnershipController:
        settings: Any = SimpleNamespace(
            control_address=f'daemon-{number}',
            partitions=PARTITIONS,
            engines_check_fences=self.are_fences_checked,
            bounds=SimpleNamespace(lease_s=LEASE_S),
        )
        members: Any = SimpleNamespace(
            on_heartbeat=[],
            send_now=lambda: None,
            live=lambda: self._heartbeats(number),
        )
        store = Store('127.0.0.1:1')
        client: Any = _GroupClient(self, number)
        store.client = client
        return OwnershipController(settings, store, members)

    def _heartbeats(self, receiver: int) -> list[Any]:
        return [
            SimpleNamespace(ownership=lambda own=own: own)
            for number, own in enumerate(self._announced)
            if number != receiver
        ]

    def _join(self, daemon: OwnershipController, number: int, tick: int) -> None:
        newest = max(own.generation for own in self._announced)
        is_prompted = newest > daemon.own.generation and not tick % _HEARTBEAT_TICKS
        if is_prompted or tick % _JOIN_TICKS == number % _JOIN_TICKS:
            try:
                daemon.join()
            except PeerTimeoutError:
                return

    def _order(self, daemon: OwnershipController) -> None:
        if not daemon.may_order(_ENGINE):
            return
        daemon.record_order(_ENGINE)
        fence = daemon.own.generation
        newest = max((order.fence for order in self.orders), default=0)
        if fence >= newest or not self.are_fences_checked:
            self.orders.append(Order(self.now, daemon.own.member, fence))

    def _keep_copy(self) -> None:
        group = self.group
        copy = (group.generation, tuple(group.members), tuple(group.holders.items()))
        self._copies = [*self._copies, copy][-_COPIES_KEPT:]

    def _end_due_faults(self) -> None:
        elapsed_s = self.now - self.began_at
        for fault in tuple(self._pending_faults):
            if elapsed_s >= fault.start_s + fault.duration_s:
                self._pending_faults.remove(fault)
                self._end(fault)

    def _end(self, fault: OwnerFault) -> None:
        if fault.kind == 'restore':
            self._restore(fault.age_s)
        if fault.kind == 'rebalance':
            self.group.generation += 1
            self.group.members.append(self.group.members.pop(0))

    def _restore(self, age_s: float) -> None:
        age = min(len(self._copies), max(1, round(age_s / TICK_S)))
        generation, members, holders = self._copies[-age]
        self.group.generation = generation
        self.group.members = list(members)
        self.group.holders = dict(holders)
        self.era += 1
