"""Explanation of one request from the logs of several instances."""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from datetime import datetime, timedelta
from http import HTTPStatus
from typing import Any

_TIME_FORMAT = '%Y-%m-%d %H:%M:%S,%f'
_LOOKBACK = timedelta(seconds=3)
"""Events this long before a request may explain it, as an owner's lease is 2.5 s."""

_END_MESSAGE = 'request ended'
_CUT_MESSAGE = 'request cut off by the stop'
_LATE_MESSAGE = 'request arrived during the stop'
_END_MESSAGES = (_END_MESSAGE, _CUT_MESSAGE, _LATE_MESSAGE)
"""Messages on a request's end, the most informative first."""

_HIDDEN_FIELDS = frozenset(
    ('asctime', 'levelname', 'name', 'message', 'instance', 'id')
)
_STATE_MESSAGES = (
    'started',
    'settings reloaded',
    'stopping',
    'all requests are refused',
    'part of the stop ended',
    'stopped',
    'configuration in force',
    'store lost',
    'store answers again',
    'store era changed',
    'partitions held',
    'group not joined',
)
"""Beginnings of messages on state that an instance uses for all requests."""

_NOTICE_MESSAGES = ('endpoint is leaving', 'endpoint wants no requests')
"""Beginnings of messages on what endpoints ask of a daemon."""

_EMPTY_VALUES = frozenset(('', 'None', '[]'))
_LOAD_MESSAGES = ('load', 'unload', 'poll', 'adapter of a leaving engine')


@dataclass(frozen=True, slots=True)
class LogLine:
    """A line of a daemon's log.

    Attributes
    ----------
    at : datetime
        By the clock of the instance.
    fields : mapping
        All fields of the line.
    """

    at: datetime
    instance: str
    message: str
    fields: Mapping[str, Any]

    @property
    def request_id(self) -> str:
        """Return the id of its request; `pimentohoistd` names the field otherwise."""
        return str(self.fields.get('id') or self.fields.get('request_id') or '')

    @property
    def endpoints(self) -> frozenset[str]:
        """Return the endpoints that it names."""
        listed = self.fields.get('endpoints') or self.fields.get('tried') or ()
        named = self.fields.get('endpoint')
        return frozenset((*listed, named) if named else listed)

    @property
    def in_force_until(self) -> datetime:
        """Return the time until which what it says may explain a request."""
        quiet = timedelta(seconds=float(self.fields.get('quiet_s') or 0))
        return self.at + max(_LOOKBACK, quiet)

    @property
    def duration(self) -> timedelta:
        """Return the time that its request had taken."""
        took_ms = self.fields.get('took_ms') or self.fields.get('age_ms') or 0
        return timedelta(milliseconds=float(took_ms))

    def details(self) -> str:
        """Return its non-empty fields as text, without those shown elsewhere."""
        shown = (
            f'{name}={value}'
            for name, value in self.fields.items()
            if name not in _HIDDEN_FIELDS and str(value) not in _EMPTY_VALUES
        )
        return ' '.join(shown)


@dataclass(frozen=True, slots=True)
class Explanation:
    """A request as the logs describe it.

    Attributes
    ----------
    end : LogLine or None
        The line on its end; None if the logs have none.
    known : sequence of LogLine
        The newest line of each state message, and of each part of a stop, that its
        instance logged before the request arrived.
    events : sequence of LogLine
        The request's own lines, and events of its endpoints and its instance meanwhile;
        by time, and for one instance in the order of the log.
    """

    request_id: str
    end: LogLine | None
    known: Sequence[LogLine]
    events: Sequence[LogLine]


def read_line(text: str) -> LogLine | None:
    """Return a parsed line of a log; None if it is cut off or not from a daemon.

    Text that a log collector put before the JSON object is skipped.
    """
    _, brace, rest = text.partition('{')
    try:
        fields = json.loads(brace + rest)
        at = datetime.strptime(fields['asctime'], _TIME_FORMAT)
        return LogLine(at, str(fields['instance']), str(fields['message']), fields)
    except (ValueError, TypeError, KeyError):
        return None


def explain(request_id: str, lines: Iterable[LogLine]) -> Explanation | None:
    """Return the explanation of a request; None if no line names it."""
    ordered = sorted(lines, key=lambda line: line.at)
    own = [line for line in ordered if line.request_id == request_id]
    if not own:
        return None
    own_lines = _RequestLines(own)
    known = {
        (line.message, line.fields.get('part')): line
        for line in ordered
        if own_lines.is_prior_state(line)
    }
    events = tuple(line for line in ordered if own_lines.is_event(line))
    return Explanation(request_id, own_lines.end, tuple(known.values()), events)


def verdict(end: LogLine) -> str:
    """Return the outcome of a request for its caller."""
    if end.message == _END_MESSAGE:
        return _answer_verdict(end)
    if end.message == _LATE_MESSAGE:
        return 'refused by the stop of its daemon; it has not run'
    cut = 'cut off by the stop of its daemon'
    if end.endpoints:
        return f'{cut}; whether it has run is not known'
    return f'{cut}; it was not sent to an endpoint'


def _answer_verdict(end: LogLine) -> str:
    status = int(end.fields.get('status', 0))
    runs = int(end.fields.get('runs', 0))
    outcome = end.fields.get('outcome')
    if status == HTTPStatus.TOO_MANY_REQUESTS:
        return 'refused by a limit; it has not run'
    if status < HTTPStatus.BAD_REQUEST:
        return 'answered' if outcome == 'answered' else 'the answer broke off'
    if not runs:
        return 'not sent to an endpoint; it has not run'
    if outcome == 'answered':
        return 'the endpoint answered so'
    return 'sent to an endpoint; whether it has run is not known'


class _RequestLines:
    """A request's own log lines, and the choice of the lines related to them.

    Attributes
    ----------
    end : LogLine or None
        The line on the end of the request.
    last : LogLine
        The end, or else the last own line.
    """

    def __init__(self, own: Sequence[LogLine]) -> None:
        ends = filter(_is_end, own)
        self.end = min(
            ends, key=lambda line: _END_MESSAGES.index(line.message), default=None
        )
        self.last = self.end or own[-1]
        self.arrived_at = self.last.at - self.last.duration
        self._endpoints = frozenset().union(*(line.endpoints for line in own))
        self._adapters = {line.fields.get('adapter') for line in own}

    def is_prior_state(self, line: LogLine) -> bool:
        """Return whether a line is on its instance's state before the request."""
        return self._is_instance_state(line) and line.at <= self.arrived_at

    def is_event(self, line: LogLine) -> bool:
        """Return whether a line is on the request or on an event that affected it."""
        if line.request_id:
            return line.request_id == self.last.request_id
        is_before_end = line.at <= self.last.at
        return is_before_end and (
            self._is_later_state(line)
            or self._is_at_endpoint(line)
            or self._is_notice(line)
        )

    def _is_instance_state(self, line: LogLine) -> bool:
        is_same_instance = line.instance == self.last.instance
        return is_same_instance and line.message.startswith(_STATE_MESSAGES)

    def _is_later_state(self, line: LogLine) -> bool:
        return self._is_instance_state(line) and line.at > self.arrived_at

    def _is_at_endpoint(self, line: LogLine) -> bool:
        is_in_force = line.in_force_until >= self.arrived_at
        if not is_in_force or self._endpoints.isdisjoint(line.endpoints):
            return False
        is_load = line.message.startswith(_LOAD_MESSAGES)
        return not is_load or line.fields.get('adapter') in self._adapters

    def _is_notice(self, line: LogLine) -> bool:
        """Return whether its daemon heard then what an endpoint asks."""
        is_same_instance = line.instance == self.last.instance
        is_in_force = line.in_force_until >= self.arrived_at
        is_notice = line.message.startswith(_NOTICE_MESSAGES)
        return is_same_instance and is_in_force and is_notice


def _is_end(line: LogLine) -> bool:
    if line.message == _LATE_MESSAGE:
        return line.fields.get('outcome') == 'refused'
    return line.message in _END_MESSAGES
