"""A fleet of heartbeat senders in virtual time, without a network."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import Any
from unittest import mock

from pimentohoist._entry.heartbeat import Heartbeat
from pimentohoist._entry.heartbeat_sender import HEARTBEAT_INTERVAL_S
from pimentohoist._entry.members import MembersController

_MAX_DELAY_S = 0.03
_STEP_S = 0.05
_STEPS_PER_ROUND = round(HEARTBEAT_INTERVAL_S / _STEP_S)


@dataclass
class Network:
    """Delivers datagrams late, loses some, and none across a cut.

    Attributes
    ----------
    cut : set of tuple
        Pairs of a sender and a receiver that don't reach one another, that way.
    """

    loss: float = 0
    cut: set[tuple[str, str]] = field(default_factory=set)
    sent: Counter[str] = field(default_factory=Counter)
    sent_bytes: Counter[str] = field(default_factory=Counter)
    queue: list[tuple[float, str, bytes]] = field(default_factory=list)


class Datagrams:
    """The socket of one daemon."""

    def __init__(self, world: RelayWorld, own: str) -> None:
        self.world = world
        self.own = own

    def send(self, data: bytes, address: str) -> None:
        """Queue a datagram."""
        network, chance = self.world.network, self.world.chance
        network.sent[self.own] += 1
        network.sent_bytes[self.own] += len(data)
        if chance.random() >= network.loss and (self.own, address) not in network.cut:
            arrives_at = self.world.now + chance.uniform(0, _MAX_DELAY_S)
            network.queue.append((arrives_at, address, data))


class RelayWorld:
    """Daemons over several failure domains, some of which may be dead or frozen."""

    def __init__(self, daemons: int, domains: int, seed: int) -> None:
        self.chance = random.Random(seed)
        self.now = 1000.0
        self.network = Network()
        self.members: dict[str, MembersController] = {}
        self.dead: set[str] = set()
        self.frozen: set[str] = set()
        self.steps = 0
        for number in range(daemons):
            self.add(f'10.0.{number // 200}.{number % 200 + 1}:8002', number % domains)

    def add(self, address: str, domain: int, link_mbps: float = 0) -> None:
        """Start a daemon that knows the addresses of those before it."""
        host = address.partition(':')[0]
        settings: Any = SimpleNamespace(
            name=address,
            control_address=address,
            failure_domain=f'domain-{domain}',
            host=host,
            peer_port=0,
            seeds=tuple(self.members)[:3],
            link_mbps=link_mbps,
        )
        store: Any = mock.MagicMock()
        members = MembersController(settings, store, lambda: _heartbeat(settings))
        datagrams: Any = Datagrams(self, address)
        members.sender.datagrams.close()
        members.sender.datagrams = datagrams
        self._list(members)
        self.members[address] = members

    def live_members(self) -> list[str]:
        """Return the daemons that run and can be heard."""
        return [name for name in self.members if name not in self.dead | self.frozen]

    def run(self, seconds: float) -> None:
        """Let the daemons send and receive for a time."""
        with mock.patch('pimentohoist._clock.now', lambda: self.now):
            with mock.patch('random.sample', self.chance.sample):
                for _ in range(round(seconds / _STEP_S)):
                    self._step()

    def missing(self) -> dict[str, set[str]]:
        """Return, by daemon, the running ones that it doesn't take as live."""
        running = set(self.live_members())
        return self._differences(lambda live: running - live)

    def wrongly_live(self) -> dict[str, set[str]]:
        """Return, by daemon, the dead ones that it takes as live."""
        return self._differences(lambda live: live & self.dead)

    def relays(self) -> set[str]:
        """Return the daemons that are relays in the view of any of them."""
        with mock.patch('pimentohoist._clock.now', lambda: self.now):
            routes = [
                self.members[name].sender.routes() for name in self.live_members()
            ]
        return {name for route in routes for name in route.own_relays}

    def _differences(self, difference: Any) -> dict[str, set[str]]:
        with mock.patch('pimentohoist._clock.now', lambda: self.now):
            found = {
                name: difference({beat.member for beat in self.members[name].live()})
                - {name}
                for name in self.live_members()
            }
        return {name: names for name, names in found.items() if names}

    def _list(self, members: MembersController) -> None:
        """Write a daemon into the list in the store; all have read it by now."""
        own = members.settings
        for other in self.members.values():
            other.member_list.confirmed_at[members.member] = self.now
            other.member_list.domains[members.member] = own.failure_domain
            members.member_list.confirmed_at[other.member] = self.now
            members.member_list.domains[other.member] = other.settings.failure_domain
            other.member_list.link_mbps[members.member] = own.link_mbps
            members.member_list.link_mbps[other.member] = other.settings.link_mbps

    def _step(self) -> None:
        self.now += _STEP_S
        self.steps += 1
        due = [entry for entry in self.network.queue if entry[0] <= self.now]
        later = [entry for entry in self.network.queue if entry[0] > self.now]
        self.network.queue = later
        # Datagrams to a frozen daemon wait in its socket.
        waiting = [entry for entry in due if entry[1] in self.frozen]
        self.network.queue.extend(waiting)
        for _, address, data in due:
            if address not in self.dead | self.frozen:
                self.members[address]._handle_datagram(data)
        for number, name in enumerate(self.live_members()):
            if (self.steps + number) % _STEPS_PER_ROUND == 0:
                self.members[name].sender._send_due()


def _heartbeat(settings: Any) -> Heartbeat:
    return Heartbeat(
        settings.control_address,
        f'incarnation-{settings.control_address}',
        settings.failure_domain,
        settings.control_address,
        is_ready=True,
        version=1,
        adapter_versions=0,
        generation=0,
        in_flight={'i-0123456789': {'model/a17': 2}, 'i-1123456789': {'': 1}},
        admitted_tokens={'workspace-1': 12345.0, 'workspace-2': 77.0},
        link_mbps=settings.link_mbps,
    )
