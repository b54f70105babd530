"""Simulation of daemons that follow the operators' records, with a virtual clock.

It sends, answers and loses reads as the platform states, and decides with the package's
`ReadFreshness` when a daemon reads. Time runs in ticks of `TICK_S`.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from pimentohoist._decisions.read_freshness import (
    ReadFreshness,
    max_confirmation_age_s,
)

TICK_S = 0.05
DECLARED_S = 2.0
"""The stated time from the acknowledgement of a configuration until it is in force."""

CONTACT_S = 3.0
"""The stated time from the end of a disruption until the bounds hold again."""

_LONG_POLL_S = 20.0
_MAX_ANSWER_S = 5.0
_HEARTBEAT_S = 0.25
_RETRY_S = 0.6
_FETCH_DELAY_S = 0.3


@dataclass(frozen=True)
class Disruption:
    """Reads are lost from `start_s` on for `duration_s`.

    Reads that are pending when it begins are lost too; with a duration of 0, only those.

    Attributes
    ----------
    daemons : frozenset of int
        The daemons that it strikes; the others are served.
    """

    start_s: float
    duration_s: float
    daemons: frozenset[int]

    def is_active(self, daemon: int, now: float) -> bool:
        return daemon in self.daemons and self.start_s <= now <= self._end_s()

    def is_recent(self, daemon: int, now: float) -> bool:
        is_begun = daemon in self.daemons and now >= self.start_s
        return is_begun and now < self._end_s() + CONTACT_S

    def _end_s(self) -> float:
        return self.start_s + self.duration_s


@dataclass
class _Read:
    sent_at: float
    wait_s: float
    offset: int
    is_lost: bool = False


@dataclass
class _Daemon:
    number: int
    version: int = 0
    last_read_at: float = 0
    fetch_at: float = float('inf')
    reads: list[_Read] = field(default_factory=list)
    freshness: ReadFreshness = field(default_factory=ReadFreshness)


class ReadWorld:
    """A store with a record that rises, and daemons that read it.

    Attributes
    ----------
    calls : int
        Reads that were sent.
    """

    def __init__(
        self,
        count: int,
        declared_at: list[float],
        disruptions: list[Disruption],
        max_age_s: Callable[[int], float] = max_confirmation_age_s,
    ) -> None:
        self.daemons = [_Daemon(number) for number in range(count)]
        self.declared_at = sorted(declared_at)
        self.disruptions = disruptions
        self.max_age_s = max_age_s
        self.calls = 0
        self.now = float()

    def run(self, end_s: float) -> Iterator[str]:
        """Yield each daemon that has an older version than it must have."""
        for tick in range(round(end_s / TICK_S)):
            self.now = tick * TICK_S
            for daemon in self.daemons:
                self._lose_reads(daemon)
                self._receive_answers(daemon)
                self._send_read(daemon)
                self._fetch(daemon)
            if tick % round(_HEARTBEAT_S / TICK_S) == 0:
                self._exchange_heartbeats()
            yield from self._late_daemons()

    def _declared(self, until: float) -> int:
        return sum(at <= until for at in self.declared_at)

    def _is_disrupted(self, daemon: _Daemon) -> bool:
        return any(
            disruption.is_active(daemon.number, self.now)
            for disruption in self.disruptions
        )

    def _lose_reads(self, daemon: _Daemon) -> None:
        if self._is_disrupted(daemon):
            for read in daemon.reads:
                read.is_lost = True

    def _receive_answers(self, daemon: _Daemon) -> None:
        for read in tuple(daemon.reads):
            age_s = self.now - read.sent_at
            if age_s > read.wait_s + _MAX_ANSWER_S:
                daemon.reads.remove(read)
                if daemon.last_read_at < read.sent_at:
                    daemon.freshness.record_failure(self.now + _RETRY_S)
            elif not read.is_lost and age_s >= TICK_S:
                self._answer(daemon, read, age_s)

    def _answer(self, daemon: _Daemon, read: _Read, age_s: float) -> None:
        newest = self._declared(self.now)
        if read not in daemon.reads or (newest <= read.offset and age_s < read.wait_s):
            return
        daemon.reads.remove(read)
        if newest > read.offset or daemon.freshness.are_polls_suspect:
            daemon.reads.clear()
        daemon.version = max(daemon.version, newest)
        daemon.last_read_at = self.now
        daemon.freshness.record_answer(self.now)

    def _send_read(self, daemon: _Daemon) -> None:
        freshness = daemon.freshness
        due_at = freshness.next_read_at(
            self.max_age_s(daemon.number), is_poll_pending=bool(daemon.reads)
        )
        if self.now < due_at:
            return
        are_unanswered = any(
            self.now > read.sent_at + read.wait_s for read in daemon.reads
        )
        freshness.record_sent(self.now, are_reads_unanswered=are_unanswered)
        wait_s = 0 if daemon.reads else _LONG_POLL_S
        is_lost = self._is_disrupted(daemon)
        daemon.reads.append(_Read(self.now, wait_s, daemon.version, is_lost))
        self.calls += 1

    def _exchange_heartbeats(self) -> None:
        for receiver in self.daemons:
            for sender in self.daemons:
                if sender.version > receiver.version:
                    due_at = self.now + _FETCH_DELAY_S
                    receiver.fetch_at = min(receiver.fetch_at, due_at)
                elif sender.version == receiver.version:
                    receiver.freshness.record_peer_answer(sender.last_read_at)

    def _fetch(self, daemon: _Daemon) -> None:
        if self.now < daemon.fetch_at:
            return
        daemon.fetch_at = float('inf')
        newest = max(sender.version for sender in self.daemons)
        if newest > daemon.version:
            daemon.version = newest
            daemon.freshness.record_missed()

    def _late_daemons(self) -> Iterator[str]:
        owed = self._declared(self.now - DECLARED_S)
        for daemon in self.daemons:
            is_excused = any(
                disruption.is_recent(daemon.number, self.now)
                for disruption in self.disruptions
            )
            if daemon.version < owed and not is_excused:
                yield f'{self.now:.2f} s: daemon {daemon.number} has version {daemon.version}, not {owed}'
