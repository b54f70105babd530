"""Steps on the limit's decisions, against versions that are obviously right."""

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
_DAEMONS = 3
_SIZES = 61
_KNOWN_S = 5.1
_FAULT_WEIGHTS = (0, 0, 0, 1)
_USUAL_WEIGHTS = (5, 10, 30)
_RARE = (5, 6, 7, 8, 9, 10, 11)


def random_history(
    number: int, *, changes_limits: bool = False
) -> tuple[LimitWorld, list[tuple[int, int, int]]]:
    """Return a world and its history; each has its own mix of operations."""
    rng = random.Random(number)
    burst = rng.randint(3, 60)
    world = LimitWorld(burst / rng.choice((0.5, 2, 8)), burst, _DAEMONS)
    if changes_limits:
        world.operations = (*world.operations, world.change_limit)
    weights = [
        rng.choice(_FAULT_WEIGHTS if operation in _RARE else _USUAL_WEIGHTS)
        for operation in range(len(world.operations))
    ]
    operations = rng.choices(range(len(weights)), weights, k=rng.randint(30, 200))
    history = [
        (operation, rng.randrange(_DAEMONS), rng.randrange(_SIZES))
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
    """Return the most by which any window passes its rate and burst."""
    worst: float = 0
    for first, (start, _) in enumerate(admitted):
        received = 0
        for time, tokens in admitted[first:]:
            received += tokens
            worst = max(worst, received - burst - rate * (time - start))
    return worst


def find_excess(world: LimitWorld) -> float:
    """Return the most by which any window passes the largest limit that counts.

    Limits count that were in force in the window or within `_KNOWN_S` before it: so long
    a home may not know of a change, and a grant of before may be spent.
    """
    worst: float = 0
    for first, (start, _) in enumerate(world.admitted):
        received = 0
        for time, tokens in world.admitted[first:]:
            received += tokens
            counting = limits_between(world, start - _KNOWN_S, time)
            burst = max(limit.burst for limit in counting)
            rate = max(limit.rate for limit in counting)
            worst = max(worst, received - burst - rate * (time - start))
    return worst


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


def check_faulty(context: Context, number: int) -> None:
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


def check_sound(
    context: Context, requests: list, rate: float, burst: int, spare: int
) -> None:
    world = LimitWorld(rate, burst, 1)
    naive = GlobalBucket(rate * (1 - 3 * DRIFT), burst)
    for wait, size in requests:
        world.advance(0, wait)
        world.see(0, 0)
        naive.accrue(world.time)
        cost = 1 + size % burst
        is_admitted = world.admit(world.daemons[0], cost, cost)
        assert is_admitted or naive.level < cost + spare, naive.level
        if is_admitted:
            naive.level -= cost
            context.admissions += 1
        world.tick(0, 2)


def check_peaks(history: list) -> None:
    peaks = PeakHistory()
    scanned: list[float] = []
    for time, (is_level, number) in enumerate(history):
        if is_level or not scanned:
            scanned.append(number)
            assert peaks.push(number, time) == len(scanned) - 1
        else:
            scanned = [level + number for level in scanned]
            peaks.raise_all(number)
        for mark, _ in enumerate(scanned):
            assert peaks.since(mark) == max(scanned[mark:])


@when("{count:d} generated histories with faults run on the limit's decisions")
def run_faulty(context: Context, count: int) -> None:
    context.admissions = 0
    for_all(count, lambda number: check_faulty(context, number), st.integers(0, 2**32))


@then('in every one of them and in every window there was no overshoot')
def check_no_overshoot(context: Context) -> None:
    assert context.admissions > 1000, context.admissions


@then(
    'in {count:d} generated histories with faults no window receives more than the '
    'largest limit in force in it or {before_s:f} s before'
)
def run_changes(context: Context, count: int, before_s: float) -> None:
    assert before_s == _KNOWN_S
    context.admissions, context.changes = 0, 0
    for_all(count, lambda number: check_changes(context, number), st.integers(0, 2**32))
    assert context.admissions > 1000, context.admissions
    assert context.changes > count, context.changes


@then(
    'in {count:d} generated histories without faults every request is admitted that '
    'a global bucket covers with {spare:d} tokens to spare'
)
def run_sound(context: Context, count: int, spare: int) -> None:
    context.admissions = 0
    waits_and_costs = st.lists(
        st.tuples(st.integers(0, 20), st.integers(1, 60)), min_size=5, max_size=60
    )
    for_all(
        count,
        lambda requests, rate, burst: check_sound(
            context, requests, rate, burst, spare
        ),
        waits_and_costs,
        st.sampled_from((0.5, 10, 200)),
        st.integers(6, 100),
    )
    assert context.admissions > 500, context.admissions


@then('{count:d} generated level histories have the peaks that a scan finds')
def run_peaks(context: Context, count: int) -> None:
    operations = st.tuples(st.booleans(), st.integers(0, 50))
    for_all(count, check_peaks, st.lists(operations, min_size=1))
