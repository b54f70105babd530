"""Simulation of the knee's estimate on an engine, in virtual time."""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass

from pimentohoist._decisions.endpoint import EndpointState
from pimentohoist._decisions.queue import QueuedRequest
from pimentohoist.models import AdapterVersion
from pimentohoist_standins._serving_workload import SERVICE_S, percentile
from pimentohoist_standins._virtual_time import EventLoop, ProcessorSharingServer

CONFIGURED_KNEE_REQUESTS = 16
TRUE_KNEE_REQUESTS = (8, 12, 16, 24, 32)
_QUIET_S = 60.0
_QUIET_LOAD = 0.3
"""Load during the first `_QUIET_S` seconds, as a share of the engine's capacity."""

_BUSY_LOAD = 0.9
_BUSY_S = 600.0
_MEASURED_FROM_S = 360.0
_DEADLINE_S = 10.0
_MIN_REQUEST_SIZE = 0.5
_MAX_REQUEST_SIZE = 1.5
_COST_TOKENS = 100.0
_TICK_INTERVAL_S = 0.1
_MEDIAN = 0.5
_TAIL = 0.99
_PERCENT = 100
_ADAPTER = AdapterVersion('adapter', 1)
HEADINGS = (
    'true knee',
    'limit',
    'limit at the end',
    'possible req/s',
    'done req/s',
    'p50 s',
    'p99 s',
    'refused %',
)


@dataclass(frozen=True, slots=True)
class KneeCase:
    """An engine's true knee, and whether its admission limit is estimated."""

    true_knee: int
    is_estimated: bool
    seed: int

    def cells(self) -> Iterator[str]:
        """Run the case and yield the cells of its row."""
        simulation = KneeSimulation(self)
        simulation.run()
        measured = len(simulation.latencies) + simulation.refused
        yield from (
            str(self.true_knee),
            'found' if self.is_estimated else 'the setting',
        )
        yield str(simulation.state.admission.knee_requests)
        yield f'{self.true_knee / SERVICE_S:.1f}'
        yield f'{len(simulation.latencies) / (_BUSY_S - _MEASURED_FROM_S):.1f}'
        yield f'{percentile(simulation.latencies, _MEDIAN):.2f}'
        yield f'{percentile(simulation.latencies, _TAIL):.2f}'
        yield f'{simulation.refused / measured * _PERCENT:.2f}'


class KneeSimulation:
    """Simulates one engine with one adapter that stays resident."""

    def __init__(self, case: KneeCase) -> None:
        self.case = case
        self.loop = EventLoop()
        self.engine = ProcessorSharingServer(
            self.loop, case.true_knee / SERVICE_S, case.true_knee
        )
        self.state = EndpointState(1, CONFIGURED_KNEE_REQUESTS)
        self.state.apply_report((_ADAPTER,), 0)
        self.latencies: list[float] = []
        self.refused = 0
        self._rng = random.Random(case.seed)

    def run(self) -> None:
        """Run all arrivals."""
        at = float(0)
        number = 0
        while at < _BUSY_S:
            load = _QUIET_LOAD if at < _QUIET_S else _BUSY_LOAD
            at += self._rng.expovariate(load * self.case.true_knee / SERVICE_S)
            self._schedule_arrival(str(number), at)
            number += 1
        for tick in range(int(_BUSY_S / _TICK_INTERVAL_S)):
            self.loop.schedule(tick * _TICK_INTERVAL_S, self._dispatch)
        self.loop.run(_BUSY_S + _DEADLINE_S)

    def _schedule_arrival(self, number: str, at: float) -> None:
        # Without a cost in tokens the speed is unknown, so the limit never changes.
        cost = _COST_TOKENS if self.case.is_estimated else 0
        entry = QueuedRequest(
            number, 'workspace', _ADAPTER, cost, False, at + _DEADLINE_S, at
        )
        self.loop.schedule(at, lambda: self._arrive(entry))

    def _arrive(self, entry: QueuedRequest) -> None:
        refusal = self.state.enqueue(entry, self.loop.now, must_queue=True)
        if refusal is not None:
            self._record_refusal()
        self._dispatch()

    def _dispatch(self) -> None:
        now = self.loop.now
        for _ in self.state.refuse_late(now):
            self._record_refusal()
        for entry in self.state.dispatch(now):
            self._start(entry)

    def _start(self, entry: QueuedRequest) -> None:
        started_at = self.loop.now
        size = self._rng.uniform(_MIN_REQUEST_SIZE, _MAX_REQUEST_SIZE)
        self.engine.start(lambda: self._end(entry, started_at), size)

    def _end(self, entry: QueuedRequest, started_at: float) -> None:
        now = self.loop.now
        self.state.release(entry.request_id, now - started_at, has_failed=False)
        if entry.arrived_at >= _MEASURED_FROM_S:
            self.latencies.append(now - entry.arrived_at)
        self._dispatch()

    def _record_refusal(self) -> None:
        if self.loop.now >= _MEASURED_FROM_S:
            self.refused += 1


def knee_cases(seed: int) -> Iterator[KneeCase]:
    """Yield all cases."""
    for true_knee in TRUE_KNEE_REQUESTS:
        for is_estimated in (False, True):
            yield KneeCase(true_knee, is_estimated, seed)


def knee_row(case: KneeCase) -> list[str]:
    """Run a case and return its row."""
    return list(case.cells())
