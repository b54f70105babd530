"""Steps on what engines send when a stream is resumed there."""

from __future__ import annotations

import http.client
import re
import sys
from pathlib import Path
from types import MappingProxyType

from behave import then, when
from behave.runner import Context

sys.path.append(str(Path(__file__).resolve().parent.parent))
from entry_fleet import KEY, MODEL  # noqa: E402

from pimentohoist_standins.opaque_engine_handler import event_bytes  # noqa: E402
from pimentohoist_standins.opaque_engine_state import BrokenStream  # noqa: E402

_EVENTS = 6
_ANSWERS = MappingProxyType(
    {
        'the head of an error': (
            b'HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n'
            b'Content-Length: 6\r\n\r\nfailed'
        ),
        'all events again': b''.join(map(event_bytes, range(1, _EVENTS + 1))),
        'a gap of two events': event_bytes(_EVENTS + 2),
        'an event without an id': b'event: error\ndata: overloaded\n\n',
        'nothing': b'',
        'its last event': event_bytes(_EVENTS),
        'a comment and that event': b': resumed\n\n' + event_bytes(_EVENTS),
    }
)


@when('a stream breaks in its sixth event and engines resume it with {answer}')
def break_stream(context: Context, answer: str) -> None:
    fleet = context.fleet
    assert fleet.send_request('/resumed/x', adapter='').status == 200
    broken = [BrokenStream(_EVENTS - 1, b'id: 6', is_reset=True)]
    for engine in fleet.engines:
        engine.faults.broken_streams = broken
        engine.faults.resumption = _ANSWERS[answer]
    connection = http.client.HTTPConnection(fleet.daemons[0].host, 8000, timeout=10)
    headers = {
        'Host': 'house.example',
        'Pimentohoist-Attempt-Id': 'resumed-1',
        'Pimentohoist-Deadline-Ms': '4000',
        'Api-Key': KEY,
        'Pimentohoist-Model': MODEL,
        'Pimentohoist-Token-Count': '10,20',
    }
    connection.request('POST', '/resumed/x', b'{}', headers)
    response = connection.getresponse()
    context.is_whole = True
    try:
        context.received = response.read()
    except http.client.IncompleteRead as error:
        context.received = error.partial
        context.is_whole = False
    connection.close()
    context.executed = [
        request for one in fleet.engines for request in one.state.executed_requests
    ]


@then('the caller has five events, each once, and no end')
def check_broken(context: Context) -> None:
    _check_events(context, _EVENTS - 1)
    assert not context.is_whole, context.received


@then('the caller has six events, each once, and the end')
def check_whole(context: Context) -> None:
    _check_events(context, _EVENTS)
    assert context.is_whole, context.received


def _check_events(context: Context, count: int) -> None:
    lines = context.received.replace(b': resumed\n\n', b'')
    assert lines == b''.join(map(event_bytes, range(1, count + 1))), lines
    resumed = [
        request
        for request in context.executed
        if re.fullmatch('[0-9]+', request.headers.get('last-event-id', ''))
    ]
    assert resumed, 'the stream was not resumed'
