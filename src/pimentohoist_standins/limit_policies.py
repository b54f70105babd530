"""Policies that hold a workspace's limit, for comparison."""

from __future__ import annotations

import itertools
from dataclasses import dataclass
from typing import Protocol

from pimentohoist._decisions.grants import Demand, GrantPool, ShareOwner, split_need
from pimentohoist._decisions.shares import (
    SHARES_PER_WORKSPACE,
    GrantOrder,
    ShareBucket,
    ShareLimit,
    ShareState,
)

RATE_TOKENS_PER_S = 20_000.0
BURST_TOKENS = 40_000
DEFAULT_LOAD = 0.9
NEVER = float('inf')
_TAKEOVER_S = 5.0


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request's arrival at an entry daemon, with its cost in tokens."""

    time: float
    entry: int
    tokens: int


@dataclass(frozen=True, slots=True)
class Scenario:
    """Where requests arrive, at which load, and which daemon fails.

    Attributes
    ----------
    load : float
        Requested tokens as a share of the rate.
    killed_at : float
        Time at which daemon 0 dies; its callers switch to the others.
    takeover_allowed_at : float
        Time from which another daemon can take over its resources.
    """

    name: str
    load: float = DEFAULT_LOAD
    is_skewed: bool = False
    killed_at: float = NEVER
    takeover_allowed_at: float = NEVER


@dataclass(slots=True)
class Bucket:
    """A plain token bucket.

    Attributes
    ----------
    rate_tokens_per_s : float
        Tokens accrued a second.
    burst_tokens : float
        Largest level.
    time : float
        Time up to which tokens are accrued, in seconds.
    """

    rate_tokens_per_s: float
    burst_tokens: float
    level_tokens: float
    time: float = 0

    def take(self, time: float, tokens: float) -> bool:
        """Take the tokens if the level suffices; return whether it did."""
        self.accrue(time)
        if self.level_tokens < tokens:
            return False
        self.level_tokens -= tokens
        return True

    def accrue(self, time: float) -> None:
        """Add the tokens accrued up to a time."""
        accrued_tokens = self.rate_tokens_per_s * (time - self.time)
        self.level_tokens = min(self.burst_tokens, self.level_tokens + accrued_tokens)
        self.time = time


class Policy(Protocol):
    """A policy that admits or refuses requests to hold the limit."""

    messages: int

    def admit(self, arrival: Arrival) -> bool:
        """Return whether a request is admitted."""

    def tick(self, time: float) -> None:
        """Do the periodic background work."""


class StaticPolicy:
    """Each daemon limits its requests to an equal part of the rate and burst."""

    def __init__(self, scenario: Scenario, daemons: int) -> None:
        self.messages = 0
        burst_tokens = BURST_TOKENS / daemons
        self.buckets = [
            Bucket(RATE_TOKENS_PER_S / daemons, burst_tokens, burst_tokens)
            for _ in range(daemons)
        ]

    def admit(self, arrival: Arrival) -> bool:
        """Admit the request if the entry daemon's own bucket suffices."""
        return self.buckets[arrival.entry].take(arrival.time, arrival.tokens)

    def tick(self, time: float) -> None:
        """Do nothing."""


class SingleOwnerPolicy:
    """One owner holds the workspace's bucket and decides on every request."""

    def __init__(self, scenario: Scenario, daemons: int) -> None:
        self.messages = 0
        self.scenario = scenario
        self.bucket = Bucket(RATE_TOKENS_PER_S, BURST_TOKENS, BURST_TOKENS)
        self.is_taken_over = False

    def admit(self, arrival: Arrival) -> bool:
        """Admit the request if there is an owner and its bucket suffices."""
        self.messages += 2
        if self.scenario.killed_at <= arrival.time:
            taken_over_at = self.scenario.takeover_allowed_at + _TAKEOVER_S
            if arrival.time < taken_over_at:
                return False
            if not self.is_taken_over:
                self.is_taken_over = True
                self.bucket = Bucket(RATE_TOKENS_PER_S, BURST_TOKENS, 0, taken_over_at)
        return self.bucket.take(arrival.time, arrival.tokens)

    def tick(self, time: float) -> None:
        """Do nothing."""


class GossipPolicy:
    """Each daemon counts in its own bucket and reports to the others at every tick."""

    def __init__(self, scenario: Scenario, daemons: int) -> None:
        self.messages = 0
        self.buckets = [
            Bucket(RATE_TOKENS_PER_S, BURST_TOKENS, BURST_TOKENS)
            for _ in range(daemons)
        ]
        self.spent_tokens = [0 for _ in range(daemons)]

    def admit(self, arrival: Arrival) -> bool:
        """Admit the request if the entry daemon's estimate of the bucket suffices."""
        is_admitted = self.buckets[arrival.entry].take(arrival.time, arrival.tokens)
        self.spent_tokens[arrival.entry] += arrival.tokens * is_admitted
        return is_admitted

    def tick(self, time: float) -> None:
        """Subtract the tokens that the other daemons spent."""
        total_tokens = sum(self.spent_tokens)
        daemon_count = len(self.buckets)
        self.messages += daemon_count * (daemon_count - 1)
        for bucket, own_tokens in zip(self.buckets, self.spent_tokens, strict=True):
            bucket.accrue(time)
            bucket.level_tokens -= total_tokens - own_tokens
        self.spent_tokens = [0 for _ in range(daemon_count)]


class SharesPolicy:
    """The daemons' own decisions: owners hold shares, entry daemons hold grants."""

    def __init__(self, scenario: Scenario, daemons: int) -> None:
        self.messages = 0
        self.scenario = scenario
        self.pools = [GrantPool() for _ in range(daemons)]
        self.demands = [Demand() for _ in range(daemons)]
        self.buckets = [
            ShareBucket(limit, ShareState(limit.burst_tokens), 0)
            for limit in _share_limits()
        ]
        self.is_taken_over = False
        self.grant_numbers = itertools.count()

    def admit(self, arrival: Arrival) -> bool:
        """Take missing tokens from the shares, then charge the entry daemon's grants."""
        pool = self.pools[arrival.entry]
        self.demands[arrival.entry].add(arrival.tokens, arrival.time)
        missing_tokens = arrival.tokens - pool.available(arrival.time)
        if missing_tokens > 0:
            self.take(
                arrival.entry,
                arrival.time,
                split_need(missing_tokens, next(self.grant_numbers)),
            )
        for share in range(SHARES_PER_WORKSPACE):
            missing_tokens = arrival.tokens - pool.available(arrival.time)
            if missing_tokens > 0:
                self.take_from_share(arrival.entry, share, arrival.time, missing_tokens)
        charges = pool.charge(arrival.tokens, arrival.time)
        if charges is not None:
            pool.settle(charges, 0)
        return charges is not None

    def tick(self, time: float) -> None:
        """Take grants in advance and report uses, as the daemons do."""
        first_alive = 1 if time >= self.scenario.killed_at else 0
        for entry, _ in list(enumerate(self.pools))[first_alive:]:
            self.run_entry(entry, time)

    def run_entry(self, entry: int, time: float) -> None:
        """Do one daemon's background work."""
        pool = self.pools[entry]
        wanted = self.demands[entry].wanted(time, pool)
        extras = split_need(wanted, next(self.grant_numbers))
        for share in range(SHARES_PER_WORKSPACE):
            if extras[share]:
                self.take_from_share(entry, share, time, 0, extras[share])
        pool.close_idle(time)
        for owner in sorted(pool.owners(time), key=str):
            bucket = self.bucket(owner.share, time)
            self.messages += 2
            if bucket is not None:
                uses = pool.take_uses(owner)
                bucket.record_uses(uses, time)
                pool.confirm(uses, time)
        pool.forget_old(time)

    def take(self, entry: int, time: float, needs: tuple[int, ...]) -> None:
        """Take a grant from each share."""
        for share in range(SHARES_PER_WORKSPACE):
            if needs[share]:
                self.take_from_share(entry, share, time, needs[share])

    def take_from_share(
        self, entry: int, share: int, time: float, need: int, extra: int = 0
    ) -> None:
        """Take a grant from one share."""
        bucket = self.bucket(share, time)
        self.messages += 2
        if bucket is None:
            return
        pool = self.pools[entry]
        owner = ShareOwner(share, str(self.is_taken_over and share == 0))
        uses = pool.take_uses(owner)
        bucket.record_uses(uses, time)
        grant = bucket.grant(
            GrantOrder(str(next(self.grant_numbers)), need, extra), time
        )
        pool.confirm(uses, time)
        if grant.tokens:
            pool.add(grant, owner, time, time)

    def bucket(self, share: int, time: float) -> ShareBucket | None:
        """Return a share's bucket at its owner, None while it has no owner.

        Daemon 0 owns share 0.
        """
        if share == 0 and time >= self.scenario.killed_at and not self.is_taken_over:
            if time < self.scenario.takeover_allowed_at + _TAKEOVER_S:
                return None
            self.is_taken_over = True
            self.buckets[0] = ShareBucket(_share_limits()[0], ShareState(0), time)
        bucket = self.buckets[share]
        bucket.advance(time, -NEVER)
        return bucket


def _share_limits() -> list[ShareLimit]:
    return [
        ShareLimit.of(RATE_TOKENS_PER_S, BURST_TOKENS, share)
        for share in range(SHARES_PER_WORKSPACE)
    ]
