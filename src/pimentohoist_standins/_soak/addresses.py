"""Loopback addresses of the soak's processes and of the proxies between them."""

from __future__ import annotations

from dataclasses import dataclass

CALLERS_PORT = 8000
READY_PORT = 8001
CONTROL_PORT = 8002
DIRECTORY_PORT = 8003
SERVICE_PORT = 9000
"""Port of the store, of endpoints, and of proxies before them."""

MAX_SLOTS = 150
"""Most addresses of daemons in one run, those of daemons that moved included."""

_LINK_NETWORK = 100


@dataclass(frozen=True, slots=True)
class Network:
    """Addresses under ``127.N``; each address of a daemon has a number, its slot.

    Attributes
    ----------
    prefix : str
        The first two parts of all addresses.
    """

    prefix: str

    @property
    def store(self) -> str:
        """Return the host of the store."""
        return f'{self.prefix}.5.1'

    @property
    def endpoint_hosts(self) -> str:
        """Return the first three parts of endpoints' hosts, with a dot."""
        return f'{self.prefix}.4.'

    def daemon(self, slot: int) -> str:
        """Return the host of a daemon."""
        return f'{self.prefix}.1.{slot}'

    def callers_link(self, slot: int) -> str:
        """Return the host of the proxy between callers and a daemon."""
        return f'{self.prefix}.2.{slot}'

    def store_link(self, slot: int) -> str:
        """Return the host of the proxy between a daemon and the store."""
        return f'{self.prefix}.3.{slot}'

    def endpoint(self, number: int) -> str:
        """Return the host of an endpoint."""
        return f'{self.endpoint_hosts}{number}'

    def endpoint_links(self, slot: int) -> str:
        """Return what replaces `endpoint_hosts` for a daemon's proxies to endpoints."""
        return f'{self.prefix}.{_LINK_NETWORK + slot}.'

    def endpoint_link(self, slot: int, number: int) -> str:
        """Return the host of the proxy between a daemon and an endpoint."""
        return f'{self.endpoint_links(slot)}{number}'


def slot_of(host: str) -> int:
    """Return the number of a daemon's address."""
    return int(host.rpartition('.')[2])
