"""When a daemon joins its group again: soon after a change, but not at each of many."""

from __future__ import annotations

import math
from dataclasses import dataclass

JOIN_INTERVAL_S = 0.8
"""A third of the membership's lease, less the time of a call."""

_CONFIRM_DELAY_S = 0.02
"""Delay of the join that confirms a new generation, so that a change of many daemons at
once takes fewer joins."""

_MAX_CONFIRM_DELAY_S = 0.16
"""While daemons start one after the other, each of them brings a new generation. The last
one is confirmed after this time, a third of what a rebalance may take."""

_REBALANCE_S = 0.5
"""Time after a change in which this daemon joins often while partitions have no owner:
former owners release them with their next joins, two delays and two calls later."""

_REBALANCE_JOIN_INTERVAL_S = 0.1
"""Interval between joins while partitions have no owner; a fifth of that time."""


@dataclass(slots=True)
class JoinTimes:
    """The times of one daemon's joins, in seconds.

    Attributes
    ----------
    joined_at : float
        When the last join was answered or failed.
    changed_at : float
        When a join last named a new generation.
    changes : int
        Joins in a row that named a new generation.
    """

    joined_at: float = -math.inf
    changed_at: float = -math.inf
    changes: int = 0

    def record_join(self, now: float, *, is_changed: bool) -> None:
        """Record a join, and whether it named a new generation."""
        self.joined_at = now
        self.changes = self.changes + 1 if is_changed else 0
        if is_changed:
            self.changed_at = now

    def next_join_at(self, *, has_unclaimed: bool) -> float:
        """Return when to join again, if nothing is heard of other generations.

        Parameters
        ----------
        has_unclaimed : bool
            Whether partitions have no owner.
        """
        if self.changes:
            # A lost partition is reassigned once its former owner's join names the
            # generation that took it away.
            return self.prompted_join_at()
        is_rebalancing = self.joined_at - self.changed_at < _REBALANCE_S
        if is_rebalancing and has_unclaimed:
            return self.joined_at + _REBALANCE_JOIN_INTERVAL_S
        return self.joined_at + JOIN_INTERVAL_S

    def prompted_join_at(self) -> float:
        """Return when to join again if another daemon has a later generation.

        After one change at once, after more in a row with a delay that doubles.
        """
        if not self.changes:
            return self.joined_at
        delay_s = math.ldexp(_CONFIRM_DELAY_S, self.changes - 1)
        return self.joined_at + min(_MAX_CONFIRM_DELAY_S, delay_s)
