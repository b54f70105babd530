"""Ways to hold a workspace's limit, to be compared."""

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

RATE = 20_000.0
BURST = 40_000
LOAD = 0.9
NEVER = float('inf')
_TAKEOVER_S = 5.0


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request at an entry daemon."""

    time: float
    entry: int
    tokens: int


@dataclass(frozen=True, slots=True)
class Scenario:
    """Where requests arrive and what fails.

    Attributes
    ----------
    killed_at : float
        Time at which daemon 0 dies; its callers go to the others.
    back_at : float
        Time from which another daemon can take its homes over.
    """

    name: str
    load: float = LOAD
    is_skewed: bool = False
    killed_at: float = NEVER
    back_at: float = NEVER


@dataclass(slots=True)
class Bucket:
    """A plain token bucket."""

    rate: float
    burst: float
    level: float
    time: float = 0

    def take(self, time: float, tokens: float) -> bool:
        """Take the tokens if they are there."""
        self.accrue(time)
        if self.level < tokens:
            return False
        self.level -= tokens
        return True

    def accrue(self, time: float) -> None:
        """Accrue up to a time."""
        accrued = self.rate * (time - self.time)
        self.level = min(self.burst, self.level + accrued)
        self.time = time


class Policy(Protocol):
    """A way to hold the limit."""

    messages: int

    def admit(self, arrival: Arrival) -> bool:
        """Return whether a request is admitted."""

    def tick(self, time: float) -> None:
        """Do what is done in the background."""


class StaticPolicy:
    """Each daemon has its part of the rate and burst."""

    def __init__(self, scenario: Scenario, daemons: int) -> None:
        self.messages = 0
        part = BURST / daemons
        self.buckets = [Bucket(RATE / daemons, part, part) for _ in range(daemons)]

    def admit(self, arrival: Arrival) -> bool:
        """Ask the entry's own bucket."""
        return self.buckets[arrival.entry].take(arrival.time, arrival.tokens)

    def tick(self, time: float) -> None:
        """Do nothing."""


class SingleOwnerPolicy:
    """One daemon holds the workspace's bucket and is asked for every request."""

    def __init__(self, scenario: Scenario, daemons: int) -> None:
        self.messages = 0
        self.scenario = scenario
        self.bucket = Bucket(RATE, BURST, BURST)
        self.is_new = False

    def admit(self, arrival: Arrival) -> bool:
        """Ask the home, if there is one."""
        self.messages += 2
        if self.scenario.killed_at <= arrival.time:
            begins_at = self.scenario.back_at + _TAKEOVER_S
            if arrival.time < begins_at:
                return False
            if not self.is_new:
                self.is_new = True
                self.bucket = Bucket(RATE, BURST, 0, begins_at)
        return self.bucket.take(arrival.time, arrival.tokens)

    def tick(self, time: float) -> None:
        """Do nothing."""


class GossipPolicy:
    """Each daemon counts in its own bucket and tells the others at every tick."""

    def __init__(self, scenario: Scenario, daemons: int) -> None:
        self.messages = 0
        self.buckets = [Bucket(RATE, BURST, BURST) for _ in range(daemons)]
        self.spent = [0 for _ in range(daemons)]

    def admit(self, arrival: Arrival) -> bool:
        """Ask the entry's estimate."""
        is_admitted = self.buckets[arrival.entry].take(arrival.time, arrival.tokens)
        self.spent[arrival.entry] += arrival.tokens * is_admitted
        return is_admitted

    def tick(self, time: float) -> None:
        """Subtract what the others spent."""
        total = sum(self.spent)
        count = len(self.buckets)
        self.messages += count * (count - 1)
        for bucket, own in zip(self.buckets, self.spent, strict=True):
            bucket.accrue(time)
            bucket.level -= total - own
        self.spent = [0 for _ in range(count)]


class SharesPolicy:
    """The product's decisions: shares at homes, grants at entries."""

    def __init__(self, scenario: Scenario, daemons: int) -> None:
        self.messages = 0
        self.scenario = scenario
        self.pools = [GrantPool() for _ in range(daemons)]
        self.demands = [Demand() for _ in range(daemons)]
        self.buckets = [
            ShareBucket(limit, ShareState(limit.burst_tokens), 0)
            for limit in _share_limits()
        ]
        self.is_new = False
        self.ids = itertools.count()

    def admit(self, arrival: Arrival) -> bool:
        """Charge the entry's grants, and take what is missing from the shares."""
        pool = self.pools[arrival.entry]
        self.demands[arrival.entry].add(arrival.tokens, arrival.time)
        missing = arrival.tokens - pool.available(arrival.time)
        if missing > 0:
            self.take(arrival.entry, arrival.time, split_need(missing, next(self.ids)))
        for share in range(SHARES_PER_WORKSPACE):
            missing = arrival.tokens - pool.available(arrival.time)
            if missing > 0:
                self.take_one(arrival.entry, share, arrival.time, missing)
        charges = pool.charge(arrival.tokens, arrival.time)
        if charges is not None:
            pool.settle(charges, 0)
        return charges is not None

    def tick(self, time: float) -> None:
        """Take in advance and report, as the daemons do."""
        first = 1 if time >= self.scenario.killed_at else 0
        for entry, _ in list(enumerate(self.pools))[first:]:
            self.tick_entry(entry, time)

    def tick_entry(self, entry: int, time: float) -> None:
        """Do one daemon's work in the background."""
        pool = self.pools[entry]
        wanted = self.demands[entry].wanted(time, pool)
        extras = split_need(wanted, next(self.ids))
        for share in range(SHARES_PER_WORKSPACE):
            if extras[share]:
                self.take_one(entry, share, time, 0, extras[share])
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
                self.take_one(entry, share, time, needs[share])

    def take_one(
        self, entry: int, share: int, time: float, need: int, extra: int = 0
    ) -> None:
        """Take a grant from one share."""
        bucket = self.bucket(share, time)
        self.messages += 2
        if bucket is None:
            return
        pool = self.pools[entry]
        owner = ShareOwner(share, str(self.is_new and share == 0))
        uses = pool.take_uses(owner)
        bucket.record_uses(uses, time)
        grant = bucket.grant(GrantOrder(str(next(self.ids)), need, extra), time)
        pool.confirm(uses, time)
        if grant.tokens:
            pool.add(grant, owner, time, time)

    def bucket(self, share: int, time: float) -> ShareBucket | None:
        """Return a share at its home; daemon 0 is the home of share 0."""
        if share == 0 and time >= self.scenario.killed_at and not self.is_new:
            if time < self.scenario.back_at + _TAKEOVER_S:
                return None
            self.is_new = True
            self.buckets[0] = ShareBucket(_share_limits()[0], ShareState(0), time)
        bucket = self.buckets[share]
        bucket.advance(time, -NEVER)
        return bucket


def _share_limits() -> list[ShareLimit]:
    return [ShareLimit.of(RATE, BURST, share) for share in range(SHARES_PER_WORKSPACE)]
