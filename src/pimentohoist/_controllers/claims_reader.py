"""Polling of the claims stream, frequent only while this daemon claims actions."""

from __future__ import annotations

from pimentohoist._claims_fold import CLAIMS_STREAM, ClaimsFold
from pimentohoist._controllers.follower import PollTiming, StreamFollower
from pimentohoist.protocols import Clock, Log

_REFRESH_TIMEOUT_S = 1.0
_BUSY_DURATION_S = 2.0
_IDLE_PERIOD_S = 5.0
_MAX_HEAD_AGE_S = _IDLE_PERIOD_S + 3
_BUSY_TIMING = PollTiming()
_IDLE_TIMING = PollTiming(wait_s=0, pause_s=_IDLE_PERIOD_S)


class ClaimsReader:
    """Follows the claims stream, polling more often while actions are claimed here.

    While no action is claimed on this daemon, the records that other daemons append are
    read together once a period, instead of with one poll for each append. An action that
    arrives in between is still decided by the log's order, since its claim is read back.

    Attributes
    ----------
    follower : StreamFollower of ClaimsFold
        Position and state of the claims stream.
    awaited_claim_ids : set of str
        Ids of claims to be read back; changed only while `follower.changed` is held.
    """

    def __init__(self, log: Log, clock: Clock) -> None:
        self.clock = clock
        self.awaited_claim_ids: set[str] = set()
        self.follower = StreamFollower(
            log, CLAIMS_STREAM, ClaimsFold(), clock, poll_timing=self.poll_timing
        )
        self._busy_until = float('-inf')

    def poll_timing(self) -> PollTiming:
        """Return the current poll timing."""
        is_busy = self.awaited_claim_ids or self.clock() < self._busy_until
        return _BUSY_TIMING if is_busy else _IDLE_TIMING

    def is_fresh(self) -> bool:
        """Return whether the head was read within `_MAX_HEAD_AGE_S`."""
        return self.clock() - self.follower.head_read_at < _MAX_HEAD_AGE_S

    def refresh(self) -> bool:
        """Poll frequently for a while; return whether the claims read are fresh.

        If they aren't, this waits until the head is read, but returns at once if the log
        doesn't answer.
        """
        self._busy_until = self.clock() + _BUSY_DURATION_S
        self.follower.wake()
        with self.follower.changed:
            errors = self.follower.errors
            self.follower.changed.wait_for(
                lambda: self.is_fresh() or self.follower.errors > errors,
                _REFRESH_TIMEOUT_S,
            )
            return self.is_fresh()
