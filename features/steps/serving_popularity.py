"""Steps that compare the popularity clock with a naive version."""

from __future__ import annotations

import math
import random

from behave import then
from behave.runner import Context
from hypothesis import given as generated
from hypothesis import strategies as st
from serving_generated import with_seed, seen_events

from pimentohoist._decisions.popularity import (
    RECENT_REQUESTS,
    MAX_DEVIATIONS,
    SHIFT_SPEED,
    BASELINE_REQUESTS,
    PopularityClock,
)

_REQUESTS = 700
_SHIFTS_AT = (100, 450)
_PAUSES_S = (0, 0.1, 1)


def naive_share(hits: list[bool], over: int) -> float:
    """Return the share of hits, each weighing less by 1 / `over` for each later one."""
    first, later = hits[:over], hits[over:]
    share = sum(first) / len(first)
    for hit in later:
        share = share * (1 - 1 / over) + hit / over
    return share


def naive_speed(hits: list[bool]) -> float:
    if len(hits) < BASELINE_REQUESTS:
        return 1
    late, usual = (
        naive_share(hits, over) for over in (RECENT_REQUESTS, BASELINE_REQUESTS)
    )
    deviation = math.sqrt(usual * (1 - usual) / (2 * RECENT_REQUESTS))
    return SHIFT_SPEED if late < usual - MAX_DEVIATIONS * deviation else 1


class ClockPair:
    """The clock and its naive version, with the same requests."""

    def __init__(self) -> None:
        self.clock = PopularityClock()
        self.hits: list[bool] = []
        self.now = float(0)
        self.expected = float(0)

    def record(self, pause_s: float, *, is_hit: bool) -> None:
        self.now += pause_s
        self.hits.append(is_hit)
        self.clock.record(self.now, is_hit=is_hit)
        speed = naive_speed(self.hits)
        seen_events['shifted'] += speed > 1
        self.expected += speed * pause_s
        assert math.isclose(self.clock.at(self.now + 1), self.expected + 1)


@with_seed(509, 40)
@generated(
    share=st.floats(0.2, 0.9),
    later_share=st.floats(0, 0.9),
    shift_at=st.sampled_from(_SHIFTS_AT),
    number=st.integers(0, 10**6),
)
def clocks_agree(share: float, later_share: float, shift_at: int, number: int) -> None:
    chance = random.Random(number)
    pair = ClockPair()
    for request in range(_REQUESTS):
        current = later_share if request >= shift_at else share
        is_hit = chance.random() < current
        pair.record(chance.choice(_PAUSES_S), is_hit=is_hit)


@then('the popularity clock and a naive version agree over generated hits')
def compare_clocks(context: Context) -> None:
    clocks_agree()
    assert seen_events['shifted'] > 200, seen_events


def find_shifts(shares: tuple[float, ...], number: int) -> list[bool]:
    """Return whether each request, one per second, leaves popularity shifting."""
    chance = random.Random(number)
    clock = PopularityClock()
    found: list[bool] = []
    for request, share in enumerate(shares):
        clock.record(request, is_hit=chance.random() < share)
        found.append(clock.is_shifting())
    return found


@with_seed(510, 30)
@generated(share=st.floats(0.4, 0.7), number=st.integers(0, 10**6))
def shifts_are_detected(share: float, number: int) -> None:
    steady = (share,) * 1000
    shifted = (share / 4,) * (2 * RECENT_REQUESTS)
    found = find_shifts(steady + shifted, number)
    # A few requests may count as a shift by chance alone.
    assert sum(found[: len(steady)]) <= len(steady) / 20
    assert any(found[len(steady) :])


@then('a shift is detected soon, and steady popularity rarely counts as one')
def check_shifts(context: Context) -> None:
    shifts_are_detected()
