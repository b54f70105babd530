"""Benchmark of the latency that one daemon adds to a request, and of its throughput.

Prints Markdown tables. The figures hold for one machine that also runs the load and the
stand-ins; processor time per request and token is that of the daemon process alone.
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

from pimentohoist._http_client import HttpClient
from pimentohoist._http_connection import HttpRequest
from pimentohoist.exceptions import PeerError
from pimentohoist_standins._measured_fleet import (
    ADAPTER_COUNT,
    FAST_TOKEN_INTERVAL_S,
    REQUEST_TIMEOUT_S,
    Target,
    measured_fleet,
    used_processor_s,
    resident_kb,
)
from pimentohoist_standins.fleet import Fleet

_WARM_UP_REQUESTS = 40
_MEASURED_REQUESTS = 400
_CALLER_THREADS = 8
_LOAD_S = 6.0
_TOKENS_PER_STREAM = 200
_OPEN_STREAM_COUNTS = (50, 200, 500)
_SLOW_TOKEN_INTERVAL_S = 2.0
_MEDIAN = 50
_TAIL = 99
_MS_PER_S = 1000
_OPEN_STREAMS_TIMEOUT_S = 20.0
_US_PER_S = 1_000_000
_MAX_LATENCY_US = 60 * _US_PER_S
_KB_PER_MB = 1024


def main() -> None:
    """Run all measurements, each of which has a time limit."""
    with measured_fleet(token_s=FAST_TOKEN_INTERVAL_S) as (fleet, direct, daemon):
        _write_line('| path | p50 us | p99 us |')
        _write_line('| --- | --- | --- |')
        medians = [_measure_latency(target) for target in (direct, daemon)]
        _write_line(f'\nadded at p50: {medians[1] - medians[0]} us\n')
        _write_line(
            '| path | load | requests/s | tokens/s | daemon ms processor/request |'
        )
        _write_line('| --- | --- | --- | --- | --- |')
        for tokens in (1, _TOKENS_PER_STREAM):
            for target in (direct, daemon):
                _measure_throughput(fleet, target, tokens)
    _measure_open_streams()


def _measure_latency(target: Target) -> int:
    histogram = HdrHistogram(1, _MAX_LATENCY_US, 3)
    for index in range(_WARM_UP_REQUESTS + _MEASURED_REQUESTS):
        started_at = time.perf_counter()
        target.complete(max_tokens=1)
        latency_us = int((time.perf_counter() - started_at) * _US_PER_S)
        if index >= _WARM_UP_REQUESTS:
            histogram.record_value(latency_us)
    median = int(histogram.get_value_at_percentile(_MEDIAN))
    _write_line(
        f'| {target.name} | {median} | {histogram.get_value_at_percentile(_TAIL)} |'
    )
    return median


def _measure_throughput(fleet: Fleet, target: Target, tokens: int) -> None:
    used_before_s = used_processor_s(fleet)
    stop_at = time.monotonic() + _LOAD_S

    def send_requests(_: int) -> int:  # noqa: WPS430
        count = 0
        while time.monotonic() < stop_at:
            target.complete(max_tokens=tokens, stream=True)
            count += 1
        return count

    started_at = time.monotonic()
    with ThreadPoolExecutor(_CALLER_THREADS) as pool:
        requests = sum(pool.map(send_requests, range(_CALLER_THREADS)))
    elapsed_s = time.monotonic() - started_at
    used_ms = (used_processor_s(fleet) - used_before_s) * _MS_PER_S / requests
    _write_line(
        f'| {target.name} | {_CALLER_THREADS} callers, {tokens} tokens each '
        f'| {requests / elapsed_s:.0f} | {requests * tokens / elapsed_s:.0f} '
        f'| {used_ms:.2f} |'
    )


def _measure_open_streams() -> None:
    _write_line('\n| open streams | daemon resident MB | KB a stream |')
    _write_line('| --- | --- | --- |')
    for count in _OPEN_STREAM_COUNTS:
        with measured_fleet(token_s=_SLOW_TOKEN_INTERVAL_S) as (fleet, _, daemon):
            before_kb = resident_kb(fleet)
            opened = _open_streams(fleet, daemon, count)
            after_kb = resident_kb(fleet)
            _write_line(
                f'| {opened} | {after_kb / _KB_PER_MB:.0f} '
                f'| {(after_kb - before_kb) / max(1, opened):.0f} |'
            )


def _open_streams(fleet: Fleet, daemon: Target, count: int) -> int:
    """Open streams, leave them open, and return how many sent a first line."""
    started = threading.Semaphore(0)
    for index in range(count):
        model = f'bench-{index % ADAPTER_COUNT}'
        threading.Thread(
            target=_read_stream, args=(daemon, model, started), daemon=True
        ).start()
    deadline = time.monotonic() + _OPEN_STREAMS_TIMEOUT_S
    opened = 0
    while opened < count and started.acquire(timeout=deadline - time.monotonic()):
        opened += 1
    return opened


def _read_stream(daemon: Target, model: str, started: threading.Semaphore) -> None:
    document = {'model': model, 'prompt': 'open', 'max_tokens': 60, 'stream': True}
    request = HttpRequest(
        'POST', '/v1/completions', json.dumps(document).encode(), daemon.headers
    )
    client = HttpClient(
        daemon.client.address, timeout_s=REQUEST_TIMEOUT_S, step='bench'
    )
    # The fleet stops while the streams are open, so their reads end in an error.
    with suppress(OSError, HTTPException, PeerError):
        with client.stream(request, timeout_s=REQUEST_TIMEOUT_S) as response:
            if response.status == HTTPStatus.OK and response.readline():
                started.release()
            response.read()


def _write_line(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    main()
