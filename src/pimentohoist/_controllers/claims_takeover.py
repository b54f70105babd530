"""Selection of the departed daemons whose claims this daemon takes over."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Protocol

from pimentohoist.models import Member
from pimentohoist.protocols import Clock

_RETRY_PERIOD_S = 5.0


class Membership(Protocol):
    """The part of the view that claims depend on."""

    incarnation: str

    @property
    def epoch(self) -> int:
        """Epoch of the current view."""

    @property
    def read_at(self) -> float:
        """Monotonic time of sending the last request that read the view to its head."""

    def members(self) -> tuple[Member, ...]:
        """Return the members of the current view."""

    def is_owner(self, resource_key: str) -> bool:
        """Return whether this daemon is the owner and fresh enough to act as such."""


class TakeoverSelector:
    """Selects the departed incarnations whose claims this daemon takes over.

    An incarnation counts as departed only if it is missing from a view that was read to
    its head after its claim was seen. The owner of ``claims/<incarnation>`` takes it over.
    """

    def __init__(self, membership: Membership, clock: Clock) -> None:
        self.membership = membership
        self.clock = clock
        self._missing_since: dict[str, float] = {}
        self._last_takeover_at: dict[str, float] = {}

    def select_departed(self, holders: Iterable[str]) -> Iterator[str]:
        """Yield those of `holders`, incarnations with open claims, to be taken over."""
        now = self.clock()
        members = {member.incarnation for member in self.membership.members()}
        self._missing_since = {
            incarnation: self._missing_since.get(incarnation, now)
            for incarnation in holders
            if incarnation not in members
        }
        for incarnation, since in self._missing_since.items():
            if since < self.membership.read_at and self._may_take_over(
                incarnation, now
            ):
                self._last_takeover_at[incarnation] = now
                yield incarnation

    def _may_take_over(self, incarnation: str, now: float) -> bool:
        last_takeover_at = self._last_takeover_at.get(incarnation, float('-inf'))
        return now - last_takeover_at > _RETRY_PERIOD_S and self.membership.is_owner(
            f'claims/{incarnation}'
        )
