"""Measures first tokens and the time between tokens at callers under a stated load.

Streams begin at an even rate, whether earlier ones have ended or not. The callers are
processes of their own, so that their interpreters don't hold one another up.
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
    ADAPTERS,
    DAEMON,
    ENGINES,
    MODEL,
    TIMEOUT_S,
    direct_engine,
    measured_fleet,
    processor_s,
)
from pimentohoist_standins.fleet import Fleet

_RATES_PER_S = (4, 8, 16)
_TOKENS = 200
_TOKEN_S = 0.03
_CALLER_PROCESSES = 4
_LOAD_S = 20.0
_START_DELAY_S = 2.0
_US_PER_S = 1_000_000
_MS_PER_S = 1000
_MAX_US = 60 * _US_PER_S
_DIGITS = 3
_TOKEN_PREFIX = b'data: {'
_NOTHING: Mapping[str, float] = MappingProxyType({})
_PERCENTILES = (50, 95, 99)
_FIRST_TOKEN_TARGET_MS = 1100
_BETWEEN_TOKENS_TARGET_MS = 35


@dataclass(frozen=True, slots=True)
class Place:
    """Where streams are sent, and for which models; both are taken in turn."""

    addresses: tuple[str, ...]
    headers: Mapping[str, str]
    models: tuple[str, ...]


@dataclass(slots=True)
class Seen:
    """What callers saw: gaps in microseconds with how often each occurred."""

    first_us: list[int] = field(default_factory=list)
    between_us: list[int] = field(default_factory=list)
    whole: int = 0
    failed: int = 0

    def add(self, other: Seen) -> None:
        """Add what others saw."""
        self.first_us += other.first_us
        self.between_us += other.between_us
        self.whole += other.whole
        self.failed += other.failed

    def count(self, stream: Future[bool]) -> None:
        """Count a stream that has ended."""
        is_whole = stream.exception() is None and stream.result()
        self.whole += int(is_whole)
        self.failed += int(not is_whole)


def main(rates_per_s: Iterable[float] = _RATES_PER_S) -> None:
    """Measure at several rates of streams."""
    _say(
        f'{_TOKENS} tokens a stream, one each {_TOKEN_S * _MS_PER_S:.0f} ms at the '
        f'engine; {_CALLER_PROCESSES} caller processes. Targets at the caller: first '
        f'token {_FIRST_TOKEN_TARGET_MS} ms, between tokens '
        f'{_BETWEEN_TOKENS_TARGET_MS} ms for 95 in 100.\n'
    )
    _say(
        '| path | streams/s | whole | failed | tokens/s | first token p50/p95/p99 ms '
        '| between p50/p95/p99 ms | daemon us/token | cores: daemon, busiest engine '
        '| load average |'
    )
    _say(f'|{" --- |" * 10}')
    with measured_fleet(token_s=_TOKEN_S) as (fleet, _, daemon):
        models = tuple(f'bench-{index}' for index in range(ADAPTERS))
        for model in models:
            daemon.complete(model=model, max_tokens=1)
        engines = [
            direct_engine(fleet, f'direct-{index}', _TOKEN_S)
            for index in range(ENGINES)
        ]
        addresses = tuple(engine.client.address for engine in engines)
        direct = Place(addresses, dict(engines[0].headers), (MODEL,))
        through = Place((daemon.client.address,), dict(daemon.headers), models)
        for rate_per_s in rates_per_s:
            _measure(fleet, 'engines directly', direct, rate_per_s)
            _measure(fleet, 'daemon', through, rate_per_s)


def _measure(fleet: Fleet, name: str, place: Place, rate_per_s: float) -> None:
    """Send streams at a rate and print what callers saw."""
    used_before_s = _used_s(fleet)
    seen, taken_s = _send_from_processes(place, rate_per_s)
    used_s = _used_s(fleet, used_before_s)
    daemon_s = used_s.pop(DAEMON)
    tokens = len(seen.first_us) + len(seen.between_us)
    cells = (
        name,
        f'{rate_per_s:g}',
        str(seen.whole),
        str(seen.failed),
        f'{tokens / taken_s:.0f}',
        _percentiles(seen.first_us),
        _percentiles(seen.between_us),
        f'{daemon_s * _US_PER_S / max(1, tokens):.0f}',
        f'{daemon_s / taken_s:.2f}, {max(used_s.values()) / taken_s:.2f}',
        f'{os.getloadavg()[0]:.1f}',
    )
    _say(f'| {" | ".join(cells)} |')


def _used_s(fleet: Fleet, before_s: Mapping[str, float] = _NOTHING) -> dict[str, float]:
    """Return the processor time that the daemon and all engines used since `before_s`."""
    return {
        name: processor_s(fleet, name) - before_s.get(name, 0)
        for name in fleet.processes
        if name == DAEMON or name.startswith(('engine', 'direct'))
    }


def _send_from_processes(place: Place, rate_per_s: float) -> tuple[Seen, float]:
    """Return what callers saw and the seconds from first to last."""
    whole = Seen()
    start_at = time.time() + _START_DELAY_S
    with ProcessPoolExecutor(_CALLER_PROCESSES, get_context('spawn')) as pool:
        parts = [
            pool.submit(
                send_streams,
                place,
                rate_per_s / _CALLER_PROCESSES,
                start_at + index / rate_per_s,
            )
            for index in range(_CALLER_PROCESSES)
        ]
    for part in parts:
        whole.add(part.result())
    return whole, time.time() - start_at


def send_streams(place: Place, rate_per_s: float, start_at: float) -> Seen:
    """Send streams at an even rate for the time of the load; return what was seen."""
    count = int(rate_per_s * _LOAD_S)
    seen = Seen()
    with ThreadPoolExecutor(count) as pool:
        for index in range(count):
            time.sleep(max(0, start_at + index / rate_per_s - time.time()))
            stream = pool.submit(_send_stream, place, index, seen)
            stream.add_done_callback(seen.count)
    return seen


def _send_stream(place: Place, index: int, seen: Seen) -> bool:
    """Read one stream; return whether it was whole."""
    document = {
        'model': place.models[index % len(place.models)],
        'prompt': f'measure {index}',
        'max_tokens': _TOKENS,
        'stream': True,
        'request_id': f'bench-{os.getpid()}-{index}',
        'cache_salt': '',
        'resume_offset': 0,
    }
    last_at = time.perf_counter()
    host, port = split_address(place.addresses[index % len(place.addresses)])
    gaps_us = []
    with closing(HTTPConnection(host, port, timeout=TIMEOUT_S)) as connection:
        connection.request(
            'POST', '/v1/completions', json.dumps(document), dict(place.headers)
        )
        for line in _answer(connection):
            if line.startswith(_TOKEN_PREFIX):
                now = time.perf_counter()
                gaps_us.append(int((now - last_at) * _US_PER_S))
                last_at = now
    seen.first_us += gaps_us[:1]
    seen.between_us += gaps_us[1:]
    return len(gaps_us) == _TOKENS


def _answer(connection: HTTPConnection) -> HTTPResponse:
    response = connection.getresponse()
    if response.status != HTTPStatus.OK:
        raise HTTPException(f'status {response.status}: {response.read()!r}')
    return response


def _percentiles(gaps_us: Iterable[int]) -> str:
    histogram = HdrHistogram(1, _MAX_US, _DIGITS)
    for gap_us in gaps_us:
        histogram.record_value(max(1, gap_us))
    percentiles_ms = (
        histogram.get_value_at_percentile(percentile) / _MS_PER_S
        for percentile in _PERCENTILES
    )
    return ' / '.join(f'{gap_ms:.1f}' for gap_ms in percentiles_ms)


def _say(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    main()
