"""Follows a keyed topic whose changes some daemons read for the others.

Heartbeats carry what each daemon knows of the topic and how long ago it read that, and of
the readers the records that have changed lately. A daemon that finds itself behind, or hears
of no read for too long, reads the store itself.
"""

from __future__ import annotations

import logging
import random
import threading
from collections.abc import Callable, Iterator, Sequence
from typing import Any, Self

from pimentohoist import _clock
from pimentohoist._decisions.shared_reads import (
    MAX_READ_AGE_S,
    Candidate,
    PeerView,
    SharedReads,
    Turn,
    turn_of,
)
from pimentohoist._decisions.topic_copy import Change, TopicCopy
from pimentohoist._entry.heartbeat import Heartbeat
from pimentohoist._entry.members import MembersController
from pimentohoist._entry.topic_follower import ReadStatus, Sink
from pimentohoist.exceptions import PimentohoistError
from pimentohoist.platform import (
    EraChangedError,
    KeyedRecord,
    ReadPosition,
    RecordsExpiredError,
    Store,
)

_CHECK_INTERVAL_S = 0.25
"""Heartbeats that may call for a read come at this interval."""

_NOTIFY_INTERVAL_S = 1.3
"""What is done after each read is done as often by daemons that don't read."""

_MAX_POSITION_AGE_S = 3.0
"""An endpoint writes its record every 1.2 s: the newest records are fewer than all records
of this time."""

_CAN_READ = 2
_CHANGES = 3
"""Places in what heartbeats carry."""

_MALFORMED = (ValueError, TypeError, AttributeError, OverflowError, LookupError)

_logger = logging.getLogger(__name__)


class SharedFollower:
    """Implements `Controller`: keeps a copy of a topic, read by this or another daemon.

    Parameters
    ----------
    identity : callable
        Returns the part of a record that daemons have to agree on.
    sink : callable
        Called with new records, of this daemon's reads or of others'.
    on_current : callable
        Called after each read, and as often while others read for this daemon.

    Attributes
    ----------
    status : ReadStatus
        Whether the store answers this daemon.
    reads : SharedReads
        When this daemon reads next.
    turn : Turn
        This daemon's place in the line of its failure domain's readers.
    """

    def __init__(
        self,
        store: Store,
        topic: str,
        members: MembersController,
        identity: Callable[[bytes], bytes],
        sink: Sink,
        on_current: Callable[[], None],
    ) -> None:
        self.store = store
        self.topic = topic
        self.members = members
        self.sink = sink
        self.on_current = on_current
        self.status = ReadStatus(topic)
        self.reads = SharedReads()
        self._copy = TopicCopy(identity)
        self._position: ReadPosition | None = None
        self.turn = Turn(1, 0)
        self._notified_at = float('-inf')
        self._has_logged_malformed = False
        # Heartbeats are received in another thread.
        self._lock = threading.Lock()
        self._closed = threading.Event()
        self._thread = threading.Thread(target=self._run, name=topic, daemon=True)
        members.on_heartbeat.append(self._record_heartbeat)

    def __enter__(self) -> Self:
        """Start reading."""
        self._thread.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Stop after the current read."""
        self._closed.set()

    @property
    def position(self) -> ReadPosition | None:
        """Return up to where the topic is known; None before the first read."""
        if self._position is None:
            return None
        return ReadPosition(self._copy.offset, self._copy.era)

    def is_failing(self) -> bool:
        """Return whether the last read failed and no other daemon has read since."""
        if not self.status.failures:
            return False
        return not (self.turn.is_shared and self.reads.is_in_touch(_clock.now()))

    def announced(self) -> list[Any]:
        """Return for heartbeats what this daemon knows of the topic.

        Position with digest, seconds since it was read, whether this daemon can read, and
        the records that have changed lately, if others rely on this daemon's reads.
        Nothing of a read that is too old to tell others anything.
        """
        now = _clock.now()
        age_s = round(now - max(0, self.status.last_sent_at), 3)
        if age_s > MAX_READ_AGE_S:
            return [[], 0, self._can_read(), []]
        is_relied_on = self.turn.is_shared and self.turn.is_reader
        with self._lock:
            recent = self._copy.recent(now) if is_relied_on else []
            known = [self._copy.era, self._copy.offset, self._copy.digest]
        return [known, age_s, self._can_read(), list(_encode_changes(recent))]

    def follow(self) -> float:
        """Read if it is time to; return the seconds until the next check."""
        before, self.turn = self.turn, self._next_turn()
        if before.role != self.turn.role:
            _log_role(self)
        now = _clock.now()
        if now >= self.reads.next_read_at(self.turn):
            self._try_read()
        elif self.turn.is_shared and self.reads.is_in_touch(now):
            if now - self._notified_at > _NOTIFY_INTERVAL_S:
                self._notify()
        due_s = self.reads.next_read_at(self.turn) - _clock.now()
        return max(0, min(_CHECK_INTERVAL_S, due_s))

    def _run(self) -> None:
        pause_s = float()
        while not self._closed.wait(pause_s):
            try:
                pause_s = self.follow()
            except Exception:
                _logger.exception('topic follower failed', extra={'topic': self.topic})
                self._position = None
                pause_s = _CHECK_INTERVAL_S

    def _next_turn(self) -> Turn:
        live = self.members.live()
        domain = self.members.settings.failure_domain
        peers = [
            Candidate(heartbeat.member, bool(heartbeat.endpoint_reads[_CAN_READ]))
            for heartbeat in live
            if heartbeat.failure_domain == domain
            and len(heartbeat.endpoint_reads) > _CAN_READ
        ]
        own = Candidate(self.members.member, self._can_read())
        return turn_of(own, 1 + len(live), peers)

    def _can_read(self) -> bool:
        return self._position is not None and not self.status.failures

    def _notify(self) -> None:
        self._notified_at = _clock.now()
        self.on_current()

    def _try_read(self) -> None:
        sent_at = _clock.now()
        with self._lock:
            self.reads.record_sent(sent_at, random.random())
        try:
            self._read(sent_at)
        except (RecordsExpiredError, EraChangedError) as error:
            self._position = None
            self.status.record_restart(error)
            with self._lock:
                self.reads.record_restart(_clock.now())
        except PimentohoistError as error:
            self.status.record_failure(error, sent_at)
            with self._lock:
                self.reads.record_failure(_clock.now(), self.turn, random.random())
        else:
            self._notify()

    def _read(self, sent_at: float) -> None:
        position = self._position
        is_old = sent_at - self.status.last_sent_at > _MAX_POSITION_AGE_S
        if position is None or (self.turn.is_shared and is_old):
            self._read_newest(sent_at)
        else:
            self._read_changes(position, sent_at)

    def _read_newest(self, sent_at: float) -> None:
        records, position = self.store.read_newest(self.topic)
        rows = [(record.key, record.body or b'') for record in records]
        with self._lock:
            is_restored = self._copy.era != position.era and self._position is not None
            self._record_answer(position, sent_at)
            if is_restored:
                # The copy may lack records that are written again soon.
                self.status.restored_at = _clock.now()
            kept = self._copy.replace(rows, position.era, position.offset)
            self.sink(_records(kept), True)

    def _read_changes(self, position: ReadPosition, sent_at: float) -> None:
        records, end = self.store.read_changes(self.topic, position, wait_s=0)
        changes = [
            Change(offset, record.key, record.body)
            for offset, record in enumerate(records, position.offset)
        ]
        before = self._copy.digest
        with self._lock:
            self._record_answer(end, sent_at)
            applied = self._copy.apply(changes, _clock.now())
            self._copy.advance(end.offset)
            self.sink(_records(applied), False)
        if before != self._copy.digest and self.turn.is_shared and self.turn.is_reader:
            self.members.send_soon()

    def _record_answer(self, position: ReadPosition, sent_at: float) -> None:
        self._position = position
        self.status.record_success()
        self.status.last_sent_at = sent_at
        if self.reads.record_answer() and self.turn.is_shared:
            self.status.restored_at = _clock.now()

    def _record_heartbeat(self, heartbeat: Heartbeat, before: Heartbeat | None) -> None:
        if not (self.turn.is_shared and any(heartbeat.endpoint_reads[:1])):
            return
        received_at = self.members.received[heartbeat.member].received_at
        try:
            view = _decode_view(heartbeat.endpoint_reads, received_at)
            changes = _decode_changes(heartbeat.endpoint_reads[_CHANGES])
        except _MALFORMED as error:
            if not self._has_logged_malformed:
                self._has_logged_malformed = True
                extra = {'peer': heartbeat.member, 'cause': f'{error!r:.200}'}
                _logger.warning('reads of a daemon rejected', extra=extra)
            return
        with self._lock:
            self._apply_view(view, changes)

    def _apply_view(self, view: PeerView, changes: Sequence[Change]) -> None:
        now = _clock.now()
        copy = self._copy
        applied = copy.apply(changes, now) if view.era == copy.era else []
        if (view.era, view.digest) == (copy.era, copy.digest):
            copy.advance(view.offset)
        own = PeerView(copy.era, copy.offset, copy.digest, self.status.last_sent_at)
        if self.reads.record_peer(view, own, now, random.random()):
            self.status.restored_at = now
        if applied:
            self.sink(_records(applied), False)


def _log_role(follower: SharedFollower) -> None:
    extra = {
        'step': 'follow',
        'topic': follower.topic,
        'role': follower.turn.role,
        'daemons': follower.turn.fleet_size,
        'unconfirmed_s': follower.reads.unconfirmed_s(_clock.now()),
    }
    _logger.info('reads by another role', extra=extra)


def _records(changes: Sequence[Change]) -> list[KeyedRecord]:
    return [KeyedRecord(change.key, change.body) for change in changes]


def _encode_changes(changes: Sequence[Change]) -> Iterator[list[Any]]:
    """Yield those that have a form in JSON; the others are read from the store."""
    for change in changes:
        try:
            text = None if change.body is None else change.body.decode()
        except ValueError:
            continue
        yield [change.offset, change.key, text]


def _decode_view(announced: Sequence[Any], received_at: float) -> PeerView:
    """Return what another daemon knows; raises ValueError and TypeError."""
    era, offset, digest = announced[0]
    read_at = received_at - max(0, float(announced[1]))
    return PeerView(int(era), int(offset), int(digest), read_at)


def _decode_changes(rows: Sequence[Any]) -> list[Change]:
    """Return records that have changed; raises ValueError, TypeError, AttributeError."""
    return [
        Change(int(place), str(key), None if text is None else text.encode())
        for place, key, text in rows
    ]
