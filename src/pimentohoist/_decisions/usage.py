"""A workspace's token bucket, as one of several daemons that serve it sees it.

Each daemon charges its own requests at once and those of the others when it hears of
them, so that all buckets show nearly the same level. What is charged late makes the level
negative and is paid back before anything more is admitted.
"""

from __future__ import annotations

_START_SHARE = 0.5
"""Level at the start: the workspace may have used part of its burst before."""


class UsageBucket:
    """Tokens that a workspace may still use.

    Parameters
    ----------
    rate, burst : float
        Tokens a second, and tokens.
    """

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self.rate = rate
        self.burst = burst
        self.level = burst * _START_SHARE
        self._filled_at = now

    def adjust(self, rate: float, burst: float, now: float) -> None:
        """Take over another rate and burst."""
        self.fill(now)
        self.rate = rate
        self.burst = burst
        self.level = min(self.level, burst)

    def fill(self, now: float, share: float = 1) -> None:
        """Add what has accrued, of which only a share is for this daemon to give."""
        earned = (now - self._filled_at) * self.rate * share
        self._filled_at = now
        self.level = min(self.burst * share, self.level + max(0, earned))

    def charge(self, tokens: float) -> bool:
        """Charge a request if there is any credit left; return whether there was."""
        if self.level <= 0:
            return False
        self.level -= tokens
        return True

    def record(self, tokens: float) -> None:
        """Charge what another daemon admitted, or give back if negative."""
        self.level = min(self.burst, self.level - tokens)

    def wait_s(self) -> float:
        """Return how long until there is credit again."""
        return max(0, -self.level) / self.rate if self.rate else 0
