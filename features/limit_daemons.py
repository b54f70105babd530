"""One daemon with the limit's decisions and a clock of its own, for generated histories."""

from __future__ import annotations

from dataclasses import dataclass, field

from pimentohoist._decisions.grants import GrantPool
from pimentohoist._decisions.share_places import share_owner
from pimentohoist._decisions.ownership_terms import (
    FRESH_S,
    OwnedShareStore,
    OwnershipHistory,
)


@dataclass
class Reservation:
    """An admitted request that hasn't ended."""

    charges: tuple
    unused: int


@dataclass(frozen=True)
class LimitInForce:
    """A limit of the configuration and the time at which it was accepted."""

    time: float
    rate: float
    burst: int


@dataclass
class SimulatedDaemon:
    """One incarnation with the decisions' state and a clock of its own."""

    name: str
    speed: float
    offset: float
    book: OwnershipHistory = field(
        default_factory=lambda: OwnershipHistory(is_complete=True, owner_of=share_owner)
    )
    keeper: OwnedShareStore = field(default_factory=OwnedShareStore)
    pool: GrantPool = field(default_factory=GrantPool)
    seen: int = 0
    limit_number: int = 0
    read_at: float = float('-inf')
    fresh_since: float = float('inf')
    fenced_at: dict = field(default_factory=dict)
    inactive_since: dict = field(default_factory=dict)
    running: list = field(default_factory=list)
    is_frozen: bool = False
    is_gone: bool = False

    def now(self, time: float) -> float:
        return self.offset + time * self.speed

    def is_fresh(self, time: float) -> bool:
        return self.now(time) - self.read_at < FRESH_S

    def see(self, views: list, asked_at: float, now: float) -> None:
        """Take in the answer of the log to a question sent at `asked_at`."""
        if asked_at - self.read_at >= FRESH_S:
            self.fresh_since = now
        self.read_at = max(self.read_at, asked_at)
        for view in views[self.seen :]:
            self.book.add(view)
            self.fenced_at[view.epoch] = now
        self.seen = len(views)
