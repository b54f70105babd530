"""Which endpoints have named a limit on the requests of all daemons together.

Statements are shared by heartbeats, at once when a limit begins or ends, so that it binds
daemons that get no response of the endpoint, and those that start later.
"""

from __future__ import annotations

import logging
import threading
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from pimentohoist import _clock
from pimentohoist._entry.heartbeat import Heartbeat
from pimentohoist._entry.members import MembersController
from pimentohoist.entry_models import Endpoint, EndpointNotice

_MAX_AGE_S = 600.0
"""Long after an incarnation that nothing is heard of has ended."""

_ANNOUNCED_S = 5.0
"""Several heartbeats; older statements may have been replaced by ones that were missed."""

_MAX_ANNOUNCED = 100
_TRANSIT_S = 0.25
"""The age of a reported statement doesn't include its time in transit, so a limit ends only
by a report that seems newer by this."""

_MAX_UNANNOUNCED_SHARE = 0.8
"""A limit that falls below this share of the known one is sent to all at once."""

_logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class LimitStatement:
    """What an endpoint's response says about its limit.

    Attributes
    ----------
    per_s : float or None
        Requests a second; None if the endpoint names no limit.
    sent_at : float
        Time of `_clock.now` in seconds at which the request was sent. Responses may
        overtake each other; the one to the latest request holds.
    """

    per_s: float | None
    sent_at: float


@dataclass(frozen=True, slots=True)
class StatementKind:
    """What statements are about, and where they are found.

    Attributes
    ----------
    name : str
        Name in log records.
    of_notice : callable
        Returns the statement of a response, and whether it could be read.
    of_heartbeat : callable
        Returns the statements that a daemon reports.
    """

    name: str
    of_notice: Callable[[EndpointNotice], tuple[float | None, bool]]
    of_heartbeat: Callable[[Heartbeat], list[list[Any]]]


LIMITS = StatementKind(
    'limit',
    lambda notice: (notice.limit_per_s, notice.is_limit_readable),
    lambda heartbeat: heartbeat.endpoint_limits,
)
BRITTLE = StatementKind(
    'brittleness',
    lambda notice: (notice.brittle_per_s, notice.is_brittle_readable),
    lambda heartbeat: heartbeat.brittle_endpoints,
)


class EndpointLimits:
    """The limits that incarnations of endpoints have named.

    Attributes
    ----------
    on_end : list of callable
        Called with an incarnation whose limit has ended, or that is long gone.
    """

    def __init__(
        self, members: MembersController, kind: StatementKind = LIMITS
    ) -> None:
        self.members = members
        self.kind = kind
        self.on_end: list[Callable[[str], None]] = []
        self._statements: dict[str, LimitStatement] = {}
        self._lock = threading.Lock()
        members.on_heartbeat.append(self._record_heartbeat)

    def record_response(
        self, endpoint: Endpoint, notice: EndpointNotice, sent_at: float
    ) -> None:
        """Record what the response to a request says; one without a limit ends it."""
        per_s, is_readable = self.kind.of_notice(notice)
        if is_readable:
            statement = LimitStatement(per_s, sent_at)
            if self.record(endpoint.incarnation, statement, 'response'):
                self.members.send_soon()

    def record(self, incarnation: str, statement: LimitStatement, source: str) -> bool:
        """Record a statement; return whether it changes what daemons may send."""
        with self._lock:
            known = self._statements.get(incarnation)
            if known is None and statement.per_s is None:
                return False
            if known is not None and statement.sent_at <= known.sent_at:
                return False
            if known is None:
                self._drop_old()
            self._statements[incarnation] = statement
        before = None if known is None else known.per_s
        if before == statement.per_s:
            return False
        _log(self.kind.name, incarnation, statement, source)
        if statement.per_s is None:
            self._end(incarnation)
            return True
        return before is None or statement.per_s < before * _MAX_UNANNOUNCED_SHARE

    def statement(self, incarnation: str) -> LimitStatement | None:
        """Return the newest statement of an incarnation; None if it never named a limit."""
        return self._statements.get(incarnation)

    def limit_per_s(self, incarnation: str) -> float | None:
        """Return the requests a second that an incarnation takes; None without a limit."""
        statement = self._statements.get(incarnation)
        return None if statement is None else statement.per_s

    def limited_count(self) -> int:
        """Return how many incarnations are known to have a limit."""
        statements = tuple(self._statements.values())
        return sum(statement.per_s is not None for statement in statements)

    def announced(self) -> list[list[Any]]:
        """Return the statements of the last seconds for this daemon's heartbeats."""
        now = _clock.now()
        recent = [
            [incarnation, statement.per_s, round(now - statement.sent_at, 3)]
            for incarnation, statement in tuple(self._statements.items())
            if now - statement.sent_at < _ANNOUNCED_S
        ]
        return recent[-_MAX_ANNOUNCED:]

    def _record_heartbeat(
        self, heartbeat: Heartbeat, previous: Heartbeat | None
    ) -> None:
        now = _clock.now()
        for incarnation, per_s, age_s in self.kind.of_heartbeat(heartbeat):
            sent_at = now - age_s
            if per_s is None:
                sent_at -= _TRANSIT_S
            self.record(incarnation, LimitStatement(per_s, sent_at), heartbeat.member)

    def _drop_old(self) -> None:
        since = _clock.now() - _MAX_AGE_S
        old = [
            incarnation
            for incarnation, statement in self._statements.items()
            if statement.sent_at < since
        ]
        for incarnation in old:
            self._statements.pop(incarnation)
            self._end(incarnation)

    def _end(self, incarnation: str) -> None:
        for listener in self.on_end:
            listener(incarnation)


def _log(kind: str, incarnation: str, statement: LimitStatement, source: str) -> None:
    endpoint_id, _, _ = incarnation.rpartition('#')
    extra = {
        'step': 'endpoints',
        'endpoint': endpoint_id,
        f'{kind}_per_s': statement.per_s,
        'age_s': round(_clock.now() - statement.sent_at, 3),
        'source': source,
    }
    _logger.info('endpoint %s changed: %s', kind, incarnation, extra=extra)
