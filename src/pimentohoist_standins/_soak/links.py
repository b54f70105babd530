"""Proxies on all links of the soak, in two processes."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from pimentohoist_standins._soak.addresses import (
    CALLERS_PORT,
    MAX_SLOTS,
    SERVICE_PORT,
    Network,
)
from pimentohoist_standins._soak.errors import SoakError
from pimentohoist_standins._soak.role_process import RoleProcess


class Links:
    """Opens the links of daemons' addresses and sets faults on them by name.

    The names are ``callers>HOST``, ``HOST>store`` and ``HOST>N`` with the daemon's host and
    the endpoint's index.
    """

    def __init__(self, network: Network, folder: Path, endpoints: int) -> None:
        self.network = network
        self.endpoints = endpoints
        self.callers = RoleProcess('proxy', folder / 'proxy-callers.log')
        self.engines = RoleProcess('proxy', folder / 'proxy-engines.log')

    @property
    def processes(self) -> tuple[RoleProcess, ...]:
        """Return the proxies' processes."""
        return self.callers, self.engines

    def open(self, slot: int) -> None:
        """Open all links of a daemon's address."""
        if slot > MAX_SLOTS:
            raise SoakError(f'the plan needs more than {MAX_SLOTS} addresses')
        network, host = self.network, self.network.daemon(slot)
        callers, store = network.callers_link(slot), network.store_link(slot)
        links = {
            f'callers>{host}': (callers, CALLERS_PORT, host, CALLERS_PORT, ''),
            f'{host}>store': (store, SERVICE_PORT, network.store, SERVICE_PORT, host),
        }
        engine_links = {
            f'{host}>{index}': (
                network.endpoint_link(slot, index + 1),
                SERVICE_PORT,
                network.endpoint(index + 1),
                SERVICE_PORT,
                host,
            )
            for index in range(self.endpoints)
        }
        self.callers.call('open_links', links=links)
        self.engines.call('open_links', links=engine_links)

    def configure(self, name: str, **faults: Any) -> None:
        """Set faults of a link."""
        self._process(name).call('configure', names=[name], **faults)

    def cut_endpoints(self, host: str, form: str) -> None:
        """Cut a daemon's links to all endpoints, all at the same moment."""
        self.engines.call('cut', names=self._endpoint_links(host), form=form)

    def mend_endpoints(self, host: str) -> None:
        """End the cut of a daemon's links to endpoints."""
        self.engines.call('mend', names=self._endpoint_links(host))

    def reset(self, name: str) -> None:
        """Reset the connections of a link."""
        self._process(name).call('reset', names=[name])

    def _process(self, name: str) -> RoleProcess:
        return (
            self.engines
            if name[-1].isdecimal() and name[0].isdecimal()
            else self.callers
        )

    def _endpoint_links(self, host: str) -> list[str]:
        return [f'{host}>{index}' for index in range(self.endpoints)]
