"""Benchmark of placement, loads and queues against a naive router, in virtual time.

Both routers get the same arrivals on the same simulated store and engines;
`HomesRouter` runs the daemons' own code in `pimentohoist._decisions`.
"""

from __future__ import annotations

import statistics
import sys
from collections.abc import Iterable, Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass

import fire

from pimentohoist_standins._serving_knee import HEADINGS as KNEE_HEADINGS
from pimentohoist_standins._serving_knee import knee_cases, knee_row
from pimentohoist_standins._serving_naive import NaiveRouter
from pimentohoist_standins._serving_runs import Simulation, HomesRouter, Outcome, Router
from pimentohoist_standins._serving_workload import (
    FAULT_S,
    GREEDY_WORKSPACE,
    MEASURED_S,
    WORKSPACE_SHARES,
    SLOW_STORE_SPEED,
    Case,
    Deployment,
    Fault,
    is_fault_time,
    percentile,
)

_DEFAULT_SEED = 20
_MAX_WORKER_PROCESSES = 3
_SLOT_COUNTS = (8, 32)
_LOAD_SHARES = (0.5, 0.8, 1.0)
_FAULT_LOAD_SHARE = 0.8
_MEDIAN = 0.5
_TAIL = 0.99
_PERCENT = 100
_ROUTERS: tuple[type[Router], ...] = (HomesRouter, NaiveRouter)
_HEADINGS = (
    'deployment',
    'slots',
    'load %',
    'fault',
    'router',
    'bound req/s',
    'done req/s',
    'efficiency',
    'stalls %',
    'stall p50 s',
    'stall p99 s',
    'worst served / median',
    'worst p99 / median',
    'refused within rate %',
    'refused after s, p50',
)


@dataclass(frozen=True, slots=True)
class Result:
    """The measures of one run of a case on a router."""

    case: Case
    router: str
    completed_per_s: float
    efficiency: float
    stall_share: float
    stall_p50_s: float
    stall_p99_s: float
    worst_served: float
    worst_p99: float
    refused_share: float
    refused_after_s: float
    completed_while_slow_per_s: float

    def cells(self) -> Iterator[str]:
        """Yield the cells of a row."""
        deployment = self.case.deployment
        yield from (deployment.name, str(deployment.slots))
        yield f'{self.case.load * _PERCENT:.0f}'
        yield from (self.case.fault.value, self.router)
        yield from self._rate_cells()
        yield f'{self.efficiency:.3f}'
        yield f'{self.stall_share * _PERCENT:.1f}'
        yield f'{self.stall_p50_s:.2f}'
        yield f'{self.stall_p99_s:.2f}'
        yield f'{self.worst_served:.3f}'
        yield f'{self.worst_p99:.2f}'
        yield f'{self.refused_share * _PERCENT:.3f}'
        yield f'{self.refused_after_s:.1f}' if self.refused_share else ''

    def _rate_cells(self) -> tuple[str, str]:
        """Return the cells of the bound and of the rate reached.

        If the case slows the store, both also have the figure during the fault.
        """
        bound = self.case.deployment.rate_bound
        usual = (f'{bound():.2f}', f'{self.completed_per_s:.2f}')
        if self.case.fault is not Fault.SLOW_STORE:
            return usual
        slow_bound = f'{usual[0]}, slow {bound(SLOW_STORE_SPEED):.2f}'
        return slow_bound, f'{usual[1]}, slow {self.completed_while_slow_per_s:.2f}'


def deployments(slots: int) -> tuple[Deployment, ...]:
    """Return both deployments at their current sizes."""
    return (
        Deployment(
            'Kavkasia',
            engines=5,
            loads_per_s=2.5,  # noqa: WPS432
            max_parallel_loads=2,
            knee_requests=16,  # noqa: WPS432
            slots=slots,
        ),
        Deployment(
            'Trentside',
            engines=6,
            loads_per_s=4,
            max_parallel_loads=3,
            knee_requests=24,  # noqa: WPS432
            slots=slots,
        ),
    )


def cases(seed: int) -> Iterator[Case]:
    """Yield all cases."""
    for slots in _SLOT_COUNTS:
        for deployment in deployments(slots):
            for load in _LOAD_SHARES:
                yield Case(deployment, load, Fault.NONE, seed)
            for fault in tuple(Fault)[1:]:
                yield Case(deployment, _FAULT_LOAD_SHARE, fault, seed)


def measure(case: Case) -> tuple[Result, ...]:
    """Run a case on each router."""
    return tuple(
        _make_result(
            case,
            router.__name__.removesuffix('Router').lower(),
            _simulate(case, router),
        )
        for router in _ROUTERS
    )


def _simulate(case: Case, router: type[Router]) -> list[Outcome]:
    simulation = Simulation(case)
    outcomes = simulation.start(router(simulation))
    return [outcome for outcome in outcomes if outcome.arrival.is_measured]


def _make_result(case: Case, router: str, outcomes: list[Outcome]) -> Result:
    within_rate = [
        outcome
        for outcome in outcomes
        if case.fault is not Fault.GREEDY
        or outcome.arrival.workspace != GREEDY_WORKSPACE
    ]
    completed = sum(outcome.is_served for outcome in outcomes)
    stalls = [outcome.stall_s for outcome in outcomes if outcome.has_stalled]
    max_completed = min(len(outcomes), case.deployment.rate_bound() * MEASURED_S)
    worst_served, worst_p99 = _worst_workspace(within_rate)
    return Result(
        case,
        router,
        completed_per_s=completed / MEASURED_S,
        efficiency=completed / max_completed,
        stall_share=len(stalls) / len(outcomes),
        stall_p50_s=percentile(stalls, _MEDIAN),
        stall_p99_s=percentile(stalls, _TAIL),
        worst_served=worst_served,
        worst_p99=worst_p99,
        refused_share=1
        - sum(entry.is_served for entry in within_rate) / len(within_rate),
        refused_after_s=percentile(_refusal_waits_s(within_rate), _MEDIAN),
        completed_while_slow_per_s=_completed_during_fault(outcomes) / FAULT_S,
    )


def _refusal_waits_s(outcomes: Iterable[Outcome]) -> list[float]:
    waits = (outcome.refused_after_s for outcome in outcomes)
    return [wait_s for wait_s in waits if wait_s is not None]


def _completed_during_fault(outcomes: Iterable[Outcome]) -> int:
    return sum(
        outcome.is_served and is_fault_time(outcome.ended_at or 0)
        for outcome in outcomes
    )


def _worst_workspace(outcomes: Iterable[Outcome]) -> tuple[float, float]:
    """Return the worst workspace's served share and p99 latency.

    Both are relative to the median of all workspaces.
    """
    latencies: dict[str, list[float]] = {
        workspace: [] for workspace in WORKSPACE_SHARES
    }
    served: dict[str, list[bool]] = {workspace: [] for workspace in WORKSPACE_SHARES}
    for outcome in outcomes:
        workspace = outcome.arrival.workspace
        end = outcome.ended_at or outcome.arrival.deadline
        latencies[workspace].append(end - outcome.arrival.arrived_at)
        served[workspace].append(outcome.is_served)
    shares = [statistics.fmean(flags) for flags in served.values() if flags]
    tail_latencies = [percentile(times, _TAIL) for times in latencies.values() if times]
    return (
        min(shares) / max(statistics.median(shares), 1 / _PERCENT),
        max(tail_latencies) / statistics.median(tail_latencies),
    )


def table(headings: Sequence[str], rows: Iterable[Iterable[str]]) -> Iterator[str]:
    """Yield the lines of a Markdown table."""
    yield f'| {" | ".join(headings)} |'
    yield f'|{"---|" * len(headings)}'
    for row in rows:
        yield f'| {" | ".join(row)} |'


def bench(seed: int = _DEFAULT_SEED, deployment: str = '', slots: int = 0) -> None:
    """Run all cases, or those of one deployment and number of slots."""
    chosen = [
        case
        for case in cases(seed)
        if deployment in {'', case.deployment.name}
        and slots in {0, case.deployment.slots}
    ]
    with ProcessPoolExecutor(_MAX_WORKER_PROCESSES) as pool:
        results = [result for pair in pool.map(measure, chosen) for result in pair]
    _print(table(_HEADINGS, (result.cells() for result in results)))


def bench_knee(seed: int = _DEFAULT_SEED) -> None:
    """Measure the knee found on engines whose knee is not the setting."""
    with ProcessPoolExecutor(_MAX_WORKER_PROCESSES) as pool:
        rows = list(pool.map(knee_row, knee_cases(seed)))
    _print(table(KNEE_HEADINGS, rows))


def _print(lines: Iterable[str]) -> None:
    for line in lines:
        sys.stdout.write(f'{line}\n')


def main() -> None:
    """Run a benchmark."""
    commands = {'serving': bench, 'knee': bench_knee}
    fire.Fire(commands, name='bench-serving')


if __name__ == '__main__':
    main()
