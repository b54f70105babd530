"""Who reads a topic of the store for all daemons, and when each reads for itself.

In a small fleet each daemon reads at an interval that grows with the fleet. In a larger one
a daemon of each failure domain reads often and the others compare what they know with what
its heartbeats report. A daemon whose last confirmation is too old reads for itself, so that
nothing is later than when all daemons read.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

MAX_UNSHARED_FLEET = 16
"""Daemons of a fleet in which each reads for itself; larger ones relay heartbeats."""

_INTERVAL_PER_DAEMON_S = 0.25
_MAX_INTERVAL_S = 1.5
"""A leaving endpoint gets no more work 2 s after the store's acknowledgement, the shortest
that the platform states; a read and its answer take some time, too."""

_MIN_JITTER_FACTOR = 0.75
"""Intervals are randomized so that the daemons don't all read at the same time."""

_READER_INTERVAL_S = 0.5
"""Heartbeats and their relays add 1 s at most, which makes `_MAX_INTERVAL_S`."""

_SUBSTITUTE_AGE_S = 1.3
"""Age of the last confirmation at which the next daemon in line reads before the others;
0.05 s more than confirmations from a reader of the same failure domain reach."""

_MIN_AGE_FACTOR = 0.95

_MAX_MISSED_DELAY_S = 0.25
MAX_READ_AGE_S = 2.0
"""A daemon whose last read is older speaks for no other one."""

OUTAGE_S = 2.0
"""Without an answer to any daemon for this time, the store was away."""

_RETURN_DELAY_S = 0.5
_MIN_RETRY_S = 0.15
_MAX_READER_RETRY_S = 0.6
_MAX_RETRY_S = 4.0


@dataclass(frozen=True, slots=True)
class Candidate:
    """A daemon that may read for the others of its failure domain."""

    member: str
    can_read: bool

    def sort_key(self) -> tuple[bool, str]:
        """Return the place in the line of readers, which all daemons agree on."""
        return not self.can_read, self.member


@dataclass(frozen=True, slots=True)
class Turn:
    """A daemon's place in the line of its failure domain's readers.

    Attributes
    ----------
    fleet_size : int
        Number of daemons, this one included.
    rank : int
        0 for the reader, 1 for its substitute.
    """

    fleet_size: int
    rank: int

    @property
    def is_shared(self) -> bool:
        """Return whether some daemons read for the others."""
        return self.fleet_size > MAX_UNSHARED_FLEET

    @property
    def is_reader(self) -> bool:
        """Return whether others rely on this daemon's reads, or soon may."""
        return self.rank <= 1

    @property
    def role(self) -> str:
        """Return the name of the rule by which this daemon reads."""
        if not self.is_shared:
            return 'alone'
        return ('reader', 'substitute')[self.rank] if self.is_reader else 'follower'


def turn_of(own: Candidate, fleet_size: int, peers: Iterable[Candidate]) -> Turn:
    """Return a daemon's turn among the live daemons of its failure domain."""
    own_key = own.sort_key()
    return Turn(fleet_size, sum(peer.sort_key() < own_key for peer in peers))


@dataclass(frozen=True, slots=True)
class PeerView:
    """What another daemon knows of the topic, and when it has read that.

    Attributes
    ----------
    era, offset : int
        Position in the topic up to which it knows the records.
    digest : int
        Equal for daemons that know the same.
    read_at : float
        When its last read that was answered was sent.
    """

    era: int
    offset: int
    digest: int
    read_at: float


@dataclass(slots=True)
class SharedReads:
    """When a daemon reads the topic next.

    Attributes
    ----------
    confirmed_at : float
        The records known here were complete at this time.
    sent_at : float
        When this daemon's last read was sent.
    touched_at : float
        When the last read was sent that the store has answered to any daemon.
    failures : int
        Own reads that have failed since the last one that was answered.
    """

    confirmed_at: float = -math.inf
    sent_at: float = -math.inf
    touched_at: float = -math.inf
    failures: int = 0
    _retry_at: float = math.inf
    _missed_at: float = math.inf
    _jitter: float = 0

    def next_read_at(self, turn: Turn) -> float:
        """Return when this daemon reads next, by its turn."""
        if math.isfinite(self._retry_at):
            return self._retry_at
        interval_s = _MAX_INTERVAL_S
        if not turn.is_shared:
            interval_s = min(interval_s, _INTERVAL_PER_DAEMON_S * turn.fleet_size)
        due_at = self.sent_at + interval_s * _between(
            _MIN_JITTER_FACTOR, 1, self._jitter
        )
        if not turn.is_shared:
            return due_at
        if not turn.rank:
            return self.sent_at + _READER_INTERVAL_S
        max_age_s = _MAX_INTERVAL_S * _between(_MIN_AGE_FACTOR, 1, self._jitter)
        if turn.is_reader:
            max_age_s = _SUBSTITUTE_AGE_S
        return min(self.confirmed_at + max_age_s, max(self._missed_at, due_at))

    def is_in_touch(self, now: float) -> bool:
        """Return whether the records known here were complete lately."""
        return now - self.confirmed_at < OUTAGE_S

    def unconfirmed_s(self, now: float) -> float:
        """Return the age of the last confirmation; -1 if there hasn't been one."""
        if math.isinf(self.confirmed_at):
            return -1
        return round(now - self.confirmed_at, 3)

    def record_sent(self, now: float, chance: float) -> None:
        """Record that a read was sent; `chance` is a random number from 0 to 1."""
        self.sent_at = now
        self._jitter = chance

    def record_answer(self) -> bool:
        """Record that the last read was answered; return whether the store was away."""
        self.failures = 0
        self._retry_at = math.inf
        self._missed_at = math.inf
        self.confirmed_at = max(self.confirmed_at, self.sent_at)
        return self._touch(self.sent_at)

    def record_restart(self, now: float) -> None:
        """Record that the topic must be read from the newest records on."""
        self._retry_at = now + _MIN_RETRY_S

    def record_failure(self, now: float, turn: Turn, chance: float) -> None:
        """Record that the last read failed.

        The daemons on whose reads no other one relies have time until the store is back:
        they wait for the news of that.
        """
        self.failures += 1
        is_quick = turn.is_reader or not turn.is_shared
        if is_quick:
            limit_s = min(_MAX_READER_RETRY_S, _MIN_RETRY_S * 2**self.failures)
        else:
            limit_s = min(_MAX_RETRY_S, _MIN_RETRY_S * 4**self.failures / 2)
        least_s = _MIN_RETRY_S if is_quick else limit_s / 2
        self._retry_at = now + _between(least_s, limit_s, chance)

    def record_peer(
        self, view: PeerView, own: PeerView, now: float, chance: float
    ) -> bool:
        """Record what another daemon knows; return whether the store was away.

        Parameters
        ----------
        own : PeerView
            What this daemon knows.
        """
        if now - view.read_at > MAX_READ_AGE_S:
            return False
        was_away = self._touch(view.read_at)
        if was_away and self.failures:
            self._retry_at = min(self._retry_at, now + chance * _RETURN_DELAY_S)
        if (view.era, view.digest) == (own.era, own.digest):
            self.confirmed_at = max(self.confirmed_at, view.read_at)
            if view.offset >= own.offset:
                self._missed_at = math.inf
        elif (view.era, view.offset) > (own.era, own.offset):
            missed_at = now + chance * _MAX_MISSED_DELAY_S
            self._missed_at = min(self._missed_at, missed_at)
        return was_away

    def _touch(self, read_at: float) -> bool:
        """Record when the store answered some daemon; return whether it was away."""
        before, self.touched_at = self.touched_at, max(self.touched_at, read_at)
        return math.isfinite(before) and read_at - before > OUTAGE_S


def _between(least: float, most: float, chance: float) -> float:
    return least + (most - least) * chance
