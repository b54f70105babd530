"""Steps on attempts of a request that fail, are answered twice or are cut."""

from __future__ import annotations

import http.client
from http import HTTPStatus

from behave import given, then, when
from behave.runner import Context
from entry_daemon import check_streams
from entry_fleet import EntryFleet


@when('the ledger fails the next non-idempotent request')
def fail_request(context: Context) -> None:
    context.fleet.ledger.faults.failures = 1
    context.response = context.fleet.send_request(path='/pay/1')


@then('the caller gets the failure and the request was executed once')
def check_executed_once(context: Context) -> None:
    assert context.response.status == 500, context.response
    assert context.response.headers['Pimentohoist-Response-Seal'], context.response
    assert len(context.fleet.ledger.state.executed_requests) == 1


@when('a ledger fails the next idempotent request')
def fail_idempotent_request(context: Context) -> None:
    context.responses = []
    ledgers = (context.fleet.ledger, context.second)
    while not context.responses or _executions(context) == len(context.responses):
        assert len(context.responses) < 20, 'no request was sent to the failing ledger'
        failing = ledgers[len(context.responses) % 2]
        failing.faults.failures = 1
        context.responses.append(context.fleet.send_request(path='/look/1'))
        failing.faults.failures = 0


def _executions(context: Context) -> int:
    return len(context.fleet.ledger.state.executed_requests) + len(
        context.second.state.executed_requests
    )


@then('the caller gets a response and the request was executed twice')
def check_executed_twice(context: Context) -> None:
    assert {response.status for response in context.responses} == {200}
    assert _executions(context) == len(context.responses) + 1


@when('the ledger responds twice to each of {count:d} idempotent requests')
def respond_twice(context: Context, count: int) -> None:
    context.fleet.ledger.faults.extra_responses = count
    context.responses = []
    for _ in range(count):
        context.responses.append(context.fleet.send_request(path='/look/1'))


@then('each caller gets its own response')
def check_own(context: Context) -> None:
    for response in context.responses:
        own_id = response.headers['Pimentohoist-Attempt-Id']
        assert response.body.decode() == f'answer to {own_id}', response


@when('a stream that {may} resume is cut within its third event')
def cut_stream(context: Context, may: str) -> None:
    path = '/resumed/x' if may == 'may' else '/models/x'
    context.error = None
    context.responses = []
    # Adapters are spread over both engines, so some streams run on the failing one.
    for number in range(6):
        context.fleet.engines[0].faults.cut_after_events = 2
        try:
            response = context.fleet.send_request(path=path, adapter=f'a{number}')
        except http.client.IncompleteRead as error:
            context.error = error
            break
        context.responses.append(response)


@given('a fleet of 1 daemon with 3 engines that may make 3 attempts')
def start_fleet_of_three(context: Context) -> None:
    context.fleet = context.stack.enter_context(EntryFleet())
    for number in range(3):
        context.fleet.add_engine(f'engine-{number}')
    context.fleet.declare(1, attempts=3)
    context.fleet.start_ready()


@when('a stream that may resume is cut and its resumption fails with status {status:d}')
def cut_resumed_stream(context: Context, status: int) -> None:
    context.error = None
    fleet = context.fleet
    assert fleet.send_request(path='/resumed/x').status == 200
    first = next(engine for engine in fleet.engines if engine.state.executed_requests)
    others = [engine for engine in fleet.engines if engine is not first]
    first.faults.cut_after_events = 2
    statuses = [HTTPStatus(status)]
    for engine in others:
        engine.faults.statuses = statuses
    context.responses = [fleet.send_request(path='/resumed/x')]
    assert not statuses, 'no engine was asked to resume the stream'


@when('the first engine of a stream that may resume ends it with status 500')
def fail_first_engine(context: Context) -> None:
    fleet = context.fleet
    assert fleet.send_request(path='/resumed/x').status == 200
    first = next(engine for engine in fleet.engines if engine.state.executed_requests)
    first.faults.failures = 1
    context.responses = [fleet.send_request(path='/resumed/x')]


@then('the caller gets a whole stream')
def check_whole_stream(context: Context) -> None:
    check_streams(context)


@then('the caller gets every event once')
def check_resumed(context: Context) -> None:
    assert context.error is None
    check_streams(context)
    resumed = [
        run
        for engine in context.fleet.engines
        for run in engine.state.executed_requests
        if run.headers.get('last-event-id') == '2'
    ]
    assert resumed


@then('the caller sees that the stream is incomplete')
def check_cut(context: Context) -> None:
    assert context.error is not None
    assert not context.error.partial.endswith(b'id: 9')
