"""When a daemon that was told to stop may end."""

from __future__ import annotations

from dataclasses import dataclass

READERS_LAG_S = 2.0
"""Within this time every daemon that answers callers has read a new view record."""


@dataclass(frozen=True, slots=True)
class DrainProgress:
    """How far a planned stop is.

    Attributes
    ----------
    began_at : float
        Monotonic time in seconds at which the stop was asked for.
    announced_at : float or None
        Monotonic time in seconds at which the log had the record that takes the daemon
        off the address list; None before.
    entries_max_age_s : float
        How long callers keep a list of addresses.
    limit_s : float
        Longest time until the daemon ends, whatever still runs.
    """

    began_at: float
    announced_at: float | None
    entries_max_age_s: float
    limit_s: float


def is_drained(progress: DrainProgress, now: float, *, is_idle: bool) -> bool:
    """Return whether the daemon may end.

    No caller may hold a list with its address any more, and no request may run.
    """
    if now - progress.began_at >= progress.limit_s:
        return True
    if progress.announced_at is None or not is_idle:
        return False
    last_list_at = progress.announced_at + READERS_LAG_S
    return now >= last_list_at + progress.entries_max_age_s
