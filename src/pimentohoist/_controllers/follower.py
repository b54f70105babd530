"""Follows a stream of the log and keeps its fold up to date."""

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
_BAD_SNAPSHOT = (ValueError, LookupError, TypeError, PimentohoistError)
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
    """A fold that is copied in a short time and holds much."""

    def copy(self) -> Self:
        """Return a copy that later records don't change."""


class StreamFollower(Generic[FoldT]):
    """A controller that applies a stream's records as they come.

    Attributes
    ----------
    peer_snapshot : callable or None
        Returns other daemons' state of a stream; asked if the log is down at the start.
    poll_timing : callable
        Returns the present pace; asked before each poll.
    fold : Fold
        State; read it only while holding `changed`. A restored one takes its place.
    changed : threading.Condition
        Notified after each applied page.
    head_read_at : float
        Monotonic time in seconds before the last question whose answer showed that the
        fold had reached the head; minus infinity if there was none.
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
        self._min_offset: int | None = 0
        self._is_rested = True
        self._thread = threading.Thread(
            target=self._follow, name=f'follow-{stream}', daemon=True
        )

    def __enter__(self) -> Self:
        """Start following."""
        self._thread.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Stop following; the last long poll may outlive this call."""
        self._closed.set()
        self._woken.set()

    def wake(self) -> None:
        """End the pause, if there is one, and ask for the pace anew."""
        self._woken.set()

    @property
    def next_offset(self) -> int:
        """Offset of the first record not yet applied."""
        with self.changed:
            return self.fold.next_offset

    def has_read_head(self) -> bool:
        """Return whether the fold has reached the head of the stream once."""
        return self.head_read_at > float('-inf')

    def is_known(self) -> bool:
        """Return whether there is a state at all, from the log or from a peer."""
        return self.has_read_head() or self.next_offset > 0

    def snapshot(self) -> Snapshot:
        """Return the present state."""
        with self.changed:
            if not isinstance(self.fold, CopyableFold):
                return Snapshot(self.fold.next_offset, self.fold.snapshot())
            fold = self.fold.copy()
        # Printing a large state takes longer than readers may wait.
        return Snapshot(fold.next_offset, fold.snapshot())

    def wait_for(self, offset: int, timeout_s: float) -> bool:
        """Return whether the fold covers the record at `offset` in time."""
        with self.changed:
            return self.changed.wait_for(
                lambda: self.fold.next_offset > offset, timeout_s
            )

    def wait_until_read(self, timeout_s: float) -> bool:
        """Return whether the head was reached once in time."""
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

    def read_once(self, wait_s: float) -> bool:
        """Read one page, apply it and return whether that reached the head.

        Raises
        ------
        LogError
            The log did not answer, or no longer keeps what comes next.
        """
        asked_at = self.clock()
        page = self.log.read(self.stream, self.fold.next_offset, wait_s=wait_s)
        with self.changed:
            for record in page.records:
                self.fold.apply(record)
            is_at_head = self.fold.next_offset >= page.next_offset
            if is_at_head:
                self.head_read_at = asked_at
            self.changed.notify_all()
        return is_at_head

    def restore_from_log(self, min_offset: int) -> None:
        """Take the kept snapshot that covers most, if any covers `min_offset`."""
        for snapshot in find_snapshots(self.log, self.stream, min_offset):
            if self._restore(snapshot):
                return

    def _follow(self) -> None:
        while not self._closed.is_set():
            try:
                self._step()
            except OffsetExpiredError as error:
                self._min_offset = error.first_offset
                self._report(error)
            except LogError as error:
                self._report(error)
                self._ask_peers()

    def _step(self) -> None:
        """Restore if that is due, read once, and pause if the pace says so."""
        if self._min_offset is not None:
            self.restore_from_log(self._min_offset)
            self._min_offset = None
        poll_timing = self.poll_timing()
        wait_s = 0 if self._is_rested else poll_timing.wait_s
        if self.read_once(wait_s):
            self._is_rested = poll_timing.pause_s > 0
            self._woken.wait(poll_timing.pause_s)
            # Who wakes has changed the pace before, so that it is asked after this.
            self._woken.clear()

    def _ask_peers(self) -> None:
        if self.peer_snapshot is None or self.is_known():
            return
        snapshot = self.peer_snapshot(self.stream)
        if snapshot is not None:
            self._restore(snapshot)

    def _restore(self, snapshot: Snapshot) -> bool:
        """Return whether the fold covers what the snapshot covers."""
        try:
            _replace_fold(self, snapshot.body)
        except _BAD_SNAPSHOT:
            self.bad_snapshots += 1
            _logger.warning('bad snapshot', extra={'stream': self.stream})
            return False
        with self.changed:
            self.restored_offset = self.fold.next_offset
            self.changed.notify_all()
        return True

    def _report(self, error: LogError) -> None:
        with self.changed:
            self.errors += 1
            self.changed.notify_all()
        _logger.warning(
            'stream not read',
            extra={'stream': self.stream, 'step': error.step, 'peer': error.peer},
        )
        self._closed.wait(_PAUSE_AFTER_ERROR_S)


def _replace_fold(follower: StreamFollower[Any], body: bytes) -> None:
    with follower.changed:
        if not isinstance(follower.fold, CopyableFold):
            follower.fold.restore(body)
            return
        fold = follower.fold.copy()
    # Readers go on with the former state meanwhile; only this thread changes it.
    fold.restore(body)
    with follower.changed:
        follower.fold = fold
