"""Entry daemons as processes, with stand-ins for the users' platform."""

from __future__ import annotations

import http.client
import json
import os
import random
import shutil
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Self

from pimentohoist_standins._soak.daemons import SETTINGS_TEMPLATE
from pimentohoist_standins._soak.records import Bounds
from pimentohoist_standins.keyed_store import KeyedStore
from pimentohoist_standins.opaque_engine import OpaqueEngine
from pimentohoist_standins.store_group import PARTITION_COUNT

_KEPT_LOGS_FOLDER = os.environ.get('PIMENTOHOIST_TEST_LOGS', '')
"""Where the daemons' logs are kept; nowhere if it is empty."""

_HEARTBEATS_S = 0.5
"""Two heartbeats, by which all daemons know the owners."""

MODEL = 'm1'
KEY = 'key-of-house'
_ENTRY_SCRIPT = Path(__file__).resolve().parent.parent / 'src' / 'pimentohoist_entry.py'


@dataclass(frozen=True)
class Response:
    status: int
    headers: dict[str, str]
    body: bytes


class EntryProcess:
    """One daemon process."""

    def __init__(
        self, host: str, settings: Path, folder: Path, *, is_output_read: bool = True
    ) -> None:
        self.host = host
        self.log = folder / f'{host}.log'
        environment = {**os.environ, 'PIMENTOHOIST_BOOT': str(settings)}
        with self.log.open('ab') as output:
            self.popen = subprocess.Popen(
                [sys.executable, str(_ENTRY_SCRIPT)],
                env=environment,
                stdout=output if is_output_read else subprocess.PIPE,
                stderr=output,
            )

    def get(self, port: int, path: str) -> Response:
        return exchange(self.host, port, 'GET', path, {})

    def is_ready(self) -> bool:
        try:
            return self.get(8001, '/v1/ready').status == 200
        except OSError:
            return False

    def state(self) -> dict[str, Any]:
        return json.loads(self.get(7601, '/state').body)

    def lines(self) -> list[dict[str, Any]]:
        return [json.loads(line) for line in self.log.read_text().splitlines()]


class EntryFleet:
    """A store, engines, a plain service and daemons that run until the context ends."""

    def __init__(self) -> None:
        self.stack = ExitStack()
        network = f'127.{random.randint(200, 250)}.{random.randint(1, 250)}'
        self.network = network
        self.daemons: list[EntryProcess] = []
        self.engines: list[OpaqueEngine] = []
        self.requests = 0
        self.is_output_read = True
        self.extra_settings = ''

    def __enter__(self) -> Self:
        self.folder = Path(self.stack.enter_context(tempfile.TemporaryDirectory()))
        self.store = self.stack.enter_context(self.new_store())
        self.ledger = self.add_endpoint(2, 'ledger-1', '')
        self.store.put('keyed.servers', 'ledger-1', self.ledger.entry('ledger'))
        return self

    def __exit__(self, *exc_info: object) -> None:
        for daemon in self.daemons:
            daemon.popen.kill()
            daemon.popen.wait()
        if _KEPT_LOGS_FOLDER:
            kept = Path(_KEPT_LOGS_FOLDER) / self.network
            shutil.copytree(self.folder, kept, dirs_exist_ok=True)
        self.stack.close()

    def new_store(self) -> KeyedStore:
        return KeyedStore((f'{self.network}.1', 9000))

    def store_address(self, host: str) -> str:
        """Return the address at which a daemon reaches the store."""
        return self.store.address

    def add_engine(self, name: str) -> OpaqueEngine:
        engine = self.add_endpoint(10 + len(self.engines), name, MODEL)
        self.engines.append(engine)
        self.store.put('keyed.servers', name, engine.entry('models'))
        return engine

    def start(self, count: int = 1) -> None:
        for _ in range(count):
            host = f'{self.network}.{100 + len(self.daemons)}'
            settings = self.folder / f'{host}.toml'
            seeds = ','.join(f'{daemon.host}:8002' for daemon in self.daemons)
            text = SETTINGS_TEMPLATE.format(
                host=host,
                seeds=seeds,
                store=self.store_address(host),
                bounds=Bounds(),
            )
            settings.write_text(text + self.extra_settings)
            daemon = EntryProcess(
                host, settings, self.folder, is_output_read=self.is_output_read
            )
            self.daemons.append(daemon)

    def restart(self, number: int) -> None:
        """Kill a daemon, and start it again at its address."""
        daemon = self.daemons[number]
        daemon.popen.kill()
        daemon.popen.wait()
        settings = self.folder / f'{daemon.host}.toml'
        self.daemons[number] = EntryProcess(daemon.host, settings, self.folder)

    def kill_all(self) -> None:
        """Kill all daemons at once."""
        for daemon in self.daemons:
            daemon.popen.kill()
        for killed in self.daemons:
            killed.popen.wait()

    def start_again(self) -> None:
        """Start all daemons again at their addresses."""
        for number, daemon in enumerate(tuple(self.daemons)):
            settings = self.folder / f'{daemon.host}.toml'
            self.daemons[number] = EntryProcess(daemon.host, settings, self.folder)

    def start_ready(self, count: int = 1) -> None:
        self.start(count)
        wait_for(lambda: all(daemon.is_ready() for daemon in self.daemons), 15)
        wait_for(self.is_settled, 15)
        time.sleep(_HEARTBEATS_S)

    def is_settled(self) -> bool:
        """Return whether each partition and engine has one owner in one generation."""
        states = [daemon.state() for daemon in self.daemons]
        homes = [state['homes'] for state in states]
        held = [part for home in homes for part in home['partitions']]
        owned = [name for state in states for name in state['places']]
        return (
            len({home['generation'] for home in homes}) == 1
            and sorted(held) == list(range(PARTITION_COUNT))
            and sorted(owned) == sorted(engine.engine_id for engine in self.engines)
        )

    def owned_engine_count(self) -> int:
        return sum(len(daemon.state()['places']) for daemon in self.daemons)

    def declare(self, version: int, **changes: Any) -> None:
        self.store.put('keyed.op', 'config', configuration_document(version, **changes))

    def send_request(
        self,
        path: str = '/models/x',
        adapter: str = 'a1',
        daemon: int = 0,
        body: bytes = b'{"a": 1}',
        **headers: str,
    ) -> Response:
        self.requests += 1
        sent = {
            'Host': 'house.example',
            'Pimentohoist-Attempt-Id': f'request-{self.requests}',
            'Pimentohoist-Deadline-Ms': '4000',
            'Api-Key': KEY,
            **{name.replace('_', '-'): text for name, text in headers.items()},
        }
        if path.startswith(('/models', '/resumed')):
            sent['Pimentohoist-Model'] = f'{MODEL}/{adapter}' if adapter else MODEL
            sent['Pimentohoist-Token-Count'] = '10,20'
        host = self.daemons[daemon].host
        return exchange(host, 8000, 'POST', path, sent, body)

    def add_endpoint(self, host: int, name: str, model: str) -> OpaqueEngine:
        address = (f'{self.network}.{host}', 9000)
        return self.stack.enter_context(OpaqueEngine(address, name, model))


def configuration_document(
    version: int,
    rate: float = 0,
    keys: tuple[str, ...] = (KEY,),
    timeout_ms: int = 4000,
    attempts: int = 2,
) -> Any:
    engine = {
        'slots': 8,
        'weights-mb': 1100,
        'adapter-slots': 4,
        'models': [{'name': MODEL, 'weights-mb': 1000, 'adapter-mb': 10}],
    }
    route = {
        'host': 'house.example',
        'timeout-ms': timeout_ms,
        'goal-ms': 1000,
        'priority': 0,
        'attempts': attempts,
        'public': False,
    }
    routes = [
        {'name': 'models', 'path-prefix': '/models/', 'kind': 'stream'},
        {
            'name': 'resumed',
            'path-prefix': '/resumed/',
            'kind': 'stream',
            'can-resume': True,
        },
        {'name': 'pay', 'path-prefix': '/pay/', 'kind': 'unsafe'},
        {'name': 'look', 'path-prefix': '/look/', 'kind': 'safe'},
    ]
    groups = ('models', 'models', 'ledger', 'ledger')
    return {
        'version': version,
        'routes': [
            {**route, **own, 'service': group}
            for own, group in zip(routes, groups, strict=True)
        ],
        'services': [
            {'name': 'models', 'max-conns': 100, 'engine': engine},
            {'name': 'ledger', 'max-conns': 100},
        ],
        'limits': {
            'max-header-bytes': 4096,
            'max-body-bytes': 20_000,
            'header-timeout-ms': 1000,
            'idle-timeout-ms': 15_000,
        },
        'tenants': [
            {
                'name': 'house',
                'api-keys': list(keys),
                'unit': 'tokens',
                'plain-tokens': 20,
                'rate-per-s': rate,
                'burst': rate,
            }
        ],
    }


def exchange(
    host: str,
    port: int,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes | None = None,
) -> Response:
    connection = http.client.HTTPConnection(host, port, timeout=10)
    try:
        connection.request(method, path, body, headers)
        response = connection.getresponse()
        return Response(response.status, dict(response.headers), response.read())
    finally:
        connection.close()


def wait_for(condition: Callable[[], bool], limit_s: float) -> None:
    deadline = time.monotonic() + limit_s
    while not condition():
        assert time.monotonic() < deadline, 'condition never held'
        time.sleep(0.02)
