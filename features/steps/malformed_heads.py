"""Steps on answers whose heads have a line that isn't a field."""

from __future__ import annotations

import http.client
import itertools
import sys
from collections.abc import Mapping
from functools import partial
from pathlib import Path
from types import MappingProxyType

from behave import given, then, when
from behave.runner import Context

sys.path.append(str(Path(__file__).resolve().parent.parent))
from entry_fleet import EntryFleet, Response  # noqa: E402

from pimentohoist._http_connection import HttpRequest, HttpResponse  # noqa: E402
from pimentohoist.configuration import (  # noqa: E402
    Configuration,
    Endpoint,
    EndpointGroup,
    GroupKind,
)
from pimentohoist_standins.demo import demo_sections  # noqa: E402
from pimentohoist_standins.odd_heads import (  # noqa: E402
    MALFORMED_LINES,
    SOUND_LINES,
    OddResponse,
    Place,
)
from pimentohoist_standins.opaque_engine_handler import event_bytes  # noqa: E402
from pimentohoist_standins.raw_server import RawServer, send_in_turn  # noqa: E402

_PATHS = MappingProxyType(
    {'payments': '/pay/x', 'streams': '/models/x', 'look-ups': '/look/x'}
)
_QUOTED_BYTES = 80


def _send_with_lines(
    context: Context, requests: str, lines: Mapping[str, bytes]
) -> None:
    """Send a request for each line, which stands at another place each time."""
    fleet: EntryFleet = context.fleet
    endpoints = (fleet.ledger, *fleet.engines)
    context.ran_before = len(_executed(fleet))
    context.answers = []
    for place, (name, line) in zip(itertools.cycle(Place), lines.items()):
        added = [(place, line.decode('latin-1'))]
        for endpoint in endpoints:
            endpoint.faults.head_lines = added
        context.answers.append((name, _send(fleet, _PATHS[requests])))
        assert not added, (name, context.answers[-1])


def _send(fleet: EntryFleet, path: str) -> Response:
    """Return the whole answer; its status is 0 if there was none."""
    try:
        return fleet.send_request(path)
    except (OSError, http.client.HTTPException):
        return Response(0, {}, b'')


def _executed(fleet: EntryFleet) -> list[str]:
    endpoints = (fleet.ledger, *fleet.engines)
    return [
        run.request_id
        for endpoint in endpoints
        for run in endpoint.state.executed_requests
    ]


def _has_line(response: Response | HttpResponse) -> bool:
    """Return whether a caller got something of a line that an endpoint added."""
    seen = f'{response.headers} {response.body!r}'.lower()
    return any(text in seen for text in ('odd', 'folded', 'engine mon', 'xxx'))


@when('each malformed line comes first, in the middle or last in answers to {requests}')
def send_malformed(context: Context, requests: str) -> None:
    _send_with_lines(context, requests, MALFORMED_LINES)


@when('each rare line comes first, in the middle or last in answers to {requests}')
def send_sound(context: Context, requests: str) -> None:
    _send_with_lines(context, requests, SOUND_LINES)


@when('the first answer to each of {count:d} look-ups has a malformed line')
def send_lookups(context: Context, count: int) -> None:
    fleet: EntryFleet = context.fleet
    texts = [line.decode('latin-1') for line in MALFORMED_LINES.values()]
    context.statuses, context.bodies = [], set()
    step = len(texts) // count
    for text in itertools.islice(texts, 0, count * step, step):
        added = [(Place.MIDDLE, text)]
        for endpoint in (fleet.ledger, context.second):
            endpoint.faults.head_lines = added
        response = _send(fleet, _PATHS['look-ups'])
        context.statuses.append(response.status)
        context.bodies.add(response.body)
        assert not added, text


@when(
    '{count:d} streams are cut after {events:d} events and resumed by an answer '
    'with a malformed line'
)
def resume_streams(context: Context, count: int, events: int) -> None:
    fleet: EntryFleet = context.fleet
    faults = fleet.engines[0].faults
    context.partial = []
    for line in list(MALFORMED_LINES.values())[:count]:
        faults.cut_after_events = events
        malformed = (Place.MIDDLE, line.decode('latin-1'))
        faults.head_lines = [(Place.MIDDLE, ''), malformed, malformed]
        try:
            body = fleet.send_request('/resumed/x').body
        except http.client.IncompleteRead as error:
            context.partial.append(error.partial)
        else:
            context.partial.append(b'whole: ' + body)


@then(
    'each caller is told with status {status:d} that the request may have run, '
    'and not the line'
)
def check_told(context: Context, status: int) -> None:
    wrong = [
        (name, answer)
        for name, answer in context.answers
        if answer.status != status
        or b'may have run' not in answer.body
        or _has_line(answer)
    ]
    assert not wrong, f'{len(wrong)} of {len(context.answers)}: {wrong[:3]}'


@then('each of them ran once')
def check_ran_once(context: Context) -> None:
    ran = _executed(context.fleet)[context.ran_before :]
    assert len(ran) == len(set(ran)) == len(context.answers), len(ran)


@then('the log names each refused line, escaped')
def check_log(context: Context) -> None:
    lines = context.fleet.daemons[0].lines()
    logged = [line['line'] for line in lines if 'line' in line]
    assert all(text.isascii() and text.isprintable() for text in logged), logged
    missing = [
        name
        for name, line in MALFORMED_LINES.items()
        if repr((line + b'\r\n')[:_QUOTED_BYTES]) not in logged
    ]
    assert not missing, (missing, logged[:3])


@then('each caller has the first {count:d} events, and its connection is cut')
def check_partial(context: Context, count: int) -> None:
    expected = b''.join(map(event_bytes, range(1, count + 1)))
    assert set(context.partial) == {expected}, set(context.partial)


@then('each caller gets the answer with the field as it was sent')
def check_sound(context: Context) -> None:
    for name, answer in context.answers:
        field, _, sent = SOUND_LINES[name].decode('latin-1').partition(':')
        fields = {key.lower(): text for key, text in answer.headers.items()}
        assert answer.status == 200, (name, answer)
        assert answer.body.startswith(b'answer to '), (name, answer)
        got = fields.get(field.lower(), 'none').strip(' \t')
        assert got == sent.strip(' \t'), (name, fields)


@given('the ledgers answer each call with another malformed line')
def publish_raw_ledger(context: Context) -> None:
    lines = MALFORMED_LINES.values()
    answers = [OddResponse(line=line).data() for line in lines]
    server = context.stack.enter_context(RawServer(partial(send_in_turn, answers)))
    endpoints = (Endpoint('raw', server.address, 'a'),)
    group = EndpointGroup('ledger', GroupKind.SERVICE, endpoints)
    others = [item for item in demo_sections(context.fleet) if item.name != 'ledger']
    configuration = Configuration.of(*others, context.section, group)
    report = context.fleet.publish(configuration)
    assert report.is_in_force, report.text()


@when('an action is sent for each line')
def send_actions(context: Context) -> None:
    context.answers = []
    for name in MALFORMED_LINES:
        headers = {'Authorization': f'Bearer {context.key}', 'Idempotency-Key': name}
        request = HttpRequest(
            'POST', '/services/release/lots', b'{}', headers, is_repeatable=False
        )
        context.answers.append((name, context.fleet.request('entry-1', request)))


@then('each action\'s caller gets {status:d} with "{run}", and not the line')
def check_actions(context: Context, status: int, run: str) -> None:
    for name, answer in context.answers:
        told = (answer.status, answer.document()['error']['run'])
        assert told == (status, run), (name, answer)
        assert not _has_line(answer), (name, answer)
