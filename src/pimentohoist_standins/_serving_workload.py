"""Simulated deployments, their faults and generated request arrivals."""

from __future__ import annotations

import itertools
import math
import random
from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum

ADAPTER_COUNT = 3000
SERVICE_S = 0.25
WARM_UP_S = 900.0
MEASURED_S = 1200.0
FAULT_S = 300.0
FAULT_AT_S = WARM_UP_S + FAULT_S
OUTAGE_S = 10.0
"""Time until a crashed engine restarts, with no adapter loaded."""

SLOW_STORE_SPEED = 0.5
"""Speed of the weight store during the fault, as a share of its usual speed."""

GREEDY_WORKSPACE = 'workspace-3'
GREEDY_FACTOR = 5
WORKSPACE_SHARES = {  # noqa: WPS407
    'workspace-1': 0.4,
    'workspace-2': 0.3,
    GREEDY_WORKSPACE: 0.15,
    'workspace-4': 0.1,
    'workspace-5': 0.05,
}
_URGENT_SHARE = 0.2
_URGENT_DEADLINE_S = 10.0
_PATIENT_DEADLINE_S = 60.0
_REQUEST_COST_TOKENS = 100.0


class Fault(StrEnum):
    """The fault injected during the measured time."""

    NONE = 'none'
    GREEDY = f'one tenant at {GREEDY_FACTOR} times its rate'
    SHIFT = 'popularity shift'
    CRASH = 'one engine crashed and cold'
    SLOW_STORE = 'store at half speed'


@dataclass(frozen=True, slots=True)
class Deployment:
    """Sizes of a deployment: its engines and its weight store's load limits."""

    name: str
    engines: int
    loads_per_s: float
    max_parallel_loads: int
    knee_requests: int
    slots: int

    def hit_bound(self) -> float:
        """Return the share of requests that the best fixed set of adapters serves."""
        weights = _popularity_weights()
        return sum(weights[: self.engines * self.slots]) / sum(weights)

    def rate_bound(self, store_speed: float = 1) -> float:
        """Return an upper bound of the requests a second.

        The best fixed set of adapters is resident, and each other request needs a load
        of its own: requests of the same adapter don't share a load.
        """
        by_store = store_speed * self.loads_per_s / (1 - self.hit_bound())
        return min(by_store, self.engines * self.knee_requests / SERVICE_S)


@dataclass(frozen=True, slots=True)
class Case:
    """A deployment with its load, fault and random seed, for one run.

    Attributes
    ----------
    load : float
        Request rate as a share of the deployment's `rate_bound`.
    """

    deployment: Deployment
    load: float
    fault: Fault
    seed: int


@dataclass(frozen=True, slots=True)
class Arrival:
    """A generated request and its time of arrival in virtual seconds."""

    number: int
    arrived_at: float
    workspace: str
    adapter: int
    is_urgent: bool
    cost_tokens: float = _REQUEST_COST_TOKENS

    @property
    def deadline(self) -> float:
        """Return the time at which the caller gives up."""
        limit_s = _URGENT_DEADLINE_S if self.is_urgent else _PATIENT_DEADLINE_S
        return self.arrived_at + limit_s

    @property
    def is_measured(self) -> bool:
        """Return whether the request arrives after the warm-up and so counts."""
        return self.arrived_at >= WARM_UP_S


def arrivals(case: Case) -> list[Arrival]:
    """Return the arrivals of a case, the same for the same seed."""
    numbers = itertools.count()
    streams = (
        _workspace_arrivals(case, workspace, numbers) for workspace in WORKSPACE_SHARES
    )
    return sorted(
        itertools.chain.from_iterable(streams), key=lambda entry: entry.arrived_at
    )


def _workspace_arrivals(
    case: Case, workspace: str, numbers: Iterator[int]
) -> Iterator[Arrival]:
    """Yield one workspace's arrivals for its random part of all adapters."""
    rng = random.Random(f'{case.seed}/{workspace}')
    adapters = _adapters_of(case.seed, workspace)
    weights = _popularity_weights()
    cumulative_weights = list(
        itertools.accumulate(weights[adapter] for adapter in adapters)
    )
    rate = (
        case.load * case.deployment.rate_bound() * cumulative_weights[-1] / sum(weights)
    )
    at = float(0)
    while at < WARM_UP_S + MEASURED_S:
        at += rng.expovariate(rate * _rate_factor(case, workspace, at))
        chosen = rng.choices(range(len(adapters)), cum_weights=cumulative_weights)[0]
        if case.fault is Fault.SHIFT and at >= FAULT_AT_S:
            chosen = -1 - chosen
        is_urgent = rng.random() < _URGENT_SHARE
        yield Arrival(next(numbers), at, workspace, adapters[chosen], is_urgent)


def _rate_factor(case: Case, workspace: str, at: float) -> float:
    is_greedy = case.fault is Fault.GREEDY and workspace == GREEDY_WORKSPACE
    return GREEDY_FACTOR if is_greedy and is_fault_time(at) else 1


def is_fault_time(at: float) -> bool:
    """Return whether a time is within that of a lasting fault."""
    return FAULT_AT_S <= at < FAULT_AT_S + FAULT_S


def _adapters_of(seed: int, workspace: str) -> list[int]:
    rng = random.Random(seed)
    workspaces = rng.choices(
        tuple(WORKSPACE_SHARES), tuple(WORKSPACE_SHARES.values()), k=ADAPTER_COUNT
    )
    return [
        index
        for index, drawn_workspace in enumerate(workspaces)
        if drawn_workspace == workspace
    ]


def _popularity_weights() -> list[float]:
    return [1 / (index + 1) for index in range(ADAPTER_COUNT)]


def percentile(samples: list[float], share: float) -> float:
    """Return the nearest-rank percentile for a share from 0 to 1; 0 without samples."""
    rank = math.ceil(share * len(samples))
    return sorted(samples)[rank - 1] if samples else 0
