"""Steps on the checks of the fault soak."""

from __future__ import annotations

import time
from collections import Counter

from behave import then
from behave.runner import Context
from hypothesis import given as for_generated
from hypothesis import seed, settings
from hypothesis import strategies as st
from soak_broken_cases import BROKEN
from soak_kept_cases import KEPT
from soak_histories import make_history

from pimentohoist_standins._soak.checks import run_checks
from pimentohoist_standins._soak.records import CheckResult, Observations

_NOTHING = make_history(0, 0)


def _result(observations: Observations, promise: str) -> CheckResult:
    return next(one for one in run_checks(observations) if one.promise == promise)


@then('the check {promise} finds its broken cases and none of its kept ones')
def judge_cases(context: Context, promise: str) -> None:
    broken = {case: _result(one, promise) for case, one in BROKEN[promise].items()}
    kept = {case: _result(one, promise) for case, one in KEPT[promise].items()}
    missed = [case for case, result in broken.items() if not result.violations]
    blamed = [case for case, result in kept.items() if result.violations]
    assert broken and not missed, missed
    assert kept and not blamed, blamed


@then('every check has cases and an example here')
def compare_cases(context: Context) -> None:
    scenarios = context.feature.walk_scenarios()
    steps = (step.name for scenario in scenarios for step in scenario.steps)
    judged = {name.split()[2] for name in steps if 'broken cases' in name}
    promises = {result.promise for result in run_checks(_NOTHING)}
    assert judged == promises == set(BROKEN) == set(KEPT), judged ^ promises


@then('no check finds a violation in {count:d} generated histories')
def check_generated(context: Context, count: int) -> None:
    applied: Counter[str] = Counter()

    @seed(23)
    @settings(max_examples=count, database=None, deadline=None)
    @for_generated(st.integers(0, 2**32), st.integers(1, 150))
    def check(history_seed: int, attempts: int) -> None:
        results = run_checks(make_history(history_seed, attempts))
        violations = [one for result in results for one in result.violations]
        assert not violations, violations[:5]
        applied.update({result.promise: result.applied for result in results})

    check()
    unused = [one.promise for one in run_checks(_NOTHING) if not applied[one.promise]]
    assert not unused, unused


@then('{attempts:d} attempts are checked within {limit_s:g} s')
def check_time(context: Context, attempts: int, limit_s: float) -> None:
    observations = make_history(23, attempts)
    assert len(observations.callers) == attempts
    began_at = time.perf_counter()
    results = run_checks(observations)
    elapsed_s = time.perf_counter() - began_at
    violations = [one for result in results for one in result.violations]
    assert not violations, violations[:5]
    assert elapsed_s < limit_s, elapsed_s
