"""Measures placement, loads and queues against a naive router, in virtual time.

Both run the same arrivals on the same store and engines; the daemons' side is the code in
`pimentohoist._decisions` that the daemons run.
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
from pimentohoist_standins._serving_runs import Bench, HomesRouter, Outcome, Router
from pimentohoist_standins._serving_workload import (
    FAULT_S,
    GREEDY,
    MEASURED_S,
    SHARES,
    SLOW_SPEED,
    Case,
    Deployment,
    Fault,
    is_faulty,
    percentile,
)

_SEED = 20
_WORKERS = 3
_SLOTS = (8, 32)
_LOADS = (0.5, 0.8, 1.0)
_FAULT_LOAD = 0.8
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
    """The four measures of one run."""

    case: Case
    router: str
    done_per_s: float
    efficiency: float
    stall_share: float
    stall_p50_s: float
    stall_p99_s: float
    worst_served: float
    worst_p99: float
    refused_share: float
    refused_after_s: float
    done_while_slow_per_s: float

    def cells(self) -> Iterator[str]:
        """Yield the cells of a row."""
        deployment = self.case.deployment
        yield from (deployment.name, str(deployment.slots))
        yield f'{self.case.load * _PERCENT:.0f}'
        yield from (self.case.fault.value, self.router)
        yield from self._rates()
        yield f'{self.efficiency:.3f}'
        yield f'{self.stall_share * _PERCENT:.1f}'
        yield f'{self.stall_p50_s:.2f}'
        yield f'{self.stall_p99_s:.2f}'
        yield f'{self.worst_served:.3f}'
        yield f'{self.worst_p99:.2f}'
        yield f'{self.refused_share * _PERCENT:.3f}'
        yield f'{self.refused_after_s:.1f}' if self.refused_share else ''

    def _rates(self) -> tuple[str, str]:
        """Return bound and result, also those while the store was slow."""
        bound = self.case.deployment.rate_bound
        usual = (f'{bound():.2f}', f'{self.done_per_s:.2f}')
        if self.case.fault is not Fault.SLOW_STORE:
            return usual
        slow_bound = f'{usual[0]}, slow {bound(SLOW_SPEED):.2f}'
        return slow_bound, f'{usual[1]}, slow {self.done_while_slow_per_s:.2f}'


def deployments(slots: int) -> tuple[Deployment, ...]:
    """Return both deployments in their sizes of today."""
    return (
        Deployment(
            'Kavkasia',
            engines=5,
            loads_per_s=2.5,  # noqa: WPS432
            loads_at_once=2,
            knee_requests=16,  # noqa: WPS432
            slots=slots,
        ),
        Deployment(
            'Trentside',
            engines=6,
            loads_per_s=4,
            loads_at_once=3,
            knee_requests=24,  # noqa: WPS432
            slots=slots,
        ),
    )


def cases(seed: int) -> Iterator[Case]:
    """Yield all cases."""
    for slots in _SLOTS:
        for deployment in deployments(slots):
            for load in _LOADS:
                yield Case(deployment, load, Fault.NONE, seed)
            for fault in tuple(Fault)[1:]:
                yield Case(deployment, _FAULT_LOAD, fault, seed)


def measure(case: Case) -> tuple[Result, ...]:
    """Run a case on both routers."""
    return tuple(
        _result(
            case, router.__name__.removesuffix('Router').lower(), _run(case, router)
        )
        for router in _ROUTERS
    )


def _run(case: Case, router: type[Router]) -> list[Outcome]:
    bench = Bench(case)
    outcomes = bench.start(router(bench))
    return [outcome for outcome in outcomes if outcome.arrival.is_measured]


def _result(case: Case, router: str, outcomes: list[Outcome]) -> Result:
    within = [
        outcome
        for outcome in outcomes
        if case.fault is not Fault.GREEDY or outcome.arrival.workspace != GREEDY
    ]
    done = sum(outcome.is_served for outcome in outcomes)
    stalls = [outcome.stall_s for outcome in outcomes if outcome.stalled]
    possible = min(len(outcomes), case.deployment.rate_bound() * MEASURED_S)
    worst_served, worst_p99 = _spread(within)
    return Result(
        case,
        router,
        done_per_s=done / MEASURED_S,
        efficiency=done / possible,
        stall_share=len(stalls) / len(outcomes),
        stall_p50_s=percentile(stalls, _MEDIAN),
        stall_p99_s=percentile(stalls, _TAIL),
        worst_served=worst_served,
        worst_p99=worst_p99,
        refused_share=1 - sum(entry.is_served for entry in within) / len(within),
        refused_after_s=percentile(_refusal_waits(within), _MEDIAN),
        done_while_slow_per_s=_done_while_faulty(outcomes) / FAULT_S,
    )


def _refusal_waits(outcomes: Iterable[Outcome]) -> list[float]:
    waits = (outcome.refused_after_s for outcome in outcomes)
    return [wait_s for wait_s in waits if wait_s is not None]


def _done_while_faulty(outcomes: Iterable[Outcome]) -> int:
    return sum(
        outcome.is_served and is_faulty(outcome.ended_at or 0) for outcome in outcomes
    )


def _spread(outcomes: Iterable[Outcome]) -> tuple[float, float]:
    """Return the worst workspace's served share and p99 over the median's."""
    latencies: dict[str, list[float]] = {workspace: [] for workspace in SHARES}
    served: dict[str, list[bool]] = {workspace: [] for workspace in SHARES}
    for outcome in outcomes:
        workspace = outcome.arrival.workspace
        end = outcome.ended_at or outcome.arrival.deadline
        latencies[workspace].append(end - outcome.arrival.at)
        served[workspace].append(outcome.is_served)
    shares = [statistics.fmean(flags) for flags in served.values() if flags]
    tails = [percentile(times, _TAIL) for times in latencies.values() if times]
    return (
        min(shares) / max(statistics.median(shares), 1 / _PERCENT),
        max(tails) / statistics.median(tails),
    )


def table(headings: Sequence[str], rows: Iterable[Iterable[str]]) -> Iterator[str]:
    """Yield the lines of a Markdown table."""
    yield f'| {" | ".join(headings)} |'
    yield f'|{"---|" * len(headings)}'
    for row in rows:
        yield f'| {" | ".join(row)} |'


def bench(seed: int = _SEED, deployment: str = '', slots: int = 0) -> None:
    """Run all cases, or those of one deployment and number of slots."""
    chosen = [
        case
        for case in cases(seed)
        if deployment in {'', case.deployment.name}
        and slots in {0, case.deployment.slots}
    ]
    with ProcessPoolExecutor(_WORKERS) as pool:
        results = [result for pair in pool.map(measure, chosen) for result in pair]
    _print(table(_HEADINGS, (result.cells() for result in results)))


def bench_knee(seed: int = _SEED) -> None:
    """Measure the knee found on engines whose knee is not the setting."""
    with ProcessPoolExecutor(_WORKERS) as pool:
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
