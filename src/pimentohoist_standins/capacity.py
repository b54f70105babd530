"""Measures how state, memory and processor time grow, and projects the target size.

Each probe is measured at three sizes or more, a line is fitted, and the line is read off
at the size that the target names. ``pimentohoist-capacity`` prints the tables that
``docs/CAPACITY.md`` holds.
"""

from __future__ import annotations

import gc
import json
import sys
import time
import tracemalloc
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from statistics import linear_regression
from typing import Any

import fire

from pimentohoist._configuration_fold import Change, ConfigurationFold, Publish
from pimentohoist._http_client import HttpRequest
from pimentohoist._platform.log import HttpLog
from pimentohoist._view_fold import Join, ViewFold, rank
from pimentohoist.configuration import (
    Adapter,
    EndpointGroup,
    GroupKind,
    Section,
    Workspace,
    section_id,
    section_text,
)
from pimentohoist.models import LogRecord
from pimentohoist_standins.fleet import Fleet

_ADAPTER_SIZES = (1000, 10_000, 50_000)
_MEMBER_SIZES = (8, 64, 370)
_TARGET_ADAPTERS = 50_000
_TARGET_MEMBERS = 370
_REPEATS = 200
_SECTIONS_A_PUBLISH = 500
_BYTES_PER_MB = 1_000_000
_MICROSECONDS_PER_S = 1_000_000
_POLLS = 200
_HOSTS = 250


@dataclass(frozen=True)
class Reading:
    """What a probe measured at one size.

    Attributes
    ----------
    memory_bytes : int
        Memory that the state holds, as counted by tracemalloc.
    step_s : float
        Processor time of one step, such as one publish, in seconds.
    """

    memory_bytes: int
    step_s: float


@dataclass(frozen=True)
class Probe:
    """A piece of state whose growth is measured.

    Attributes
    ----------
    role : str
        Role of the daemon that holds the state.
    step : str
        What one step is.
    build : callable
        Makes the state at a size.
    advance : callable
        Takes one step on the state; gets the state and the step's number.
    """

    role: str
    step: str
    unit: str
    sizes: tuple[int, ...]
    target: int
    build: Callable[[int], Any]
    advance: Callable[[Any, int], None]

    def read(self, size: int) -> Reading:
        """Measure at one size."""
        gc.collect()
        tracemalloc.start()
        state = self.build(size)
        gc.collect()
        memory_bytes, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        started_at = time.process_time()
        for number in range(_REPEATS):
            self.advance(state, number)
        return Reading(memory_bytes, (time.process_time() - started_at) / _REPEATS)

    def rows(self) -> Iterator[str]:
        """Yield a row for each size and one for the target's projection."""
        readings = [self.read(size) for size in self.sizes]
        memory_bytes = [reading.memory_bytes for reading in readings]
        steps_s = [reading.step_s for reading in readings]
        for size, held, step_s in zip(self.sizes, memory_bytes, steps_s, strict=True):
            yield self._row(f'{size:,}', held, step_s)
        memory = _line(self.sizes, memory_bytes)
        step = _line(self.sizes, steps_s)
        name = f'line at {self.target:,}'
        yield self._row(name, memory(self.target), step(self.target))

    def _row(self, size: str, memory_bytes: float, step_s: float) -> str:
        memory = f'{memory_bytes / _BYTES_PER_MB:.3f}'
        step = f'{step_s * _MICROSECONDS_PER_S:.1f}'
        return f'| {self.role} | {size} {self.unit} | {memory} | {self.step} | {step} |'


def _line(
    sizes: tuple[int, ...], readings: Sequence[float]
) -> Callable[[float], float]:
    slope, intercept = linear_regression(sizes, readings)
    return lambda size: slope * size + intercept


def _publish(offset: int, *sections: Section) -> LogRecord:
    changes = tuple(
        Change(section=section_id(section), text=section_text(section))
        for section in sections
    )
    publish = Publish(
        publish_id=f'publish-{offset}', base_offset=offset, changes=changes
    )
    return LogRecord(offset, publish.model_dump_json().encode())


def _adapter(index: int, *versions: int) -> Adapter:
    return Adapter(
        f'adapter-{index}',
        'review',
        versions or (1,),
        default_version=1,
        workspaces=('house',),
    )


def build_configuration(size: int) -> ConfigurationFold:
    """Return a fold that holds so many adapters."""
    fold = ConfigurationFold()
    fold.apply(
        _publish(
            0,
            Workspace('house', rate_tokens_per_s=1, burst_tokens=1),
            EndpointGroup('review', GroupKind.ENGINE),
        )
    )
    for offset, start in enumerate(range(0, size, _SECTIONS_A_PUBLISH), start=1):
        adapters = range(start, min(size, start + _SECTIONS_A_PUBLISH))
        fold.apply(_publish(offset, *(_adapter(index) for index in adapters)))
    return fold


def change_adapter(fold: ConfigurationFold, number: int) -> None:
    """Publish a new version of one adapter, as an operator would."""
    fold.apply(_publish(fold.next_offset, _adapter(number, 1, 2)))


def build_view(size: int) -> ViewFold:
    """Return a fold that holds so many members."""
    fold = ViewFold()
    for offset in range(size):
        fold.apply(LogRecord(offset, _join(offset)))
    return fold


def _join(number: int) -> bytes:
    join = Join(
        incarnation=f'entry-{number}-0123456789ab',
        peer_address=f'10.0.{number % _HOSTS}.1:8002',
        callers_address=f'10.0.{number % _HOSTS}.1:8000',
        failure_domain=f'domain-{number % 7}',
    )
    return join.model_dump_json().encode()


def find_home(fold: ViewFold, number: int) -> None:
    """Find one thing's home anew, as after a change of view."""
    rank(f'shares/{number}', fold.members.values())


def change_view(fold: ViewFold, number: int) -> None:
    """Apply one join."""
    offset = fold.next_offset
    fold.apply(LogRecord(offset, _join(offset)))


PROBES = (
    Probe(
        'configuration reader',
        'publish of one section',
        'adapters',
        _ADAPTER_SIZES,
        _TARGET_ADAPTERS,
        build_configuration,
        change_adapter,
    ),
    Probe(
        'every role: view',
        'join',
        'members',
        _MEMBER_SIZES,
        _TARGET_MEMBERS,
        build_view,
        change_view,
    ),
    Probe(
        'every role: homes',
        'home of one thing',
        'members',
        _MEMBER_SIZES,
        _TARGET_MEMBERS,
        build_view,
        find_home,
    ),
)


def measure_long_poll() -> str:
    """Return processor time and bytes of one empty long poll of the log."""
    with Fleet() as fleet:
        log = HttpLog(fleet.addresses['log'], timeout_s=2)
        started_at = time.process_time()
        for _ in range(_POLLS):
            log.read('idle', 0, wait_s=0)
        poll_s = (time.process_time() - started_at) / _POLLS
        request = HttpRequest.of_json('GET', '/streams/idle?offset=0&wait_s=0')
        reply = fleet.ask('log', request)
    sent = len(request.path) + sum(len(name) for name in request.headers)
    received = len(reply.body) + len(json.dumps(dict(reply.headers)))
    return (
        f'| reader of one idle stream | {poll_s * _MICROSECONDS_PER_S:.0f} µs '
        f'| about {sent + received} bytes |'
    )


def run() -> None:
    """Measure every probe and print the tables."""
    sys.stdout.write(
        '| role | size | memory MB | step | processor time µs |\n'
        '|---|---|---|---|---|\n'
    )
    for probe in PROBES:
        for row in probe.rows():
            sys.stdout.write(f'{row}\n')
    sys.stdout.write('\n| role | one long poll | on the wire |\n|---|---|---|\n')
    sys.stdout.write(f'{measure_long_poll()}\n')


def main() -> None:
    """Run ``pimentohoist-capacity``."""
    fire.Fire(run, name='pimentohoist-capacity')
