"""Benchmark of the time to the first token and between tokens, seen by callers.

Streams start at an even rate, whether earlier ones have ended or not. The callers
run in separate processes, so that they don't contend for one interpreter lock.
"""

from __future__ import annotations

import json
import os
import sys
import time
from collections.abc import Iterable, Mapping
from concurrent.futures import Future, ProcessPoolExecutor, ThreadPoolExecutor
from contextlib import closing
from dataclasses import dataclass, field
from http import HTTPStatus
from http.client import HTTPConnection, HTTPException, HTTPResponse
from multiprocessing import get_context
from types import MappingProxyType

from hdrh.histogram import HdrHistogram

from pimentohoist._addresses import split_address
from pimentohoist_standins._measured_fleet import (
    ADAPTER_COUNT,
    DAEMON,
    ENGINE_COUNT,
    MODEL,
    REQUEST_TIMEOUT_S,
    direct_engine,
    measured_fleet,
    used_processor_s,
)
from pimentohoist_standins.fleet import Fleet

_RATES_PER_S = (4, 8, 16)
_TOKENS_PER_STREAM = 200
_TOKEN_INTERVAL_S = 0.03
_CALLER_PROCESSES = 4
_LOAD_DURATION_S = 20.0
_START_DELAY_S = 2.0
_US_PER_S = 1_000_000
_MS_PER_S = 1000
_MAX_GAP_US = 60 * _US_PER_S
_SIGNIFICANT_DIGITS = 3
_TOKEN_PREFIX = b'data: {'
_NO_USE_S: Mapping[str, float] = MappingProxyType({})
_PERCENTILES = (50, 95, 99)
_FIRST_TOKEN_TARGET_MS = 1100
_BETWEEN_TOKENS_TARGET_MS = 35


@dataclass(frozen=True, slots=True)
class StreamTarget:
    """The addresses and models that streams are sent to, both used in rotation."""

    addresses: tuple[str, ...]
    headers: Mapping[str, str]
    models: tuple[str, ...]


@dataclass(slots=True)
class StreamTimings:
    """Timings of the streams at the callers.

    Attributes
    ----------
    first_us : list of int
        Time to the first token of each stream, in microseconds.
    between_us : list of int
        Time between tokens, in microseconds.
    complete : int
        Streams that delivered all tokens.
    failed : int
        All other streams.
    """

    first_us: list[int] = field(default_factory=list)
    between_us: list[int] = field(default_factory=list)
    complete: int = 0
    failed: int = 0

    def merge(self, other: StreamTimings) -> None:
        """Add the timings of another caller."""
        self.first_us += other.first_us
        self.between_us += other.between_us
        self.complete += other.complete
        self.failed += other.failed

    def count(self, stream: Future[bool]) -> None:
        """Count an ended stream as complete or failed."""
        is_complete = stream.exception() is None and stream.result()
        self.complete += int(is_complete)
        self.failed += int(not is_complete)


def main(rates_per_s: Iterable[float] = _RATES_PER_S) -> None:
    """Measure several rates of streams, on engines directly and through the daemon."""
    _write_line(
        f'{_TOKENS_PER_STREAM} tokens a stream, one each '
        f'{_TOKEN_INTERVAL_S * _MS_PER_S:.0f} ms at the engine; '
        f'{_CALLER_PROCESSES} caller processes. Targets at the caller: first '
        f'token {_FIRST_TOKEN_TARGET_MS} ms, between tokens '
        f'{_BETWEEN_TOKENS_TARGET_MS} ms for 95 in 100.\n'
    )
    _write_line(
        '| path | streams/s | whole | failed | tokens/s | first token p50/p95/p99 ms '
        '| between p50/p95/p99 ms | daemon us/token | cores: daemon, busiest engine '
        '| load average |'
    )
    _write_line(f'|{" --- |" * 10}')
    with measured_fleet(token_s=_TOKEN_INTERVAL_S) as (fleet, _, daemon):
        models = tuple(f'bench-{index}' for index in range(ADAPTER_COUNT))
        for model in models:
            daemon.complete(model=model, max_tokens=1)
        engines = [
            direct_engine(fleet, f'direct-{index}', _TOKEN_INTERVAL_S)
            for index in range(ENGINE_COUNT)
        ]
        addresses = tuple(engine.client.address for engine in engines)
        direct = StreamTarget(addresses, dict(engines[0].headers), (MODEL,))
        through_daemon = StreamTarget(
            (daemon.client.address,), dict(daemon.headers), models
        )
        for rate_per_s in rates_per_s:
            _measure(fleet, 'engines directly', direct, rate_per_s)
            _measure(fleet, 'daemon', through_daemon, rate_per_s)


def _measure(fleet: Fleet, name: str, target: StreamTarget, rate_per_s: float) -> None:
    """Send streams at a rate and print the row of the callers' timings."""
    used_before_s = _processor_use_s(fleet)
    timings, elapsed_s = _send_from_caller_processes(target, rate_per_s)
    used_s = _processor_use_s(fleet, used_before_s)
    daemon_s = used_s.pop(DAEMON)
    tokens = len(timings.first_us) + len(timings.between_us)
    cells = (
        name,
        f'{rate_per_s:g}',
        str(timings.complete),
        str(timings.failed),
        f'{tokens / elapsed_s:.0f}',
        _format_percentiles_ms(timings.first_us),
        _format_percentiles_ms(timings.between_us),
        f'{daemon_s * _US_PER_S / max(1, tokens):.0f}',
        f'{daemon_s / elapsed_s:.2f}, {max(used_s.values()) / elapsed_s:.2f}',
        f'{os.getloadavg()[0]:.1f}',
    )
    _write_line(f'| {" | ".join(cells)} |')


def _processor_use_s(
    fleet: Fleet, before_s: Mapping[str, float] = _NO_USE_S
) -> dict[str, float]:
    """Return the processor time that the daemon and all engines used since `before_s`."""
    return {
        name: used_processor_s(fleet, name) - before_s.get(name, 0)
        for name in fleet.processes
        if name == DAEMON or name.startswith(('engine', 'direct'))
    }


def _send_from_caller_processes(
    target: StreamTarget, rate_per_s: float
) -> tuple[StreamTimings, float]:
    """Return the callers' timings and the seconds until the last stream ended."""
    total = StreamTimings()
    start_at = time.time() + _START_DELAY_S
    with ProcessPoolExecutor(_CALLER_PROCESSES, get_context('spawn')) as pool:
        parts = [
            pool.submit(
                send_streams,
                target,
                rate_per_s / _CALLER_PROCESSES,
                start_at + index / rate_per_s,
            )
            for index in range(_CALLER_PROCESSES)
        ]
    for part in parts:
        total.merge(part.result())
    return total, time.time() - start_at


def send_streams(
    target: StreamTarget, rate_per_s: float, start_at: float
) -> StreamTimings:
    """Send streams at an even rate for `_LOAD_DURATION_S`; return their timings."""
    count = int(rate_per_s * _LOAD_DURATION_S)
    timings = StreamTimings()
    with ThreadPoolExecutor(count) as pool:
        for index in range(count):
            time.sleep(max(0, start_at + index / rate_per_s - time.time()))
            stream = pool.submit(_send_stream, target, index, timings)
            stream.add_done_callback(timings.count)
    return timings


def _send_stream(target: StreamTarget, index: int, timings: StreamTimings) -> bool:
    """Read one stream; return whether it delivered all tokens."""
    document = {
        'model': target.models[index % len(target.models)],
        'prompt': f'measure {index}',
        'max_tokens': _TOKENS_PER_STREAM,
        'stream': True,
        'request_id': f'bench-{os.getpid()}-{index}',
        'cache_salt': '',
        'resume_offset': 0,
    }
    last_at = time.perf_counter()
    host, port = split_address(target.addresses[index % len(target.addresses)])
    gaps_us = []
    with closing(HTTPConnection(host, port, timeout=REQUEST_TIMEOUT_S)) as connection:
        connection.request(
            'POST', '/v1/completions', json.dumps(document), dict(target.headers)
        )
        for line in _open_response(connection):
            if line.startswith(_TOKEN_PREFIX):
                now = time.perf_counter()
                gaps_us.append(int((now - last_at) * _US_PER_S))
                last_at = now
    timings.first_us += gaps_us[:1]
    timings.between_us += gaps_us[1:]
    return len(gaps_us) == _TOKENS_PER_STREAM


def _open_response(connection: HTTPConnection) -> HTTPResponse:
    response = connection.getresponse()
    if response.status != HTTPStatus.OK:
        raise HTTPException(f'status {response.status}: {response.read()!r}')
    return response


def _format_percentiles_ms(gaps_us: Iterable[int]) -> str:
    histogram = HdrHistogram(1, _MAX_GAP_US, _SIGNIFICANT_DIGITS)
    for gap_us in gaps_us:
        histogram.record_value(max(1, gap_us))
    percentiles_ms = (
        histogram.get_value_at_percentile(percentile) / _MS_PER_S
        for percentile in _PERCENTILES
    )
    return ' / '.join(f'{gap_ms:.1f}' for gap_ms in percentiles_ms)


def _write_line(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    main()
