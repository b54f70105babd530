"""Steps for calls to plain services."""

from __future__ import annotations

import json

from behave import given, then, when
from behave.runner import Context

from pimentohoist._http_connection import HttpRequest, HttpResponse
from pimentohoist.configuration import (
    Configuration,
    Endpoint,
    EndpointGroup,
    GroupKind,
)
from pimentohoist.keys import create_key
from pimentohoist_standins.demo import demo_sections
from pimentohoist_standins.fleet import Fleet

_LEDGER_NAMES = ('ledger', 'ledger-2')
_BODY = 'lot=7;note=é'.encode()
_CONTENT_TYPE = 'text/x-lot; charset=utf-8'


@given('a daemon with 2 ledgers as plain services')
def start_services_fleet(context: Context) -> None:
    fleet = context.stack.enter_context(Fleet())
    context.fleet = fleet
    for name in _LEDGER_NAMES:
        fleet.start_standin(name, 'service')
    fleet.start_daemon('entry-1')
    context.section, context.key = create_key('line-1', 'lipstick-house')
    addresses = map(fleet.addresses.__getitem__, _LEDGER_NAMES)
    endpoints = tuple(map(Endpoint, _LEDGER_NAMES, addresses, 'ab'))
    group = EndpointGroup('ledger', GroupKind.SERVICE, endpoints)
    sections = (*demo_sections(fleet), context.section)
    others = [entry for entry in sections if entry.name != 'ledger']
    report = fleet.publish(Configuration.of(*others, group))
    assert report.is_in_force, report.text()


def call(context: Context, method: str, path: str, body: bytes = b'') -> HttpResponse:
    headers = {
        'Authorization': f'Bearer {context.key}',
        'Content-Type': _CONTENT_TYPE,
        'Idempotency-Key': 'lot-7',
    }
    return context.fleet.request(
        'entry-1', HttpRequest(method, path, body, headers, False)
    )


def received_requests(context: Context) -> list[dict]:
    return [
        entry
        for name in _LEDGER_NAMES
        for entry in context.fleet.received_requests(name)
    ]


@when('the caller sends {method} "{path}" with a body of its own type')
def send_call(context: Context, method: str, path: str) -> None:
    context.response = call(context, method, path, _BODY)


@then("a ledger received exactly that call without the caller's key")
def check_seen(context: Context) -> None:
    calls = received_requests(context)
    assert len(calls) == 1, calls
    received = calls[0]
    fields = (received['method'], received['path'], received['body'].encode())
    assert fields == ('PUT', '/lots/7?page=2&x=%20y', _BODY), received
    assert received['headers']['Content-Type'] == _CONTENT_TYPE, received
    secret = context.key.rpartition('_')[-1]
    assert secret not in json.dumps(received)
    assert 'Authorization' not in received['headers']


@then("the caller receives the service's status, body and type")
def check_response(context: Context) -> None:
    assert (context.response.status, context.response.body) == (201, b'{"entry": 1}')
    assert context.response.headers['Content-Type'] == 'application/json'


@when('one ledger answers 503 and {count:d} idempotent calls are sent')
def send_with_failure(context: Context, count: int) -> None:
    context.fleet.control('ledger', is_down=True)
    context.responses = [
        call(context, 'GET', '/services/records/lots') for _ in range(count)
    ]


@then('all {count:d} service calls are answered with {status:d} by the other ledger')
def check_answered_by_other(context: Context, count: int, status: int) -> None:
    assert len(context.responses) == count
    assert {response.status for response in context.responses} == {status}
    assert len(context.fleet.received_requests('ledger-2')) == count
    assert not context.fleet.received_requests('ledger')


@then(
    '{count:d} further calls are answered with {status:d} when the first ledger is killed'
)
def check_answered_after_kill(context: Context, count: int, status: int) -> None:
    context.fleet.processes['ledger'].kill()
    responses = [call(context, 'GET', '/services/records/lots') for _ in range(count)]
    assert {response.status for response in responses} == {status}, responses


@when('both ledgers cut off their next response and an action is sent')
def send_cut_action(context: Context) -> None:
    for name in _LEDGER_NAMES:
        context.fleet.control(name, lose_answers=1)
    context.response = call(context, 'POST', '/services/release/lots', _BODY)


@then(
    'the action\'s caller gets {status:d} with "{run}" and one ledger was called once'
)
def check_cut_action(context: Context, status: int, run: str) -> None:
    error = context.response.document()['error']
    assert (context.response.status, error['run']) == (status, run), context.response
    assert len(received_requests(context)) == 1
