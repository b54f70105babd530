"""Benchmark of the limit's decisions against simpler policies.

One workspace sends requests to several entry daemons. Every policy gets the same
generated arrivals; a single global bucket decides which of them an ideal limit admits.
A call between daemons takes no time but counts as two messages.
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
    BURST_TOKENS,
    DEFAULT_LOAD,
    NEVER,
    RATE_TOKENS_PER_S,
    Arrival,
    Bucket,
    GossipPolicy,
    Policy,
    Scenario,
    SharesPolicy,
    SingleOwnerPolicy,
    StaticPolicy,
)

_REQUEST_TOKENS = (500, 4000)
_FLOOD_LOAD = 5.0
_DURATION_S = 120.0
_TICK_INTERVAL_S = 0.1
_KILLED_AT_S = 40.0
_LOG_OUTAGE_S = (20.0, 100.0)
_DETECTION_S = 2.5
_DAEMON_COUNT = 8
_DAEMON_COUNTS = (8, 64, 370)
_SIZE_DURATION_S = 10.0
_SEED = 4
_EXECUTION_S = 2.5


_SCENARIOS = (
    Scenario('even'),
    Scenario('skew: all on one daemon', is_skewed=True),
    Scenario('five times the rate', load=_FLOOD_LOAD),
    Scenario(
        'one daemon killed',
        killed_at=_KILLED_AT_S,
        takeover_allowed_at=_KILLED_AT_S + _DETECTION_S,
    ),
    Scenario(
        'log out 80 s, one killed',
        killed_at=_KILLED_AT_S,
        takeover_allowed_at=_LOG_OUTAGE_S[1],
    ),
)


def make_arrivals(scenario: Scenario, daemons: int, time_s: float) -> list[Arrival]:
    """Return Poisson arrivals whose costs in tokens are uniformly distributed."""
    rng = random.Random(_SEED)
    mean_tokens = sum(_REQUEST_TOKENS) / len(_REQUEST_TOKENS)
    arrivals = []
    time: float = 0
    while time < time_s:
        time += rng.expovariate(scenario.load * RATE_TOKENS_PER_S / mean_tokens)
        first_alive = 1 if time >= scenario.killed_at else 0
        entry = (
            daemons - 1 if scenario.is_skewed else rng.randrange(first_alive, daemons)
        )
        arrivals.append(Arrival(time, entry, rng.randint(*_REQUEST_TOKENS)))
    return arrivals


_POLICIES: tuple[tuple[str, Callable[[Scenario, int], Policy]], ...] = (
    ('static rate/N', StaticPolicy),
    ('single home', SingleOwnerPolicy),
    ('gossip of usage', GossipPolicy),
    ('shares and grants', SharesPolicy),
)


@dataclass(slots=True)
class Outcome:
    """A policy's decisions on the arrivals, beside those of a global bucket.

    Attributes
    ----------
    expected : int
        Arrivals that the global bucket admits.
    wrongly_refused : int
        Arrivals that the global bucket admits and the policy refuses.
    expected_tokens : int
        Tokens of the arrivals that the global bucket admits.
    """

    admitted: list[Arrival] = field(default_factory=list)
    expected: int = 0
    wrongly_refused: int = 0
    expected_tokens: int = 0

    def overshoot_tokens(self) -> float:
        """Return the largest excess over rate and burst in any window, in tokens.

        A bucket whose level may fall below zero shows the excess of the worst window
        up to now as its negative level.
        """
        bucket = Bucket(RATE_TOKENS_PER_S, BURST_TOKENS, BURST_TOKENS)
        worst: float = 0
        for arrival in self.admitted:
            bucket.accrue(arrival.time)
            bucket.level_tokens -= arrival.tokens
            worst = max(worst, -bucket.level_tokens)
        return worst

    def wrongly_refused_percent(self) -> float:
        """Return the refused share of what a global bucket admits, in percent."""
        return 100 * self.wrongly_refused / max(1, self.expected)

    def admitted_tokens_percent(self) -> float:
        """Return the admitted tokens in percent of those of a global bucket."""
        admitted = sum(arrival.tokens for arrival in self.admitted)
        return 100 * admitted / self.expected_tokens


def run(policy: Policy, arrivals: list[Arrival]) -> Outcome:
    """Send the arrivals to a policy and to a global bucket."""
    outcome = Outcome()
    global_bucket = Bucket(RATE_TOKENS_PER_S, BURST_TOKENS, BURST_TOKENS)
    next_tick = _TICK_INTERVAL_S
    for arrival in arrivals:
        while next_tick <= arrival.time:
            policy.tick(next_tick)
            next_tick += _TICK_INTERVAL_S
        is_expected = global_bucket.take(arrival.time, arrival.tokens)
        is_admitted = policy.admit(arrival)
        outcome.expected += is_expected
        outcome.expected_tokens += arrival.tokens * is_expected
        outcome.wrongly_refused += is_expected and not is_admitted
        if is_admitted:
            outcome.admitted.append(arrival)
    return outcome


def compare_policies() -> Iterator[str]:
    """Yield the table that compares policies under load and faults."""
    yield '| scenario | policy | overshoot, tokens | wrongly refused | tokens of a global bucket | messages/s |'
    yield '|---|---|---:|---:|---:|---:|'
    for scenario in _SCENARIOS:
        arrivals = make_arrivals(scenario, _DAEMON_COUNT, _DURATION_S)
        for name, make in _POLICIES:
            policy = make(scenario, _DAEMON_COUNT)
            outcome = run(policy, arrivals)
            yield (
                f'| {scenario.name} | {name} | {outcome.overshoot_tokens():.0f} '
                f'| {outcome.wrongly_refused_percent():.2f} % '
                f'| {outcome.admitted_tokens_percent():.1f} % '
                f'| {policy.messages / _DURATION_S:.0f} |'
            )


def measure_sizes() -> Iterator[str]:
    """Yield the table of messages and memory by the number of daemons."""
    yield '| daemons | messages/s in all | messages/s a daemon | memory, KiB a daemon |'
    yield '|---:|---:|---:|---:|'
    for daemons in _DAEMON_COUNTS:
        arrivals = make_arrivals(_SCENARIOS[0], daemons, _SIZE_DURATION_S)
        tracemalloc.start()
        policy = SharesPolicy(_SCENARIOS[0], daemons)
        run(policy, arrivals)
        _, peak_bytes = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        per_second = policy.messages / _SIZE_DURATION_S
        yield (
            f'| {daemons} | {per_second:.0f} | {per_second / daemons:.1f} '
            f'| {peak_bytes / 1024 / daemons:.1f} |'
        )


def compare_counting() -> Iterator[str]:
    """Yield the table that compares counting tokens at admission and at delivery."""
    yield '| tokens count as received | used of reserved | wrongly refused |'
    yield '|---|---:|---:|'
    for used_share, is_at_admission in itertools.product((1.0, 0.5), (True, False)):
        percent = _refused_percent(used_share, is_at_admission=is_at_admission)
        name = 'at admission' if is_at_admission else 'at delivery'
        yield f'| {name} | {100 * used_share:.0f} % | {percent:.1f} % |'


def _refused_percent(used_share: float, *, is_at_admission: bool) -> float:
    """Return the percentage refused while the used tokens arrive at 0.9 of the rate."""
    bucket = ShareBucket(
        ShareLimit(RATE_TOKENS_PER_S, BURST_TOKENS), ShareState(BURST_TOKENS), 0
    )
    running: list[tuple[float, GrantUse]] = []
    arrivals = make_arrivals(
        Scenario('', load=DEFAULT_LOAD / used_share), 1, _DURATION_S
    )
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
        running.append(
            (arrival.time + _EXECUTION_S, _last_use(grant_id, arrival, used_share))
        )
    return 100 * refused / len(arrivals)


def _last_use(grant_id: str, arrival: Arrival, used_share: float) -> GrantUse:
    unused = arrival.tokens - round(arrival.tokens * used_share)
    return GrantUse(grant_id, arrival.tokens, unused, is_closed=True)


def main() -> None:
    """Print all tables."""
    for table in (compare_policies, measure_sizes, compare_counting):
        for line in table():
            sys.stdout.write(f'{line}\n')
        sys.stdout.write('\n')
