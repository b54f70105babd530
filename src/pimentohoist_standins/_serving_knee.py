"""Runs one engine whose knee is not the operators' setting, in virtual time."""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass

from pimentohoist._decisions.endpoint import EndpointState
from pimentohoist._decisions.queue import QueuedRequest
from pimentohoist.models import AdapterVersion
from pimentohoist_standins._serving_workload import SERVICE_S, percentile
from pimentohoist_standins._virtual_time import Loop, Server

SETTING = 16
TRUE_KNEES = (8, 12, 16, 24, 32)
_QUIET_S = 60.0
_QUIET_LOAD = 0.3
"""Share of what the engine carries while it is quiet, at first."""

_BUSY_LOAD = 0.9
_BUSY_S = 600.0
_MEASURED_FROM_S = 360.0
_DEADLINE_S = 10.0
_MIN_SIZE = 0.5
_MAX_SIZE = 1.5
_COST_TOKENS = 100.0
_TICK_S = 0.1
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
    """An engine and whether its knee is looked for."""

    true_knee: int
    is_found: bool
    seed: int

    def cells(self) -> Iterator[str]:
        """Run it and yield the cells of its row."""
        run = KneeRun(self)
        run.run()
        measured = len(run.latencies) + run.refused
        yield from (str(self.true_knee), 'found' if self.is_found else 'the setting')
        yield str(run.state.admission.knee_requests)
        yield f'{self.true_knee / SERVICE_S:.1f}'
        yield f'{len(run.latencies) / (_BUSY_S - _MEASURED_FROM_S):.1f}'
        yield f'{percentile(run.latencies, _MEDIAN):.2f}'
        yield f'{percentile(run.latencies, _TAIL):.2f}'
        yield f'{run.refused / measured * _PERCENT:.2f}'


class KneeRun:
    """One engine at its home, with an adapter that stays resident."""

    def __init__(self, case: KneeCase) -> None:
        self.case = case
        self.loop = Loop()
        self.engine = Server(self.loop, case.true_knee / SERVICE_S, case.true_knee)
        self.state = EndpointState(1, SETTING)
        self.state.apply_report((_ADAPTER,), 0)
        self.latencies: list[float] = []
        self.refused = 0
        self._chance = random.Random(case.seed)

    def run(self) -> None:
        """Run all arrivals."""
        at = float(0)
        number = 0
        while at < _BUSY_S:
            load = _QUIET_LOAD if at < _QUIET_S else _BUSY_LOAD
            at += self._chance.expovariate(load * self.case.true_knee / SERVICE_S)
            self._plan_arrival(str(number), at)
            number += 1
        for tick in range(int(_BUSY_S / _TICK_S)):
            self.loop.at(tick * _TICK_S, self._decide)
        self.loop.run(_BUSY_S + _DEADLINE_S)

    def _plan_arrival(self, number: str, at: float) -> None:
        # Without a cost in tokens the speed is not known, so the limit stays.
        cost = _COST_TOKENS if self.case.is_found else 0
        entry = QueuedRequest(
            number, 'workspace', _ADAPTER, cost, False, at + _DEADLINE_S, at
        )
        self.loop.at(at, lambda: self._arrive(entry))

    def _arrive(self, entry: QueuedRequest) -> None:
        refusal = self.state.offer(entry, self.loop.now, must_queue=True)
        if refusal is not None:
            self._record_refused()
        self._decide()

    def _decide(self) -> None:
        now = self.loop.now
        for _ in self.state.refuse_hopeless(now):
            self._record_refused()
        for entry in self.state.dispatch(now):
            self._start(entry)

    def _start(self, entry: QueuedRequest) -> None:
        started_at = self.loop.now
        size = self._chance.uniform(_MIN_SIZE, _MAX_SIZE)
        self.engine.start(lambda: self._end(entry, started_at), size)

    def _end(self, entry: QueuedRequest, started_at: float) -> None:
        now = self.loop.now
        self.state.release(entry.request_id, now - started_at, has_failed=False)
        if entry.arrived_at >= _MEASURED_FROM_S:
            self.latencies.append(now - entry.arrived_at)
        self._decide()

    def _record_refused(self) -> None:
        if self.loop.now >= _MEASURED_FROM_S:
            self.refused += 1


def knee_cases(seed: int) -> Iterator[KneeCase]:
    """Yield all cases."""
    for true_knee in TRUE_KNEES:
        for is_found in (False, True):
            yield KneeCase(true_knee, is_found, seed)


def knee_row(case: KneeCase) -> list[str]:
    """Run a case and return its row."""
    return list(case.cells())
