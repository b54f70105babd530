"""Whether what a daemon has read is recent enough to act on."""

from __future__ import annotations

from pimentohoist._decisions.ownership_terms import FRESH_S


class FreshnessTracker:
    """Times at which the daemon was shown to hold all that is known.

    Attributes
    ----------
    confirmed_at : float
        Time before the last question whose answer showed it.
    fresh_since : float
        Start of the present unbroken stretch of freshness.
    """

    def __init__(self) -> None:
        self.confirmed_at = float('-inf')
        self.fresh_since = float('inf')

    def confirm(self, asked_at: float, now: float) -> None:
        """Take in an answer to a question sent at `asked_at`."""
        if asked_at <= self.confirmed_at:
            return
        if asked_at - self.confirmed_at >= FRESH_S:
            self.fresh_since = now
        self.confirmed_at = asked_at

    def is_fresh(self, now: float) -> bool:
        """Return whether the last confirmation is recent enough."""
        return now - self.confirmed_at < FRESH_S
