"""Whether a daemon's state of the log's streams is recent enough to act on."""

from __future__ import annotations

from pimentohoist._decisions.ownership_terms import MAX_FRESH_AGE_S


class FreshnessTracker:
    """Records confirmations that the daemon has read all known records of its streams.

    Attributes
    ----------
    confirmed_at : float
        Time before the last request was sent whose answer confirmed it.
    fresh_since : float
        Start of the present unbroken period of freshness.
    """

    def __init__(self) -> None:
        self.confirmed_at = float('-inf')
        self.fresh_since = float('inf')

    def confirm(self, asked_at: float, now: float) -> None:
        """Record a confirming answer to a request sent at `asked_at`."""
        if asked_at <= self.confirmed_at:
            return
        if asked_at - self.confirmed_at >= MAX_FRESH_AGE_S:
            self.fresh_since = now
        self.confirmed_at = asked_at

    def is_fresh(self, now: float) -> bool:
        """Return whether the last confirmation is recent enough."""
        return now - self.confirmed_at < MAX_FRESH_AGE_S
