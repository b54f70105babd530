"""Measures the limit's decisions against simpler ways, with generated arrivals.

One workspace sends requests to several entry daemons. Every policy sees the same
arrivals, and a single global bucket says which of them a perfect limit admits. A call
between daemons takes no time but is counted as two messages.
"""

from __future__ import annotations

import itertools
import random
import sys
import tracemalloc
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from pimentohoist._decisions.shares import (
    GrantOrder,
    GrantUse,
    ShareBucket,
    ShareLimit,
    ShareState,
)
from pimentohoist_standins.limit_policies import (
    BURST,
    LOAD,
    NEVER,
    RATE,
    Arrival,
    Bucket,
    GossipPolicy,
    Policy,
    Scenario,
    SharesPolicy,
    SingleOwnerPolicy,
    StaticPolicy,
)

_COSTS = (500, 4000)
_FLOOD = 5.0
_TIME_S = 120.0
_TICK_S = 0.1
_KILLED_AT = 40.0
_LOG_DOWN = (20.0, 100.0)
_DETECT_S = 2.5
_DAEMONS = 8
_SIZES = (8, 64, 370)
_SIZE_TIME_S = 10.0
_SEED = 4
_RUN_S = 2.5


_SCENARIOS = (
    Scenario('even'),
    Scenario('skew: all on one daemon', is_skewed=True),
    Scenario('five times the rate', load=_FLOOD),
    Scenario('one daemon killed', killed_at=_KILLED_AT, back_at=_KILLED_AT + _DETECT_S),
    Scenario('log out 80 s, one killed', killed_at=_KILLED_AT, back_at=_LOG_DOWN[1]),
)


def make_arrivals(scenario: Scenario, daemons: int, time_s: float) -> list[Arrival]:
    """Return Poisson arrivals of uniform costs."""
    rng = random.Random(_SEED)
    mean = sum(_COSTS) / len(_COSTS)
    arrivals = []
    time: float = 0
    while time < time_s:
        time += rng.expovariate(scenario.load * RATE / mean)
        first = 1 if time >= scenario.killed_at else 0
        entry = daemons - 1 if scenario.is_skewed else rng.randrange(first, daemons)
        arrivals.append(Arrival(time, entry, rng.randint(*_COSTS)))
    return arrivals


_POLICIES: tuple[tuple[str, Callable[[Scenario, int], Policy]], ...] = (
    ('static rate/N', StaticPolicy),
    ('single home', SingleOwnerPolicy),
    ('gossip of usage', GossipPolicy),
    ('shares and grants', SharesPolicy),
)


@dataclass(slots=True)
class Outcome:
    """What a policy did with the arrivals."""

    admitted: list[Arrival] = field(default_factory=list)
    due: int = 0
    refused_though_due: int = 0
    due_tokens: int = 0

    def overshoot(self) -> float:
        """Return the most by which a window passes its rate and burst.

        The worst window up to now is the one that a bucket without a floor is below.
        """
        bucket = Bucket(RATE, BURST, BURST)
        worst: float = 0
        for arrival in self.admitted:
            bucket.accrue(arrival.time)
            bucket.level -= arrival.tokens
            worst = max(worst, -bucket.level)
        return worst

    def wrongful_percent(self) -> float:
        """Return refusals of what a global bucket admits, in percent."""
        return 100 * self.refused_though_due / max(1, self.due)

    def tokens_percent(self) -> float:
        """Return the tokens admitted, in percent of a global bucket's."""
        admitted = sum(arrival.tokens for arrival in self.admitted)
        return 100 * admitted / self.due_tokens


def run(policy: Policy, arrivals: list[Arrival]) -> Outcome:
    """Send the arrivals to a policy and to a global bucket."""
    outcome = Outcome()
    perfect = Bucket(RATE, BURST, BURST)
    next_tick = _TICK_S
    for arrival in arrivals:
        while next_tick <= arrival.time:
            policy.tick(next_tick)
            next_tick += _TICK_S
        is_due = perfect.take(arrival.time, arrival.tokens)
        is_admitted = policy.admit(arrival)
        outcome.due += is_due
        outcome.due_tokens += arrival.tokens * is_due
        outcome.refused_though_due += is_due and not is_admitted
        if is_admitted:
            outcome.admitted.append(arrival)
    return outcome


def compare_policies() -> Iterator[str]:
    """Yield the table of policies under load and faults."""
    yield '| scenario | policy | overshoot, tokens | wrongly refused | tokens of a global bucket | messages/s |'
    yield '|---|---|---:|---:|---:|---:|'
    for scenario in _SCENARIOS:
        arrivals = make_arrivals(scenario, _DAEMONS, _TIME_S)
        for name, make in _POLICIES:
            policy = make(scenario, _DAEMONS)
            outcome = run(policy, arrivals)
            yield (
                f'| {scenario.name} | {name} | {outcome.overshoot():.0f} '
                f'| {outcome.wrongful_percent():.2f} % '
                f'| {outcome.tokens_percent():.1f} % '
                f'| {policy.messages / _TIME_S:.0f} |'
            )


def measure_sizes() -> Iterator[str]:
    """Yield the table of messages and memory by number of daemons."""
    yield '| daemons | messages/s in all | messages/s a daemon | memory, KiB a daemon |'
    yield '|---:|---:|---:|---:|'
    for daemons in _SIZES:
        arrivals = make_arrivals(_SCENARIOS[0], daemons, _SIZE_TIME_S)
        tracemalloc.start()
        policy = SharesPolicy(_SCENARIOS[0], daemons)
        run(policy, arrivals)
        _, peak_bytes = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        per_second = policy.messages / _SIZE_TIME_S
        yield (
            f'| {daemons} | {per_second:.0f} | {per_second / daemons:.1f} '
            f'| {peak_bytes / 1024 / daemons:.1f} |'
        )


def compare_counting() -> Iterator[str]:
    """Yield the table of counting tokens at admission and at delivery."""
    yield '| tokens count as received | used of reserved | wrongly refused |'
    yield '|---|---:|---:|'
    for used, is_at_admission in itertools.product((1.0, 0.5), (True, False)):
        percent = _count(used, is_at_admission=is_at_admission)
        name = 'at admission' if is_at_admission else 'at delivery'
        yield f'| {name} | {100 * used:.0f} % | {percent:.1f} % |'


def _count(used: float, *, is_at_admission: bool) -> float:
    """Return refusals in percent at nine tenths of the rate in used tokens."""
    bucket = ShareBucket(ShareLimit(RATE, BURST), ShareState(BURST), 0)
    running: list[tuple[float, GrantUse]] = []
    arrivals = make_arrivals(Scenario('', load=LOAD / used), 1, _TIME_S)
    refused = 0
    for number, arrival in enumerate(arrivals):
        while running and running[0][0] <= arrival.time:
            ends_at, last_use = running.pop(0)
            bucket.advance(ends_at, -NEVER)
            bucket.record_uses([last_use], ends_at)
        bucket.advance(arrival.time, -NEVER)
        grant_id = str(number)
        if bucket.level_tokens < arrival.tokens:
            refused += 1
            continue
        bucket.grant(GrantOrder(grant_id, arrival.tokens), arrival.time)
        if is_at_admission:
            bucket.record_uses([GrantUse(grant_id, arrival.tokens)], arrival.time)
        running.append((arrival.time + _RUN_S, _last_use(grant_id, arrival, used)))
    return 100 * refused / len(arrivals)


def _last_use(grant_id: str, arrival: Arrival, used: float) -> GrantUse:
    unused = arrival.tokens - round(arrival.tokens * used)
    return GrantUse(grant_id, arrival.tokens, unused, is_closed=True)


def main() -> None:
    """Print all tables."""
    for table in (compare_policies, measure_sizes, compare_counting):
        for line in table():
            sys.stdout.write(f'{line}\n')
        sys.stdout.write('\n')
