"""Processes of the soak's engines and services, and their entries in the store."""

from __future__ import annotations

import threading
import time
from contextlib import ExitStack
from itertools import chain, repeat
from pathlib import Path
from typing import Self

from pimentohoist_standins._soak.addresses import SERVICE_PORT, Network
from pimentohoist_standins._soak.caller_requests import MODEL
from pimentohoist_standins._soak.errors import SoakError
from pimentohoist_standins._soak.operator import ENGINE_GROUP, SERVICE_GROUP
from pimentohoist_standins._soak.role_process import RoleProcess

_TOPIC = 'keyed.servers'
_VERSIONS = 2


class EndpointProcess:
    """One endpoint, whose processes follow each other at the same address."""

    def __init__(self, number: int, group: str, fleet: EndpointFleet) -> None:
        self.number = number
        self.group = group
        self.fleet = fleet
        self.incarnations = 0
        self.releases = 0
        self._lock = threading.Lock()
        self.start()

    @property
    def endpoint_id(self) -> str:
        """Return the id of the current incarnation."""
        return f'{self.group}-{self.number}.{self.incarnations}'

    def start(self) -> None:
        """Start a new incarnation."""
        self.incarnations += 1
        self.process = self.fleet.new_process(self)

    def announce(self, state: str = 'ready') -> None:
        """Write the endpoint's entry to the store."""
        document = self.process.call('document', state=state)
        self.fleet.set_entry(self.endpoint_id, document)

    def software_version(self) -> str:
        """Return the version of the current incarnation."""
        release = f'.{self.releases}' if self.releases else ''
        return f'v{self.number % _VERSIONS}{release}'

    def replace(self, down_s: float, *, is_release: bool = False) -> str:
        """End the process and start another one after a time; return the ended one's id.

        In a release that one has newer software.
        """
        with self._lock:
            self.process.kill()
            self.releases += is_release
            ended_id = self.endpoint_id
            time.sleep(down_s)
            self.fleet.set_entry(ended_id, None)
            self.start()
            self.process.wait_ready()
            self.announce()
        return ended_id


class EndpointFleet:
    """Context manager that owns all processes of endpoints.

    Attributes
    ----------
    entries : dict of str to dict or None
        What the store should hold for each endpoint; None for those that ended.
    """

    def __init__(self, network: Network, folder: Path, store: RoleProcess) -> None:
        self.network = network
        self.folder = folder
        self.store = store
        self.stack = ExitStack()
        self.endpoints: list[EndpointProcess] = []
        self.processes: list[RoleProcess] = []
        self.entries: dict[str, dict[str, object] | None] = {}
        self.is_closing = False
        self._lock = threading.Lock()

    def __enter__(self) -> Self:
        """Return the fleet; `start` starts the endpoints."""
        return self

    def __exit__(self, *exc_info: object) -> None:
        """End all processes."""
        with self._lock:
            self.is_closing = True
        self.stack.close()

    def start(self, engines: int, services: int) -> None:
        """Start engines and, after them, plain services."""
        groups = chain(repeat(ENGINE_GROUP, engines), repeat(SERVICE_GROUP, services))
        self.endpoints = [
            EndpointProcess(number, group, self)
            for number, group in enumerate(groups, start=1)
        ]

    def announce(self) -> None:
        """Wait for all endpoints and write their entries."""
        for endpoint in self.endpoints:
            endpoint.process.wait_ready()
            endpoint.announce()

    def announce_again(self) -> None:
        """Write all entries again, after the store lost some."""
        self.store.call('put_documents', topic=_TOPIC, documents=dict(self.entries))

    def set_entry(self, endpoint_id: str, document: dict[str, object] | None) -> None:
        """Write one entry."""
        self.entries[endpoint_id] = document
        self.store.call(
            'put_documents', topic=_TOPIC, documents={endpoint_id: document}
        )

    def new_process(self, endpoint: EndpointProcess) -> RoleProcess:
        """Start a process of an endpoint."""
        name = endpoint.endpoint_id
        process = RoleProcess(
            'endpoint',
            self.folder / f'{name}.log',
            address=[self.network.endpoint(endpoint.number), SERVICE_PORT],
            endpoint_id=name,
            group=endpoint.group,
            model=MODEL if endpoint.group == ENGINE_GROUP else '',
            version=endpoint.software_version(),
            path=str(self.folder / f'{name}.records'),
        )
        with self._lock:
            if self.is_closing:
                raise SoakError('the soak is closing')
            self.stack.enter_context(process)
            self.processes.append(process)
        return process
