"""Outcome of an experiment as a table row or a JSON document."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

from hdrh.histogram import HdrHistogram

from pimentohoist.exceptions import AuthenticationError, RunState
from pimentohoist_standins._experiment_load import Ending, Result
from pimentohoist_standins._experiment_plan import Experiment

_MS_PER_S = 1000
_MAX_LATENCY_MS = 600_000
_SIGNIFICANT_DIGITS = 3
_MEDIAN_PERCENTILE = 50
_TAIL_PERCENTILE = 99

HEADER = (
    '| faults | requests | ok | not run | other | within rate | p50 ms | p99 ms '
    '| refusals by code and step | broken |\n'
    '|---|---|---|---|---|---|---|---|---|---|'
)


@dataclass(frozen=True, order=True)
class Refusal:
    """A kind of refusal: error code, step and reported execution state."""

    code: str
    step: str
    run_state: str

    def __str__(self) -> str:
        """Return the refusal as it is printed in the report."""
        return f'{self.code} ({self.step}, {self.run_state})'


@dataclass
class Outcome:
    """Results and broken invariants of an experiment."""

    experiment: Experiment
    results: list[Result] = field(default_factory=list)
    broken: tuple[str, ...] = ()

    def counts(self) -> Counter[str]:
        """Return the number of requests by code."""
        return Counter(result.code for result in self.results)

    def refusals(self) -> Mapping[Refusal, int]:
        """Return the number of refusals of each kind."""
        endings = (result.ending for result in self.results if not result.ending.is_ok)
        return Counter(map(_refusal, endings))

    def latency_ms(self, percentile: float) -> float:
        """Return a percentile of the answered requests' latency, in milliseconds."""
        histogram = HdrHistogram(1, _MAX_LATENCY_MS, _SIGNIFICANT_DIGITS)
        for result in self.results:
            if result.ending.is_ok:
                histogram.record_value(max(1, int(result.latency_s * _MS_PER_S)))
        return float(histogram.get_value_at_percentile(percentile))

    def document(self) -> dict[str, Any]:
        """Return the outcome as a JSON document."""
        refusals = sorted(self.refusals().items())
        return {
            'faults': list(self.experiment.faults),
            'requests': len(self.results),
            'ok': self.counts()['ok'],
            'refused_within_rate': refused_within_rate(self.experiment, self.results),
            'refusals': [
                {
                    'code': refusal.code,
                    'step': refusal.step,
                    'run': refusal.run_state,
                    'count': count,
                }
                for refusal, count in refusals
            ],
            'p50_ms': self.latency_ms(_MEDIAN_PERCENTILE),
            'p99_ms': self.latency_ms(_TAIL_PERCENTILE),
            'broken': list(self.broken),
        }

    def row(self) -> str:
        """Return the outcome as a row of a Markdown table under `HEADER`."""
        document = self.document()
        refusals = self.refusals()
        not_run = sum(
            count
            for refusal, count in refusals.items()
            if refusal.run_state == RunState.NOT_RUN
        )
        counts = (f'{count} {kind}' for kind, count in sorted(refusals.items()))
        cells = (
            ' + '.join(self.experiment.faults) or 'none',
            document['requests'],
            document['ok'],
            not_run,
            refusals_total(refusals) - not_run,
            document['refused_within_rate'],
            f'{document["p50_ms"]:.0f}',
            f'{document["p99_ms"]:.0f}',
            ', '.join(counts) or 'none',
            '; '.join(self.broken) or 'none',
        )
        return f'| {" | ".join(str(cell) for cell in cells)} |'


def refusals_total(refusals: Mapping[Refusal, int]) -> int:
    """Return the number of refusals of all kinds."""
    return sum(refusals.values())


def refused_within_rate(experiment: Experiment, results: Sequence[Result]) -> int:
    """Return the number of refused requests that their workspace's limit covered.

    One token bucket per workspace is charged with the answered requests in order of
    arrival. A refusal counts if the bucket held enough tokens for it, unless the
    request was refused because its key is not in force.
    """
    by_workspace: defaultdict[str, list[Result]] = defaultdict(list)
    for result in sorted(results, key=_arrived_at):
        by_workspace[result.arrival.workspace].append(result)
    return sum(
        sum(1 for _ in _wrongly_refused(experiment, workspace_results))
        for workspace_results in by_workspace.values()
    )


def _wrongly_refused(
    experiment: Experiment, workspace_results: Sequence[Result]
) -> Iterator[Result]:
    available_tokens = float(experiment.burst_tokens)
    now_s = float(0)
    for result in workspace_results:
        accrued_tokens = (result.arrival.at_s - now_s) * experiment.rate_tokens_per_s
        available_tokens = min(
            experiment.burst_tokens, available_tokens + accrued_tokens
        )
        now_s = result.arrival.at_s
        cost_tokens = result.arrival.cost_tokens(experiment.max_tokens)
        if result.ending.is_ok:
            available_tokens -= cost_tokens
        elif (
            cost_tokens <= available_tokens and result.code != AuthenticationError.code
        ):
            yield result


def _arrived_at(result: Result) -> float:
    return result.arrival.at_s


def _refusal(ending: Ending) -> Refusal:
    return Refusal(ending.code, ending.step, ending.run_state)
