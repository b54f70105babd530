"""Follower that applies the records of a log stream to a fold."""

from __future__ import annotations

import logging
import threading
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, Generic, Protocol, Self, TypeVar, runtime_checkable

from pimentohoist._snapshots import Snapshot, find_snapshots
from pimentohoist.exceptions import LogError, OffsetExpiredError, PimentohoistError
from pimentohoist.protocols import Clock, Fold, Log

FoldT = TypeVar('FoldT', bound=Fold)

_PAUSE_AFTER_ERROR_S = 0.2
_SNAPSHOT_ERRORS = (ValueError, LookupError, TypeError, PimentohoistError)
_logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class PollTiming:
    """How often a stream is read once its head was reached.

    Attributes
    ----------
    wait_s : float
        Longest time that a poll waits for the first record.
    pause_s : float
        Time between two polls; the first poll after a pause doesn't wait.
    """

    wait_s: float = 1.0
    pause_s: float = 0


@runtime_checkable
class CopyableFold(Fold, Protocol):
    """A fold with a large state that can be copied quickly."""

    def copy(self) -> Self:
        """Return a copy that isn't affected by later records."""


class StreamFollower(Generic[FoldT]):
    """A controller that applies a stream's records as they arrive.

    Attributes
    ----------
    peer_snapshot : callable or None
        Returns other daemons' state of a stream; called if the log is down at the start.
    poll_timing : callable
        Returns the current poll timing; called before each poll.
    fold : Fold
        State; read only while `changed` is held. Restoring a snapshot may replace it.
    changed : threading.Condition
        Notified after each applied page, restored snapshot or failed read.
    head_read_at : float
        Monotonic time in seconds just before the last read that reached the head of the
        stream was sent; minus infinity before the first.
    """

    def __init__(
        self,
        log: Log,
        stream: str,
        fold: FoldT,
        clock: Clock = time.monotonic,
        peer_snapshot: Callable[[str], Snapshot | None] | None = None,
        poll_timing: Callable[[], PollTiming] = PollTiming,
    ) -> None:
        self.log = log
        self.stream = stream
        self.fold = fold
        self.clock = clock
        self.peer_snapshot = peer_snapshot
        self.poll_timing = poll_timing
        self.changed = threading.Condition()
        self.head_read_at = float('-inf')
        self.errors = 0
        self.restored_offset = 0
        self.bad_snapshots = 0
        self._closed = threading.Event()
        self._woken = threading.Event()
        self._min_snapshot_offset: int | None = 0
        self._is_next_poll_immediate = True
        self._thread = threading.Thread(
            target=self._follow, name=f'follow-{stream}', daemon=True
        )

    def __enter__(self) -> Self:
        """Start following."""
        self._thread.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Stop following; the last long poll may still run after this call."""
        self._closed.set()
        self._woken.set()

    def wake(self) -> None:
        """End the current pause, if any, so that the poll timing is read again."""
        self._woken.set()

    @property
    def next_offset(self) -> int:
        """Offset of the first record not yet applied."""
        with self.changed:
            return self.fold.next_offset

    def has_read_head(self) -> bool:
        """Return whether the fold has reached the head of the stream once."""
        return self.head_read_at > float('-inf')

    def has_state(self) -> bool:
        """Return whether the fold has a state, from the log or from a peer."""
        return self.has_read_head() or self.next_offset > 0

    def snapshot(self) -> Snapshot:
        """Return the current state."""
        with self.changed:
            if not isinstance(self.fold, CopyableFold):
                return Snapshot(self.fold.next_offset, self.fold.snapshot())
            fold = self.fold.copy()
        # Serializing a large state would hold `changed` longer than readers may wait.
        return Snapshot(fold.next_offset, fold.snapshot())

    def wait_for(self, offset: int, timeout_s: float) -> bool:
        """Wait until the fold covers the record at `offset`; return whether it does."""
        with self.changed:
            return self.changed.wait_for(
                lambda: self.fold.next_offset > offset, timeout_s
            )

    def wait_until_head_read(self, timeout_s: float) -> bool:
        """Wait until the head was reached once; return whether it was."""
        with self.changed:
            return self.changed.wait_for(self.has_read_head, timeout_s)

    def dump(self) -> Mapping[str, Any]:
        """Return position and freshness."""
        with self.changed:
            age_s = None
            if self.has_read_head():
                age_s = round(self.clock() - self.head_read_at, 3)
            return {
                'stream': self.stream,
                'next_offset': self.fold.next_offset,
                'head_read_s_ago': age_s,
                'errors': self.errors,
                'restored_offset': self.restored_offset,
                'bad_snapshots': self.bad_snapshots,
            }

    def read_page(self, wait_s: float) -> bool:
        """Read one page, apply it and return whether that reached the head.

        Raises
        ------
        LogError
            The log did not answer, or no longer keeps the next records.
        """
        requested_at = self.clock()
        page = self.log.read(self.stream, self.fold.next_offset, wait_s=wait_s)
        with self.changed:
            for record in page.records:
                self.fold.apply(record)
            is_at_head = self.fold.next_offset >= page.next_offset
            if is_at_head:
                self.head_read_at = requested_at
            self.changed.notify_all()
        return is_at_head

    def restore_from_log(self, min_offset: int) -> None:
        """Restore the snapshot in the log that covers most, at least `min_offset`."""
        for snapshot in find_snapshots(self.log, self.stream, min_offset):
            if self._restore(snapshot):
                return

    def _follow(self) -> None:
        while not self._closed.is_set():
            try:
                self._restore_and_read()
            except OffsetExpiredError as error:
                self._min_snapshot_offset = error.first_offset
                self._record_failure(error)
            except LogError as error:
                self._record_failure(error)
                self._restore_from_peers()

    def _restore_and_read(self) -> None:
        """Restore a snapshot if one is due, read a page, and pause if at the head."""
        if self._min_snapshot_offset is not None:
            self.restore_from_log(self._min_snapshot_offset)
            self._min_snapshot_offset = None
        poll_timing = self.poll_timing()
        wait_s = 0 if self._is_next_poll_immediate else poll_timing.wait_s
        if self.read_page(wait_s):
            self._is_next_poll_immediate = poll_timing.pause_s > 0
            self._woken.wait(poll_timing.pause_s)
            # `wake` follows a change of the timing, so the timing is read after this.
            self._woken.clear()

    def _restore_from_peers(self) -> None:
        if self.peer_snapshot is None or self.has_state():
            return
        snapshot = self.peer_snapshot(self.stream)
        if snapshot is not None:
            self._restore(snapshot)

    def _restore(self, snapshot: Snapshot) -> bool:
        """Restore a snapshot; return whether the fold now covers what it covers."""
        try:
            _replace_fold(self, snapshot.body)
        except _SNAPSHOT_ERRORS:
            self.bad_snapshots += 1
            _logger.warning('unreadable snapshot', extra={'stream': self.stream})
            return False
        with self.changed:
            self.restored_offset = self.fold.next_offset
            self.changed.notify_all()
        return True

    def _record_failure(self, error: LogError) -> None:
        with self.changed:
            self.errors += 1
            self.changed.notify_all()
        _logger.warning(
            'failed to read stream',
            extra={'stream': self.stream, 'step': error.step, 'peer': error.peer},
        )
        self._closed.wait(_PAUSE_AFTER_ERROR_S)


def _replace_fold(follower: StreamFollower[Any], body: bytes) -> None:
    with follower.changed:
        if not isinstance(follower.fold, CopyableFold):
            follower.fold.restore(body)
            return
        fold = follower.fold.copy()
    # Readers use the former state meanwhile; only this thread changes the fold.
    fold.restore(body)
    with follower.changed:
        follower.fold = fold
