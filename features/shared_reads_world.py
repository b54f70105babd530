"""A large fleet that follows the endpoints' records, in virtual time without a network.

The daemons run the package's `MembersController` and `EndpointsController`; the store, the
datagrams and the endpoints are test doubles. Each endpoint writes its record each 1.2 s.
"""

from __future__ import annotations

import json
import logging
from collections import Counter
from dataclasses import dataclass, field, replace
from typing import Any
from unittest import mock

from relay_world import RelayWorld

from pimentohoist._entry.endpoints import EndpointsController
from pimentohoist.exceptions import PeerRefusedError, PeerTimeoutError
from pimentohoist.platform import (
    EraChangedError,
    EraTracker,
    KeyedRecord,
    ReadPosition,
    RecordsExpiredError,
)

GROUP = 'models'
_WRITE_S = 1.2
_LAPSE_S = 3 * _WRITE_S
_HISTORY_S = 20.0
_READ_TIMEOUT_S = 1.5
_JOIN_S = 0.02


@dataclass
class StoreLog:
    """The topic of the endpoints' records.

    Attributes
    ----------
    refused, silent : set of str
        Daemons that the store turns away, or doesn't answer.
    calls, refusals : Counter of str
        Calls by daemon.
    """

    world: EndpointWorld
    is_down: bool = False
    era: int = 1
    refused: set[str] = field(default_factory=set)
    silent: set[str] = field(default_factory=set)
    calls: Counter[str] = field(default_factory=Counter)
    refusals: Counter[str] = field(default_factory=Counter)
    rows: list[tuple[float, str, bytes | None]] = field(default_factory=list)

    def put(self, key: str, body: bytes | None) -> None:
        self.rows.append((self.world.now, key, body))

    def newest(self) -> dict[str, bytes]:
        newest = {key: body for _, key, body in self.rows}
        return {key: body for key, body in newest.items() if body is not None}


class StoreClient:
    """One daemon's client of the store."""

    def __init__(self, log: StoreLog, member: str) -> None:
        self.log = log
        self.member = member
        self.era = EraTracker()

    def read_newest(self, topic: str) -> tuple[list[KeyedRecord], ReadPosition]:
        self._call()
        records = [KeyedRecord(*row) for row in self.log.newest().items()]
        return records, ReadPosition(len(self.log.rows), self.log.era)

    def read_changes(
        self, topic: str, position: ReadPosition, *, wait_s: float
    ) -> tuple[list[KeyedRecord], ReadPosition]:
        self._call()
        if position.era != self.log.era:
            raise EraChangedError('another era', step='store')
        rows = self.log.rows[position.offset :]
        if rows and rows[0][0] < self.log.world.now - _HISTORY_S:
            raise RecordsExpiredError('expired', step='store')
        records = [KeyedRecord(key, body) for _, key, body in rows]
        return records, ReadPosition(len(self.log.rows), self.log.era)

    def _call(self) -> None:
        log = self.log
        log.calls[self.member] += 1
        if log.is_down or self.member in log.refused:
            log.refusals[self.member] += 1
            raise PeerRefusedError(
                'turned away', step='store', peer='store', peer_status=503
            )
        if self.member in log.silent:
            log.world.checks_at[self.member] = log.world.now + _READ_TIMEOUT_S
            raise PeerTimeoutError('no answer', step='store', peer='store')
        self.era.record_answer({'Store-Era': str(log.era)})


class EndpointWorld(RelayWorld):
    """Daemons that follow endpoints.

    Attributes
    ----------
    endpoints : dict of str to dict
        Documents that the endpoints write, by their ids.
    starts_at : dict of str to float
        When each daemon that doesn't run yet starts.
    checks_at : dict of str to float
        When each daemon's follower next decides whether to read.
    """

    def __init__(self, daemons: int, domains: int, endpoints: int, seed: int) -> None:
        logging.getLogger('pimentohoist').setLevel(logging.CRITICAL)
        self.log = StoreLog(self)
        self.controllers: dict[str, EndpointsController] = {}
        self.checks_at: dict[str, float] = {}
        self.starts_at: dict[str, float] = {}
        self._sends_at: dict[str, float] = {}
        self._incarnations = 0
        self._written_at: dict[str, float] = {}
        self.endpoints: dict[str, dict[str, Any]] = {}
        super().__init__(daemons, domains, seed)
        for number in range(endpoints):
            self.add_endpoint(f'i-{number:010d}', number + 1)

    def add(self, address: str, domain: int) -> None:
        super().add(address, domain)
        members = self.members[address]
        client: Any = StoreClient(self.log, address)
        members.store = client
        controller = EndpointsController(client, members)
        self.controllers[address] = controller
        self._incarnations += 1
        base = members.sender.make_heartbeat()
        incarnation = f'incarnation-{self._incarnations}'

        def heartbeat() -> Any:
            return replace(
                base,
                incarnation=incarnation,
                store_era=client.era.current,
                draining_endpoints=controller.notices.announced(),
                endpoint_reads=controller.follower.announced(),
            )

        members.sender.make_heartbeat = heartbeat
        members.send_soon = lambda: self._sends_at.setdefault(  # type: ignore[method-assign]
            address, self.now + _JOIN_S
        )
        self.checks_at[address] = self.now

    def add_endpoint(self, endpoint_id: str, number: int, started_ms: int = 1) -> None:
        self.endpoints[endpoint_id] = {
            'service': GROUP,
            'address': f'10.9.0.{number}:9000',
            'zone': 'a',
            'version': 'v1',
            'slots': 48,
            'state': 'ready',
            'born': started_ms,
            'models': [
                {'name': 'm1', 'adapters': [f'a{slot}@1' for slot in range(14)]}
            ],
        }
        self.write(endpoint_id)

    def write(self, endpoint_id: str) -> None:
        """Write an endpoint's record, with a sequence that rises."""
        document = {**self.endpoints[endpoint_id], 'seq': len(self.log.rows)}
        self._written_at[endpoint_id] = self.now
        self.log.put(endpoint_id, json.dumps(document).encode())

    def start_all(self, within_s: float) -> None:
        """End all daemons and start them without what they knew."""
        for number, address in enumerate(tuple(self.members)):
            self.dead.add(address)
            self.starts_at[address] = self.now + self.chance.uniform(0, within_s)

    def run(self, seconds: float) -> None:
        with mock.patch('random.random', self.chance.random):
            super().run(seconds)

    def usable(self, address: str) -> set[str]:
        """Return the endpoints that a daemon would send requests to."""
        with mock.patch('pimentohoist._clock.now', lambda: self.now):
            usable = self.controllers[address].usable(GROUP)
        return {endpoint.incarnation for endpoint in usable}

    def readers(self) -> list[str]:
        """Return the daemons that read for others now."""
        return [
            name
            for name in self.live_members()
            if not self.controllers[name].follower.turn.rank
        ]

    def _step(self) -> None:
        self._start_due()
        self._write_due()
        super()._step()
        for name in self.live_members():
            if self.now >= self._sends_at.get(name, self.now + 1):
                del self._sends_at[name]
                self.members[name].sender.send_now()
            if self.now >= self.checks_at[name]:
                pause_s = self.controllers[name].follower.follow()
                self.checks_at[name] = max(self.checks_at[name], self.now + pause_s)

    def _start_due(self) -> None:
        for address, at in tuple(self.starts_at.items()):
            if self.now >= at:
                del self.starts_at[address]
                domain = self.members[address].settings.failure_domain
                self.dead.discard(address)
                self.add(address, int(domain.rpartition('-')[2]))

    def _write_due(self) -> None:
        """Let the endpoints write, and records lapse, while the store is there."""
        if self.log.is_down:
            return
        listed = self.log.newest()
        for endpoint_id, at in tuple(self._written_at.items()):
            if endpoint_id in listed and self.now - at > _LAPSE_S:
                self.log.put(endpoint_id, None)
            if endpoint_id in self.endpoints and self.now - at >= _WRITE_S:
                self.write(endpoint_id)
