"""Steps for requests from caller to endpoint through separate processes."""

from __future__ import annotations

import json
import time
from dataclasses import replace

import openai
from behave import given, then, when
from behave.runner import Context
from callers import expected_text, wait_for

from pimentohoist._http_connection import HttpRequest, HttpResponse
from pimentohoist._platform_clients.log import HttpLog
from pimentohoist.configuration import Adapter, Configuration, Workspace
from pimentohoist.keys import create_key
from pimentohoist_standins.demo import demo_sections
from pimentohoist_standins.fleet import Fleet

_PROMPT = 'Check the ingredient declaration.'


@given('a fleet of 1 daemon, 1 engine and a ledger with a published configuration')
def start_fleet(context: Context) -> None:
    fleet = context.stack.enter_context(Fleet())
    context.fleet = fleet
    fleet.start_standin('engine-1', 'engine', token_s=0.005)
    fleet.start_standin('ledger', 'service')
    fleet.start_daemon('entry-1', {'callers': {'max_body_bytes': 10_000}})
    context.key_section, context.key = create_key('line-1', 'lipstick-house')
    context.sections = (
        *demo_sections(fleet),
        Workspace('cream-house', rate_tokens_per_s=100, burst_tokens=1000),
        Adapter('cream-summary', 'review', (1,), 1, ('cream-house',)),
    )
    configuration = Configuration.of(*context.sections, context.key_section)
    report = fleet.publish(configuration)
    assert report.is_in_force, report.text()


def send(
    context: Context, path: str, body: bytes, key: str | None = None
) -> HttpResponse:
    request = HttpRequest.from_json('POST', path)
    headers = {**request.headers, 'Authorization': f'Bearer {key or context.key}'}
    if key == '':
        headers.pop('Authorization')
    if key == 'without scheme':
        headers['Authorization'] = context.key
    return context.fleet.request(
        'entry-1', replace(request, body=body, headers=headers)
    )


def completion(model: str, max_tokens: int = 4, **fields: object) -> bytes:
    document = {'model': model, 'prompt': _PROMPT, 'max_tokens': max_tokens, **fields}
    return json.dumps(document).encode()


@when('the caller streams a completion of {tokens:d} tokens on "{model}"')
def stream_completion(context: Context, tokens: int, model: str) -> None:
    body = completion(model, tokens, stream=True)
    context.response = send(context, '/v1/completions', body)


@then('the caller receives the {tokens:d} tokens that "{model}" generates')
def check_tokens(context: Context, tokens: int, model: str) -> None:
    lines = [line for line in context.response.body.decode().splitlines() if line]
    assert lines[-1] == 'data: [DONE]', lines
    parts = [json.loads(line.removeprefix('data: ')) for line in lines[:-1]]
    assert len(parts) == tokens
    text = ''.join(part['choices'][0]['text'] for part in parts)
    assert text == expected_text(_PROMPT, model, tokens)


@then('engine "{engine}" ran it on "{model}" without the caller\'s key')
def check_engine(context: Context, engine: str, model: str) -> None:
    seen = context.fleet.received_requests(engine)
    runs = [entry for entry in seen if 'request_id' in entry]
    assert [f'{run["adapter"]}@{run["version"]}' for run in runs] == [model]
    assert context.key not in json.dumps(seen)


@then(
    "each line of the daemon's log is JSON, and one has the request id, step and peer"
)
def check_log(context: Context) -> None:
    request_id = context.response.headers['X-Request-Id']

    def entries_of_request() -> list[dict]:
        lines = context.fleet.logs('entry-1').splitlines()
        entries = [json.loads(line) for line in lines]
        return [entry for entry in entries if entry.get('request_id') == request_id]

    wait_for(lambda: bool(entries_of_request()), 'the request is logged')
    entry = entries_of_request()[-1]
    assert (entry['step'], entry['peer']) == ('answered', 'engine-1'), entry
    assert entry['instance'] == 'entry-1', entry


@when('the state of "{name}" is requested')
def request_state(context: Context, name: str) -> None:
    context.dump = context.fleet.state(name)


@then('the state has the fields "{names}"')
def check_dump(context: Context, names: str) -> None:
    missing = set(names.split()) - context.dump.keys()
    assert not missing, (missing, context.dump)


@when('the public client requests a completion and a chat on "{model}"')
def send_with_public_client(context: Context, model: str) -> None:
    address = context.fleet.addresses['entry-1']
    client = openai.OpenAI(
        base_url=f'http://{address}/v1', api_key=context.key, max_retries=0
    )
    context.client = context.stack.enter_context(client)
    context.completion = client.completions.create(
        model=model, prompt=_PROMPT, max_tokens=3
    )
    messages = [{'role': 'user', 'content': _PROMPT}]
    parts = client.chat.completions.create(
        model=model, messages=messages, max_tokens=3, stream=True
    )
    context.chat = ''.join(part.choices[0].delta.content for part in parts)


@then('both responses are those of "{model}"')
def check_public_client(context: Context, model: str) -> None:
    assert context.completion.choices[0].text == expected_text(_PROMPT, model, 3)
    assert context.completion.usage.completion_tokens == 3
    assert context.chat == expected_text(f'user: {_PROMPT}', model, 3)


@then('the public client lists the models "{first}" and "{second}"')
def check_models(context: Context, first: str, second: str) -> None:
    models = [model.id for model in context.client.models.list()]
    assert models == [first, second], models


@when('the key is withdrawn')
def withdraw_key(context: Context) -> None:
    context.withdrawn_at = time.monotonic()
    report = context.fleet.publish(Configuration.of(*context.sections))
    assert report.is_in_force, report.text()


@then(
    'a completion is refused with {status:d} "{code}" as not run within {limit_s:d} s'
)
def check_withdrawn(context: Context, status: int, code: str, limit_s: int) -> None:
    def is_refused() -> bool:
        context.response = send(context, '/v1/completions', completion('batch-summary'))
        return context.response.status == status

    remaining_s = context.withdrawn_at + limit_s - time.monotonic()
    wait_for(is_refused, f'status {status}', remaining_s)
    check_refusal(context, status, code)


@when('the caller posts to "{path}"')
def post(context: Context, path: str) -> None:
    context.response = send(context, path, b'{"lot": 7}')


@then(
    "the response has status {status:d} and the ledger received 1 call without the caller's key"
)
def check_service(context: Context, status: int) -> None:
    assert context.response.status == status, context.response
    seen = context.fleet.received_requests('ledger')
    assert [entry['body'] for entry in seen] == ['{"lot": 7}']
    assert context.key not in json.dumps(seen)


@when('the caller sends {what}')
def send_invalid(context: Context, what: str) -> None:
    _, wrong_key = create_key('line-1', 'lipstick-house')
    context.wrong_key = wrong_key
    good = completion('batch-summary')
    path, body, key = {
        'a malformed body': ('/v1/completions', b'{"model": ', None),
        'an unknown adapter': ('/v1/completions', completion('nothing'), None),
        'an adapter not granted': (
            '/v1/completions',
            completion('cream-summary'),
            None,
        ),
        'an unknown version': ('/v1/completions', completion('batch-summary@9'), None),
        'an oversized body': ('/v1/completions', b'"' + b'x' * 20_000 + b'"', None),
        'no key': ('/v1/completions', good, ''),
        'a wrong key': ('/v1/completions', good, wrong_key),
        'a key without scheme': ('/v1/completions', good, 'without scheme'),
        'no JSON object': ('/v1/completions', b'["model"]', None),
        'no prompt': ('/v1/completions', b'{"model": "batch-summary"}', None),
        'a negative limit': (
            '/v1/completions',
            completion('batch-summary', max_tokens=-1),
            None,
        ),
        'an unknown path': ('/v1/nothing', good, None),
    }[what]
    context.response = send(context, path, body, key)


@then('the request is refused with {status:d} "{code}" as not run')
def check_refusal(context: Context, status: int, code: str) -> None:
    assert context.response.status == status, context.response
    error = context.response.document()['error']
    assert (error['code'], error['run']) == (code, 'not_run'), error
    assert error['step'], error


@then("no endpoint received a request and the daemon's log contains no key")
def check_nothing_ran(context: Context) -> None:
    assert not context.fleet.received_requests('engine-1')
    assert not context.fleet.received_requests('ledger')
    for key in (context.key, context.wrong_key):
        secret = key.rpartition('_')[-1]
        assert secret not in context.fleet.logs('entry-1')


@when('the daemon is stopped')
def stop_daemon(context: Context) -> None:
    context.exit_code = context.fleet.processes['entry-1'].stop()


@then('it exits with code 0 and its last view record is a leave')
def check_stopped(context: Context) -> None:
    assert context.exit_code == 0
    log = HttpLog(context.fleet.addresses['log'], timeout_s=5)
    records = log.read('view', 0, wait_s=0).records
    assert json.loads(records[-1].body)['kind'] == 'leave'
