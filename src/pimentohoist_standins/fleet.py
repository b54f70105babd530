"""Fleet of daemon and stand-in processes for the demo, tests and measurements."""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Mapping
from contextlib import ExitStack
from pathlib import Path
from typing import Any, Self

import tomli_w

from pimentohoist._addresses import split_address
from pimentohoist._http_client import HttpClient
from pimentohoist._http_connection import HttpRequest, HttpResponse
from pimentohoist._platform_clients.log import HttpLog
from pimentohoist._publisher import Publisher, PublishResult
from pimentohoist.configuration import Configuration
from pimentohoist.exceptions import PeerError

_START_TIMEOUT_S = 20.0
_STOP_TIMEOUT_S = 20.0
_POLL_S = 0.02
_CLIENT_TIMEOUT_S = 10.0
_NETWORKS_PER_OCTET = 250
_LAST_SECOND_OCTET = 96
_SECOND_OCTETS = range(2, _LAST_SECOND_OCTET + 1)
"""Those from 100 on belong to soaks, and from 200 on to fleets of entry daemons."""

_CALLERS_PORT = 8000
_OPERATORS_PORT = 8001
_PEER_PORT = 8002
_STANDIN_PORT = 9000
_STEP = 'fleet'
_MAX_LOG_EXCERPT_CHARACTERS = 2000


class FleetProcess:
    """A process of the fleet, with its output in a log file."""

    def __init__(self, name: str, arguments: list[str], log_path: Path) -> None:
        self.name = name
        self.log_path = log_path
        with log_path.open('ab') as log_file:
            self.popen = subprocess.Popen(arguments, stderr=log_file, stdout=log_file)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal if the process is running."""
        if self.popen.poll() is None:
            self.popen.send_signal(number)

    def is_running(self) -> bool:
        """Return whether the process has not ended."""
        return self.popen.poll() is None

    def kill(self) -> None:
        """Kill the process with SIGKILL."""
        self.signal(signal.SIGKILL)
        self.popen.wait(_STOP_TIMEOUT_S)

    def stop(self) -> int:
        """Stop the process with SIGTERM and return its exit code."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        try:
            return self.popen.wait(_STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.kill()
            raise


class Fleet:
    """Daemons and stand-ins, each with an IP address of its own in 127.0.0.0/8.

    Attributes
    ----------
    processes : dict of str to FleetProcess
        Processes by name.
    addresses : dict of str to str
        Address of each stand-in and callers' address of each daemon, by name.
    daemon_module : str
        Module whose ``main`` runs a daemon.
    """

    daemon_module = 'pimentohoist.daemon'

    def __init__(self, failure_domains: tuple[str, ...] = ('a', 'b', 'c')) -> None:
        self.failure_domains = failure_domains
        self.processes: dict[str, FleetProcess] = {}
        self.addresses: dict[str, str] = {}
        self.daemons: list[str] = []
        self._stack = ExitStack()
        self._directory = Path(self._stack.enter_context(tempfile.TemporaryDirectory()))
        self._network = _free_network(self._stack)
        self._last_host = 1

    def __enter__(self) -> Self:
        """Start the platform's stand-ins."""
        try:
            self.start_standin('log', 'log')
            self.start_standin('weights', 'weights')
            self.start_standin('instances', 'instances')
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Kill every process that is running."""
        for process in self.processes.values():
            process.kill()
        self._stack.close()

    def start_standin(self, name: str, kind: str, **options: Any) -> str:
        """Start a stand-in and return its address, which a restart keeps."""
        address = self.addresses.get(name) or f'{self._allocate_host()}:{_STANDIN_PORT}'
        self.addresses[name] = address
        flags = [f'--{option}={value}' for option, value in options.items()]
        code = 'from pimentohoist_standins.main import main; main()'
        self._start(name, [sys.executable, '-c', code, kind, address, *flags])
        self._wait_until_listening(name, address)
        return address

    def start_daemon(
        self, name: str, settings: Mapping[str, Mapping[str, Any]] | None = None
    ) -> str:
        """Start a daemon and return its callers' address."""
        path = self._directory / f'{name}.toml'
        path.write_text(tomli_w.dumps(self._settings(name, settings or {})))
        code = f'from {self.daemon_module} import main; main()'
        self._start(name, [sys.executable, '-c', code, str(path)])
        self._wait_until_listening(name, self.addresses[name])
        return self.addresses[name]

    def operators_address(self, name: str) -> str:
        """Return the operators' address of a daemon."""
        host, _ = split_address(self.addresses[name])
        return f'{host}:{_OPERATORS_PORT}'

    def publish(self, configuration: Configuration) -> PublishResult:
        """Publish a configuration and wait until every daemon has decided on it."""
        log = HttpLog(self.addresses['log'], timeout_s=_CLIENT_TIMEOUT_S)
        daemons = [self.operators_address(name) for name in self.daemons]
        return Publisher(log, daemons, 'fleet').publish(configuration)

    def control(self, name: str, **faults: Any) -> None:
        """Set faults and other controls of a stand-in."""
        self.request(name, HttpRequest.from_json('POST', '/control', faults))

    def received_requests(self, name: str) -> list[dict[str, Any]]:
        """Return the requests that a stand-in received."""
        reply = self.request(name, HttpRequest.from_json('GET', '/seen'))
        received: list[dict[str, Any]] = reply.document()
        return received

    def state(self, name: str) -> dict[str, Any]:
        """Return the dump of a daemon or stand-in."""
        is_daemon = name in self.daemons
        address = self.operators_address(name) if is_daemon else self.addresses[name]
        client = self._client(address)
        document: dict[str, Any] = client.request_json(
            HttpRequest.from_json('GET', '/state')
        )
        return document

    def request(
        self, name: str, request: HttpRequest, timeout_s: float | None = None
    ) -> HttpResponse:
        """Send a request to a daemon's callers' address or to a stand-in."""
        return self._client(self.addresses[name]).request(request, timeout_s=timeout_s)

    def logs(self, name: str) -> str:
        """Return the log of a process."""
        return self.processes[name].log_path.read_text(errors='replace')

    def _settings(
        self, name: str, settings: Mapping[str, Mapping[str, Any]]
    ) -> dict[str, Any]:
        if name not in self.addresses:
            self.addresses[name] = f'{self._allocate_host()}:{_CALLERS_PORT}'
            self.daemons.append(name)
        host, _ = split_address(self.addresses[name])
        index = self.daemons.index(name)
        document: dict[str, dict[str, Any]] = {
            'daemon': {
                'name': name,
                'failure_domain': self.failure_domains[
                    index % len(self.failure_domains)
                ],
                'callers_address': self.addresses[name],
                'operators_address': f'{host}:{_OPERATORS_PORT}',
                'peer_address': f'{host}:{_PEER_PORT}',
            },
            'platform': {
                'log_address': self.addresses['log'],
                'weight_store_address': self.addresses['weights'],
                'instance_list_address': self.addresses['instances'],
            },
        }
        for table, fields in settings.items():
            document.setdefault(table, {}).update(fields)
        return document

    def _start(self, name: str, arguments: list[str]) -> None:
        log_path = self._directory / f'{name}.log'
        self.processes[name] = FleetProcess(name, arguments, log_path)

    def _wait_until_listening(self, name: str, address: str) -> None:
        deadline = time.monotonic() + _START_TIMEOUT_S
        while time.monotonic() < deadline:
            if self.processes[name].popen.poll() is not None:
                break
            if _is_listening(address):
                return
            time.sleep(_POLL_S)
        raise PeerError(
            f'{name} did not start: {self.logs(name)[-_MAX_LOG_EXCERPT_CHARACTERS:]}',
            step=_STEP,
            peer=address,
        )

    def _client(self, address: str) -> HttpClient:
        return HttpClient(address, timeout_s=_CLIENT_TIMEOUT_S, step=_STEP)

    def _allocate_host(self) -> str:
        self._last_host += 1
        return f'{self._network}.{self._last_host}'


def _is_listening(address: str) -> bool:
    try:
        with socket.create_connection(split_address(address), timeout=1):
            return True
    except OSError:
        return False


def _free_network(stack: ExitStack) -> str:
    """Return the first three octets of a /24 network that no other fleet uses.

    A socket bound to the network's first host reserves it until the fleet ends.
    """
    for attempt in range(len(_SECOND_OCTETS) * _NETWORKS_PER_OCTET):
        number, third_octet = divmod(os.getpid() + attempt, _NETWORKS_PER_OCTET)
        second_octet = _SECOND_OCTETS[number % len(_SECOND_OCTETS)]
        network = f'127.{second_octet}.{third_octet}'
        reservation = stack.enter_context(socket.socket())
        try:
            reservation.bind((f'{network}.1', _STANDIN_PORT))
        except OSError:
            continue
        return network
    raise PeerError(
        'no free loopback network among 127.2.0.0/24 to 127.96.249.0/24', step=_STEP
    )
