"""What the logs of several instances say of one request."""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from datetime import datetime, timedelta
from http import HTTPStatus
from typing import Any

_TIME_FORMAT = '%Y-%m-%d %H:%M:%S,%f'
_BEFORE = timedelta(seconds=3)
"""What decided a request began so long before it at most: a home's lease is 2.5 s."""

_ENDED = 'request ended'
_UNSHOWN = frozenset(('asctime', 'levelname', 'name', 'message', 'instance', 'id'))
_BELIEFS = (
    'started',
    'settings reloaded',
    'stopping',
    'configuration in force',
    'store lost',
    'store answers again',
    'partitions held',
    'group not joined',
)
"""Beginnings of messages that change what an instance goes by, whatever the request."""

_EMPTY = frozenset(('', 'None', '[]'))
_LOADS = ('load', 'unload', 'poll')


@dataclass(frozen=True, slots=True)
class LogLine:
    """A line of a daemon's log.

    Attributes
    ----------
    at : datetime
        By the clock of its instance.
    fields : mapping
        All that the line holds.
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

    def details(self) -> str:
        """Return its fields, without those that stand elsewhere."""
        shown = (
            f'{name}={value}'
            for name, value in self.fields.items()
            if name not in _UNSHOWN and str(value) not in _EMPTY
        )
        return ' '.join(shown)


@dataclass(frozen=True, slots=True)
class Explanation:
    """A request as the logs tell it.

    Attributes
    ----------
    end : LogLine or None
        Where it ended; None if no line tells.
    known : sequence of LogLine
        For each kind of belief the newest of that instance before the request came.
    events : sequence of LogLine
        The request's own lines, and what happened to its endpoints and its instance
        meanwhile; by time, and for one instance as written.
    """

    request_id: str
    end: LogLine | None
    known: Sequence[LogLine]
    events: Sequence[LogLine]


def read_line(text: str) -> LogLine | None:
    """Return a line of a log; None if it is cut or no daemon's.

    What a collector has put before the JSON object is passed over.
    """
    _, brace, rest = text.partition('{')
    try:
        fields = json.loads(brace + rest)
        at = datetime.strptime(fields['asctime'], _TIME_FORMAT)
        return LogLine(at, str(fields['instance']), str(fields['message']), fields)
    except (ValueError, TypeError, KeyError):
        return None


def explain(request_id: str, lines: Iterable[LogLine]) -> Explanation | None:
    """Return what the lines say of a request; None if none names it."""
    ordered = sorted(lines, key=lambda line: line.at)
    own = [line for line in ordered if line.request_id == request_id]
    if not own:
        return None
    case = _Case(own)
    known = {line.message: line for line in ordered if case.was_known(line)}
    events = tuple(line for line in ordered if case.is_event(line))
    return Explanation(request_id, case.end, tuple(known.values()), events)


def verdict(end: LogLine) -> str:
    """Return what the end of a request means to its caller."""
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


class _Case:
    """A request's own lines, and which others belong to them.

    Attributes
    ----------
    end : LogLine or None
        Where the request ended.
    last : LogLine
        The end, or the last line there is.
    """

    def __init__(self, own: Sequence[LogLine]) -> None:
        self.end = next((line for line in own if line.message == _ENDED), None)
        self.last = self.end or own[-1]
        took_ms = float(self.last.fields.get('took_ms') or 0)
        self.came_at = self.last.at - timedelta(milliseconds=took_ms)
        self._endpoints = frozenset().union(*(line.endpoints for line in own))
        self._adapters = {line.fields.get('adapter') for line in own}

    def was_known(self, line: LogLine) -> bool:
        """Return whether the instance that ended the request went by this line."""
        return self._is_belief(line) and line.at <= self.came_at

    def is_event(self, line: LogLine) -> bool:
        """Return whether a line tells of the request or of what befell it."""
        if line.request_id:
            return line.request_id == self.last.request_id
        is_before = line.at <= self.last.at
        return is_before and (self._is_new_belief(line) or self._is_at_endpoint(line))

    def _is_belief(self, line: LogLine) -> bool:
        is_here = line.instance == self.last.instance
        return is_here and line.message.startswith(_BELIEFS)

    def _is_new_belief(self, line: LogLine) -> bool:
        return self._is_belief(line) and line.at > self.came_at

    def _is_at_endpoint(self, line: LogLine) -> bool:
        is_near = line.at >= self.came_at - _BEFORE
        if not is_near or self._endpoints.isdisjoint(line.endpoints):
            return False
        is_load = line.message.startswith(_LOADS)
        return not is_load or line.fields.get('adapter') in self._adapters
