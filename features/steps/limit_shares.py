"""Steps on the limit's decisions, checked against simple reference implementations."""

from __future__ import annotations

import random
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

from behave import then, when
from behave.runner import Context
from hypothesis import HealthCheck, given, seed, settings
from hypothesis import strategies as st

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from limit_daemons import LimitInForce  # noqa: E402
from limit_world import LimitWorld  # noqa: E402

from pimentohoist._decisions.peaks import PeakHistory  # noqa: E402
from pimentohoist._decisions.shares import DRIFT  # noqa: E402

_SEED = 4401
_TOLERANCE = 1e-6
_DAEMON_COUNT = 3
_SIZE_COUNT = 61
_MAX_CHANGE_DELAY_S = 5.1
_FAULT_WEIGHTS = (0, 0, 0, 1)
_USUAL_WEIGHTS = (5, 10, 30)
_FAULT_OPERATIONS = (5, 6, 7, 8, 9, 10, 11)


def random_history(
    number: int, *, changes_limits: bool = False
) -> tuple[LimitWorld, list[tuple[int, int, int]]]:
    """Return a world and its history; each has its own weights of the operations."""
    rng = random.Random(number)
    burst = rng.randint(3, 60)
    world = LimitWorld(burst / rng.choice((0.5, 2, 8)), burst, _DAEMON_COUNT)
    if changes_limits:
        world.operations = (*world.operations, world.change_limit)
    weights = [
        rng.choice(_FAULT_WEIGHTS if operation in _FAULT_OPERATIONS else _USUAL_WEIGHTS)
        for operation in range(len(world.operations))
    ]
    operations = rng.choices(range(len(weights)), weights, k=rng.randint(30, 200))
    history = [
        (operation, rng.randrange(_DAEMON_COUNT), rng.randrange(_SIZE_COUNT))
        for operation in operations
    ]
    return world, history


def for_all(count: int, check: Callable[..., None], *strategies: Any) -> None:
    """Run a check on generated values, the same on every run."""
    bounded = settings(
        max_examples=count,
        database=None,
        deadline=None,
        suppress_health_check=list(HealthCheck),
    )
    seed(_SEED)(bounded(given(*strategies)(check)))()


def find_overshoot(admitted: list, rate: float, burst: int) -> float:
    """Return the most tokens by which any window exceeds its rate and burst."""
    max_excess: float = 0
    for first, (start, _) in enumerate(admitted):
        received = 0
        for time, tokens in admitted[first:]:
            received += tokens
            max_excess = max(max_excess, received - burst - rate * (time - start))
    return max_excess


def find_excess(world: LimitWorld) -> float:
    """Return the most tokens by which any window exceeds the largest limit that applies.

    A limit applies if it was in force in the window or within `_MAX_CHANGE_DELAY_S` before
    it: for that time an owner may not have read a change, and a grant made before it may
    still be spent.
    """
    max_excess: float = 0
    for first, (start, _) in enumerate(world.admitted):
        received = 0
        for time, tokens in world.admitted[first:]:
            received += tokens
            limits = limits_between(world, start - _MAX_CHANGE_DELAY_S, time)
            burst = max(limit.burst for limit in limits)
            rate = max(limit.rate for limit in limits)
            max_excess = max(max_excess, received - burst - rate * (time - start))
    return max_excess


def limits_between(world: LimitWorld, start: float, end: float) -> list[LimitInForce]:
    ends = [limit.time for limit in world.limits[1:]] + [float('inf')]
    return [
        limit
        for limit, replaced_at in zip(world.limits, ends, strict=True)
        if limit.time <= end and replaced_at >= start
    ]


class GlobalBucket:
    """One bucket for the whole fleet."""

    def __init__(self, rate: float, burst: int) -> None:
        self.rate = rate
        self.burst = burst
        self.level = float(burst)
        self.time: float = 0

    def accrue(self, time: float) -> None:
        accrued = self.rate * (time - self.time)
        self.level = min(self.burst, self.level + accrued)
        self.time = time


def check_with_faults(context: Context, number: int) -> None:
    world, history = random_history(number)
    world.run(history)
    context.admissions += len(world.admitted)
    overshoot = find_overshoot(world.admitted, world.rate, world.burst)
    assert overshoot <= _TOLERANCE, overshoot


def check_changes(context: Context, number: int) -> None:
    world, history = random_history(number, changes_limits=True)
    world.run(history)
    context.admissions += len(world.admitted)
    context.changes += len(world.limits) - 1
    excess = find_excess(world)
    assert excess <= _TOLERANCE, excess


def check_without_faults(
    context: Context, requests: list, rate: float, burst: int, spare: int
) -> None:
    world = LimitWorld(rate, burst, 1)
    reference = GlobalBucket(rate * (1 - 3 * DRIFT), burst)
    for wait, size in requests:
        world.advance(0, wait)
        world.read_log(0, 0)
        reference.accrue(world.time)
        cost = 1 + size % burst
        is_admitted = world.admit(world.daemons[0], cost, cost)
        assert is_admitted or reference.level < cost + spare, reference.level
        if is_admitted:
            reference.level -= cost
            context.admissions += 1
        world.tick(0, 2)


def check_peaks(history: list) -> None:
    peaks = PeakHistory()
    levels: list[float] = []
    for time, (is_push, number) in enumerate(history):
        if is_push or not levels:
            levels.append(number)
            assert peaks.push(number, time) == len(levels) - 1
        else:
            levels = [level + number for level in levels]
            peaks.raise_all(number)
        for mark, _ in enumerate(levels):
            assert peaks.since(mark) == max(levels[mark:])


@when("{count:d} generated histories with faults run on the limit's decisions")
def run_with_faults(context: Context, count: int) -> None:
    context.admissions = 0
    for_all(
        count, lambda number: check_with_faults(context, number), st.integers(0, 2**32)
    )


@then('in every one of them no window received more than the rate and burst allow')
def check_no_overshoot(context: Context) -> None:
    assert context.admissions > 1000, context.admissions


@then(
    'in {count:d} generated histories with faults no window receives more than the '
    'largest limit in force in it or {before_s:f} s before'
)
def run_changes(context: Context, count: int, before_s: float) -> None:
    assert before_s == _MAX_CHANGE_DELAY_S
    context.admissions, context.changes = 0, 0
    for_all(count, lambda number: check_changes(context, number), st.integers(0, 2**32))
    assert context.admissions > 1000, context.admissions
    assert context.changes > count, context.changes


@then(
    'in {count:d} generated histories without faults every request is admitted that '
    'a global bucket covers with {spare:d} tokens to spare'
)
def run_without_faults(context: Context, count: int, spare: int) -> None:
    context.admissions = 0
    waits_and_costs = st.lists(
        st.tuples(st.integers(0, 20), st.integers(1, 60)), min_size=5, max_size=60
    )
    for_all(
        count,
        lambda requests, rate, burst: check_without_faults(
            context, requests, rate, burst, spare
        ),
        waits_and_costs,
        st.sampled_from((0.5, 10, 200)),
        st.integers(6, 100),
    )
    assert context.admissions > 500, context.admissions


@then('in {count:d} generated level histories each peak equals the one found by a scan')
def run_peaks(context: Context, count: int) -> None:
    operations = st.tuples(st.booleans(), st.integers(0, 50))
    for_all(count, check_peaks, st.lists(operations, min_size=1))
