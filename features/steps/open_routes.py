"""Steps for routes that need no key."""

from __future__ import annotations

import json
from dataclasses import replace

from behave import given, then, when
from behave.runner import Context
from callers import wait_for

from pimentohoist._filters.watch_key import WatchKey
from pimentohoist._http_connection import HttpRequest, HttpResponse
from pimentohoist.configuration import (
    Configuration,
    Endpoint,
    EndpointGroup,
    GroupKind,
    Route,
    Workspace,
)
from pimentohoist.exceptions import AuthenticationError
from pimentohoist.exchanges import CallerRequest, Exchange, RequestKind
from pimentohoist.keys import create_key
from pimentohoist_standins.fleet import Fleet

_COST_TOKENS = 10
_BODY = b'{"note": 1, "model": "review", "prompt": "Check."}'
_RECORDS = Route(
    'records',
    'ledger',
    is_idempotent=True,
    workspaces=('house',),
    cost_tokens=_COST_TOKENS,
)


@given('a daemon with an open route, an open action and a closed route to one ledger')
def start_open_fleet(context: Context) -> None:
    fleet = context.stack.enter_context(Fleet())
    context.fleet = fleet
    fleet.start_standin('ledger', 'service')
    fleet.start_daemon('entry-1')
    granted, granted_key = create_key('line-1', 'house')
    other, other_key = create_key('line-2', 'other')
    withdrawn_key = create_key('line-3', 'house')[1]
    context.keys = {
        'no key': '',
        'a granted key': f'Bearer {granted_key}',
        "another's key": f'Bearer {other_key}',
        'a withdrawn key': f'Bearer {withdrawn_key}',
        'a malformed key': granted_key,
    }
    ledger = (Endpoint('ledger', fleet.addresses['ledger'], 'a'),)
    context.sections = (
        # Covers one call of the closed route and, during a test, no second one.
        Workspace('house', rate_tokens_per_s=0.01, burst_tokens=15),
        Workspace('other', rate_tokens_per_s=1, burst_tokens=10),
        granted,
        other,
        EndpointGroup('ledger', GroupKind.SERVICE, ledger),
        Route('hours', 'ledger', True, is_open=True, cost_tokens=_COST_TOKENS),
        Route('notes', 'ledger', False, is_open=True),
    )
    publish(context, _RECORDS)


def publish(context: Context, records: Route) -> None:
    configuration = Configuration.of(*context.sections, records)
    report = context.fleet.publish(configuration)
    assert report.is_in_force, report.text()


def call(
    context: Context, method: str, path: str, key: str, idempotency_key: str = ''
) -> HttpResponse:
    headers = {'Content-Type': 'application/json'}
    if context.keys[key]:
        headers['Authorization'] = context.keys[key]
    if idempotency_key:
        headers['Idempotency-Key'] = idempotency_key
    body = b'' if method == 'GET' else _BODY
    return context.fleet.request(
        'entry-1', HttpRequest(method, path, body, headers, False)
    )


@when('a caller with {key} sends {method} "{path}"')
def send_with_key(context: Context, key: str, method: str, path: str) -> None:
    context.response = call(context, method, path, key)


@then('the open call is answered with {status:d} and reached the ledger as "{path}"')
def check_open_response(context: Context, status: int, path: str) -> None:
    assert context.response.status == status, context.response
    seen = context.fleet.received_requests('ledger')
    assert [entry['target'] for entry in seen] == [path], seen


@then('no key reached the ledger or the log')
def check_no_key(context: Context) -> None:
    seen = context.fleet.received_requests('ledger')
    assert all('Authorization' not in entry['headers'] for entry in seen), seen
    text = json.dumps(seen) + context.fleet.logs('entry-1')
    for key in filter(None, context.keys.values()):
        assert key.rpartition('_')[-1] not in text


@then('the call is refused with {status:d} "{code}" as not run')
def check_closed(context: Context, status: int, code: str) -> None:
    error = context.response.document()['error']
    found = (context.response.status, error['code'], error['run'])
    assert found == (status, code, 'not_run'), context.response


@then('nothing reached the ledger')
def check_ledger_unused(context: Context) -> None:
    assert not context.fleet.received_requests('ledger')


@when(
    '{count:d} callers without a key call the open route, which costs 10 tokens a call'
)
def send_many(context: Context, count: int) -> None:
    context.responses = [
        call(context, 'GET', '/services/hours/today', 'no key') for _ in range(count)
    ]


@then('all {count:d} open calls are answered with {status:d}')
def check_all_open(context: Context, count: int, status: int) -> None:
    assert len(context.responses) == count
    assert {response.status for response in context.responses} == {status}


@then(
    'the second of 2 calls of the closed route, of the same cost, is refused with {status:d}'
)
def check_limited(context: Context, status: int) -> None:
    def call_status() -> int:
        return call(context, 'GET', '/services/records/lots', 'a granted key').status

    # Shares of a new limit take effect some seconds after the publish.
    wait_for(lambda: call_status() == 200, 'the first call is answered')
    assert call_status() == status


@when('a caller without a key posts the open action without an idempotency key')
def post_without_idempotency_key(context: Context) -> None:
    context.response = call(context, 'POST', '/services/notes/new', 'no key')


@when('a caller without a key posts the open action twice under one idempotency key')
def post_action_twice(context: Context) -> None:
    context.responses = []

    def post() -> bool:
        response = call(context, 'POST', '/services/notes/new', 'no key', 'note-1')
        if response.status == 201:
            context.responses.append(response)
        return len(context.responses) == 2

    wait_for(post, 'both are answered')


@then('both get the same response and the ledger has {count:d} entry')
def check_once(context: Context, count: int) -> None:
    first, second = context.responses
    assert first.body == second.body
    assert context.fleet.state('ledger')['entries'] == count


@when("the log goes down and calls with another's key are refused with {status:d}")
def take_log_down(context: Context, status: int) -> None:
    context.fleet.control('log', is_down=True)

    def is_refused() -> bool:
        path = '/services/records/lots'
        return call(context, 'GET', path, "another's key").status == status

    wait_for(is_refused, f'status {status}')


class EmptyConfiguration:
    """Stands in for a configuration from which a key was withdrawn."""

    def key(self, name: str) -> None:
        """Return None, as for an unknown key."""


@when('a key is withdrawn after it was checked and before it is watched')
def withdraw_between_filters(context: Context) -> None:
    request = CallerRequest('r', RequestKind.MODELS, 'GET', '/', '', b'', '', 0)
    exchange = Exchange(request, key_name='line-1')
    context.passed_on = []
    watch = WatchKey(EmptyConfiguration(), lambda: True)
    try:
        watch(exchange, context.passed_on.append)
    except AuthenticationError as error:
        context.error = error


@then('the request ends with "{code}" and is not passed on')
def check_ended(context: Context, code: str) -> None:
    assert not context.passed_on
    assert (context.error.code, context.error.run_state) == (code, 'not_run')


@when('the closed route is opened')
def open_route(context: Context) -> None:
    publish(context, replace(_RECORDS, is_open=True))


@when('the route is closed again')
def close_route(context: Context) -> None:
    publish(context, _RECORDS)


@then('a caller without a key gets {status:d} on it within {limit_s:d} s')
def check_status_within(context: Context, status: int, limit_s: int) -> None:
    def has_status() -> bool:
        response = call(context, 'GET', '/services/records/lots', 'no key')
        return response.status == status

    wait_for(has_status, f'status {status}', limit_s)
