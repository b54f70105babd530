"""Steps for client sessions and the isolation of workspaces."""

from __future__ import annotations

import json
import socket
from collections.abc import Iterable, Iterator
from types import MappingProxyType
from typing import Any

from behave import given, then, when
from behave.runner import Context
from callers import runs, start_fleet
from werkzeug.wrappers import Request
from werkzeug.wrappers import Response as WsgiResponse

from pimentohoist._http_server import HttpServer
from pimentohoist.configuration import Adapter, Configuration, Workspace
from pimentohoist.exceptions import PeerError
from pimentohoist.keys import create_key
from pimentohoist.sessions import Response, Session
from pimentohoist_standins.demo import demo_sections
from pimentohoist_standins.fleet import Fleet

_MODEL = 'batch-summary@1'
_PROMPT = 'Check the dossier.'
_COMPLETION = MappingProxyType({'model': _MODEL, 'prompt': _PROMPT, 'max_tokens': 2})
_ENTRIES = '/v1/entries'


@given('a session on a fleet of 2 daemons that was opened with the first address only')
def open_session(context: Context) -> None:
    fleet = context.stack.enter_context(Fleet())
    context.fleet = fleet
    caller = start_fleet(fleet, 2, 1)
    context.session = context.stack.enter_context(
        Session([fleet.addresses['entry-1']], key=caller.key)
    )
    context.first = complete(context.session)
    assert context.first.status == 200, context.first


def complete(session: Session, model: str = _MODEL) -> Response:
    return session.post('/v1/completions', {**_COMPLETION, 'model': model})


@when('the daemon that the session uses is killed')
def kill_used_daemon(context: Context) -> None:
    for name in context.fleet.daemons:
        if context.fleet.addresses[name] == context.first.address:
            context.fleet.processes[name].kill()


@then("the session's next request is answered by the other daemon")
def check_moved(context: Context) -> None:
    second = context.session.get('/v1/models')
    assert second.status == 200, second
    assert second.address != context.first.address


class DaemonStub:
    """Lists two addresses; the first request at either ends as `first_outcome`."""

    def __init__(self, first_outcome: str) -> None:
        self.first_outcome = first_outcome
        self.addresses: list[str] = []
        self.received: list[str] = []

    def __call__(self, environ: Any, start_response: Any) -> Iterable[bytes]:
        request = Request(environ)
        if request.path == _ENTRIES:
            document = {'entries': self.addresses, 'max_age_s': 60}
            return WsgiResponse(json.dumps(document))(environ, start_response)
        self.received.append(request.path)
        response = (
            WsgiResponse('{}')
            if len(self.received) > 1
            else first_response(self.first_outcome)
        )
        return response(environ, start_response)


def first_response(first_outcome: str) -> WsgiResponse:
    if first_outcome == 'a lost response':
        response = WsgiResponse(truncated_body(), direct_passthrough=True)
        response.headers['Content-Length'] = '1000'
        return response
    status, run = first_outcome.split()
    body = json.dumps({'error': {'run': run}})
    return WsgiResponse(body, int(status), {'Retry-After': '2'})


def truncated_body() -> Iterator[bytes]:
    yield b'{'
    raise ConnectionAbortedError('the stub cuts off this response')


def free_address() -> str:
    with socket.create_server(('127.0.0.1', 0)) as listener:
        host, port = listener.getsockname()
        return f'{host}:{port}'


@given('a session on two daemons, the first of which answers {call} with {response}')
def open_stub_session(context: Context, call: str, response: str) -> None:
    context.stub = DaemonStub(response)
    context.stub.addresses = [free_address(), free_address()]
    for address in context.stub.addresses:
        context.stack.enter_context(HttpServer(context.stub, address, threads=2))
    context.waits = []
    context.session = context.stack.enter_context(
        Session(context.stub.addresses, key='secret', sleep=context.waits.append)
    )


@then('{call} is sent {times:d} times and ends as {end} after waiting {wait_s:d} s')
def check_sent(context: Context, call: str, times: int, end: str, wait_s: int) -> None:
    key = 'once-1' if call == 'a keyed action' else None
    path = '/v1/completions' if call == 'a completion' else '/services/release/1'
    try:
        response = context.session.post(path, {}, idempotency_key=key)
    except PeerError:
        ended_as = 'an error'
    else:
        ended_as = str(response.status)
    assert (len(context.stub.received), ended_as) == (times, end), context.stub.received
    assert sum(context.waits) == wait_s, context.waits


@given('a session for each of two workspaces on one daemon')
def open_two_sessions(context: Context) -> None:
    fleet = context.stack.enter_context(Fleet())
    context.fleet = fleet
    start_fleet(fleet, 1, 1)
    keys = [create_key(name, name) for name in ('lipstick-house', 'cream-house')]
    sections = (
        *demo_sections(fleet),
        Workspace('cream-house', rate_tokens_per_s=5000, burst_tokens=20_000),
        Adapter('cream-summary', 'review', (1,), 1, ('cream-house',)),
    )
    report = fleet.publish(Configuration.of(*sections, *(key for key, _ in keys)))
    assert report.is_in_force, report.text()
    address = fleet.addresses['entry-1']
    context.sessions = [
        context.stack.enter_context(Session([address], key=secret))
        for _, secret in keys
    ]


@when('each sends the same prompt twice')
def send_prompts(context: Context) -> None:
    models = ('batch-summary@1', 'cream-summary@1')
    for session, model in zip(context.sessions, models, strict=True):
        for _ in range(2):
            response = complete(session, model)
            assert response.status == 200, response.body


@then('prefix-cache salts are equal within a workspace and differ between workspaces')
def check_salts(context: Context) -> None:
    bodies = [json.loads(run['body']) for run in runs(context.fleet, 'engine-1')]
    salts: dict[str, list[str]] = {}
    for body in bodies:
        salts.setdefault(body['model'], []).append(body['cache_salt'])
    lipstick, cream = salts['batch-summary@1'], salts['cream-summary@1']
    assert lipstick[0] == lipstick[1]
    assert cream[0] == cream[1]
    assert lipstick[0] != cream[0]


@then("neither can list the other's models or detect its adapters by an error")
def check_isolation(context: Context) -> None:
    first, second = context.sessions
    listed = [
        {model['id'] for model in session.get('/v1/models').json()['data']}
        for session in context.sessions
    ]
    assert listed == [{'batch-summary@1', 'batch-summary@2'}, {'cream-summary@1'}], (
        listed
    )
    for session, foreign in ((first, 'cream-summary'), (second, 'batch-summary')):
        refused = complete(session, foreign)
        unknown = complete(session, 'no-such')
        expected = unknown.body.replace(b'no-such', foreign.encode())
        assert (refused.status, refused.body) == (404, expected), refused.body
