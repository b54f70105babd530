"""Times of a daemon's planned stop, and the requests that it still accepts."""

from __future__ import annotations

from dataclasses import dataclass

_RENEWAL_S = 2.5
"""Callers cache a response of the directory for two seconds, so within this time most
of them have learned of other daemons."""

_ANSWER_MARGIN = 0.1
"""Share of the grace period from the end of the last response to the kill: time to send
errors and to exit."""

_EXIT_MARGIN = 0.04
"""Share of the grace period from the exit to the kill, since a busy machine may run the
daemon late."""


@dataclass(frozen=True, slots=True)
class ExpectedTimes:
    """How long a request may take.

    Attributes
    ----------
    limit_s : float
        Seconds until its deadline.
    usual_s : float or None
        Seconds that requests of its route usually take at most; None if unknown.
    has_alternative : bool
        Whether another daemon can serve it.
    is_stream : bool
        Whether it is cut when its time is over; others can still get an error.
    """

    limit_s: float
    usual_s: float | None
    has_alternative: bool = True
    is_stream: bool = False


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
        return self.signalled_at + self.grace_s * (1 - _ANSWER_MARGIN)

    @property
    def exit_at(self) -> float:
        """Return when the process must end."""
        return self.signalled_at + self.grace_s * (1 - _EXIT_MARGIN)

    def needed_s(self, now: float, request: ExpectedTimes) -> float:
        """Return how long a request that arrives now is given.

        Until callers have renewed their copies of the directory, or if no other daemon
        can serve them, a request is given the time that its route usually takes. Those
        that come later can reach another daemon at once, so they are given the time
        that they may take at most; so are streams, which would be cut.
        """
        is_renewed = now >= self.renewed_at
        is_strict = is_renewed and (request.has_alternative or request.is_stream)
        if request.usual_s is None or is_strict:
            return request.limit_s
        return min(request.limit_s, request.usual_s)

    def may_begin(self, now: float, request: ExpectedTimes) -> bool:
        """Return whether a request that arrives now ends before the daemon does."""
        return now + self.needed_s(now, request) <= self.answers_end_at
