"""One daemon with the limit's decisions and a clock of its own, for generated histories."""

from __future__ import annotations

from dataclasses import dataclass, field

from pimentohoist._decisions.grants import GrantPool
from pimentohoist._decisions.share_placement import share_owner
from pimentohoist._decisions.ownership_terms import (
    MAX_FRESH_AGE_S,
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
    """One incarnation with the decisions' state and a clock of its own.

    Attributes
    ----------
    speed, offset : float
        Rate of the daemon's clock, and its reading at time 0.
    views_read : int
        Number of views read from the log.
    limit_index : int
        Index of the last limit read from the log.
    read_at : float
        Time of the daemon's clock at which it last asked the log.
    """

    name: str
    speed: float
    offset: float
    history: OwnershipHistory = field(
        default_factory=lambda: OwnershipHistory(is_complete=True, owner_of=share_owner)
    )
    store: OwnedShareStore = field(default_factory=OwnedShareStore)
    pool: GrantPool = field(default_factory=GrantPool)
    views_read: int = 0
    limit_index: int = 0
    read_at: float = float('-inf')
    fresh_since: float = float('inf')
    fenced_at: dict = field(default_factory=dict)
    inactive_since: dict = field(default_factory=dict)
    running: list = field(default_factory=list)
    is_frozen: bool = False
    has_exited: bool = False

    def now(self, time: float) -> float:
        return self.offset + time * self.speed

    def is_fresh(self, time: float) -> bool:
        return self.now(time) - self.read_at < MAX_FRESH_AGE_S

    def read_log(self, views: list, asked_at: float, now: float) -> None:
        """Apply the log's answer to a request sent at `asked_at`."""
        if asked_at - self.read_at >= MAX_FRESH_AGE_S:
            self.fresh_since = now
        self.read_at = max(self.read_at, asked_at)
        for view in views[self.views_read :]:
            self.history.add(view)
            self.fenced_at[view.epoch] = now
        self.views_read = len(views)
