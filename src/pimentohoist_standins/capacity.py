"""Measures how memory and processor time grow with the state's size.

Each probe is measured at three sizes or more, and a fitted line projects the result to
the target size. ``pimentohoist-capacity`` prints the tables that
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
_STEPS_PER_MEASUREMENT = 200
_BYTES_PER_MB = 1_000_000
_US_PER_S = 1_000_000
_HOST_COUNT = 250


@dataclass(frozen=True)
class Measurement:
    """The memory and processor time of a probe at one size.

    Attributes
    ----------
    memory_bytes : int
        Memory of the state, as counted by tracemalloc.
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
        Description of one step.
    build : callable
        Returns the state at a size.
    advance : callable
        Executes one step on the state, given the state and the step's number.
    """

    role: str
    step: str
    unit: str
    sizes: tuple[int, ...]
    target: float
    build: Callable[[int], Any]
    advance: Callable[[Any, int], None]

    def measure(self, size: int) -> Measurement:
        """Measure at one size."""
        gc.collect()
        tracemalloc.start()
        state = self.build(size)
        gc.collect()
        memory_bytes, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        started_at = time.process_time()
        for number in range(_STEPS_PER_MEASUREMENT):
            self.advance(state, number)
        return Measurement(
            memory_bytes, (time.process_time() - started_at) / _STEPS_PER_MEASUREMENT
        )

    def rows(self) -> Iterator[str]:
        """Yield a row for each size and one projected to the target size."""
        measurements = [self.measure(size) for size in self.sizes]
        memory_bytes = [measurement.memory_bytes for measurement in measurements]
        steps_s = [measurement.step_s for measurement in measurements]
        for size, size_bytes, step_s in zip(
            self.sizes, memory_bytes, steps_s, strict=True
        ):
            yield self._row(f'{size:,}', size_bytes, step_s)
        memory = _fit_line(self.sizes, memory_bytes)
        step = _fit_line(self.sizes, steps_s)
        name = f'line at {self.target:,}'
        yield self._row(name, memory(self.target), step(self.target))

    def _row(self, size: str, memory_bytes: float, step_s: float) -> str:
        memory = f'{memory_bytes / _BYTES_PER_MB:.3f}'
        step = f'{step_s * _US_PER_S:.1f}'
        return f'| {self.role} | {size} {self.unit} | {memory} | {self.step} | {step} |'


def _fit_line(
    sizes: tuple[int, ...], measurements: Sequence[float]
) -> Callable[[float], float]:
    slope, intercept = linear_regression(sizes, measurements)
    return lambda size: slope * size + intercept


def build_view(size: int) -> ViewFold:
    """Return a view fold with `size` members."""
    fold = ViewFold()
    for offset in range(size):
        fold.apply(LogRecord(offset, _join(offset)))
    return fold


def _join(number: int) -> bytes:
    join = JoinRecord(
        incarnation=f'entry-{number}-0123456789ab',
        peer_address=f'10.0.{number % _HOST_COUNT}.1:8002',
        callers_address=f'10.0.{number % _HOST_COUNT}.1:8000',
        failure_domain=f'domain-{number % 7}',
    )
    return join.model_dump_json().encode()


def find_owner(fold: ViewFold, number: int) -> None:
    """Find the owner of one resource key, as after a change of view."""
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
    _write_table_head('| role | size | memory MB | step | processor time µs |')
    for probe in PROBES:
        _write_rows(probe.rows())
    _write_table_head('| adapters | restore, s of a core | lock held, ms of a core |')
    for size in _ADAPTER_SIZES:
        _write_rows((measure_restore(size),))
    _write_table_head('| call | view | bytes of messages | calls/s | bytes/s |')
    for members in _MEMBER_SIZES:
        _write_rows(message_rows(members))
    _write_table_head(
        '| records in a poll | bytes asked | bytes answered | processor time µs |'
    )
    _write_rows(measure_polls())


def _write_rows(rows: Iterable[str]) -> None:
    for row in rows:
        sys.stdout.write(f'{row}\n')


def _write_table_head(heading: str) -> None:
    rule = '|---' * (heading.count('|') - 1)
    sys.stdout.write(f'\n{heading}\n{rule}|\n')


def main() -> None:
    """Run ``pimentohoist-capacity``."""
    fire.Fire(run, name='pimentohoist-capacity')
