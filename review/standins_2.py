"""What the scripts of the second review share: settings, daemons, requests and records."""

from __future__ import annotations

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
import time
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
KEY = 'key-of-house'
HOST = 'house.example'
SEAL = '1.2.3'
PORTS = ('front', 'ready', 'control', 'directory')


def free_port(host: str) -> int:
    """Return a port that is free now at an address."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return int(probe.getsockname()[1])


def new_network() -> str:
    """Return the first bytes of loopback addresses that nothing else uses."""
    return f'127.{random.randint(40, 199)}.{random.randint(1, 250)}'


def render(fields: dict[str, Any]) -> str:
    """Fill in the template of the settings, as the platform does."""
    text = (ROOT / 'deploy' / 'settings.toml.template').read_text()

    def value(found: re.Match[str]) -> str:
        name, _, form = found[1].partition('|')
        if form == 'json':
            return json.dumps(fields[name])
        known = fields[name]
        return str(known).lower() if isinstance(known, bool) else str(known)

    return re.sub(r'\{\{([^}]+)\}\}', value, text)


class Daemon:
    """One daemon, started with the command of the deploy file."""

    def __init__(
        self,
        folder: Path,
        host: str,
        store: str,
        seeds: list[str],
        ports: dict[str, int],
        max_fds: int = 4100,
        **changes: Any,
    ) -> None:
        self.host, self.folder, self.max_fds = host, folder, max_fds
        # The daemon takes the first three ports of the range on its own address.
        self.ports = {'range': 7600, **ports}
        ports = self.ports
        fields = {
            'node': f'front-{host}',
            'zone': 'a',
            'ip': host,
            'port-range': f'{ports["range"]},{ports["range"] + 15}',
            'seeds': ','.join(seeds),
            'listen.front': f'{host}:{ports["front"]}',
            'listen.ready': f'{host}:{ports["ready"]}',
            'listen.control': f'{host}:{ports["control"]}',
            'listen.directory': f'{host}:{ports["directory"]}',
            'provider.parts': 12,
            'provider.address': store,
            'bounds.require-fence': True,
            'bounds.retry-ratio': 0.2,
            'bounds.retry-slack': 54,
            'bounds.budget-window-s': 10,
            'bounds.lease-ms': 3000,
            'bounds.grace-s': 8,
            'bounds.ttl_max_s': 5,
            **changes,
        }
        self.settings = folder / f'{host}.toml'
        self.settings.write_text(render(fields))
        self.log = folder / f'{host}.log'
        self.start()

    def start(self) -> None:
        """Start the process."""
        environment = {
            'PATH': os.environ['PATH'],
            'HOME': os.environ.get('HOME', '/tmp'),
            'PYTHONPATH': str(ROOT / 'target' / 'deps'),
            'PIMENTOHOIST_BOOT': str(self.settings),
            'PIMENTOHOIST_INSTANCE': (
                'limits.link_mbps = 1000.0\nlimits.memory_mb = 300\n'
                f'limits.max_descriptors = {self.max_fds}\nregions.own = "r"\n'
                'regions.of_domains = "a=r"\n'
            ),
        }
        with self.log.open('ab') as output:
            self.process = subprocess.Popen(
                [sys.executable, 'src/pimentohoist_entry.py'],
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=output,
                preexec_fn=self._limit,
            )

    def _limit(self) -> None:
        """Give the process the descriptors of its machine, as the platform does."""
        _, most = resource.getrlimit(resource.RLIMIT_NOFILE)
        is_limited = most != resource.RLIM_INFINITY
        limit = min(self.max_fds, most) if is_limited else self.max_fds
        resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit))

    def is_ready(self) -> bool:
        """Return whether the daemon says that it is ready."""
        try:
            return ask(self.host, self.ports['ready'], 'GET', '/v1/ready')[0] == 200
        except OSError:
            return False

    def state(self) -> Any:
        """Return the state that the daemon shows on its metrics address."""
        port = self.ports['range'] + 1
        return json.loads(ask(self.host, port, 'GET', '/state')[2])

    def memory_mb(self, field: str = 'VmRSS') -> float:
        """Return the memory of the process; 0 if it has ended."""
        try:
            text = Path(f'/proc/{self.process.pid}/status').read_text()
        except OSError:
            return 0
        found = re.search(rf'{field}:\s+(\d+) kB', text)
        return int(found[1]) / 1024 if found else 0

    def stop(self) -> None:
        """Kill the process."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
        self.process.wait()


def ask(
    host: str,
    port: int,
    method: str,
    path: str,
    headers: dict[str, str] | None = None,
    body: bytes = b'',
    timeout_s: float = 5,
) -> tuple[int, dict[str, str], bytes]:
    """Send one request on a new connection and return the response."""
    import http.client

    connection = http.client.HTTPConnection(host, port, timeout=timeout_s)
    try:
        connection.request(method, path, body or None, headers or {})
        response = connection.getresponse()
        found = {name.lower(): text for name, text in response.headers.items()}
        return response.status, found, response.read()
    finally:
        connection.close()


def wait_for(condition: Any, timeout_s: float) -> bool:
    """Wait until a condition holds; return whether it does."""
    until = time.monotonic() + timeout_s
    while time.monotonic() < until:
        if condition():
            return True
        time.sleep(0.05)
    return False


class Exchange:
    """What a caller sent and got, on the clock of the script."""

    def __init__(self, name: str, kind: str) -> None:
        self.name, self.kind = name, kind
        self.sent_at = time.monotonic()
        self.status: int | None = None
        self.answered_at: float | None = None
        self.size = 0
        self.is_complete = False
        self.failure = ''

    def line(self, began_at: float) -> str:
        """Return a line for the record."""
        took = (
            ''
            if self.answered_at is None
            else f' after {self.answered_at - self.sent_at:.3f} s'
        )
        end = f'status {self.status}, {self.size} bytes' if self.status else 'no answer'
        whole = ', complete' if self.is_complete else ''
        failure = f', {self.failure}' if self.failure else ''
        return (
            f'{self.sent_at - began_at:8.3f} {self.kind} {self.name}: '
            f'{end}{whole}{took}{failure}'
        )


def request_head(
    method: str, path: str, request_id: str, deadline_ms: int, **headers: str
) -> bytes:
    """Return the head of a caller's request."""
    lines = [
        f'{method} {path} HTTP/1.1',
        f'Host: {HOST}',
        f'Pimentohoist-Attempt-Id: {request_id}',
        f'Pimentohoist-Deadline-Ms: {deadline_ms}',
        f'Api-Key: {KEY}',
        *(f'{name.replace("_", "-")}: {text}' for name, text in headers.items()),
    ]
    return '\r\n'.join([*lines, '', '']).encode()


async def read_head(reader: Any) -> tuple[str, dict[str, str]]:
    """Return the first line of a message and its headers; raises OSError at an end."""
    data = await reader.readuntil(b'\r\n\r\n')
    first, *rest = data.decode('latin-1').split('\r\n')
    pairs = (line.partition(':') for line in rest if line)
    return first, {name.lower(): text.strip() for name, _, text in pairs}


async def read_answer(reader: Any, exchange: Exchange) -> None:
    """Read an answer to its end."""
    first, headers = await read_head(reader)
    exchange.status = int(first.split()[1])
    if headers.get('transfer-encoding') == 'chunked':
        while True:
            size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
            exchange.size += size
            await reader.readexactly(size + 2)
            if not size:
                break
    else:
        left = int(headers.get('content-length', '0'))
        while left:
            part = await reader.read(min(left, 65_536))
            if not part:
                raise ConnectionError('answer cut off')
            left -= len(part)
            exchange.size += len(part)
    exchange.is_complete = True
    exchange.answered_at = time.monotonic()


class Engine:
    """A server behind the daemons; answers what its `answer` sends."""

    def __init__(self, engine_id: str, service: str, model: str = '') -> None:
        self.engine_id, self.service, self.model = engine_id, service, model
        self.address = ''
        self.orders = 0
        self.adapters: dict[str, int] = {}
        self.runs: list[tuple[float, str]] = []
        self.work_s = 0.045
        self.body = b'x' * 800
        self.bodies: dict[str, bytes] = {}
        self.is_silent = False
        self.hang = 0.0
        self.events = 14

    async def start(self, host: str) -> None:
        """Listen on a free port."""
        import asyncio

        server = await asyncio.start_server(self._serve, host, 0)
        port = server.sockets[0].getsockname()[1]
        self.address = f'{host}:{port}'

    def entry(self) -> dict[str, Any]:
        """Return its entry in the store."""
        models = [{'name': self.model, 'version': 1, 'adapters': []}]
        return {
            'service': self.service,
            'address': self.address,
            'zone': 'a',
            'version': 'v1',
            'slots': 64,
            'state': 'ready',
            'cold-ms': 0,
            'born': 1,
            'seq': self.orders,
            **({'models': models} if self.model else {}),
        }

    async def _serve(self, reader: Any, writer: Any) -> None:
        import asyncio

        try:
            while True:
                first, headers = await read_head(reader)
                await reader.readexactly(int(headers.get('content-length', '0')))
                await self._answer(first, headers, writer)
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    async def _answer(self, first: str, headers: dict[str, str], writer: Any) -> None:
        import asyncio

        request_id = headers.get('pimentohoist-attempt-id', '')
        self.runs.append((time.monotonic(), request_id))
        while self.is_silent:
            await asyncio.sleep(0.05)
        if random.random() < self.hang:
            await asyncio.sleep(60)
        common = (
            f'Pimentohoist-Attempt-Id: {request_id}\r\n'
            f'Pimentohoist-Response-Seal: {SEAL}\r\n'
        )
        if not self.model:
            await asyncio.sleep(self.work_s)
            body = self.bodies.get(first.split()[1], self.body)
            head = f'HTTP/1.1 200 OK\r\n{common}Content-Length: {len(body)}\r\n\r\n'
            writer.write(head.encode())
            writer.write(body)
            await writer.drain()
            return
        head = (
            f'HTTP/1.1 200 OK\r\n{common}Content-Type: text/event-stream\r\n'
            'Transfer-Encoding: chunked\r\n\r\n'
        )
        writer.write(head.encode())
        for number in range(1, self.events + 1):
            await asyncio.sleep(0.03)
            event = f'id: {number}\ndata: token {number}\n\n'.encode()
            writer.write(f'{len(event):x}\r\n'.encode() + event + b'\r\n')
            await writer.drain()
        writer.write(b'0\r\n\r\n')
        await writer.drain()
