"""Condition under which a stopping daemon may exit."""

from __future__ import annotations

from dataclasses import dataclass

MAX_VIEW_LAG_S = 2.0
"""Time within which every daemon that serves callers has read a new view record."""


@dataclass(frozen=True, slots=True)
class DrainProgress:
    """Progress of a planned stop.

    Attributes
    ----------
    began_at : float
        Monotonic time in seconds at which the stop was requested.
    announced_at : float or None
        Monotonic time in seconds at which the log had the record that takes the daemon
        off the address list; None before.
    entries_max_age_s : float
        Time for which callers keep an address list.
    limit_s : float
        Longest time until the daemon exits, even if requests are still in flight.
    """

    began_at: float
    announced_at: float | None
    entries_max_age_s: float
    limit_s: float


def is_drained(progress: DrainProgress, now: float, *, is_idle: bool) -> bool:
    """Return whether the daemon may exit.

    Before `limit_s` has passed, no caller may hold an address list with its address any
    more, and no request may be in flight.
    """
    if now - progress.began_at >= progress.limit_s:
        return True
    if progress.announced_at is None or not is_idle:
        return False
    last_list_at = progress.announced_at + MAX_VIEW_LAG_S
    return now >= last_list_at + progress.entries_max_age_s
