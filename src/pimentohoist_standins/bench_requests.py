"""Measures what one daemon adds to a request and what it carries.

Prints Markdown tables. The figures hold for one machine that also runs the load and the
stand-ins; processor time per request and token is the daemon's own.
"""

from __future__ import annotations

import json
import os
import sys
import threading
import time
from collections.abc import Iterator, Mapping
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack, contextmanager, suppress
from dataclasses import dataclass, replace
from http import HTTPStatus
from http.client import HTTPException
from pathlib import Path
from types import MappingProxyType
from typing import Any

from hdrh.histogram import HdrHistogram

from pimentohoist._http_client import HttpClient, HttpRequest
from pimentohoist.configuration import (
    Adapter,
    Configuration,
    EndpointGroup,
    Workspace,
)
from pimentohoist.exceptions import PeerError
from pimentohoist.keys import create_key
from pimentohoist_standins.demo import demo_sections
from pimentohoist_standins.fleet import Fleet

_ENGINES = 5
_KNEE_REQUESTS = 120
_THREADS = 520
_WARM_UP = 40
_SEQUENTIAL = 400
_CALLERS = 8
_LOAD_S = 6.0
_STREAM_TOKENS = 200
_STREAM_COUNTS = (50, 200, 500)
_FAST_TOKEN_S = 0.0005
_SLOW_TOKEN_S = 2.0
_MEDIAN = 50
_TAIL = 99
_USER_TICKS = 11
_SYSTEM_TICKS = 12
_MS_PER_S = 1000
_ADAPTERS = 10
_OPEN_TIMEOUT_S = 20.0
_TIMEOUT_S = 60.0
_US_PER_S = 1_000_000
_LONGEST_US = 60 * _US_PER_S
_KB_PER_MB = 1024
_MODEL = 'batch-summary@1'
_UNLIMITED_TOKENS = 1_000_000_000
_JSON = MappingProxyType({'Content-Type': 'application/json'})


@dataclass(frozen=True, slots=True)
class Target:
    """Where requests are sent, and with which headers."""

    name: str
    client: HttpClient
    headers: Mapping[str, str]

    def complete(self, **fields: Any) -> bytes:
        """Send a completion and return the whole body."""
        document = {
            'model': _MODEL,
            'prompt': 'measure',
            'request_id': 'bench',
            'cache_salt': '',
            'resume_offset': 0,
            **fields,
        }
        request = HttpRequest(
            'POST', '/v1/completions', json.dumps(document).encode(), self.headers
        )
        reply = self.client.ask(request, timeout_s=_TIMEOUT_S)
        if reply.status != HTTPStatus.OK or b'"error"' in reply.body:
            raise RuntimeError(f'{self.name}: {reply.status} {reply.body!r}')
        return reply.body


def main() -> None:
    """Run all measurements; each is bounded in time."""
    with _measured_fleet(token_s=_FAST_TOKEN_S) as (fleet, direct, daemon):
        _say('| path | p50 us | p99 us |')
        _say('| --- | --- | --- |')
        medians = [_latency(target) for target in (direct, daemon)]
        _say(f'\nadded at p50: {medians[1] - medians[0]} us\n')
        _say('| path | load | requests/s | tokens/s | daemon ms processor/request |')
        _say('| --- | --- | --- | --- | --- |')
        for tokens in (1, _STREAM_TOKENS):
            for target in (direct, daemon):
                _throughput(fleet, target, tokens)
    _streams()


def _latency(target: Target) -> int:
    histogram = HdrHistogram(1, _LONGEST_US, 3)
    for index in range(_WARM_UP + _SEQUENTIAL):
        began_at = time.perf_counter()
        target.complete(max_tokens=1)
        taken_us = int((time.perf_counter() - began_at) * _US_PER_S)
        if index >= _WARM_UP:
            histogram.record_value(taken_us)
    median = int(histogram.get_value_at_percentile(_MEDIAN))
    _say(f'| {target.name} | {median} | {histogram.get_value_at_percentile(_TAIL)} |')
    return median


def _throughput(fleet: Fleet, target: Target, tokens: int) -> None:
    used_s = _processor_s(fleet)
    stop_at = time.monotonic() + _LOAD_S

    def work(_: int) -> int:  # noqa: WPS430
        count = 0
        while time.monotonic() < stop_at:
            target.complete(max_tokens=tokens, stream=True)
            count += 1
        return count

    began_at = time.monotonic()
    with ThreadPoolExecutor(_CALLERS) as pool:
        requests = sum(pool.map(work, range(_CALLERS)))
    taken_s = time.monotonic() - began_at
    used_ms = (_processor_s(fleet) - used_s) * _MS_PER_S / requests
    _say(
        f'| {target.name} | {_CALLERS} callers, {tokens} tokens each '
        f'| {requests / taken_s:.0f} | {requests * tokens / taken_s:.0f} '
        f'| {used_ms:.2f} |'
    )


def _streams() -> None:
    _say('\n| open streams | daemon resident MB | KB a stream |')
    _say('| --- | --- | --- |')
    for count in _STREAM_COUNTS:
        with _measured_fleet(token_s=_SLOW_TOKEN_S) as (fleet, _, daemon):
            before_kb = _resident_kb(fleet)
            opened = _open_streams(fleet, daemon, count)
            after_kb = _resident_kb(fleet)
            _say(
                f'| {opened} | {after_kb / _KB_PER_MB:.0f} '
                f'| {(after_kb - before_kb) / max(1, opened):.0f} |'
            )


def _open_streams(fleet: Fleet, daemon: Target, count: int) -> int:
    """Open streams, leave them open, and return how many have begun."""
    begun = threading.Semaphore(0)
    for index in range(count):
        model = f'bench-{index % _ADAPTERS}'
        threading.Thread(
            target=_read_stream, args=(daemon, model, begun), daemon=True
        ).start()
    give_up_at = time.monotonic() + _OPEN_TIMEOUT_S
    opened = 0
    while opened < count and begun.acquire(timeout=give_up_at - time.monotonic()):
        opened += 1
    return opened


def _read_stream(daemon: Target, model: str, begun: threading.Semaphore) -> None:
    document = {'model': model, 'prompt': 'open', 'max_tokens': 60, 'stream': True}
    request = HttpRequest(
        'POST', '/v1/completions', json.dumps(document).encode(), daemon.headers
    )
    client = HttpClient(daemon.client.address, timeout_s=_TIMEOUT_S, step='bench')
    # The fleet ends under the open streams, so their reads end in an error.
    with suppress(OSError, HTTPException, PeerError):
        with client.stream(request, timeout_s=_TIMEOUT_S) as response:
            if response.status == HTTPStatus.OK and response.readline():
                begun.release()
            response.read()


@contextmanager
def _measured_fleet(token_s: float) -> Iterator[tuple[Fleet, Target, Target]]:
    with ExitStack() as stack:
        fleet = stack.enter_context(Fleet())
        for index in range(_ENGINES):
            fleet.start_standin(
                f'engine-{index}',
                'engine',
                token_s=token_s,
                knee_requests=_KNEE_REQUESTS,
            )
        fleet.start_standin('ledger', 'service')
        settings: dict[str, dict[str, Any]] = {
            'callers': {'threads': _THREADS},
            'logging': {'level': 'ERROR'},
        }
        fleet.start_daemon('entry-1', settings)
        headers = {**_JSON, 'Authorization': f'Bearer {_publish(fleet)}'}
        daemon = _target(fleet, 'entry-1', headers)
        daemon.complete(max_tokens=1)
        yield fleet, _direct(fleet), daemon


def _publish(fleet: Fleet) -> str:
    key_section, key = create_key('bench', 'lipstick-house')
    sections = [_unlimited(section) for section in demo_sections(fleet)]
    adapters = [
        Adapter(f'bench-{index}', 'review', (1,), 1, ('lipstick-house',))
        for index in range(_ADAPTERS)
    ]
    report = fleet.publish(Configuration.of(*sections, *adapters, key_section))
    if not report.is_in_force:
        raise RuntimeError(report.text())
    return key


def _direct(fleet: Fleet) -> Target:
    """Return an engine with the adapter loaded, to be asked without a daemon."""
    target = _target(fleet, 'engine-0', _JSON)
    order = {'lora_name': _MODEL, 'fencing_number': _UNLIMITED_TOKENS}
    target.client.ask_json(HttpRequest.of_json('POST', '/v1/load_lora_adapter', order))
    return target


def _target(fleet: Fleet, name: str, headers: Mapping[str, str]) -> Target:
    client = HttpClient(fleet.addresses[name], timeout_s=_TIMEOUT_S, step='bench')
    return Target(name, client, headers)


def _unlimited(section: Any) -> Any:
    if isinstance(section, Workspace):
        return replace(
            section,
            rate_tokens_per_s=_UNLIMITED_TOKENS,
            burst_tokens=_UNLIMITED_TOKENS,
        )
    if isinstance(section, EndpointGroup):
        return replace(section, knee_requests=_KNEE_REQUESTS)
    return section


def _processor_s(fleet: Fleet) -> float:
    pid = fleet.processes['entry-1'].popen.pid
    fields = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2].split()
    ticks = int(fields[_USER_TICKS]) + int(fields[_SYSTEM_TICKS])
    return ticks / os.sysconf('SC_CLK_TCK')


def _resident_kb(fleet: Fleet) -> int:
    pid = fleet.processes['entry-1'].popen.pid
    lines = Path(f'/proc/{pid}/status').read_text().splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith('VmRSS'))


def _say(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    main()
