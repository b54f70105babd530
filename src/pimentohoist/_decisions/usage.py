"""Token bucket of a workspace at one of several daemons that serve it.

Each daemon charges its own requests at once and those of the others when they report
them, so that all buckets have nearly the same level. Late charges make the level
negative, and nothing more is admitted until it has risen above zero again.
"""

from __future__ import annotations

_INITIAL_SHARE = 0.5
"""Share of the burst at the start: the workspace may have used part of it before."""


class UsageBucket:
    """Tokens that a workspace may still use.

    Parameters
    ----------
    rate, burst : float
        Tokens per second, and tokens.
    now : float
        Monotonic time in seconds.
    """

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self.rate = rate
        self.burst = burst
        self.level = burst * _INITIAL_SHARE
        self._filled_at = now

    def adjust(self, rate: float, burst: float, now: float) -> None:
        """Change the rate and the burst."""
        self.fill(now)
        self.rate = rate
        self.burst = burst
        self.level = min(self.level, burst)

    def fill(self, now: float, share: float = 1) -> None:
        """Add the tokens accrued since the last call, for a share of rate and burst."""
        accrued = (now - self._filled_at) * self.rate * share
        self._filled_at = now
        self.level = min(self.burst * share, self.level + max(0, accrued))

    def charge(self, tokens: float) -> bool:
        """Charge a request if there is any credit left; return whether there was."""
        if self.level <= 0:
            return False
        self.level -= tokens
        return True

    def record(self, tokens: float) -> None:
        """Charge tokens that another daemon admitted; negative ones are given back."""
        self.level = min(self.burst, self.level - tokens)

    def wait_s(self) -> float:
        """Return the time in seconds until there is credit again."""
        return max(0, -self.level) / self.rate if self.rate else 0
