"""A fleet whose links between daemons and endpoints can be cut, and its callers."""

from __future__ import annotations

import http.client
import itertools
import threading
import time
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Self

from entry_fleet import EntryFleet, EntryProcess

from pimentohoist_standins._soak.proxy_role import ProxyRole
from pimentohoist_standins.keyed_store import KeyedStore
from pimentohoist_standins.opaque_engine import OpaqueEngine

CONTACT_S = 3.0
"""The stated time until daemons have to have reacted to an event."""

_SERVICE_PORT = 9000
_LINK_PORT = 9100
_ADAPTERS = 6
_CALLERS_PER_DAEMON = 3
_PAUSE_S = 0.03
_PATHS = ('/models/x', '/resumed/x', '/pay/x', '/look/x')
_FIRST_HOST = 100


class LinkedStore(KeyedStore):
    """Shows each daemon the addresses of its own links to the endpoints."""

    def view(self, topic: str, body: bytes, client_host: str) -> bytes:
        """Replace the port of the endpoints by that of the daemon's links."""
        number = int(client_host.rpartition('.')[2])
        if topic != 'keyed.servers' or number < _FIRST_HOST:
            return body
        port = _LINK_PORT + number - _FIRST_HOST
        return body.replace(f':{_SERVICE_PORT}"'.encode(), f':{port}"'.encode())


class LinkedFleet(EntryFleet):
    """Puts a proxy on each link from a daemon to the store and to an endpoint."""

    def __init__(self) -> None:
        super().__init__()
        self.links = ProxyRole()
        self.names: dict[str, list[str]] = {}

    def __enter__(self) -> Self:
        self.stack.enter_context(self.links)
        super().__enter__()
        return self

    def new_store(self) -> KeyedStore:
        return LinkedStore((f'{self.network}.1', _SERVICE_PORT))

    def store_address(self, host: str) -> str:
        """Open the links of a daemon; return the address of its link to the store."""
        port = _LINK_PORT + int(host.rpartition('.')[2]) - _FIRST_HOST
        endpoints = {self.ledger.engine_id: self.ledger}
        endpoints.update((engine.engine_id, engine) for engine in self.engines)
        hosts = {
            f'{host}>{name}': endpoint.address.partition(':')[0]
            for name, endpoint in endpoints.items()
        }
        self.names[host] = list(hosts)
        store = f'{self.network}.1'
        links = {
            name: [target, port, target, _SERVICE_PORT, host]
            for name, target in hosts.items()
        }
        links[f'{host}>store'] = [store, port, store, _SERVICE_PORT, host]
        self.links.open_links(links)
        return f'{store}:{port}'

    def cut(self, daemons: Iterable[EntryProcess], form: str) -> None:
        """Cut the links from daemons to all endpoints."""
        names = [name for daemon in daemons for name in self.names[daemon.host]]
        self.links.cut(names, form)

    def mend(self, daemons: Iterable[EntryProcess]) -> None:
        """End the cut of daemons' links."""
        names = [name for daemon in daemons for name in self.names[daemon.host]]
        self.links.mend(names)

    def owner_of(self, engine: OpaqueEngine) -> EntryProcess:
        """Return the daemon that owns an engine."""
        return next(
            daemon
            for daemon in self.daemons
            if engine.engine_id in daemon.state()['places']
        )


@dataclass(frozen=True)
class LinkedCall:
    """A caller's request, without a second attempt."""

    request_id: str
    daemon: int
    path: str
    sent_at: float
    took_s: float
    status: int
    retry_after: str
    body: bytes


@dataclass
class SteadyCallers:
    """Callers that each send one request after another to one daemon.

    Attributes
    ----------
    is_same_body : bool
        Whether all requests of a kind are the same but for their ids.
    adapters : int
        Number of adapters that they name.
    """

    fleet: EntryFleet
    is_same_body: bool = False
    adapters: int = _ADAPTERS
    calls: list[LinkedCall] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.closed = threading.Event()
        self.numbers = itertools.count()
        self.threads = [
            threading.Thread(target=self.send_calls, args=(daemon,), daemon=True)
            for daemon in range(len(self.fleet.daemons))
            for _ in range(_CALLERS_PER_DAEMON)
        ]

    def __enter__(self) -> Self:
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.closed.set()
        for thread in self.threads:
            thread.join()

    def between(self, began_at: float, ended_at: float) -> list[LinkedCall]:
        """Return the calls that were sent in a span of time."""
        return [call for call in self.calls if began_at <= call.sent_at < ended_at]

    def send_calls(self, daemon: int) -> None:
        while not self.closed.wait(_PAUSE_S):
            self.send(daemon, next(self.numbers))

    def send(self, daemon: int, number: int) -> None:
        """Send a request; status 0 stands for one that got no whole answer."""
        path = _PATHS[number % len(_PATHS)]
        request_id = f'steady-{number}'
        sent_at = time.monotonic()
        status, retry_after, body = 0, '', b''
        try:
            response = self.fleet.send_request(
                path,
                adapter=f'a{number % self.adapters}',
                daemon=daemon,
                body=b'same' if self.is_same_body else f'{number}'.encode(),
                Pimentohoist_Attempt_Id=request_id,
            )
        except (OSError, http.client.HTTPException):
            status = 0
        else:
            status, body = response.status, response.body
            retry_after = response.headers.get('Retry-After', '')
        took_s = time.monotonic() - sent_at
        self.calls.append(
            LinkedCall(
                request_id, daemon, path, sent_at, took_s, status, retry_after, body
            )
        )
