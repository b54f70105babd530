"""Times of a daemon's planned stop, and the requests that it still accepts."""

from __future__ import annotations

from dataclasses import dataclass

_RENEWAL_S = 2.5
"""Callers cache a response of the directory for two seconds, so within this time they
have learned of other daemons."""

_ANSWER_MARGIN_S = 0.8
"""From the end of the last response to the kill: time to send errors and to exit."""

_EXIT_MARGIN_S = 0.3
"""From the exit to the kill, since a busy machine may run the daemon late."""


@dataclass(frozen=True, slots=True)
class ShutdownSchedule:
    """Times of a planned stop, all on one monotonic clock, in seconds.

    Attributes
    ----------
    signalled_at : float
        Time of the signal.
    grace_s : float
        Time from the signal to the kill.
    """

    signalled_at: float
    grace_s: float

    @property
    def renewed_at(self) -> float:
        """Return when callers have renewed their copies of the directory."""
        return self.signalled_at + _RENEWAL_S

    @property
    def answers_end_at(self) -> float:
        """Return when the last response must have ended."""
        return self.signalled_at + self.grace_s - _ANSWER_MARGIN_S

    @property
    def exit_at(self) -> float:
        """Return when the process must end."""
        return self.signalled_at + self.grace_s - _EXIT_MARGIN_S

    def needed_s(self, now: float, limit_s: float, expected_s: float | None) -> float:
        """Return how long a request that arrives now is given.

        Until callers have renewed their copies of the directory, a request is given the
        time that its route usually takes. Those that still come then can reach another
        daemon at once, so they are given the time that they may take at most.

        Parameters
        ----------
        limit_s : float
            Time until the request's deadline.
        expected_s : float or None
            Time that requests of its route usually take at most; None if unknown.
        """
        if expected_s is None or now >= self.renewed_at:
            return limit_s
        return min(limit_s, expected_s)

    def may_begin(self, now: float, limit_s: float, expected_s: float | None) -> bool:
        """Return whether a request that arrives now ends before the daemon does."""
        return now + self.needed_s(now, limit_s, expected_s) <= self.answers_end_at
