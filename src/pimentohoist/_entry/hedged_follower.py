"""Follows a keyed topic by long polls, and reads it again when confirmations are late."""

from __future__ import annotations

import logging
import select
import threading
from collections.abc import Callable, Sequence
from contextlib import closing
from dataclasses import dataclass
from typing import Self

from pimentohoist import _clock
from pimentohoist._decisions.read_freshness import ReadFreshness
from pimentohoist._entry.topic_follower import ReadStatus, Sink
from pimentohoist.exceptions import PeerTimeoutError, PimentohoistError
from pimentohoist.platform import (
    EraChangedError,
    KeyedRecord,
    ReadPosition,
    RecordsExpiredError,
    SentRead,
    Store,
)

_LONG_POLL_S = 20.0
_MAX_ANSWER_S = 5.0
"""How long a read is awaited beyond its wait: a store under heavy load is slow."""

_CHECK_INTERVAL_S = 0.25
"""Heartbeats confirm that no newer record exists, and come at this interval."""

_RESTART_DELAY_S = 0.1
"""Keeps a store that expires all records at once from being read without a pause."""

_MS_PER_S = 1000

_logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class _PendingRead:
    read: SentRead
    wait_s: float
    sent_at: float

    def is_expired(self, now: float) -> bool:
        """Return whether the answer isn't awaited any more."""
        return now > self.sent_at + self.wait_s + _MAX_ANSWER_S

    def is_unanswered(self, now: float) -> bool:
        """Return whether the store should have answered by now."""
        return now > self.sent_at + self.wait_s


class HedgedFollower:
    """Implements `Controller`: follows a topic of whose changes none may be late.

    A long poll reports changes at once. When neither this daemon nor another one has
    heard of the store for `max_age_s`, the topic is read once more on another connection;
    reads that are under way go on, since the store may merely be slow.

    Parameters
    ----------
    max_age_s : callable
        Returns the age of the last confirmation at which the topic is read again.

    Attributes
    ----------
    status : ReadStatus
        Whether the store answers.
    freshness : ReadFreshness
        When the topic is read next.
    """

    def __init__(
        self, store: Store, topic: str, max_age_s: Callable[[], float], sink: Sink
    ) -> None:
        self.store = store
        self.topic = topic
        self.max_age_s = max_age_s
        self.sink = sink
        self.status = ReadStatus(topic)
        self.freshness = ReadFreshness()
        self._position: ReadPosition | None = None
        self._pending: list[_PendingRead] = []
        self._closed = threading.Event()
        self._thread = threading.Thread(target=self._run, name=topic, daemon=True)

    def __enter__(self) -> Self:
        """Start reading."""
        self._thread.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Stop within a check interval."""
        self._closed.set()

    @property
    def position(self) -> tuple[int, int]:
        """Return the store's era and the offset up to which records were applied."""
        position = self._position
        return (0, -1) if position is None else (position.era, position.offset)

    def _run(self) -> None:
        while not self._closed.is_set():
            try:
                self._follow()
            except (RecordsExpiredError, EraChangedError) as error:
                self._reset()
                self.status.record_restart(error)
                self._closed.wait(_RESTART_DELAY_S)
            except PimentohoistError as error:
                self._record_failure(error)
            except Exception:
                _logger.exception('topic follower failed', extra={'topic': self.topic})
                self._reset()
                self._closed.wait(_CHECK_INTERVAL_S)
        self._drop_pending()

    def _follow(self) -> None:
        if self._position is None:
            self._wait_until(self.freshness.retry_at)
            self.freshness.record_sent(_clock.now(), are_reads_unanswered=False)
            records, self._position = self.store.read_newest(self.topic)
            self._record_answer(records, is_whole=True)
            return
        self.store.check_position(self._position)
        next_read_at = self.freshness.next_read_at(
            self.max_age_s(), is_poll_pending=bool(self._pending)
        )
        if _clock.now() >= next_read_at:
            self._send_read(self._position)
        self._wait_for_answers(next_read_at)
        self._drop_expired()

    def _send_read(self, position: ReadPosition) -> None:
        now = _clock.now()
        is_confirming = bool(self._pending) or self.status.failures > 0
        unanswered = any(pending.is_unanswered(now) for pending in self._pending)
        self.freshness.record_sent(now, are_reads_unanswered=unanswered)
        wait_s = 0 if is_confirming else _LONG_POLL_S
        read = self.store.send_read(self.topic, position, wait_s=wait_s)
        self._pending.append(_PendingRead(read, wait_s, now))

    def _wait_for_answers(self, next_read_at: float) -> None:
        """Apply the first answer that arrives before the next read or check is due."""
        wait_s = min(_CHECK_INTERVAL_S, max(0, next_read_at - _clock.now()))
        if not self._pending:
            self._closed.wait(wait_s)
            return
        poll = select.poll()
        by_descriptor = {pending.read.fileno(): pending for pending in self._pending}
        for descriptor in by_descriptor:
            poll.register(descriptor, select.POLLIN)
        for descriptor, _ in poll.poll(wait_s * _MS_PER_S)[:1]:
            self._apply_answer(by_descriptor[descriptor])

    def _apply_answer(self, pending: _PendingRead) -> None:
        self._pending.remove(pending)
        with closing(pending.read):
            records, position = pending.read.result()
        if self._position is None or position.offset < self._position.offset:
            # A read that was sent before others were answered has nothing new.
            return
        self._position = position
        if records or self.freshness.are_polls_suspect:
            self._drop_pending()
        self._record_answer(records, is_whole=False)

    def _record_answer(self, records: Sequence[KeyedRecord], *, is_whole: bool) -> None:
        self.status.record_success()
        self.freshness.record_answer(self.status.last_read_at)
        if records or is_whole:
            self.sink(records, is_whole)

    def _record_failure(self, error: PimentohoistError) -> None:
        delay_s = self.status.record_failure(error, self.freshness.sent_at)
        self.freshness.record_failure(_clock.now() + delay_s)

    def _drop_expired(self) -> None:
        now = _clock.now()
        for pending in tuple(self._pending):
            if not pending.is_expired(now):
                continue
            self._pending.remove(pending)
            pending.read.close()
            if self.status.last_read_at < pending.sent_at:
                raise PeerTimeoutError(
                    f'no answer in {now - pending.sent_at:.1f} s',
                    step='follow',
                    peer=self.store.client.address,
                )
            extra = {'step': 'follow', 'topic': self.topic, 'wait_s': pending.wait_s}
            _logger.warning('read without an answer dropped', extra=extra)

    def _drop_pending(self) -> None:
        pending, self._pending = self._pending, []
        for dropped in pending:
            dropped.read.close()

    def _reset(self) -> None:
        self._position = None
        self._drop_pending()

    def _wait_until(self, at: float) -> None:
        self._closed.wait(max(0, at - _clock.now()))
