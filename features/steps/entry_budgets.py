"""Steps on workspaces' quotas and on the retry budget."""

from __future__ import annotations

import sys
from collections import deque
from pathlib import Path

from behave import given, then, when
from behave.runner import Context
from hypothesis import given as generated
from hypothesis import settings
from hypothesis import strategies as st

sys.path.append(str(Path(__file__).resolve().parent.parent))
from quota_load import play_load  # noqa: E402

from pimentohoist._decisions.retry_window import RetryWindow  # noqa: E402
from pimentohoist._decisions.usage import UsageBucket  # noqa: E402

_WINDOW_S = 8
_SLACK = 110_000
_TOLERANCE = 0.1
_GENERATED = settings(max_examples=150, deadline=None)


@given('a workspace with a rate of {rate:d} and a burst of {burst:d} before 7 daemons')
def make_buckets(context: Context, rate: int, burst: int) -> None:
    context.rate, context.burst = rate * 100, burst * 100
    context.buckets = [UsageBucket(context.rate, context.burst, 0) for _ in range(7)]


@when('it sends 8 times its rate for 20 s')
def send_overload(context: Context) -> None:
    context.admitted = play_load(context.buckets, context.rate, (100, 100))


@when('one daemon gets no heartbeats for 8 s while all get 8 times the rate')
def send_cut_off(context: Context) -> None:
    context.admitted = play_load(context.buckets, context.rate, (4, 12))


@then('no window of 8 s admits more than rate, burst and the stated slack')
def check_windows(context: Context) -> None:
    limit = (context.rate * _WINDOW_S + context.burst) * (1 + _TOLERANCE) + _SLACK
    window: deque[tuple[float, int]] = deque()
    total = 0
    for now, tokens in context.admitted:
        window.append((now, tokens))
        total += tokens
        while window[0][0] <= now - _WINDOW_S:
            total -= window.popleft()[1]
        assert total <= limit, (now, total, limit)


@then('nearly all that its rate and burst allow is admitted')
def check_admitted(context: Context) -> None:
    total = sum(tokens for _, tokens in context.admitted)
    assert total >= 0.97 * (20 * context.rate + context.burst / 2), total


@then('in generated histories 7 daemons stay within the stated retry budget')
def check_budget(context: Context) -> None:
    @_GENERATED
    @generated(st.lists(st.tuples(st.integers(0, 6), st.booleans()), max_size=400))
    def play(steps: list[tuple[int, bool]]) -> None:
        windows = [RetryWindow(0.2, 54, 10) for _ in range(7)]
        requests = 0
        retries = 0
        for step, (number, is_retry) in enumerate(steps):
            now = step * 0.02
            if is_retry:
                retries += windows[number].take_retry(now, 7)
            else:
                windows[number].record_request(now)
                requests += 1
        assert retries <= 0.2 * requests + 54

    play()
