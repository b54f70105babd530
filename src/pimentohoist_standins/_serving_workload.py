"""Sizes of both deployments, and generated arrivals with what goes wrong meanwhile."""

from __future__ import annotations

import itertools
import math
import random
from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum

ADAPTERS = 3000
SERVICE_S = 0.25
WARM_S = 900.0
MEASURED_S = 1200.0
FAULT_S = 300.0
FAULT_AT_S = WARM_S + FAULT_S
OUTAGE_S = 10.0
"""Time for which a crashed engine is gone before it is back, cold."""

SLOW_SPEED = 0.5
"""Speed of the weight store while it is slow, as a share of its usual one."""

GREEDY = 'workspace-3'
GREEDY_FACTOR = 5
SHARES = {  # noqa: WPS407
    'workspace-1': 0.4,
    'workspace-2': 0.3,
    GREEDY: 0.15,
    'workspace-4': 0.1,
    'workspace-5': 0.05,
}
_URGENT_SHARE = 0.2
_URGENT_DEADLINE_S = 10.0
_PATIENT_DEADLINE_S = 60.0
_COST_TOKENS = 100.0


class Fault(StrEnum):
    """What goes wrong during the measured time."""

    NONE = 'none'
    GREEDY = f'one tenant at {GREEDY_FACTOR} times its rate'
    SHIFT = 'popularity shift'
    CRASH = 'one engine crashed and cold'
    SLOW_STORE = 'store at half speed'


@dataclass(frozen=True, slots=True)
class Deployment:
    """A deployment's engines and weight store."""

    name: str
    engines: int
    loads_per_s: float
    loads_at_once: int
    knee_requests: int
    slots: int

    def hit_bound(self) -> float:
        """Return the share of requests that the best fixed set of adapters serves."""
        weights = _weights()
        return sum(weights[: self.engines * self.slots]) / sum(weights)

    def rate_bound(self, store_speed: float = 1) -> float:
        """Return the requests a second that the best fixed set carries, without joining."""
        by_store = store_speed * self.loads_per_s / (1 - self.hit_bound())
        return min(by_store, self.engines * self.knee_requests / SERVICE_S)


@dataclass(frozen=True, slots=True)
class Case:
    """One run."""

    deployment: Deployment
    load: float
    fault: Fault
    seed: int


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request as it comes."""

    number: int
    at: float
    workspace: str
    adapter: int
    is_urgent: bool
    cost: float = _COST_TOKENS

    @property
    def deadline(self) -> float:
        """Return when its caller gives up."""
        limit_s = _URGENT_DEADLINE_S if self.is_urgent else _PATIENT_DEADLINE_S
        return self.at + limit_s

    @property
    def is_measured(self) -> bool:
        """Return whether it counts in the results."""
        return self.at >= WARM_S


def arrivals(case: Case) -> list[Arrival]:
    """Return the arrivals of a case, the same every time."""
    numbers = itertools.count()
    streams = (_stream(case, workspace, numbers) for workspace in SHARES)
    return sorted(itertools.chain.from_iterable(streams), key=lambda entry: entry.at)


def _stream(case: Case, workspace: str, numbers: Iterator[int]) -> Iterator[Arrival]:
    """Yield one workspace's arrivals: its adapters are a random part of all."""
    chance = random.Random(f'{case.seed}/{workspace}')
    owned = _owned(case.seed, workspace)
    weights = _weights()
    popularity = list(itertools.accumulate(weights[adapter] for adapter in owned))
    rate = case.load * case.deployment.rate_bound() * popularity[-1] / sum(weights)
    at = float(0)
    while at < WARM_S + MEASURED_S:
        at += chance.expovariate(rate * _rate_factor(case, workspace, at))
        chosen = chance.choices(range(len(owned)), cum_weights=popularity)[0]
        if case.fault is Fault.SHIFT and at >= FAULT_AT_S:
            chosen = -1 - chosen
        is_urgent = chance.random() < _URGENT_SHARE
        yield Arrival(next(numbers), at, workspace, owned[chosen], is_urgent)


def _rate_factor(case: Case, workspace: str, at: float) -> float:
    is_greedy = case.fault is Fault.GREEDY and workspace == GREEDY
    return GREEDY_FACTOR if is_greedy and is_faulty(at) else 1


def is_faulty(at: float) -> bool:
    """Return whether a lasting fault is present at a time."""
    return FAULT_AT_S <= at < FAULT_AT_S + FAULT_S


def _owned(seed: int, workspace: str) -> list[int]:
    chance = random.Random(seed)
    owners = chance.choices(tuple(SHARES), tuple(SHARES.values()), k=ADAPTERS)
    return [index for index, owner in enumerate(owners) if owner == workspace]


def _weights() -> list[float]:
    return [1 / (index + 1) for index in range(ADAPTERS)]


def percentile(samples: list[float], share: float) -> float:
    """Return the sample below which `share` of all lie; 0 if there are none."""
    rank = math.ceil(share * len(samples))
    return sorted(samples)[rank - 1] if samples else 0
