"""Daemons whose network can be partitioned, for tests of lost connections.

Each process runs the real daemon, but its clients of the log and of other daemons
receive a list of unreachable hosts over HTTP. Calls to these hosts get no response and
time out.
To separate two daemons, each must list the other's host.
"""

from __future__ import annotations

import time
from collections.abc import Iterable, Sequence
from http import HTTPStatus
from typing import Any

import fire
from werkzeug.wrappers import Request, Response

from pimentohoist._addresses import split_address
from pimentohoist._http_client import HttpClient
from pimentohoist._http_connection import HttpRequest
from pimentohoist._http_server import HttpServer
from pimentohoist._peers import PeerClients
from pimentohoist._platform_clients.log import HttpLog
from pimentohoist.daemon import Daemon, read_checked_settings, run_until_stopped
from pimentohoist.exceptions import AppendUnknownError, LogError, PeerTimeoutError
from pimentohoist.models import LogPage
from pimentohoist_standins.faults import StandIn
from pimentohoist_standins.fleet import Fleet

_STEP = 'partition'
_CONTROL_THREADS = 4
_CONTROL_PORT = 9000
_CONTROL_TIMEOUT_S = 5.0


class NetworkCuts(StandIn):
    """Hosts that a daemon can't reach, set through ``/control``.

    Attributes
    ----------
    unreachable : list of str
        IP addresses.
    """

    controls = ('unreachable',)

    def __init__(self) -> None:
        super().__init__()
        self.unreachable: list[str] = []

    def answer(self, request: Request) -> Response:
        """Refuse all paths but ``/control``, ``/seen`` and ``/state``."""
        return Response('only /control is served', HTTPStatus.NOT_FOUND)

    def is_cut(self, address: str) -> bool:
        """Return whether the host of an ``ip:port`` is unreachable."""
        return split_address(address)[0] in self.unreachable


class PartitionablePeers(PeerClients):
    """Clients of other daemons over a network that can be partitioned."""

    def __init__(self, network: NetworkCuts) -> None:
        super().__init__()
        self.network = network

    def call(self, address: str, method: str, request: Any, *, timeout_s: float) -> Any:
        """Call a method; time out if the host is unreachable."""
        if self.network.is_cut(address):
            time.sleep(timeout_s)
            raise PeerTimeoutError(
                f'{method}: network cut to {address}', step=_STEP, peer=address
            )
        return super().call(address, method, request, timeout_s=timeout_s)


class PartitionableLog(HttpLog):
    """Client of the log over a network that can be partitioned."""

    def __init__(self, network: NetworkCuts, address: str, *, timeout_s: float) -> None:
        super().__init__(address, timeout_s=timeout_s)
        self.network = network

    def append(self, stream: str, bodies: Sequence[bytes]) -> int:
        """Append records; time out with an unknown outcome if the log is cut off."""
        if self.network.is_cut(self.client.address):
            time.sleep(self.client.timeout_s)
            raise AppendUnknownError('cut off', step=_STEP, peer=self.client.address)
        return super().append(stream, bodies)

    def read(self, stream: str, offset: int, *, wait_s: float) -> LogPage:
        """Read records; time out if the log is cut off."""
        if self.network.is_cut(self.client.address):
            time.sleep(self.client.timeout_s)
            raise LogError('cut off', step=_STEP, peer=self.client.address)
        return super().read(stream, offset, wait_s=wait_s)


class PartitionableFleet(Fleet):
    """Fleet whose daemons can be separated from each other and from the log."""

    daemon_module = __name__

    def cut(self, daemons: Iterable[str], others: Iterable[str]) -> None:
        """Block calls from daemons to others; replaces these daemons' earlier cuts."""
        hosts = [split_address(self.addresses[other])[0] for other in others]
        for daemon in daemons:
            address = _control_address(self.addresses[daemon])
            client = HttpClient(address, timeout_s=_CONTROL_TIMEOUT_S, step=_STEP)
            request = HttpRequest.from_json('POST', '/control', {'unreachable': hosts})
            client.request_json(request)

    def heal(self) -> None:
        """End all cuts."""
        self.cut(self.daemons, ())


def serve(settings: str) -> None:
    """Run a daemon until SIGTERM, with ``/control`` on a separate port."""
    checked = read_checked_settings(settings)
    control_address = _control_address(checked.daemon.callers_address)
    platform = checked.platform
    network = NetworkCuts()
    log = PartitionableLog(network, platform.log_address, timeout_s=platform.timeout_s)
    with HttpServer(network, control_address, threads=_CONTROL_THREADS):
        run_until_stopped(Daemon(checked, log, PartitionablePeers(network)))


def _control_address(callers_address: str) -> str:
    return f'{split_address(callers_address)[0]}:{_CONTROL_PORT}'


def main() -> None:
    """Run the daemon."""
    fire.Fire(serve, name='partition')
