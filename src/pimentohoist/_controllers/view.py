"""This daemon's membership and the homes that follow from the view."""

from __future__ import annotations

import logging
import secrets
import threading
import time
from collections.abc import Mapping, Sequence
from dataclasses import asdict
from typing import Any, Self

from pimentohoist._controllers.follower import StreamFollower
from pimentohoist._decisions.freshness import FreshnessTracker
from pimentohoist._view_fold import (
    VIEW_STREAM,
    Drain,
    Join,
    Leave,
    View,
    ViewFold,
    rank,
)
from pimentohoist.exceptions import LogError
from pimentohoist.models import LogPage, Member
from pimentohoist.protocols import Log
from pimentohoist.settings import DaemonSettings

_LONG_POLL_S = 0.5
_INCARNATION_BYTES = 6
_logger = logging.getLogger(__name__)


class _ShortPolls:
    """Implements `Log`; a poll's answer is at most a quarter of the freshness old."""

    def __init__(self, log: Log) -> None:
        self.log = log

    def append(self, stream: str, bodies: Sequence[bytes]) -> int:
        """Append records."""
        return self.log.append(stream, bodies)

    def read(self, stream: str, offset: int, *, wait_s: float) -> LogPage:
        """Read records, waiting a short time for the first."""
        return self.log.read(stream, offset, wait_s=min(wait_s, _LONG_POLL_S))


class ViewController:
    """Joins and leaves the view, and implements `Homes`.

    Attributes
    ----------
    incarnation : str
        Unique id of this run of the daemon.
    follower : StreamFollower of ViewFold
        Position, freshness and state.
    """

    def __init__(self, log: Log, settings: DaemonSettings) -> None:
        self.log = log
        self.settings = settings
        self.incarnation = f'{settings.name}-{secrets.token_hex(_INCARNATION_BYTES)}'
        self.follower = StreamFollower(_ShortPolls(log), VIEW_STREAM, ViewFold())
        self.freshness = FreshnessTracker()
        self._lock = threading.Lock()

    def __enter__(self) -> Self:
        """Start following the stream and join the view."""
        self.follower.__enter__()
        self._append(
            Join(
                incarnation=self.incarnation,
                peer_address=self.settings.peer_address,
                callers_address=self.settings.callers_address,
                failure_domain=self.settings.failure_domain,
            )
        )
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Leave the view and stop following."""
        self._append(Leave(incarnation=self.incarnation))
        self.follower.__exit__(*exc_info)

    def announce_leaving(self) -> None:
        """Take this daemon off the address list; raises LogError."""
        record = Drain(incarnation=self.incarnation)
        self.log.append(VIEW_STREAM, [record.model_dump_json().encode()])

    @property
    def epoch(self) -> int:
        """Number of the present view."""
        with self.follower.changed:
            return self.follower.fold.epoch

    @property
    def read_at(self) -> float:
        """Monotonic time before the last question that showed the head of the view."""
        with self.follower.changed:
            return self.follower.head_read_at

    def members(self) -> tuple[Member, ...]:
        """Return the members of the present view."""
        with self.follower.changed:
            return tuple(self.follower.fold.members.values())

    def home(self, thing: str) -> Member | None:
        """Return the home of `thing`; None if the view is empty."""
        ranked = rank(thing, self.members())
        return ranked[0] if ranked else None

    def is_home(self, thing: str) -> bool:
        """Return whether this daemon is the home and fresh enough to act on it."""
        home = self.home(thing)
        is_mine = home is not None and home.incarnation == self.incarnation
        return is_mine and self.is_fresh()

    def is_fresh(self) -> bool:
        """Return whether the view was read to its head a short while ago."""
        return self._freshness().is_fresh(time.monotonic())

    def fresh_since(self) -> float:
        """Return since when the daemon has been fresh without a break."""
        return self._freshness().fresh_since

    def recent_views(self) -> tuple[tuple[View, ...], bool]:
        """Return the latest views, and whether they begin with the very first."""
        with self.follower.changed:
            fold = self.follower.fold
            return tuple(fold.recent), fold.is_from_start

    def dump(self) -> Mapping[str, Any]:
        """Return members, epoch and freshness."""
        return {
            **self.follower.dump(),
            'incarnation': self.incarnation,
            'epoch': self.epoch,
            'is_fresh': self.is_fresh(),
            'members': [asdict(member) for member in self.members()],
        }

    def _freshness(self) -> FreshnessTracker:
        with self._lock:
            self.freshness.confirm(self.follower.head_read_at, time.monotonic())
            return self.freshness

    def _append(self, record: Join | Leave) -> None:
        try:
            self.log.append(VIEW_STREAM, [record.model_dump_json().encode()])
        except LogError as error:
            _logger.warning(
                'view record not appended: %s',
                error.message,
                extra={'step': error.step, 'peer': error.peer},
            )
