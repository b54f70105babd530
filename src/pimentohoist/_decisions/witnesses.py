"""Witnesses of a view, and the fencing of views that have ended.

Without the log a daemon stays fresh while a majority of its view's witnesses have read no
further than it has. Once a majority has read the record that ended a view, no daemon can
become fresh in that view again, since any two majorities have a witness in common: the
view is fenced.
"""

from __future__ import annotations

from collections import defaultdict, deque
from collections.abc import Iterable, Mapping
from itertools import pairwise

from pimentohoist._decisions.shares import CLOCK_RATIO
from pimentohoist._view_fold import View, rank_members
from pimentohoist.models import Member

MAX_WITNESSES = 7
MAX_LOG_READ_AGE_S = 900.0
"""Time since the last read of the log after which witnesses no longer replace it."""
_MAX_VIEWS = 64


def choose_witnesses(view: View) -> tuple[Member, ...]:
    """Return at most `MAX_WITNESSES` members, spread over the failure domains."""
    by_domain: dict[str, deque[Member]] = defaultdict(deque)
    for member in rank_members('witnesses', view.members):
        by_domain[member.failure_domain].append(member)
    chosen: list[Member] = []
    while by_domain and len(chosen) < MAX_WITNESSES:
        for domain in sorted(by_domain):
            chosen.append(by_domain[domain].popleft())
            if not by_domain[domain]:
                by_domain.pop(domain)
    return tuple(chosen[:MAX_WITNESSES])


def is_majority(count: int, view: View) -> bool:
    """Return whether `count` is more than half of the view's witnesses."""
    return count * 2 > len(choose_witnesses(view)) or not view.members


def is_confirmed(
    view: View, incarnation: str, held: Mapping[str, int], replies: Replies
) -> bool:
    """Return whether a majority of witnesses has read no further than this daemon.

    At least one other daemon has to answer: a daemon that is cut off alone couldn't detect
    that.

    Parameters
    ----------
    view : View
        The view to be confirmed.
    incarnation : str
        This daemon.
    held : mapping of str to int
        Next offset of this daemon by stream.
    replies : mapping of str to mapping of str to int
        Next offset by witness and stream.
    """
    names = {member.incarnation for member in choose_witnesses(view)}
    answered = names & set(replies)
    holds_all = all(
        held.get(stream, 0) >= offset
        for name in answered
        for stream, offset in replies[name].items()
    )
    count = len(answered | (names & {incarnation}))
    return bool(answered - {incarnation}) and holds_all and is_majority(count, view)


def can_witnesses_replace_log(heads_read_at: float, asked_at: float) -> bool:
    """Return whether the log was read recently enough for witnesses to replace it."""
    return asked_at - heads_read_at < MAX_LOG_READ_AGE_S


Replies = Mapping[str, Mapping[str, int]]
"""Next offset by witness and stream."""


class FencedViews:
    """Views that are fenced, as far as this daemon has found.

    Attributes
    ----------
    epoch : int
        Every view older than this is fenced.
    added_at : dict of int to float
        By epoch: time at which the view was added here.
    offsets : dict of str to int
        By incarnation: highest next offset recorded for it in the view's stream.
    exited : set of str
        Incarnations whose processes have ended.
    """

    def __init__(self) -> None:
        self.epoch = 0
        self.views: deque[View] = deque(maxlen=_MAX_VIEWS)
        self.added_at: dict[int, float] = {}
        self.offsets: dict[str, int] = {}
        self.exited: set[str] = set()

    def restart(self) -> None:
        """Remove all views."""
        self.views.clear()

    def add(self, view: View, now: float) -> None:
        """Add the next view; the first one added fences all views before it."""
        self.views.append(view)
        self.added_at[view.epoch] = now
        if len(self.views) == 1:
            self.epoch = max(self.epoch, view.epoch)
        self._advance()

    def record_offset(self, incarnation: str, next_offset: int) -> None:
        """Record how far a daemon has read the view's stream."""
        known = self.offsets.get(incarnation, 0)
        self.offsets[incarnation] = max(known, next_offset)
        self._advance()

    def record_exited(self, incarnation: str) -> None:
        """Record that a daemon's process was proved to have ended."""
        self.exited.add(incarnation)
        self._advance()

    def raise_epoch(self, epoch: int) -> None:
        """Apply the fenced epoch that another daemon has found."""
        self.epoch = max(self.epoch, epoch)
        self._advance()

    def fence_old(self, now: float) -> None:
        """Fence views that ended so long ago that witnesses no longer replace the log."""
        for _, successor in self._unfenced():
            if now - self.added_at[successor.epoch] > MAX_LOG_READ_AGE_S * CLOCK_RATIO:
                self.raise_epoch(successor.epoch)

    def unfenced_witnesses(self) -> tuple[Member, ...]:
        """Return the witnesses to ask about views that aren't fenced yet."""
        members: dict[str, Member] = {}
        for view, successor in self._unfenced():
            for member in choose_witnesses(view):
                if not self._has_moved_past(member, successor):
                    members[member.incarnation] = member
        return tuple(members.values())

    def _unfenced(self) -> Iterable[tuple[View, View]]:
        return [
            (view, successor)
            for view, successor in pairwise(self.views)
            if successor.epoch > self.epoch
        ]

    def _advance(self) -> None:
        """Fence views in order while a majority of each one's witnesses has moved past."""
        for view, successor in self._unfenced():
            passed_count = sum(
                self._has_moved_past(member, successor)
                for member in choose_witnesses(view)
            )
            if not is_majority(passed_count, view):
                return
            self.epoch = successor.epoch

    def _has_moved_past(self, member: Member, successor: View) -> bool:
        """Return whether a witness can no longer confirm the view before `successor`."""
        offset = self.offsets.get(member.incarnation, 0)
        return member.incarnation in self.exited or offset >= successor.epoch
