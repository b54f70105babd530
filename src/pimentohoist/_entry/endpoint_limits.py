"""Which endpoints have named a limit on the requests of all daemons together."""

from __future__ import annotations

import logging
import threading
from dataclasses import dataclass

from pimentohoist import _clock
from pimentohoist.entry_models import Endpoint, EndpointNotice

_MAX_AGE_S = 600.0
"""Long after an incarnation that nothing is heard of has ended."""

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


class EndpointLimits:
    """The limits that incarnations of endpoints have named."""

    def __init__(self) -> None:
        self._statements: dict[str, LimitStatement] = {}
        self._lock = threading.Lock()

    def record_response(
        self, endpoint: Endpoint, notice: EndpointNotice, sent_at: float
    ) -> None:
        """Record what the response to a request says; one without a limit ends it."""
        if notice.is_limit_readable:
            statement = LimitStatement(notice.limit_per_s, sent_at)
            self.record(endpoint.incarnation, statement, 'response')

    def record(
        self, incarnation: str, statement: LimitStatement, source: str
    ) -> LimitStatement | None:
        """Record a statement unless a later one is known.

        Returns
        -------
        LimitStatement or None
            The statement that it replaces.
        """
        with self._lock:
            known = self._statements.get(incarnation)
            if known is None and statement.per_s is None:
                return None
            if known is not None and known.sent_at >= statement.sent_at:
                return known
            if known is None:
                self._drop_old()
            self._statements[incarnation] = statement
        if known is None or known.per_s != statement.per_s:
            _log(incarnation, statement, source)
        return known

    def limit_per_s(self, incarnation: str) -> float | None:
        """Return the requests a second that an incarnation takes; None without a limit."""
        statement = self._statements.get(incarnation)
        return None if statement is None else statement.per_s

    def _drop_old(self) -> None:
        since = _clock.now() - _MAX_AGE_S
        self._statements = {
            incarnation: statement
            for incarnation, statement in self._statements.items()
            if statement.sent_at >= since
        }


def _log(incarnation: str, statement: LimitStatement, source: str) -> None:
    endpoint_id, _, _ = incarnation.rpartition('#')
    extra = {
        'step': 'endpoints',
        'endpoint': endpoint_id,
        'limit_per_s': statement.per_s,
        'age_s': round(_clock.now() - statement.sent_at, 3),
        'source': source,
    }
    _logger.info('endpoint limit changed: %s', incarnation, extra=extra)
