"""Measures what one daemon adds to a request and what it carries.

Prints Markdown tables. The figures hold for one machine that also runs the load and the
stand-ins; processor time per request and token is the daemon's own.
"""

from __future__ import annotations

import json
import sys
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from http import HTTPStatus
from http.client import HTTPException

from hdrh.histogram import HdrHistogram

from pimentohoist._http_client import HttpClient, HttpRequest
from pimentohoist.exceptions import PeerError
from pimentohoist_standins._measured_fleet import (
    ADAPTERS,
    FAST_TOKEN_S,
    TIMEOUT_S,
    Target,
    measured_fleet,
    processor_s,
    resident_kb,
)
from pimentohoist_standins.fleet import Fleet

_WARM_UP = 40
_SEQUENTIAL = 400
_CALLERS = 8
_LOAD_S = 6.0
_STREAM_TOKENS = 200
_STREAM_COUNTS = (50, 200, 500)
_SLOW_TOKEN_S = 2.0
_MEDIAN = 50
_TAIL = 99
_MS_PER_S = 1000
_OPEN_TIMEOUT_S = 20.0
_US_PER_S = 1_000_000
_MAX_US = 60 * _US_PER_S
_KB_PER_MB = 1024


def main() -> None:
    """Run all measurements; each is bounded in time."""
    with measured_fleet(token_s=FAST_TOKEN_S) as (fleet, direct, daemon):
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
    histogram = HdrHistogram(1, _MAX_US, 3)
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
    used_s = processor_s(fleet)
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
    used_ms = (processor_s(fleet) - used_s) * _MS_PER_S / requests
    _say(
        f'| {target.name} | {_CALLERS} callers, {tokens} tokens each '
        f'| {requests / taken_s:.0f} | {requests * tokens / taken_s:.0f} '
        f'| {used_ms:.2f} |'
    )


def _streams() -> None:
    _say('\n| open streams | daemon resident MB | KB a stream |')
    _say('| --- | --- | --- |')
    for count in _STREAM_COUNTS:
        with measured_fleet(token_s=_SLOW_TOKEN_S) as (fleet, _, daemon):
            before_kb = resident_kb(fleet)
            opened = _open_streams(fleet, daemon, count)
            after_kb = resident_kb(fleet)
            _say(
                f'| {opened} | {after_kb / _KB_PER_MB:.0f} '
                f'| {(after_kb - before_kb) / max(1, opened):.0f} |'
            )


def _open_streams(fleet: Fleet, daemon: Target, count: int) -> int:
    """Open streams, leave them open, and return how many have begun."""
    begun = threading.Semaphore(0)
    for index in range(count):
        model = f'bench-{index % ADAPTERS}'
        threading.Thread(
            target=_read_stream, args=(daemon, model, begun), daemon=True
        ).start()
    deadline = time.monotonic() + _OPEN_TIMEOUT_S
    opened = 0
    while opened < count and begun.acquire(timeout=deadline - time.monotonic()):
        opened += 1
    return opened


def _read_stream(daemon: Target, model: str, begun: threading.Semaphore) -> None:
    document = {'model': model, 'prompt': 'open', 'max_tokens': 60, 'stream': True}
    request = HttpRequest(
        'POST', '/v1/completions', json.dumps(document).encode(), daemon.headers
    )
    client = HttpClient(daemon.client.address, timeout_s=TIMEOUT_S, step='bench')
    # The fleet ends under the open streams, so their reads end in an error.
    with suppress(OSError, HTTPException, PeerError):
        with client.stream(request, timeout_s=TIMEOUT_S) as response:
            if response.status == HTTPStatus.OK and response.readline():
                begun.release()
            response.read()


def _say(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    main()
