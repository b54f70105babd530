"""Which endpoints this daemon can reach, by the outcome of its connections.

A daemon can lose its links to endpoints that are well and that other daemons reach. What
one connection shows can't be told from a failure of the endpoint; what all of them show
together can.
"""

from __future__ import annotations

import threading
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass
from typing import TypeVar

EntryT = TypeVar('EntryT')

_QUIET_S = 0.5
"""A daemon under load hears of its endpoints many times in this time."""

_MIN_DOUBTED = 2
"""Endpoints of which nothing is heard that cast doubt on the daemon's own links."""

_DOUBT_S = 2.0
"""A doubt that no probe has confirmed counts for this time."""


@dataclass(frozen=True, slots=True)
class LostLink:
    """An endpoint to which no connection could be opened.

    Attributes
    ----------
    lost_at : float
        Monotonic time in seconds of the first failed connection since it was reached.
    """

    lost_at: float


class EndpointLinks:
    """The links of this daemon to incarnations of endpoints; safe for threads."""

    def __init__(self) -> None:
        self._lost: dict[str, LostLink] = {}
        self._doubted_at: dict[str, float] = {}
        self._heard_at: dict[str, float] = {}
        self._lock = threading.Lock()

    def record_heard(self, incarnation: str, now: float) -> LostLink | None:
        """Record bytes or a connection; return the link that was lost until now."""
        with self._lock:
            self._heard_at[incarnation] = now
            self._doubted_at.pop(incarnation, None)
            return self._lost.pop(incarnation, None)

    def record_lost(self, incarnation: str, now: float) -> bool:
        """Record that no connection could be opened; return whether that is new."""
        with self._lock:
            is_new = incarnation not in self._lost
            self._lost.setdefault(incarnation, LostLink(now))
            return is_new

    def record_silence(self, incarnation: str, now: float) -> bool:
        """Record that an endpoint has requests and sends nothing; return if it is new."""
        with self._lock:
            doubted_at = self._doubted_at.get(incarnation, float('-inf'))
            is_new = now - doubted_at > _DOUBT_S and incarnation not in self._lost
            if is_new:
                self._doubted_at[incarnation] = now
            return is_new

    def is_lost(self, incarnation: str) -> bool:
        """Return whether no connection could be opened since it was last heard of."""
        return incarnation in self._lost

    def are_all_lost(self, incarnations: Collection[str]) -> bool:
        """Return whether there are endpoints, and none of them can be reached."""
        lost = self._lost
        return bool(incarnations) and all(name in lost for name in incarnations)

    def lost(self) -> list[str]:
        """Return the incarnations that can't be reached."""
        with self._lock:
            return list(self._lost)

    def to_probe(self, groups: Mapping[str, Collection[str]], now: float) -> set[str]:
        """Return the incarnations to which a connection should be tried now.

        Parameters
        ----------
        groups : mapping of str to collection of str
            Incarnations of the endpoints by their group.
        """
        with self._lock:
            lost, doubted = set(self._lost), self._current_doubts(now)
            quiet = {
                name
                for names in groups.values()
                for name in names
                if now - self._heard_at.get(name, float('-inf')) > _QUIET_S
            }
        known = {name for names in groups.values() for name in names}
        to_probe = doubted & quiet
        # Requests are sent to other endpoints of a group first, and so find out whether a
        # lost one is back; where all are lost, none are sent.
        for names in groups.values():
            if lost.issuperset(names):
                to_probe.update(names)
        if len((lost | doubted) & known) >= _MIN_DOUBTED and quiet == known:
            to_probe |= known
        return to_probe

    def retain(self, incarnations: Iterable[str]) -> None:
        """Forget all but these incarnations."""
        kept = set(incarnations)
        with self._lock:
            self._lost = _only(self._lost, kept)
            self._doubted_at = _only(self._doubted_at, kept)
            self._heard_at = _only(self._heard_at, kept)

    def _current_doubts(self, now: float) -> set[str]:
        return {name for name, at in self._doubted_at.items() if now - at <= _DOUBT_S}


def _only(entries: Mapping[str, EntryT], kept: set[str]) -> dict[str, EntryT]:
    return {name: entry for name, entry in entries.items() if name in kept}
