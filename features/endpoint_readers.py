"""Daemons as far as they read the records of endpoints, without requests."""

from __future__ import annotations

import json
import threading
from contextlib import ExitStack
from itertools import permutations
from types import SimpleNamespace
from typing import Any, Self

import former_landing

from pimentohoist._entry.endpoints import EndpointsController
from pimentohoist._entry.heartbeat import (
    Heartbeat,
    decode_heartbeat,
    encode_heartbeat,
)
from pimentohoist.exceptions import PeerError
from pimentohoist.platform import KeyedRecord, ReadPosition, Store
from pimentohoist_standins.keyed_store import KeyedStore

GROUP = 'models'
_HEARTBEAT_S = 0.1
_TOPIC = 'keyed.servers'


class GatedStore(Store):
    """The store as one daemon reaches it; it can turn the daemon away."""

    is_closed = False

    def read_changes(
        self, topic: str, position: ReadPosition, *, wait_s: float
    ) -> tuple[list[KeyedRecord], ReadPosition]:
        """Return the records from a position on, unless the gate is closed."""
        if self.is_closed:
            raise PeerError('turned away', step='store', peer=self.client.address)
        return super().read_changes(topic, position, wait_s=wait_s)


class EndpointReader:
    """One daemon's view of the endpoints."""

    def __init__(self, name: str, store_address: str) -> None:
        self.name = name
        self.store = GatedStore(store_address)
        self.members: Any = SimpleNamespace(
            on_heartbeat=[],
            live=list,
            member=name,
            settings=SimpleNamespace(failure_domain='z'),
        )
        self.endpoints = EndpointsController(self.store, self.members)

    def uses(self, endpoint_id: str) -> bool:
        """Return whether requests would be sent to an endpoint."""
        usable = self.endpoints.usable(GROUP)
        return endpoint_id in {endpoint.endpoint_id for endpoint in usable}

    def heartbeat(self) -> list[Any]:
        """Return the values of a heartbeat."""
        fields = encode_heartbeat(Heartbeat(*former_landing.heartbeat_values()))
        notices = self.endpoints.notices
        own = {
            'member': self.name,
            'draining_endpoints': notices.announced(),
            'endpoint_changes': notices.announced_changes(),
        }
        for name, field in own.items():
            fields[Heartbeat.__slots__.index(name)] = field
        return fields

    def hear(self, fields: list[Any]) -> None:
        """Receive a heartbeat as a datagram carries it."""
        heartbeat = decode_heartbeat(json.loads(json.dumps(fields)))
        for listener in self.members.on_heartbeat:
            listener(heartbeat, None)


class EndpointReaders:
    """A store, and daemons that exchange heartbeats until the context ends.

    The store has a copy from before any records.
    """

    def __init__(self, daemons: int) -> None:
        self.stack = ExitStack()
        self.store = KeyedStore(('127.0.0.1', 0))
        self.readers = [
            EndpointReader(f'daemon-{number}', self.store.address)
            for number in range(daemons)
        ]
        self._closed = threading.Event()

    def __enter__(self) -> Self:
        """Start reading and exchanging heartbeats."""
        self.stack.enter_context(self.store)
        self.store.era = 1
        self.store.save_copy()
        for reader in self.readers:
            self.stack.enter_context(reader.endpoints)
        exchange = threading.Thread(target=self._exchange, daemon=True)
        exchange.start()
        self.stack.callback(exchange.join)
        self.stack.callback(self._closed.set)
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Stop all of it."""
        self.stack.close()

    def write(self, endpoint_id: str, *, started_ms: int = 1, **changes: Any) -> None:
        """Write the record of an endpoint."""
        record = {
            **{'service': GROUP, 'address': '127.0.0.9:9000', 'zone': 'z', 'slots': 4},
            **{'state': 'ready', 'born': started_ms, 'seq': 0, 'version': 'v1'},
            **changes,
        }
        self.store.put(_TOPIC, endpoint_id, record)

    def remove(self, endpoint_id: str) -> None:
        """Remove the record of an endpoint."""
        self.store.put(_TOPIC, endpoint_id, None)

    def users_of(self, endpoint_id: str) -> list[str]:
        """Return the daemons that would send requests to an endpoint."""
        return [reader.name for reader in self.readers if reader.uses(endpoint_id)]

    def _exchange(self) -> None:
        while not self._closed.wait(_HEARTBEAT_S):
            sent = [reader.heartbeat() for reader in self.readers]
            for sender, receiver in permutations(range(len(sent)), 2):
                self.readers[receiver].hear(sent[sender])
