"""This daemon's membership and the homes that follow from the view."""

from __future__ import annotations

import logging
import secrets
import time
from collections.abc import Mapping
from dataclasses import asdict
from typing import Any, Self

from pimentohoist._controllers.follower import StreamFollower
from pimentohoist._view_fold import VIEW_STREAM, Drain, Join, Leave, ViewFold, rank
from pimentohoist.exceptions import LogError
from pimentohoist.models import Member
from pimentohoist.protocols import Log
from pimentohoist.settings import DaemonSettings

_FRESH_S = 2.0
_INCARNATION_BYTES = 6
_logger = logging.getLogger(__name__)


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
        self.follower = StreamFollower(log, VIEW_STREAM, ViewFold())

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
        return time.monotonic() - self.follower.head_read_at < _FRESH_S

    def dump(self) -> Mapping[str, Any]:
        """Return members, epoch and freshness."""
        return {
            **self.follower.dump(),
            'incarnation': self.incarnation,
            'epoch': self.epoch,
            'is_fresh': self.is_fresh(),
            'members': [asdict(member) for member in self.members()],
        }

    def _append(self, record: Join | Leave) -> None:
        try:
            self.log.append(VIEW_STREAM, [record.model_dump_json().encode()])
        except LogError as error:
            _logger.warning(
                'view record not appended: %s',
                error.message,
                extra={'step': error.step, 'peer': error.peer},
            )
