"""One daemon's part of the fleet's retry budget, over a sliding window."""

from __future__ import annotations

from collections import deque

_USED_SHARE = 0.5
"""Share of the budget that is used; the rest covers what other daemons can't know."""


class RetryWindow:
    """Requests and retries of one endpoint group in the last `window_s`.

    Parameters
    ----------
    ratio, slack : float
        Retries of all daemons in a window are at most the number of requests times the
        ratio, plus the slack.
    """

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        self.ratio = ratio * _USED_SHARE
        self.slack = slack * _USED_SHARE
        self.window_s = window_s
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def record_request(self, now: float) -> None:
        """Count a caller's request."""
        self._requests.append(now)
        self._drop_expired(now)

    def take_retry(self, now: float, daemons: int) -> bool:
        """Count a retry if this daemon's even share of the budget allows it."""
        self._drop_expired(now)
        budget = self.ratio * len(self._requests) + self.slack / max(1, daemons)
        if len(self._retries) + 1 > budget:
            return False
        self._retries.append(now)
        return True

    def _drop_expired(self, now: float) -> None:
        for times in (self._requests, self._retries):
            while times and times[0] <= now - self.window_s:
                times.popleft()
