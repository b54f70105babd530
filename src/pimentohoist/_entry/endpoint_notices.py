"""What endpoints ask of this daemon, and which of them are gone.

An endpoint that says that it leaves stays away. One whose record was removed from the store
may merely have lost the store: it counts as leaving until its record is read again.
"""

from __future__ import annotations

import logging
import random
import threading
from collections import Counter
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from typing import Any, NamedTuple, TypeVar

from pimentohoist import _clock
from pimentohoist._entry.heartbeat import Heartbeat
from pimentohoist.entry_models import Endpoint, EndpointNotice

_LEAVING_ANNOUNCED_S = 4.0
_CHANGES_ANNOUNCED_S = 6.0
"""Longer than leaves: a removal that is announced as a leave must be known as a removal."""

_MAX_AGE_S = 600.0
"""Long after an endpoint that leaves has ended."""

_MAX_RETURN_SPREAD_S = 0.25
"""Daemons that were asked at the same time don't return in the same instant."""

_logger = logging.getLogger(__name__)


class StoreMark(NamedTuple):
    """How far the store was read; marks of a later era are greater."""

    era: int
    offset: int


NOTHING_READ = StoreMark(-1, 0)


@dataclass(frozen=True, slots=True)
class _Leave:
    """That an incarnation leaves.

    Attributes
    ----------
    is_announced : bool
        Whether the endpoint itself said so; a daemon of the former release doesn't tell.
    """

    source: str
    at: float
    is_announced: bool = True


@dataclass(frozen=True, slots=True)
class _Presence:
    """Whether the record of an incarnation was in the store when it was read to a mark."""

    is_present: bool
    mark: StoreMark
    at: float


_Known = TypeVar('_Known', _Leave, _Presence)


class EndpointNotices:
    """Which incarnations of endpoints leave, and which want no requests for a time.

    Attributes
    ----------
    counts : Counter of str
        Leaves, removals and returns of endpoints since the start.
    """

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self._leaves: dict[str, _Leave] = {}
        self._presences: dict[str, _Presence] = {}
        self._quiet_until: dict[str, float] = {}
        self._lock = threading.Lock()

    def record(self, endpoint: Endpoint, notice: EndpointNotice) -> None:
        """Record what a response of an endpoint says."""
        if notice.is_leaving:
            self.record_leaving(endpoint.incarnation, 'response')
        if notice.quiet_s is not None:
            self._record_quiet(endpoint, notice.quiet_s)

    def record_leaving(
        self, incarnation: str, source: str, *, is_announced: bool = True
    ) -> None:
        """Record that an incarnation leaves; the first source counts.

        Parameters
        ----------
        is_announced : bool
            Whether the endpoint is known to have said so itself.
        """
        now = _clock.now()
        with self._lock:
            known = self._leaves.get(incarnation)
            if known is not None and known.is_announced >= is_announced:
                return
            if not is_announced and incarnation in self._presences:
                # The store has told this daemon of the removal that the other one means.
                return
            self._leaves = _recent(self._leaves, now)
            self._leaves[incarnation] = _Leave(source, now, is_announced)
        self._log('leaving', 'endpoint is leaving', incarnation, source)

    def record_removed(self, incarnation: str, mark: StoreMark, source: str) -> None:
        """Record that the record of an incarnation was missing at a mark."""
        if self._record_presence(incarnation, mark, is_present=False):
            self._log('removed', 'endpoint record is gone', incarnation, source)

    def record_returned(self, incarnation: str, mark: StoreMark, source: str) -> None:
        """Record that the record of an incarnation was back and ready at a mark.

        What daemons of the former release said of the incarnation was its removal.
        """
        if not self._record_presence(incarnation, mark, is_present=True):
            return
        with self._lock:
            leave = self._leaves.get(incarnation)
            if leave is not None and not leave.is_announced:
                self._leaves.pop(incarnation)
        self._log('returned', 'endpoint record is back', incarnation, source)

    def record_heartbeat(
        self, heartbeat: Heartbeat, listed_mark: Callable[[str], StoreMark | None]
    ) -> None:
        """Record which endpoints leave, are gone or are back as another daemon knows it.

        Parameters
        ----------
        listed_mark : callable
            Returns up to where this daemon has read the store if it had the record of an
            incarnation there. Removals that another daemon read before that are past.
        """
        changes = heartbeat.endpoint_changes
        for change in changes or ():
            self._record_change(change, heartbeat.member, listed_mark)
        changed = {row[0] for row in changes or ()}
        for incarnation in heartbeat.draining_endpoints:
            # Removed endpoints are named here, too, for the former release.
            if incarnation not in changed:
                is_announced = changes is not None
                self.record_leaving(
                    incarnation, heartbeat.member, is_announced=is_announced
                )

    def is_leaving(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint gets no new work since it leaves or is gone."""
        incarnation = endpoint.incarnation
        if endpoint.is_draining or incarnation in self._leaves:
            return True
        return self.is_removed(incarnation)

    def is_removed(self, incarnation: str) -> bool:
        """Return whether the record of an incarnation was missing and isn't back."""
        presence = self._presences.get(incarnation)
        return presence is not None and not presence.is_present

    def quiet_s(self, endpoint: Endpoint) -> float:
        """Return the seconds for which an endpoint wants no requests; 0 if it does."""
        until = self._quiet_until.get(endpoint.incarnation)
        return 0 if until is None else max(0, until - _clock.now())

    def announced(self) -> list[str]:
        """Return the incarnations of which it became known lately that they leave.

        Daemons of the former release learn of removals by this list only.
        """
        since = _clock.now() - _LEAVING_ANNOUNCED_S
        with self._lock:
            leaves = [
                incarnation
                for incarnation, leave in self._leaves.items()
                if leave.at >= since and leave.is_announced
            ]
            removed = [
                incarnation
                for incarnation, presence in self._presences.items()
                if presence.at >= since and not presence.is_present
            ]
        return leaves + [gone for gone in removed if gone not in leaves]

    def announced_changes(self) -> list[list[Any]]:
        """Return the removals and returns that became known lately, for heartbeats."""
        since = _clock.now() - _CHANGES_ANNOUNCED_S
        with self._lock:
            return [
                [incarnation, presence.is_present, *presence.mark]
                for incarnation, presence in self._presences.items()
                if presence.at >= since and not self._is_announced(incarnation)
            ]

    def metrics(self) -> Iterator[str]:
        """Yield the counts as lines of text."""
        for kind, count in sorted(self.counts.items()):
            yield f'pimentohoist_endpoint_notices_total{{kind="{kind}"}} {count}'

    def _record_change(
        self,
        change: list[Any],
        member: str,
        listed_mark: Callable[[str], StoreMark | None],
    ) -> None:
        incarnation, is_present, *position = change
        mark = StoreMark(*position)
        if is_present:
            self.record_returned(incarnation, mark, member)
        elif (listed_mark(incarnation) or NOTHING_READ) < mark:
            self.record_removed(incarnation, mark, member)

    def _is_announced(self, incarnation: str) -> bool:
        leave = self._leaves.get(incarnation)
        return leave is not None and leave.is_announced

    def _record_presence(
        self, incarnation: str, mark: StoreMark, *, is_present: bool
    ) -> bool:
        """Record what was read up to a mark; return whether it is news."""
        now = _clock.now()
        with self._lock:
            known = self._presences.get(incarnation)
            if known is not None and known.mark >= mark:
                return False
            if known is not None and known.is_present is is_present:
                return False
            self._presences = _recent(self._presences, now)
            self._presences[incarnation] = _Presence(is_present, mark, now)
        return True

    def _log(self, kind: str, text: str, incarnation: str, source: str) -> None:
        self.counts[kind] += 1
        endpoint_id, _, _ = incarnation.rpartition('#')
        extra = {'step': 'endpoints', 'endpoint': endpoint_id, 'source': source}
        _logger.info('%s: %s', text, incarnation, extra=extra)

    def _record_quiet(self, endpoint: Endpoint, quiet_s: float) -> None:
        now = _clock.now()
        until = now + quiet_s + random.uniform(0, _MAX_RETURN_SPREAD_S)
        with self._lock:
            self._quiet_until = {
                incarnation: at
                for incarnation, at in self._quiet_until.items()
                if at > now
            }
            is_known = endpoint.incarnation in self._quiet_until
            known_until = self._quiet_until.get(endpoint.incarnation, until)
            self._quiet_until[endpoint.incarnation] = max(until, known_until)
        if not is_known:
            extra = {
                'step': 'endpoints',
                'endpoint': endpoint.endpoint_id,
                'quiet_s': quiet_s,
            }
            _logger.info('endpoint wants no requests', extra=extra)


def _recent(known: Mapping[str, _Known], now: float) -> dict[str, _Known]:
    """Return what became known within the age up to which it matters."""
    return {
        incarnation: entry
        for incarnation, entry in known.items()
        if now - entry.at < _MAX_AGE_S
    }
