"""Finds claims of departed daemons."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Protocol

from pimentohoist.models import Member
from pimentohoist.protocols import Clock

_REPEAT_S = 5.0


class Membership(Protocol):
    """What claims need to know of the view."""

    incarnation: str

    @property
    def epoch(self) -> int:
        """Number of the present view."""

    @property
    def read_at(self) -> float:
        """Monotonic time before the last question that showed the head of the view."""

    def members(self) -> tuple[Member, ...]:
        """Return the members of the present view."""

    def is_owner(self, resource_key: str) -> bool:
        """Return whether this daemon is the home and fresh enough to act on it."""


class TakeoverWatch:
    """Tells which incarnations this daemon is to take over.

    An incarnation counts as departed only if the view, read to its head after its claim
    was seen, doesn't have it; the daemon that is the home of this takes it over.
    """

    def __init__(self, membership: Membership, clock: Clock) -> None:
        self.membership = membership
        self.clock = clock
        self._missing_since: dict[str, float] = {}
        self._taken_at: dict[str, float] = {}

    def departed(self, holders: Iterable[str]) -> Iterator[str]:
        """Yield those of the incarnations with open claims that are to be taken over."""
        now = self.clock()
        members = {member.incarnation for member in self.membership.members()}
        self._missing_since = {
            name: self._missing_since.get(name, now)
            for name in holders
            if name not in members
        }
        for name, since in self._missing_since.items():
            if since < self.membership.read_at and self._may_take(name, now):
                self._taken_at[name] = now
                yield name

    def _may_take(self, incarnation: str, now: float) -> bool:
        taken_at = self._taken_at.get(incarnation, float('-inf'))
        return now - taken_at > _REPEAT_S and self.membership.is_owner(
            f'claims/{incarnation}'
        )
