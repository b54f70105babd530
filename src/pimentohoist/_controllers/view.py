"""Membership of this daemon in the view, and the owners derived from the view."""

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
    ExpireRecord,
    JoinRecord,
    LeaveRecord,
    View,
    ViewFold,
    rank_members,
)
from pimentohoist.exceptions import LogError
from pimentohoist.models import LogPage, Member
from pimentohoist.protocols import Log
from pimentohoist.settings import DaemonSettings

_MAX_LONG_POLL_S = 0.5
_REJOIN_CHECK_PERIOD_S = 0.5
_INCARNATION_BYTES = 6
_MAX_CACHED_OWNERS = 10_000
_logger = logging.getLogger(__name__)


class BoundedPollLog:
    """Implements `Log`; a poll's response is at most a quarter of `MAX_FRESH_AGE_S` old."""

    def __init__(self, log: Log) -> None:
        self.log = log

    def append(self, stream: str, bodies: Sequence[bytes]) -> int:
        """Append records."""
        return self.log.append(stream, bodies)

    def read(self, stream: str, offset: int, *, wait_s: float) -> LogPage:
        """Read records, waiting a short time for the first."""
        return self.log.read(stream, offset, wait_s=min(wait_s, _MAX_LONG_POLL_S))


class ViewController:
    """Joins and leaves the view, and implements `OwnerLookup`.

    Attributes
    ----------
    incarnation : str
        Unique id of this membership; replaced after the membership has expired.
    follower : StreamFollower of ViewFold
        Position, freshness and state of the view stream.
    followers : list of StreamFollower
        Streams that must be read to their heads for this daemon to be fresh.
    """

    def __init__(self, log: Log, settings: DaemonSettings) -> None:
        self.log = log
        self.settings = settings
        self.incarnation = _new_incarnation(self.settings)
        self.follower = StreamFollower(BoundedPollLog(log), VIEW_STREAM, ViewFold())
        self.followers: list[StreamFollower[Any]] = [self.follower]
        self.freshness = FreshnessTracker()
        self._owner_cache: dict[str, Member] = {}
        self._owner_cache_epoch = 0
        self._lock = threading.Lock()
        self._closed = threading.Event()
        self._thread = threading.Thread(
            target=self._rejoin_when_removed, name='join', daemon=True
        )

    def __enter__(self) -> Self:
        """Start following the stream, join the view, and rejoin if removed."""
        self.follower.__enter__()
        self._append(_join_record(self.settings, self.incarnation))
        self._thread.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Leave the view and stop following."""
        self._closed.set()
        self._thread.join()
        self._append(LeaveRecord(incarnation=self.incarnation))
        self.follower.__exit__(*exc_info)

    @property
    def epoch(self) -> int:
        """Epoch of the current view."""
        with self.follower.changed:
            return self.follower.fold.epoch

    @property
    def read_at(self) -> float:
        """Monotonic time of sending the last request that read the view to its head."""
        with self.follower.changed:
            return self.follower.head_read_at

    def members(self) -> tuple[Member, ...]:
        """Return the members of the current view."""
        with self.follower.changed:
            return tuple(self.follower.fold.members.values())

    def owner(self, resource_key: str) -> Member | None:
        """Return the owner of `resource_key`; None if the view is empty."""
        with self.follower.changed:
            fold = self.follower.fold
            if self._owner_cache_epoch != fold.epoch:
                self._owner_cache.clear()
                self._owner_cache_epoch = fold.epoch
            if resource_key not in self._owner_cache and fold.members:
                if len(self._owner_cache) >= _MAX_CACHED_OWNERS:
                    self._owner_cache.clear()
                self._owner_cache[resource_key] = rank_members(
                    resource_key, fold.members.values()
                )[0]
            return self._owner_cache.get(resource_key)

    def is_owner(self, resource_key: str) -> bool:
        """Return whether this daemon is the owner and fresh enough to act as such."""
        owner = self.owner(resource_key)
        is_mine = owner is not None and owner.incarnation == self.incarnation
        return is_mine and self.is_fresh()

    def is_fresh(self) -> bool:
        """Return whether this daemon was confirmed up to date within `MAX_FRESH_AGE_S`."""
        return self._update_freshness().is_fresh(time.monotonic())

    def fresh_since(self) -> float:
        """Return the start of the current uninterrupted period of freshness."""
        return self._update_freshness().fresh_since

    def heads_read_at(self) -> float:
        """Return the oldest `head_read_at` of the followed streams."""
        return min(follower.head_read_at for follower in self.followers)

    def confirm_fresh(self, asked_at: float) -> None:
        """Record that the witnesses held no more at `asked_at` than this daemon."""
        with self._lock:
            self.freshness.confirm(asked_at, time.monotonic())

    def recent_views(self) -> tuple[tuple[View, ...], bool]:
        """Return the latest views, and whether they start with the first view ever."""
        with self.follower.changed:
            fold = self.follower.fold
            return tuple(fold.recent), fold.is_from_start

    def expire(self, member: Member) -> None:
        """Expire a member that doesn't answer; do nothing unless fresh."""
        if self.is_fresh():
            self._append(
                ExpireRecord(incarnation=member.incarnation, reporter=self.incarnation)
            )

    def dump(self) -> Mapping[str, Any]:
        """Return members, epoch and freshness."""
        return {
            **self.follower.dump(),
            'incarnation': self.incarnation,
            'epoch': self.epoch,
            'is_fresh': self.is_fresh(),
            'members': [asdict(member) for member in self.members()],
        }

    def _update_freshness(self) -> FreshnessTracker:
        with self._lock:
            self.freshness.confirm(self.heads_read_at(), time.monotonic())
            return self.freshness

    def _rejoin_when_removed(self) -> None:
        while not self._closed.wait(_REJOIN_CHECK_PERIOD_S):
            with self.follower.changed:
                fold = self.follower.fold
                is_member = self.incarnation in fold.members
                has_departed = self.incarnation in fold.departed
            if has_departed:
                self.incarnation = _new_incarnation(self.settings)
                _logger.warning(
                    'removed from the view; rejoining', extra={'step': 'join'}
                )
            if not is_member and self.is_fresh():
                self._append(_join_record(self.settings, self.incarnation))

    def _append(self, record: JoinRecord | LeaveRecord | ExpireRecord) -> None:
        try:
            self.log.append(VIEW_STREAM, [record.model_dump_json().encode()])
        except LogError as error:
            _logger.warning(
                'failed to append view record: %s',
                error.message,
                extra={'step': error.step, 'peer': error.peer},
            )


def _new_incarnation(settings: DaemonSettings) -> str:
    return f'{settings.name}-{secrets.token_hex(_INCARNATION_BYTES)}'


def _join_record(settings: DaemonSettings, incarnation: str) -> JoinRecord:
    return JoinRecord(
        incarnation=incarnation,
        peer_address=settings.peer_address,
        callers_address=settings.callers_address,
        failure_domain=settings.failure_domain,
        operators_address=settings.operators_address,
    )
