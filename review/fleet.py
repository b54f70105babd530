"""Daemons as the deploy file starts them, with stand-ins of the platform, for the cases.

All addresses are loopback ones in a network that is drawn for each run.
"""

from __future__ import annotations

import http.client
import json
import os
import random
import re
import resource
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from contextlib import ExitStack
from pathlib import Path
from typing import Any, Self

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / 'src'))

from pimentohoist_standins.keyed_store import KeyedStore  # noqa: E402
from pimentohoist_standins.opaque_engine import OpaqueEngine  # noqa: E402

HOST = 'ficu95.example'
KEY = 'i9n73hh2b9wu3fexd9dn'
MODEL = 'daka510000'
CONTACT_S = 3.0
FRONT, READY, CONTROL, DIRECTORY = 8221, 8224, 8229, 8220
STORE_PORT = 8225
ENGINE_PORT = 8300
MAX_FDS = 4100
FILE_FDS = 200
"""Descriptors that the platform reserves for files."""

LIMIT_S = 110.0
"""A case that takes longer couldn't run; it has 120 s with the end of its processes."""

EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2
HAS_TROUBLE = os.environ.get('TROUBLE', '1') != '0'
SEED = int(os.environ.get('SEED', '1'))


class NotRunError(Exception):
    """The case couldn't run."""


class Record:
    """What was sent, answered and run, one line each."""

    def __init__(self, folder: Path) -> None:
        self.began_at = time.monotonic()
        self._file = (folder / 'record.txt').open('w', encoding='utf-8')
        self._lock = threading.Lock()

    def write(self, text: str) -> None:
        with self._lock:
            self._file.write(f'{time.monotonic() - self.began_at:8.3f} {text}\n')
            self._file.flush()


class Daemon:
    """One process of the role in the deploy file."""

    def __init__(self, host: str, settings: Path, log: Path) -> None:
        self.host = host
        self.settings = settings
        self.log = log
        self.is_ended = False
        self._lock = threading.Lock()
        self.start()

    def start(self) -> None:
        """Start the process, unless the case has ended meanwhile."""
        with self._lock:
            if not self.is_ended:
                self._start()

    def _start(self) -> None:
        role = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())['roles']
        command = role['entry']['run'].split()
        kept = ('PATH', 'HOME', 'JAVA_HOME', 'LANG')
        environment = {name: os.environ[name] for name in kept if name in os.environ}
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['PIMENTOHOIST_BOOT'] = str(self.settings)
        with self.log.open('ab') as output:
            self.process = subprocess.Popen(
                command,
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=output,
                preexec_fn=_limit_descriptors,
            )

    def signal(self, number: signal.Signals) -> None:
        self.process.send_signal(number)

    def is_ready(self) -> bool:
        connection = http.client.HTTPConnection(self.host, READY, timeout=1)
        try:
            connection.request('GET', '/v1/ready')
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def end(self) -> None:
        with self._lock:
            self.is_ended = True
            if self.process.poll() is None:
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            self.process.wait()


def _limit_descriptors() -> None:
    sockets = MAX_FDS - FILE_FDS
    resource.setrlimit(resource.RLIMIT_NOFILE, (sockets, sockets))


class Fleet:
    """A store, engines and daemons that run until the context ends."""

    store_class: type[KeyedStore] = KeyedStore
    engine_class: type[OpaqueEngine] = OpaqueEngine

    def __init__(self, record: Record) -> None:
        self.record = record
        self.stack = ExitStack()
        self.daemons: list[Daemon] = []
        self.engines: dict[str, OpaqueEngine] = {}
        self._hosts = 10
        draw = random.Random()
        self.network = f'127.{draw.randint(20, 250)}.{draw.randint(1, 250)}'

    def __enter__(self) -> Self:
        self.folder = Path(self.stack.enter_context(tempfile.TemporaryDirectory()))
        self.store = self.stack.enter_context(
            self.store_class((f'{self.network}.1', STORE_PORT))
        )
        return self

    def __exit__(self, *exc_info: object) -> None:
        for daemon in self.daemons:
            daemon.end()
        kept = os.environ.get('KEEP_LOGS')
        if kept:
            for daemon in self.daemons:
                Path(kept, daemon.log.name).write_bytes(daemon.log.read_bytes())
        self.stack.close()

    def add_engine(self, name: str, service: str, model: str = MODEL) -> OpaqueEngine:
        """Start an engine at a new address; it registers itself."""
        self._hosts += 1
        network, _, part = self.network.rpartition('.')
        host = f'{network}.{part}.{self._hosts}'
        engine = self.engine_class((host, ENGINE_PORT), name, model)
        self.stack.enter_context(engine)
        self.engines[name] = engine
        self.store.put('keyed.servers', name, engine.entry(service))
        return engine

    def add_daemons(self, count: int) -> None:
        hosts = [f'{self.network}.{200 + number}' for number in range(count)]
        seeds = ','.join(f'{host}:{CONTROL}' for host in hosts[:3])
        for number, host in enumerate(hosts):
            settings = self.folder / f'{host}.toml'
            settings.write_text(self.settings_text(host, number, seeds))
            log = self.folder / f'daemon-{number}.log'
            self.daemons.append(Daemon(host, settings, log))

    def store_address(self, host: str) -> str:
        """Return where a daemon reaches the store."""
        return self.store.address

    def settings_text(self, host: str, number: int, seeds: str) -> str:
        """Fill in the template of the settings as the platform does."""
        fields = {
            'node': f'front-tbs-a-{number}',
            'zone': 'tbs-a',
            'ip': host,
            'port-range': '7600,7615',
            'seeds': seeds,
            'listen.front': f'{host}:{FRONT}',
            'listen.ready': f'{host}:{READY}',
            'listen.control': f'{host}:{CONTROL}',
            'listen.directory': f'{host}:{DIRECTORY}',
            'provider.parts': 12,
            'provider.address': self.store_address(host),
            'bounds.require-fence': True,
            'bounds.retry-ratio': 0.2,
            'bounds.retry-slack': 54,
            'bounds.budget-window-s': 10,
            'bounds.lease-ms': 3000,
            'bounds.grace-s': 8,
            'bounds.ttl_max_s': 5,
        }
        template = (ROOT / 'deploy' / 'settings.toml.template').read_text()

        def fill(found: re.Match[str]) -> str:
            name, _, form = found[1].partition('|')
            value = fields[name]
            is_json = form == 'json' or isinstance(value, bool)
            return json.dumps(value) if is_json else str(value)

        return re.sub(r'\{\{([^}]+)\}\}', fill, template)

    def wait_ready(self) -> None:
        self.wait_for(lambda: all(each.is_ready() for each in self.daemons), 20)

    def wait_for(self, condition: Any, limit_s: float) -> None:
        deadline = time.monotonic() + limit_s
        while not condition():
            if time.monotonic() > deadline:
                raise NotRunError('the fleet has not started in time')
            time.sleep(0.05)


def configuration(version: int, **route: Any) -> dict[str, Any]:
    """Return a configuration with a stream route, a safe and an unsafe one."""
    shared = {'host': HOST, 'priority': 0, 'public': False}
    routes = [
        {
            'name': 'models',
            'path-prefix': '/models/',
            'kind': 'stream',
            'service': 'models',
            'attempts': 2,
            'can-resume': True,
            'timeout-ms': 12_000,
            'goal-ms': 500,
            'gap-aim-ms': 250,
            **shared,
            **route,
        },
        {
            'name': 'look',
            'path-prefix': '/look/',
            'kind': 'safe',
            'service': 'ledger',
            'attempts': 2,
            'timeout-ms': 1000,
            'goal-ms': 200,
            **shared,
        },
        {
            'name': 'pay',
            'path-prefix': '/pay/',
            'kind': 'unsafe',
            'service': 'ledger',
            'attempts': 1,
            'timeout-ms': 1000,
            'goal-ms': 200,
            **shared,
        },
    ]
    engine = {
        'slots': 64,
        'weights-mb': 67_000,
        'adapter-slots': 16,
        'models': [
            {
                'name': MODEL,
                'weights-mb': 65_100,
                'load-time-s': 2.5,
                'adapters': 3000,
                'adapter-mb': 12,
            }
        ],
    }
    return {
        'version': version,
        'routes': routes,
        'services': [
            {'name': 'models', 'max-conns': 360, 'engine': engine},
            {'name': 'ledger', 'max-conns': 100},
        ],
        'limits': {
            'max-header-bytes': 16_384,
            'max-body-bytes': 4_194_304,
            'header-timeout-ms': 2000,
            'idle-timeout-ms': 15_000,
        },
        'tenants': [{'name': 'hule930', 'api-keys': [KEY]}],
    }


def versions_held(runs: list[tuple[int, str]], events: list[int]) -> set[str]:
    """Return the versions of the engines whose events a caller holds.

    Parameters
    ----------
    runs : list of tuple
        For each run of the stream, the event after which it began and the engine's version.
    """
    starts = sorted({after for after, _ in runs})
    held: set[str] = set()
    for start, end in zip(starts, [*starts[1:], max(events, default=0)], strict=True):
        versions = {version for after, version in runs if after == start}
        # Runs of two versions that began at one event can't be told apart.
        if len(versions) == 1 and any(start < event <= end for event in events):
            held |= versions
    return held


def run_case(folder: str, play: Any) -> None:
    """Play a case and exit with its status; end all processes, also after a failure."""
    record = Record(Path(folder))
    record.write(f'disruption: {HAS_TROUBLE}, seed {SEED}')
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(EXIT_NOT_RUN))
    signal.signal(signal.SIGINT, lambda number, frame: sys.exit(EXIT_NOT_RUN))
    watchdog = threading.Timer(LIMIT_S, os.kill, (os.getpid(), signal.SIGTERM))
    watchdog.daemon = True
    watchdog.start()
    try:
        is_broken = play(record)
    except (Exception, SystemExit) as error:
        record.write(f'not run: {error!r}')
        os._exit(EXIT_NOT_RUN)
    record.write('the rule was broken' if is_broken else 'the rule held')
    sys.stdout.flush()
    os._exit(EXIT_BROKEN if is_broken else EXIT_HELD)


def open_connection(host: str, port: int, timeout_s: float) -> socket.socket:
    return socket.create_connection((host, port), timeout_s)
