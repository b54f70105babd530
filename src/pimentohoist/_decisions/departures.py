"""When a process has certainly ended, and how long departed members may hold pins."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from pimentohoist._decisions.shares import CLOCK_RATIO
from pimentohoist._decisions.ownership_terms import FRESH_S
from pimentohoist.models import Member

REFUSALS_APART_S = 0.3
"""Time between two refused connections that prove the end of a process: the first may
have been sent before the process had begun to listen."""
NOTICE_S = FRESH_S * CLOCK_RATIO + 0.5
"""Time after the end of a process in which engines notice that its connections are
closed, and every fresh daemon reads the record of its successor."""
_MAX_ENDED = 4096


class ExitDetector:
    """Which incarnations of daemons no longer act, by what their addresses answer.

    Attributes
    ----------
    ended_at : dict of str to float
        Time at which it was known that no process listens at the address.
    inactive_since : dict of str to float
        Time at which it was known that the incarnation no longer acts: its process has
        ended, or has joined again under another name.
    """

    def __init__(self) -> None:
        self.ended_at: dict[str, float] = {}
        self.inactive_since: dict[str, float] = {}
        self._refused_at: dict[str, float] = {}

    def record_answer(self, incarnation: str) -> None:
        """Note that the incarnation answers."""
        self._refused_at.pop(incarnation, None)

    def record_silence(self, incarnation: str) -> None:
        """Note that there was neither an answer nor a refusal."""
        self._refused_at.pop(incarnation, None)

    def record_refused(self, incarnation: str, now: float) -> bool:
        """Note a refused connection; return whether that proves the end."""
        first = self._refused_at.setdefault(incarnation, now)
        if now - first < REFUSALS_APART_S:
            return False
        self._keep(self.ended_at, incarnation, now)
        self._keep(self.inactive_since, incarnation, now)
        return True

    def record_replaced(self, incarnation: str, now: float) -> None:
        """Note that another incarnation answers at the address."""
        self._keep(self.inactive_since, incarnation, now)

    def _keep(self, times: dict[str, float], incarnation: str, now: float) -> None:
        times.setdefault(incarnation, now)
        while len(times) > _MAX_ENDED:
            times.pop(next(iter(times)))


class DepartedMembers:
    """Members that left the view a short while ago and may still use what they hold.

    Parameters
    ----------
    max_hold_s : float
        Longest time for which anything is held.
    """

    def __init__(self, max_hold_s: float) -> None:
        self.max_hold_s = max_hold_s
        self.members: Mapping[str, Member] = {}
        self.departed: dict[str, tuple[Member, float]] = {}

    def record_members(self, members: Iterable[Member], now: float) -> None:
        """Compare the view with the one before; to be called often."""
        present = {member.incarnation: member for member in members}
        for incarnation in self.members.keys() - present.keys():
            gone = self.members[incarnation]
            self.departed[incarnation] = (gone, now + self.max_hold_s)
        self.members = present
        addresses = {member.peer_address for member in present.values()}
        for departed, (former, until) in tuple(self.departed.items()):
            if former.peer_address in addresses:
                # Its process has ended, or reports what it holds as another member.
                self.departed[departed] = (former, min(until, now + NOTICE_S))
            if until <= now:
                self.departed.pop(departed)

    def unsettled_s(self, ended_at: Mapping[str, float], now: float) -> float:
        """Return for how long departed members may still hold something."""
        ends = (
            min(until, ended_at.get(incarnation, until) + NOTICE_S)
            for incarnation, (_, until) in self.departed.items()
        )
        return max(0, max(ends, default=now) - now)

    def unproved(self, ended_at: Mapping[str, float]) -> tuple[Member, ...]:
        """Return the members of which it is not known whether they have ended."""
        return tuple(
            member
            for incarnation, (member, _) in self.departed.items()
            if incarnation not in ended_at
        )
