"""Measures how state, memory and processor time grow, and projects the target size.

Each probe is measured at three sizes or more, a line is fitted, and the line is read off
at the size that the target names. ``pimentohoist-capacity`` prints the tables that
``docs/CAPACITY.md`` holds.
"""

from __future__ import annotations

import gc
import sys
import time
import tracemalloc
from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass
from statistics import linear_regression
from typing import Any

import fire

from pimentohoist._view_fold import JoinRecord, ViewFold, rank_members
from pimentohoist.models import LogRecord
from pimentohoist_standins._capacity_configuration import (
    build_configuration,
    build_different,
    change_adapter,
    measure_restore,
)
from pimentohoist_standins._capacity_polls import measure_polls
from pimentohoist_standins._capacity_roles import (
    apply_claim,
    build_claims,
    build_endpoints,
    build_shares,
    grant_tokens,
    message_rows,
    run_request,
)

_ADAPTER_SIZES = (1000, 10_000, 50_000)
_MEMBER_SIZES = (8, 64, 370)
_ENGINE_SIZES = (1, 4, 16)
_TARGET_ENGINES = 4.3
_WORKSPACE_SIZES = (5, 50, 500)
_CLAIM_SIZES = (1000, 4000, 16_000)
_TARGET_CLAIMS = 100_000
_TARGET_ADAPTERS = 50_000
_TARGET_MEMBERS = 370
_REPEATS = 200
_BYTES_PER_MB = 1_000_000
_MICROSECONDS_PER_S = 1_000_000
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
    target: float
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


def build_view(size: int) -> ViewFold:
    """Return a fold that holds so many members."""
    fold = ViewFold()
    for offset in range(size):
        fold.apply(LogRecord(offset, _join(offset)))
    return fold


def _join(number: int) -> bytes:
    join = JoinRecord(
        incarnation=f'entry-{number}-0123456789ab',
        peer_address=f'10.0.{number % _HOSTS}.1:8002',
        callers_address=f'10.0.{number % _HOSTS}.1:8000',
        failure_domain=f'domain-{number % 7}',
    )
    return join.model_dump_json().encode()


def find_owner(fold: ViewFold, number: int) -> None:
    """Find one thing's home anew, as after a change of view."""
    rank_members(f'shares/{number}', fold.members.values())


def change_view(fold: ViewFold, number: int) -> None:
    """Apply one join."""
    offset = fold.next_offset
    fold.apply(LogRecord(offset, _join(offset)))


PROBES = (
    Probe(
        'configuration reader, no text shared',
        'publish of one section',
        'adapters',
        _ADAPTER_SIZES,
        _TARGET_ADAPTERS,
        build_different,
        change_adapter,
    ),
    Probe(
        'endpoint home, 15 of 16 places taken',
        'request queued, started, ended',
        'engines',
        _ENGINE_SIZES,
        _TARGET_ENGINES,
        build_endpoints,
        run_request,
    ),
    Probe(
        'share home, 3 shares each',
        'grant and its use',
        'workspaces',
        _WORKSPACE_SIZES,
        _WORKSPACE_SIZES[-1],
        build_shares,
        grant_tokens,
    ),
    Probe(
        'claims',
        'claim and outcome',
        'claims',
        _CLAIM_SIZES,
        _TARGET_CLAIMS,
        build_claims,
        apply_claim,
    ),
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
        find_owner,
    ),
)


def run() -> None:
    """Measure every probe and print the tables."""
    _table('| role | size | memory MB | step | processor time µs |')
    for probe in PROBES:
        _write(probe.rows())
    _table('| adapters | restore, s of a core | lock held, ms of a core |')
    for size in _ADAPTER_SIZES:
        _write((measure_restore(size),))
    _table('| call | view | bytes of messages | calls/s | bytes/s |')
    for members in _MEMBER_SIZES:
        _write(message_rows(members))
    _table('| records in a poll | bytes asked | bytes answered | processor time µs |')
    _write(measure_polls())


def _write(rows: Iterable[str]) -> None:
    for row in rows:
        sys.stdout.write(f'{row}\n')


def _table(heading: str) -> None:
    rule = '|---' * (heading.count('|') - 1)
    sys.stdout.write(f'\n{heading}\n{rule}|\n')


def main() -> None:
    """Run ``pimentohoist-capacity``."""
    fire.Fire(run, name='pimentohoist-capacity')
