"""Retries that this daemon may send, out of the budget of the whole fleet."""

from __future__ import annotations

import threading

from pimentohoist import _clock
from pimentohoist._decisions.retry_window import RetryWindow
from pimentohoist._entry.members import MembersController


class GroupRetryBudgets:
    """Retry budgets by endpoint group."""

    def __init__(self, members: MembersController) -> None:
        self.members = members
        self._windows: dict[str, RetryWindow] = {}
        self._lock = threading.Lock()

    def record_request(self, group: str) -> None:
        """Count a caller's request."""
        with self._lock:
            self._window(group).record_request(_clock.now())

    def take_retry(self, group: str) -> bool:
        """Count a retry and return True if the budget allows it, else return False."""
        daemons = 1 + self.members.known_count()
        with self._lock:
            return self._window(group).take_retry(_clock.now(), daemons)

    def _window(self, group: str) -> RetryWindow:
        bounds = self.members.settings.bounds
        if group not in self._windows:
            self._windows[group] = RetryWindow(
                bounds.retry_ratio, bounds.retry_slack, bounds.retry_window_s
            )
        return self._windows[group]
