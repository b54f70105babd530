"""Permits to send requests to an endpoint that limits the requests of all daemons."""

from __future__ import annotations

import random

_BURST_S = 1.0
"""Permits that were not asked for are kept for this time, at least one of them."""

_MAX_DEBT_S = 3.0
"""Requests that an endpoint is running as it names its limit count against it, but stop
new ones no longer than this."""

_MAX_WAIT_S = 60.0
_ASKER_TIMEOUT_S = 3.0
"""A daemon that hasn't asked again for this time after its wait wants no permits."""

_MIN_TURNS, _MAX_TURNS = 0.4, 0.9
"""Daemons that were refused ask again more often than permits become available, so that
none stays unused and their number doesn't add to the calls."""

_MAX_LATENESS_S = 1.0
"""A permit that isn't used by then is lost."""

_PACED_SHARE = 0.5
"""The moments at which many daemons send are random, so some fall close together."""


class RateGranter:
    """Token bucket of the permits for one endpoint, kept by its owner.

    Parameters
    ----------
    per_s : float
        Permits a second.
    running : int
        Requests that the endpoint is running.
    now : float
        Monotonic time in seconds.

    Attributes
    ----------
    burst : float or None
        Permits that are granted at once at most; None for those of a second.
    """

    def __init__(self, per_s: float, running: int, now: float) -> None:
        self.per_s = per_s
        self.burst: float | None = None
        self.level = -min(running, per_s * _MAX_DEBT_S)
        self._filled_at = now
        self._asks_again_at: dict[str, float] = {}

    def take(self, member: str, now: float, share: float = 1) -> float:
        """Take a permit for a daemon.

        Parameters
        ----------
        share : float
            Share of the rate that is granted here; the rest is left to daemons that
            can't ask.

        Returns
        -------
        float
            0 if the permit is granted, else the seconds after which to ask again.
        """
        self._fill(now, share)
        if self.level >= 1:
            self.level -= 1
            self._asks_again_at.pop(member, None)
            return 0
        self._asks_again_at = {
            asker: at
            for asker, at in self._asks_again_at.items()
            if now - at < _ASKER_TIMEOUT_S and asker != member
        }
        turns = (1 + len(self._asks_again_at)) * random.uniform(_MIN_TURNS, _MAX_TURNS)
        wait_s = min(_MAX_WAIT_S, max(1 - self.level, turns) / (self.per_s * share))
        self._asks_again_at[member] = now + wait_s
        return wait_s

    def _fill(self, now: float, share: float) -> None:
        rate = self.per_s * share
        accrued = max(0, now - self._filled_at) * rate
        burst = self.per_s * _BURST_S if self.burst is None else self.burst
        self.level = min(max(1, burst), self.level + accrued)
        self._filled_at = now


class RatePacer:
    """Paces the requests of one daemon that can't ask the owner for permits.

    Unused permits are soon lost, and each daemon begins at another moment: otherwise many
    daemons with a small share each would send at the same time.
    """

    def __init__(self) -> None:
        self._due_at: float | None = None

    def take(self, per_s: float, now: float) -> float:
        """Take a permit of this daemon's rate; return 0, or the seconds to wait."""
        interval_s = 1 / (per_s * _PACED_SHARE)
        due_at = self._due_at
        if due_at is None or now - due_at > _MAX_LATENESS_S:
            due_at = now + random.uniform(0, interval_s)
        self._due_at = due_at
        if due_at > now:
            return due_at - now
        self._due_at = now + interval_s
        return 0
