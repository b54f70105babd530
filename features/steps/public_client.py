"""Steps for the errors that the public client raises."""

from __future__ import annotations

from typing import Any

import openai
from behave import given, then, when
from behave.runner import Context
from callers import wait_for

from pimentohoist.configuration import (
    Adapter,
    Configuration,
    EndpointGroup,
    GroupKind,
    Workspace,
)
from pimentohoist.keys import create_key
from pimentohoist_standins.demo import demo_sections
from pimentohoist_standins.fleet import Fleet

_MAX_BODY_BYTES = 10_000
_BURST_TOKENS = 500


@given('a daemon with an engine, and the public client of a workspace')
def start_public_fleet(context: Context) -> None:
    fleet = context.stack.enter_context(Fleet())
    context.fleet = fleet
    fleet.start_standin('engine-1', 'engine', token_s=0.02)
    fleet.start_standin('ledger', 'service')
    fleet.start_daemon('entry-1', {'callers': {'max_body_bytes': _MAX_BODY_BYTES}})
    key, context.key = create_key('line-9', 'small-house')
    context.withdrawn_key = create_key('line-8', 'small-house')[1]
    context.wrong_key = create_key('line-9', 'small-house')[1]
    sections = (
        *demo_sections(fleet),
        Workspace('small-house', rate_tokens_per_s=0.1, burst_tokens=_BURST_TOKENS),
        key,
        EndpointGroup('empty', GroupKind.ENGINE),
        Adapter('idle', 'empty', (1,), 1, ('small-house',)),
        Adapter('review', 'review', (1,), 1, ('small-house',)),
    )
    report = fleet.publish(Configuration.of(*sections))
    assert report.is_in_force, report.text()


def complete(context: Context, key: str = '', **fields: Any) -> Any:
    base_url = f'http://{context.fleet.addresses["entry-1"]}/v1'
    client = openai.OpenAI(
        base_url=base_url, api_key=key or context.key, max_retries=0, timeout=30
    )
    context.stack.enter_context(client)
    given_fields = {'model': 'review', 'prompt': 'Check.', 'max_tokens': 3, **fields}
    return client.completions.create(**given_fields)


def record_error(context: Context, key: str = '', **fields: Any) -> None:
    try:
        context.answer = complete(context, key, **fields)
    except openai.APIStatusError as error:
        context.error = error


@when('the public client has a wrong key')
def use_wrong_key(context: Context) -> None:
    record_error(context, context.wrong_key)


@when('the public client has a withdrawn key')
def use_withdrawn_key(context: Context) -> None:
    record_error(context, context.withdrawn_key)


@when('the public client requests an unknown adapter')
def request_unknown_adapter(context: Context) -> None:
    record_error(context, model='nothing')


@when("the public client requests another workspace's adapter")
def request_foreign_adapter(context: Context) -> None:
    record_error(context, model='batch-summary')


@when('the public client sends a bad body')
def send_bad_body(context: Context) -> None:
    record_error(context, max_tokens=-1)


@when('the public client sends an oversized body')
def send_oversized(context: Context) -> None:
    record_error(context, prompt='x' * (2 * _MAX_BODY_BYTES))


@when('the public client requests more than its burst')
def request_above_burst(context: Context) -> None:
    record_error(context, max_tokens=_BURST_TOKENS + 1)


@when('the public client requests an adapter without an engine')
def request_without_engine(context: Context) -> None:
    def is_not_rate_limited() -> bool:
        record_error(context, model='idle')
        return context.error.status_code != 429

    # Shares of a new limit take effect some seconds after the publish.
    wait_for(is_not_rate_limited, 'the limit does not refuse the request')


@when('the public client spends its burst and sends another request')
def spend_burst(context: Context) -> None:
    def is_answered() -> bool:
        context.error = None
        record_error(context, max_tokens=100)
        return context.error is None

    wait_for(is_answered, 'the first request is answered')
    for _ in range(_BURST_TOKENS // 100):
        record_error(context, max_tokens=100)


@then('it raises {name} with status {status:d} and code "{code}" at step "{step}"')
def check_error(context: Context, name: str, status: int, code: str, step: str) -> None:
    error = context.error
    found = (type(error).__name__, error.status_code, error.code, error.body['step'])
    assert found == (name, status, code, step), (found, error)
    assert error.body['run'] == 'not_run', error.body


@then('the engine received no request')
def check_engine_received_nothing(context: Context) -> None:
    assert not context.fleet.received_requests('engine-1')


@then('the error has a Retry-After header of at least 1 whole second')
def check_retry_after(context: Context) -> None:
    assert int(context.error.response.headers['Retry-After']) >= 1


@when(
    'the public client streams 400 tokens and the only engine is killed after the first'
)
def kill_under_stream(context: Context) -> None:
    def has_begun() -> bool:
        try:
            context.parts = iter(complete(context, max_tokens=400, stream=True))
            context.first = next(context.parts)
        except openai.APIStatusError:
            return False
        return True

    wait_for(has_begun, 'the stream begins')
    context.fleet.processes['engine-1'].kill()


@then('the stream raises APIError and no part has a finish reason')
def check_cut_stream(context: Context) -> None:
    reasons = [context.first.choices[0].finish_reason]
    try:
        reasons += [part.choices[0].finish_reason for part in context.parts]
    except openai.APIError as error:
        context.error = error
    assert context.error.body['run'] in {'run', 'unknown'}, context.error
    assert not any(reasons), reasons
