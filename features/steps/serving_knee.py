"""Steps that compare the knee estimate with a naive version."""

from __future__ import annotations

import random
import statistics
from collections import Counter
from collections.abc import Callable
from typing import Any

from behave import then
from behave.runner import Context
from hypothesis import given as generated
from hypothesis import strategies as st
from serving_generated import with_seed, seen_events

from pimentohoist._decisions.knee import (
    MIN_LOWER_RATIO,
    LIMIT_RANGE_FACTOR,
    FULL_SHARE,
    HALF_EMPTY_SHARE,
    MIN_MEDIAN_SAMPLES,
    MAX_RAISE_RATIO,
    MEDIAN_SAMPLES,
    ADJUST_INTERVAL_S,
    KneeEstimate,
    ServiceSample,
)

_BASE_TOKEN_S = 0.01
_SETTING = 16
_REQUESTS = 12_000
_REQUESTS_PER_S = 20
_REPORT_LAG_S = 1.5
_NOISE_RANGE = (0.8, 1.2)
_LONG_SHARE = 0.1
_LONG_FACTOR = 8


class NaiveKnee:
    """A knee estimate that keeps all samples and searches them for each decision."""

    def __init__(self, setting: int) -> None:
        self.setting = setting
        self.limit = setting
        self.samples: list[ServiceSample] = []
        self.adjusted_at: list[float] = []
        self.changes: list[float] = []

    def median(self, is_chosen: Callable[[ServiceSample], bool]) -> float | None:
        counts: Counter[int] = Counter()
        chosen: list[float] = []
        for sample in reversed(self.samples):
            counts[sample.in_flight] += 1
            if counts[sample.in_flight] <= MEDIAN_SAMPLES and is_chosen(sample):
                chosen.append(sample.token_s)
        latest = chosen[:MEDIAN_SAMPLES]
        return statistics.median(latest) if len(latest) >= MIN_MEDIAN_SAMPLES else None

    def is_full(self, sample: ServiceSample) -> bool:
        is_after_change = all(sample.started_at >= at for at in self.changes)
        return sample.in_flight > FULL_SHARE * self.limit and is_after_change

    def record(self, sample: ServiceSample) -> None:
        self.samples.append(sample)
        now = sample.ended_at
        if self.adjusted_at and now < self.adjusted_at[-1] + ADJUST_INTERVAL_S:
            return
        self.adjusted_at.append(now)
        full = self.median(self.is_full)
        half_empty = self.median(
            lambda other: other.in_flight <= HALF_EMPTY_SHARE * self.limit
        )
        if full is not None and half_empty is not None:
            self.decide(full / half_empty, now)

    def decide(self, ratio: float, now: float) -> None:
        wanted = self.limit
        if ratio <= MAX_RAISE_RATIO:
            wanted += 1
        elif ratio >= MIN_LOWER_RATIO:
            wanted -= 1
        least = max(1, self.setting // LIMIT_RANGE_FACTOR)
        wanted = sorted((least, wanted, self.setting * LIMIT_RANGE_FACTOR))[1]
        if wanted != self.limit:
            self.changes.append(now)
            self.limit = wanted


_samples = st.lists(
    st.tuples(
        st.sampled_from((1, 2, 2, 3, 4, 6, 7, 8, 9, 10)),
        st.sampled_from((1.0, 1.0, 1.0, 1.04, 1.1, 1.2, 1.5)),
        st.sampled_from((0.1, 0.4, 1.0, 4.0)),
        st.sampled_from((0.25, 0.25, 6.0)),
    ),
    min_size=150,
    max_size=250,
)


class KneePair:
    """The knee and its naive version, with the same samples."""

    def __init__(self, setting: int, slope: float) -> None:
        self.knee = KneeEstimate(setting)
        self.naive = NaiveKnee(setting)
        self.slope = slope
        self.now = float(0)

    def record(
        self, in_flight: int, token_s: float, pause_s: float, service_s: float
    ) -> None:
        self.now += pause_s
        slowed_s = token_s + self.slope * in_flight
        started = self.now - service_s
        sample = ServiceSample(in_flight, slowed_s, started, self.now)
        self.knee.record(sample)
        self.naive.record(sample)
        assert self.knee.limit == self.naive.limit, sample


@with_seed(507, 80)
@generated(samples=_samples, setting=st.integers(1, 8), slope=st.sampled_from((0, 0.1)))
def knees_agree(samples: list[Any], setting: int, slope: float) -> None:
    pair = KneePair(setting, slope)
    for sample in samples:
        pair.record(*sample)
    seen_events['knee changes'] += len(pair.naive.changes)


@then('the knee and a naive version agree over generated samples')
def compare_knees(context: Context) -> None:
    knees_agree()
    assert seen_events['knee changes'] > 100, seen_events


class NoisyEngine:
    """An engine with varying load and noisy times, some of them very long."""

    def __init__(self, true_knee: int, chance: random.Random) -> None:
        self.true_knee = true_knee
        self.chance = chance
        self.knee = KneeEstimate(_SETTING)
        self.limits = [self.knee.limit]

    def serve(self, number: int) -> None:
        limit = self.knee.limit
        in_flight = self.chance.choice((limit, self.chance.randint(1, limit)))
        noise = self.chance.uniform(*_NOISE_RANGE)
        if self.chance.random() < _LONG_SHARE:
            noise *= _LONG_FACTOR
        token_s = _BASE_TOKEN_S * max(1, in_flight / self.true_knee) * noise
        # Reports arrive late and in bursts.
        ended = number // _REQUESTS_PER_S + 1
        self.knee.record(
            ServiceSample(in_flight, token_s, ended - _REPORT_LAG_S, ended)
        )
        self.limits.append(self.knee.limit)


@with_seed(508, 15)
@generated(true_knee=st.integers(9, 28), number=st.integers(0, 10**6))
def knee_is_found(true_knee: int, number: int) -> None:
    engine = NoisyEngine(true_knee, random.Random(number))
    for request in range(_REQUESTS):
        engine.serve(request)
    limits = engine.limits
    # The engine counts as full between three quarters of the limit and the limit.
    highest = true_knee * MIN_LOWER_RATIO / statistics.fmean((1, FULL_SHARE)) + 2
    assert 0.9 * true_knee <= limits[-1] <= highest, (true_knee, limits[-1])
    assert _SETTING / LIMIT_RANGE_FACTOR <= min(limits)
    assert max(limits) <= _SETTING * LIMIT_RANGE_FACTOR
    moves = [
        abs(after - before) for before, after in zip(limits, limits[1:], strict=False)
    ]
    assert max(moves) == 1
    assert sum(moves) <= _REQUESTS / _REQUESTS_PER_S / ADJUST_INTERVAL_S


@then('the estimate for a noisy engine reaches any knee within the bounds')
def check_found(context: Context) -> None:
    knee_is_found()
