"""Follows the claims stream closely only while actions are claimed on this daemon."""

from __future__ import annotations

from pimentohoist._claims_fold import CLAIMS_STREAM, ClaimsFold
from pimentohoist._controllers.follower import PollTiming, StreamFollower
from pimentohoist.protocols import Clock, Log

_READ_TIMEOUT_S = 1.0
_BUSY_S = 2.0
_IDLE_PERIOD_S = 5.0
_FRESH_S = _IDLE_PERIOD_S + 3
_BUSY_PACE = PollTiming()
_IDLE_PACE = PollTiming(wait_s=0, pause_s=_IDLE_PERIOD_S)


class ClaimsReader:
    """Owner of the follower of the claims stream.

    While nobody claims an action here, all that other daemons append is read together,
    once a period, in place of one poll for each of their appends. An action that comes
    meanwhile is judged by the log's order all the same, since its claim is read back.

    Attributes
    ----------
    follower : StreamFollower of ClaimsFold
        Position and state.
    awaited : set of str
        Ids of claims that are to be read back; changed while `follower.changed` is held.
    """

    def __init__(self, log: Log, clock: Clock) -> None:
        self.clock = clock
        self.awaited: set[str] = set()
        self.follower = StreamFollower(
            log, CLAIMS_STREAM, ClaimsFold(), clock, poll_timing=self.poll_timing
        )
        self._busy_until = float('-inf')

    def poll_timing(self) -> PollTiming:
        """Return how often to read now."""
        is_busy = self.awaited or self.clock() < self._busy_until
        return _BUSY_PACE if is_busy else _IDLE_PACE

    def is_fresh(self) -> bool:
        """Return whether the head was read lately."""
        return self.clock() - self.follower.head_read_at < _FRESH_S

    def refresh(self) -> bool:
        """Read closely for a time; return whether the head was read lately or is now.

        This returns at once if the log doesn't answer.
        """
        self._busy_until = self.clock() + _BUSY_S
        self.follower.wake()
        with self.follower.changed:
            errors = self.follower.errors
            self.follower.changed.wait_for(
                lambda: self.is_fresh() or self.follower.errors > errors,
                _READ_TIMEOUT_S,
            )
            return self.is_fresh()
