"""Which endpoints are cold, so that they take few requests of all daemons together.

Endpoints say so in their records and responses; heartbeats pass it on to daemons that
the store turns away.
"""

from __future__ import annotations

import logging
import threading
from collections.abc import Callable, Iterable
from typing import Any

from pimentohoist import _clock
from pimentohoist._decisions.cold_endpoints import (
    MAX_RECORD_AGE_S,
    ColdStatement,
    presumed_statement,
    statement_of_record,
)
from pimentohoist._entry.heartbeat import Heartbeat
from pimentohoist._entry.members import MembersController
from pimentohoist.entry_models import Endpoint, EndpointNotice

_MAX_ANNOUNCED = 200
_ANNOUNCED_S = 2 * MAX_RECORD_AGE_S
_FIRST_HAND = frozenset(('store', 'response', 'evacuation'))
_MAX_AGE_S = 600.0
"""Long after an incarnation that nothing is heard of has ended."""

_logger = logging.getLogger(__name__)


class ColdEndpoints:
    """The newest statement on each incarnation that was cold.

    Attributes
    ----------
    per_s_of : callable
        Returns the requests a second that a cold endpoint of a group takes; 0 without
        a limit.
    on_end : list of callable
        Called with an incarnation that is long gone.
    """

    def __init__(self, members: MembersController) -> None:
        self.members = members
        self.per_s_of: Callable[[str], float] = _no_limit
        self.on_end: list[Callable[[str], None]] = []
        self._statements: dict[str, ColdStatement] = {}
        # Those heard of daemons aren't passed on: each time would add its transit.
        self._first_hand: set[str] = set()
        self._lock = threading.Lock()
        members.on_heartbeat.append(self._record_heartbeat)

    def per_s(self, incarnation: str) -> float | None:
        """Return the requests a second that it takes while it is cold; None if it isn't."""
        statement = self._statements.get(incarnation)
        if statement is None or statement.until <= _clock.now():
            return None
        return statement.per_s

    def cold_s(self, incarnation: str) -> float:
        """Return the seconds for which an incarnation stays cold; 0 if it is warm."""
        statement = self._statements.get(incarnation)
        return 0 if statement is None else max(0, statement.until - _clock.now())

    def cold_count(self) -> int:
        """Return how many incarnations are cold."""
        now = _clock.now()
        return sum(entry.until > now for entry in tuple(self._statements.values()))

    def announced(self) -> list[list[Any]]:
        """Return what this daemon's heartbeats say: what is cold, or was said to be warm."""
        now = _clock.now()
        current = [
            [
                incarnation,
                round(max(0, statement.until - now), 3),
                round(now - statement.said_at, 3),
                statement.per_s,
            ]
            for incarnation, statement in tuple(self._statements.items())
            if incarnation in self._first_hand
            and (statement.until > now or now - statement.said_at < _ANNOUNCED_S)
        ]
        return current[-_MAX_ANNOUNCED:]

    def record_endpoint(self, endpoint: Endpoint) -> None:
        """Record what an endpoint's record says."""
        per_s = self.per_s_of(endpoint.group)
        if per_s:
            statement = statement_of_record(endpoint.cold_s, per_s, _clock.now())
            self.record(endpoint.incarnation, statement, 'store')

    def record_response(self, endpoint: Endpoint, notice: EndpointNotice) -> None:
        """Record what a response says; most say nothing."""
        per_s = self.per_s_of(endpoint.group)
        if per_s and notice.cold_s is not None:
            now = _clock.now()
            statement = ColdStatement(now + notice.cold_s, now, per_s)
            if self.record(endpoint.incarnation, statement, 'response'):
                self.members.send_soon()

    def presume(self, endpoints: Iterable[Endpoint]) -> None:
        """Record that endpoints may be cold until their next records are read."""
        for endpoint in endpoints:
            per_s = self.per_s_of(endpoint.group)
            if per_s and not self.cold_s(endpoint.incarnation):
                statement = presumed_statement(per_s, _clock.now())
                self.record(endpoint.incarnation, statement, 'evacuation')

    def record(self, incarnation: str, statement: ColdStatement, source: str) -> bool:
        """Record a statement; return whether it says that a warm endpoint is cold."""
        now = _clock.now()
        with self._lock:
            known = self._statements.get(incarnation)
            if known is None and statement.until <= now:
                return False
            if known is not None and statement.said_at <= known.said_at:
                return False
            if known is None:
                self._drop_old(now)
            self._statements[incarnation] = statement
            self._first_hand.discard(incarnation)
            self._first_hand.update({incarnation} if source in _FIRST_HAND else ())
        is_cold = statement.until > now
        was_cold = known is not None and known.until > now
        if is_cold == was_cold:
            return False
        endpoint_id, _, _ = incarnation.rpartition('#')
        extra = {
            'step': 'endpoints',
            'endpoint': endpoint_id,
            'cold_s': round(max(0, statement.until - now), 3),
            'per_s': statement.per_s,
            'source': source,
        }
        _logger.info('endpoint cold or warm: %s', incarnation, extra=extra)
        return is_cold

    def _record_heartbeat(self, heartbeat: Heartbeat, before: Heartbeat | None) -> None:
        now = _clock.now()
        for incarnation, cold_s, age_s, per_s in heartbeat.cold_endpoints:
            statement = ColdStatement(now + cold_s, now - age_s, per_s)
            if per_s > 0:
                self.record(incarnation, statement, heartbeat.member)

    def _drop_old(self, now: float) -> None:
        old = [
            incarnation
            for incarnation, statement in self._statements.items()
            if max(statement.until, statement.said_at) < now - _MAX_AGE_S
        ]
        for incarnation in old:
            self._statements.pop(incarnation)
            self._first_hand.discard(incarnation)
            for listener in self.on_end:
                listener(incarnation)


def _no_limit(group: str) -> float:
    """Return that the endpoints of a group have no limit while they are cold."""
    return 0
