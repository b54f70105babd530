"""Witnesses of a view, and when an old view can no longer be acted upon.

Without the log a daemon stays fresh while a majority of its view's witnesses hold no
more than it does. Once a majority holds the record that ended a view, nobody gets fresh
in that view again: any other majority shares a witness with it. The view is fenced.
"""

from __future__ import annotations

from collections import defaultdict, deque
from collections.abc import Iterable, Mapping
from itertools import pairwise

from pimentohoist._decisions.shares import CLOCK_RATIO
from pimentohoist._view_fold import View, rank_members
from pimentohoist.models import Member

WITNESSES = 7
WITNESSED_S = 900.0
"""Longest time for which witnesses stand in for the log."""
_VIEWS = 64


def choose_witnesses(view: View) -> tuple[Member, ...]:
    """Return at most seven members, spread over the failure domains."""
    by_domain: dict[str, deque[Member]] = defaultdict(deque)
    for member in rank_members('witnesses', view.members):
        by_domain[member.failure_domain].append(member)
    chosen: list[Member] = []
    while by_domain and len(chosen) < WITNESSES:
        for domain in sorted(by_domain):
            chosen.append(by_domain[domain].popleft())
            if not by_domain[domain]:
                by_domain.pop(domain)
    return tuple(chosen[:WITNESSES])


def is_majority(count: int, view: View) -> bool:
    """Return whether so many of the view's witnesses are more than half."""
    return count * 2 > len(choose_witnesses(view)) or not view.members


def is_confirmed(
    view: View, incarnation: str, held: Mapping[str, int], replies: Replies
) -> bool:
    """Return whether a majority of witnesses holds no more than is held here.

    At least one other daemon has to answer: one alone could not tell that it is cut off.
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
    """Return whether the log was read so lately that witnesses may stand in for it."""
    return asked_at - heads_read_at < WITNESSED_S


Replies = Mapping[str, Mapping[str, int]]
"""By witness: next offset by stream."""


class FencedViews:
    """Which views are fenced, as far as is known here.

    Attributes
    ----------
    epoch : int
        Every view older than this is fenced.
    """

    def __init__(self) -> None:
        self.epoch = 0
        self.views: deque[View] = deque(maxlen=_VIEWS)
        self.seen_at: dict[int, float] = {}
        self.offsets: dict[str, int] = {}
        self.dead: set[str] = set()

    def restart(self) -> None:
        """Forget all views."""
        self.views.clear()

    def add(self, view: View, now: float) -> None:
        """Take in the next view; the first one known here fences what was before."""
        self.views.append(view)
        self.seen_at[view.epoch] = now
        if len(self.views) == 1:
            self.epoch = max(self.epoch, view.epoch)
        self._move()

    def record_offset(self, incarnation: str, next_offset: int) -> None:
        """Note how far a daemon has read the view's stream."""
        known = self.offsets.get(incarnation, 0)
        self.offsets[incarnation] = max(known, next_offset)
        self._move()

    def record_exited(self, incarnation: str) -> None:
        """Note that a daemon's process has ended for certain."""
        self.dead.add(incarnation)
        self._move()

    def learn(self, epoch: int) -> None:
        """Take over what another daemon knows."""
        self.epoch = max(self.epoch, epoch)
        self._move()

    def end_old(self, now: float) -> None:
        """Fence what ended so long ago that witnesses no longer stand in for the log."""
        for _, successor in self._open():
            if now - self.seen_at[successor.epoch] > WITNESSED_S * CLOCK_RATIO:
                self.learn(successor.epoch)

    def unfenced_witnesses(self) -> tuple[Member, ...]:
        """Return the witnesses to ask about views that aren't fenced yet."""
        members: dict[str, Member] = {}
        for view, successor in self._open():
            for member in choose_witnesses(view):
                if not self._has_left(member, successor):
                    members[member.incarnation] = member
        return tuple(members.values())

    def _open(self) -> Iterable[tuple[View, View]]:
        return [
            (view, successor)
            for view, successor in pairwise(self.views)
            if successor.epoch > self.epoch
        ]

    def _move(self) -> None:
        """Move on over views in order; each needs a majority of its own witnesses."""
        for view, successor in self._open():
            gone = sum(
                self._has_left(member, successor) for member in choose_witnesses(view)
            )
            if not is_majority(gone, view):
                return
            self.epoch = successor.epoch

    def _has_left(self, member: Member, successor: View) -> bool:
        """Return whether a witness can't confirm the view before `successor`."""
        offset = self.offsets.get(member.incarnation, 0)
        return member.incarnation in self.dead or offset >= successor.epoch
