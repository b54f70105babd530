"""Fleet of one daemon and several engines for benchmarks of the request path."""

from __future__ import annotations

import json
import os
from collections.abc import Iterator, Mapping
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass, replace
from http import HTTPStatus
from pathlib import Path
from types import MappingProxyType
from typing import Any

from pimentohoist._http_client import HttpClient
from pimentohoist._http_connection import HttpRequest
from pimentohoist.configuration import (
    Adapter,
    Configuration,
    EndpointGroup,
    Workspace,
)
from pimentohoist.keys import create_key
from pimentohoist_standins.demo import demo_sections
from pimentohoist_standins.fleet import Fleet

DAEMON = 'entry-1'
ADAPTER_COUNT = 10
REQUEST_TIMEOUT_S = 60.0
FAST_TOKEN_INTERVAL_S = 0.0005

ENGINE_COUNT = 5
_KNEE_REQUESTS = 120
_CALLER_THREADS = 520
# Indexes into the fields of /proc/PID/stat after the parenthesized command name.
_USER_TICKS_FIELD = 11
_SYSTEM_TICKS_FIELD = 12
MODEL = 'batch-summary@1'
_UNLIMITED_TOKENS = 1_000_000_000
_JSON_HEADERS = MappingProxyType({'Content-Type': 'application/json'})


@dataclass(frozen=True, slots=True)
class Target:
    """An HTTP client of a daemon or engine, with the headers of its requests."""

    name: str
    client: HttpClient
    headers: Mapping[str, str]

    def complete(self, **fields: Any) -> bytes:
        """Request a completion and return the whole body."""
        document = {
            'model': MODEL,
            'prompt': 'measure',
            'request_id': 'bench',
            'cache_salt': '',
            'resume_offset': 0,
            **fields,
        }
        request = HttpRequest(
            'POST', '/v1/completions', json.dumps(document).encode(), self.headers
        )
        response = self.client.request(request, timeout_s=REQUEST_TIMEOUT_S)
        if response.status != HTTPStatus.OK or b'"error"' in response.body:
            raise RuntimeError(
                f'{self.name}: completion failed: status {response.status}, '
                f'body {response.body!r}'
            )
        return response.body


@contextmanager
def measured_fleet(token_s: float) -> Iterator[tuple[Fleet, Target, Target]]:
    """Yield a fleet, an engine called directly and the fleet's daemon.

    The engine called directly belongs to no group, so that no other requests run on it.
    """
    with ExitStack() as stack:
        fleet = stack.enter_context(Fleet())
        for index in range(ENGINE_COUNT):
            fleet.start_standin(
                f'engine-{index}',
                'engine',
                token_s=token_s,
                knee_requests=_KNEE_REQUESTS,
            )
        fleet.start_standin('ledger', 'service')
        settings: dict[str, dict[str, Any]] = {
            'callers': {'threads': _CALLER_THREADS},
            'logging': {'level': 'ERROR'},
        }
        fleet.start_daemon(DAEMON, settings)
        headers = {**_JSON_HEADERS, 'Authorization': f'Bearer {_publish(fleet)}'}
        daemon = _target(fleet, DAEMON, headers)
        daemon.complete(max_tokens=1)
        yield fleet, direct_engine(fleet, 'direct', FAST_TOKEN_INTERVAL_S), daemon


def _publish(fleet: Fleet) -> str:
    key_section, key = create_key('bench', 'lipstick-house')
    sections = [_without_limits(section) for section in demo_sections(fleet)]
    adapters = [
        Adapter(f'bench-{index}', 'review', (1,), 1, ('lipstick-house',))
        for index in range(ADAPTER_COUNT)
    ]
    report = fleet.publish(Configuration.of(*sections, *adapters, key_section))
    if not report.is_in_force:
        raise RuntimeError(report.text())
    return key


def direct_engine(fleet: Fleet, name: str, token_s: float) -> Target:
    """Start an engine that belongs to no group and load the adapter on it directly."""
    fleet.start_standin(name, 'engine', token_s=token_s, knee_requests=_KNEE_REQUESTS)
    target = _target(fleet, name, _JSON_HEADERS)
    load_request = {'lora_name': MODEL, 'fencing_number': _UNLIMITED_TOKENS}
    target.client.request_json(
        HttpRequest.from_json('POST', '/v1/load_lora_adapter', load_request)
    )
    return target


def _target(fleet: Fleet, name: str, headers: Mapping[str, str]) -> Target:
    client = HttpClient(
        fleet.addresses[name], timeout_s=REQUEST_TIMEOUT_S, step='bench'
    )
    return Target(name, client, headers)


def _without_limits(section: Any) -> Any:
    if isinstance(section, Workspace):
        return replace(
            section,
            rate_tokens_per_s=_UNLIMITED_TOKENS,
            burst_tokens=_UNLIMITED_TOKENS,
        )
    if isinstance(section, EndpointGroup):
        return replace(section, knee_requests=_KNEE_REQUESTS)
    return section


def used_processor_s(fleet: Fleet, name: str = DAEMON) -> float:
    """Return the processor time that a process has used, in seconds."""
    pid = fleet.processes[name].popen.pid
    fields = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2].split()
    ticks = int(fields[_USER_TICKS_FIELD]) + int(fields[_SYSTEM_TICKS_FIELD])
    return ticks / os.sysconf('SC_CLK_TCK')


def resident_kb(fleet: Fleet) -> int:
    """Return the resident memory of the daemon, in KB."""
    pid = fleet.processes[DAEMON].popen.pid
    lines = Path(f'/proc/{pid}/status').read_text().splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith('VmRSS'))
