"""Proofs that a process has ended, and how long departed members may hold pins."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from pimentohoist._decisions.shares import CLOCK_RATIO
from pimentohoist._decisions.ownership_terms import MAX_FRESH_AGE_S
from pimentohoist.models import Member

MIN_REFUSAL_INTERVAL_S = 0.3
"""Time between two refused connections that prove the end of a process. One alone proves
nothing, since it may have been sent before the process had begun to listen."""
EXIT_DETECTION_S = MAX_FRESH_AGE_S * CLOCK_RATIO + 0.5
"""Time after the end of a process within which engines detect that its connections are
closed, and every fresh daemon reads the record of its successor."""
_MAX_ENDED = 4096


class ExitDetector:
    """Finds incarnations that no longer act from the answers at their addresses.

    Attributes
    ----------
    ended_at : dict of str to float
        By incarnation: time at which it was proved that no process listens at its address.
    inactive_since : dict of str to float
        By incarnation: time at which it was proved that it no longer acts: its process
        has ended, or has joined again as another incarnation.
    """

    def __init__(self) -> None:
        self.ended_at: dict[str, float] = {}
        self.inactive_since: dict[str, float] = {}
        self._refused_at: dict[str, float] = {}

    def record_response(self, incarnation: str) -> None:
        """Record that the incarnation answers."""
        self._refused_at.pop(incarnation, None)

    def record_silence(self, incarnation: str) -> None:
        """Record that there was neither an answer nor a refusal."""
        self._refused_at.pop(incarnation, None)

    def record_refused(self, incarnation: str, now: float) -> bool:
        """Record a refused connection; return whether it proves the end of the process."""
        first = self._refused_at.setdefault(incarnation, now)
        if now - first < MIN_REFUSAL_INTERVAL_S:
            return False
        self._record_first(self.ended_at, incarnation, now)
        self._record_first(self.inactive_since, incarnation, now)
        return True

    def record_replaced(self, incarnation: str, now: float) -> None:
        """Record that another incarnation answers at the address."""
        self._record_first(self.inactive_since, incarnation, now)

    def _record_first(
        self, times: dict[str, float], incarnation: str, now: float
    ) -> None:
        times.setdefault(incarnation, now)
        while len(times) > _MAX_ENDED:
            times.pop(next(iter(times)))


class DepartedMembers:
    """Members that left the view recently and may still use the pins that they hold.

    Parameters
    ----------
    max_hold_s : float
        Longest time in seconds for which a pin is held.

    Attributes
    ----------
    members : mapping of str to Member
        Members of the present view by incarnation.
    departed : dict of str to (Member, float)
        By incarnation: a departed member and the time until which it may use its pins.
    """

    def __init__(self, max_hold_s: float) -> None:
        self.max_hold_s = max_hold_s
        self.members: Mapping[str, Member] = {}
        self.departed: dict[str, tuple[Member, float]] = {}

    def record_members(self, members: Iterable[Member], now: float) -> None:
        """Compare the view with the one before.

        This has to be called often, since a departure is dated by the call that finds it.
        """
        present = {member.incarnation: member for member in members}
        for incarnation in self.members.keys() - present.keys():
            member = self.members[incarnation]
            self.departed[incarnation] = (member, now + self.max_hold_s)
        self.members = present
        addresses = {member.peer_address for member in present.values()}
        for departed, (former, until) in tuple(self.departed.items()):
            if former.peer_address in addresses:
                # Its process has ended, or reports its pins as another member.
                self.departed[departed] = (former, min(until, now + EXIT_DETECTION_S))
            if until <= now:
                self.departed.pop(departed)

    def unsettled_s(self, ended_at: Mapping[str, float], now: float) -> float:
        """Return the seconds for which departed members may still hold pins."""
        ends = (
            min(until, ended_at.get(incarnation, until) + EXIT_DETECTION_S)
            for incarnation, (_, until) in self.departed.items()
        )
        return max(0, max(ends, default=now) - now)

    def without_exit_proof(self, ended_at: Mapping[str, float]) -> tuple[Member, ...]:
        """Return the departed members whose processes aren't proved to have ended."""
        return tuple(
            member
            for incarnation, (member, _) in self.departed.items()
            if incarnation not in ended_at
        )
