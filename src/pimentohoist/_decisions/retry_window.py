"""One daemon's part of the fleet's budget of repeats, over a sliding window."""

from __future__ import annotations

from collections import deque

_OWN_PART = 0.5
"""Part of the stated budget that is used; the rest is for what others can't know."""


class RetryWindow:
    """Requests and repeats of one endpoint group in the last seconds.

    Parameters
    ----------
    ratio, slack : float
        Repeats of all daemons in a window are at most the ratio of the requests plus the
        slack.
    """

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        self.ratio = ratio * _OWN_PART
        self.slack = slack * _OWN_PART
        self.window_s = window_s
        self._requests: deque[float] = deque()
        self._repeats: deque[float] = deque()

    def record_request(self, now: float) -> None:
        """Count a caller's request."""
        self._requests.append(now)
        self._forget(now)

    def take(self, now: float, daemons: int) -> bool:
        """Count a repeat if the budget allows it, shared evenly between the daemons."""
        self._forget(now)
        budget = self.ratio * len(self._requests) + self.slack / max(1, daemons)
        if len(self._repeats) + 1 > budget:
            return False
        self._repeats.append(now)
        return True

    def _forget(self, now: float) -> None:
        for moments in (self._requests, self._repeats):
            while moments and moments[0] <= now - self.window_s:
                moments.popleft()
