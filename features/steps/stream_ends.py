"""Steps on streams that end early, whatever tells the end of their body."""

from __future__ import annotations

import contextlib
import http.client
import socket
import sys
from collections.abc import Iterable
from pathlib import Path

from behave import given, then, when
from behave.runner import Context

sys.path.append(str(Path(__file__).resolve().parent.parent))
from entry_fleet import KEY, MODEL, EntryFleet, wait_for  # noqa: E402

from pimentohoist_standins.opaque_engine_handler import WORK_MS, event_bytes  # noqa: E402
from pimentohoist_standins.opaque_engine_state import BrokenStream  # noqa: E402

_STREAM = '/models/x'
_RESUMED = '/resumed/x'
_EVENTS = tuple(event_bytes(number) for number in range(1, 7))
_WHOLE = b''.join(_EVENTS)
_CLOSED = tuple(
    BrokenStream(events, _EVENTS[events][:size])
    for events in (0, 1, 5)
    for size in (1, 4, 12, len(_EVENTS[events]) - 1)
)
_EMPTY = (BrokenStream(0),)
_CRASHED = BrokenStream(3, is_crash=True)
_RECEIVE_BYTES = 65_536
_SLOW_STREAM_MS = 2000
_RESET = (
    BrokenStream(0, is_reset=True),
    BrokenStream(0, _EVENTS[0][:4], is_reset=True),
    BrokenStream(5, is_reset=True),
    BrokenStream(5, _EVENTS[5][:4], is_reset=True),
)


@given('engines whose streams end with their connection')
def end_with_connection(context: Context) -> None:
    for engine in context.fleet.engines:
        engine.faults.framing = 'connection end'


@then('a stream that closes inside an event is incomplete or fails')
def check_closed(context: Context) -> None:
    _check_broken(context.fleet, _CLOSED)


@then('a stream that closes inside an event is resumed and whole')
def check_closed_resumed(context: Context) -> None:
    _check_resumed(context.fleet, _CLOSED)


@then('a stream on each route is whole')
def check_whole(context: Context) -> None:
    for path in (_STREAM, _RESUMED):
        assert _send(context.fleet, path, None) == (200, _WHOLE, True)


@then('a stream that is reset is incomplete, fails or is resumed')
def check_reset(context: Context) -> None:
    _check_broken(context.fleet, _RESET)
    _check_resumed(context.fleet, _RESET)


@then('a stream that breaks in its sixth event is reset for a caller with HTTP/1.0')
def check_old_caller(context: Context) -> None:
    for broken in (_CLOSED[-1], BrokenStream(5, b'id: 6', is_body_ended=False)):
        _set_broken(context.fleet, [broken])
        received, is_reset = _send_as_old_caller(context.fleet)
        assert is_reset, (broken, received)


@then('a whole stream ends with the connection of a caller with HTTP/1.0')
def check_old_whole(context: Context) -> None:
    received, is_reset = _send_as_old_caller(context.fleet)
    assert not is_reset
    assert received.endswith(_WHOLE), received
    assert b'Transfer-Encoding' not in received, received


def _send_as_old_caller(fleet: EntryFleet) -> tuple[bytes, bool]:
    """Return what a caller receives, and whether its connection is reset."""
    fleet.requests += 1
    head = (
        f'POST {_STREAM} HTTP/1.0\r\nHost: house.example\r\nContent-Length: 0\r\n'
        f'Pimentohoist-Attempt-Id: old-{fleet.requests}\r\nApi-Key: {KEY}\r\n'
        f'Pimentohoist-Model: {MODEL}\r\n\r\n'
    )
    received = b''
    with socket.create_connection((fleet.daemons[0].host, 8000), 10) as sock:
        sock.sendall(head.encode())
        try:
            while part := sock.recv(_RECEIVE_BYTES):
                received += part
        except ConnectionResetError:
            return received, True
    return received, False


@then('a stream that closes before its first event fails or is run again')
def check_no_event(context: Context) -> None:
    _check_broken(context.fleet, _EMPTY)
    _check_resumed(context.fleet, _EMPTY)


@then('a stream whose engine crashes between two events is incomplete')
def check_crash(context: Context) -> None:
    _check_broken(context.fleet, (_CRASHED,))


@then('one that may resume is whole')
def check_crash_resumed(context: Context) -> None:
    _check_resumed(context.fleet, (_CRASHED,))


@then('a stream without an event is complete')
def check_empty(context: Context) -> None:
    assert _send(context.fleet, _STREAM, _EMPTY[0]) == (200, b'', True)


@given('a plain service whose answers end with their connection')
def end_service_with_connection(context: Context) -> None:
    context.fleet.ledger.faults.framing = 'connection end'


@then('an answer that is closed is complete, and one that is reset fails')
def check_service(context: Context) -> None:
    fleet, ledger = context.fleet, context.fleet.ledger
    answer = fleet.send_request('/pay/1')
    assert answer.status == 200, answer
    assert answer.body == f'answer to request-{fleet.requests}'.encode(), answer
    for part in (b'', b'answer'):
        ledger.faults.broken_streams = [BrokenStream(0, part, is_reset=True)]
        assert fleet.send_request('/pay/1').status == 502
    executed = len(ledger.state.executed_requests)
    ledger.faults.broken_streams = [BrokenStream(0, b'answer', is_reset=True)]
    assert fleet.send_request('/look/1').status == 502
    assert len(ledger.state.executed_requests) == executed + 1


@then('an answer whose service crashes inside it fails')
def check_service_crash(context: Context) -> None:
    fleet, ledger = context.fleet, context.fleet.ledger
    ledger.faults.broken_streams = [BrokenStream(0, b'answer', is_crash=True)]
    assert fleet.send_request('/pay/1').status == 502
    assert not ledger.faults.broken_streams


@given('engines whose lines end in {line_end}')
def set_line_end(context: Context, line_end: str) -> None:
    context.line_end = {'CR': b'\r', 'CR LF': b'\r\n'}[line_end]
    for engine in context.fleet.engines:
        engine.faults.event_end = context.line_end


@then('the first event reaches its caller before the last is written')
def check_relayed(context: Context) -> None:
    connection = http.client.HTTPConnection(context.fleet.daemons[0].host, 8000)
    headers = {
        'Host': 'house.example',
        'Pimentohoist-Attempt-Id': 'slow',
        'Api-Key': KEY,
        'Pimentohoist-Model': MODEL,
        WORK_MS: str(_SLOW_STREAM_MS),
    }
    with contextlib.closing(connection):
        connection.request('POST', _STREAM, b'', headers)
        response = connection.getresponse()
        first = response.read1()
        running = [engine.state for engine in context.fleet.engines]
    expected = _EVENTS[0].replace(b'\n', context.line_end)
    assert first == expected, first
    wait_for(lambda: sum(state.disconnected_streams for state in running) == 1, 3)


@then('a stream that is reset after its fifth event is resumed and whole')
def check_resumed_lines(context: Context) -> None:
    whole = _WHOLE.replace(b'\n', context.line_end)
    broken = BrokenStream(5, is_reset=True)
    assert _send(context.fleet, _RESUMED, broken) == (200, whole, True)


@when('a stream closes inside its sixth event')
def break_sixth_event(context: Context) -> None:
    _send(context.fleet, _STREAM, _CLOSED[-1])


@then('the record of the request names the end inside an event and the framing')
def check_record(context: Context) -> None:
    wait_for(lambda: bool(_records(context.fleet)), 3)
    record = _records(context.fleet)[0]
    outcome = record['outcome']
    assert outcome.startswith('the stream ended inside an event'), record
    assert record['framing'] == 'connection end', record


def _records(fleet: EntryFleet) -> list[dict]:
    lines = fleet.daemons[0].lines()
    return [line for line in lines if line['message'] == 'request ended']


@then('a stream that ends with a comment is complete')
def check_comment(context: Context) -> None:
    for comment in (b': end\n\n', b': end', b': end\n'):
        broken = BrokenStream(5, comment)
        sent = b''.join(_EVENTS[:5]) + comment
        assert _send(context.fleet, _STREAM, broken) == (200, sent, True), comment


def _check_broken(fleet: EntryFleet, kinds: Iterable[BrokenStream]) -> None:
    for broken in kinds:
        status, body, is_complete = _send(fleet, _STREAM, broken)
        if broken.events:
            sent = b''.join(_EVENTS[: broken.events])
            assert (status, body, is_complete) == (200, sent, False), broken
        else:
            assert status == 502, (broken, status, body)


def _check_resumed(fleet: EntryFleet, kinds: Iterable[BrokenStream]) -> None:
    for broken in kinds:
        assert _send(fleet, _RESUMED, broken) == (200, _WHOLE, True), broken


def _set_broken(fleet: EntryFleet, kinds: list[BrokenStream]) -> None:
    for engine in fleet.engines:
        engine.faults.broken_streams = kinds


def _send(
    fleet: EntryFleet, path: str, broken: BrokenStream | None
) -> tuple[int, bytes, bool]:
    """Return the status, the body and whether the body was complete."""
    kinds = [] if broken is None else [broken]
    _set_broken(fleet, kinds)
    try:
        response = fleet.send_request(path)
    except http.client.IncompleteRead as error:
        return 200, error.partial, False
    assert not kinds, 'no engine broke the stream'
    return response.status, response.body, True
