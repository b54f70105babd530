"""Steps on retries and resumed responses."""

from __future__ import annotations

import contextlib
import http.client
import json
import socket
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from fractions import Fraction
from itertools import chain
from types import SimpleNamespace

from behave import given, then, when
from behave.runner import Context
from callers import expected_text, runs, start_fleet, streamed_text, wait_for
from hypothesis import given as for_generated
from hypothesis import seed, settings
from hypothesis import strategies as st

from pimentohoist._decisions.quarantine import QuarantineStatus
from pimentohoist._decisions.retry_budget import (
    BURST_RETRIES,
    MAX_ATTEMPTS,
    RetryBudget,
)
from pimentohoist._http_client import HttpClient
from pimentohoist._http_connection import HttpRequest
from pimentohoist._filters.generation_run import GenerationRun
from pimentohoist._filters.retry_dependencies import RetryDependencies
from pimentohoist.configuration import Endpoint, EndpointGroup, GroupKind
from pimentohoist.exceptions import (
    PeerConnectError,
    PeerError,
    PimentohoistError,
    RunState,
)
from pimentohoist.exchanges import (
    ReadReadiness,
    CallerRequest,
    Exchange,
    RequestKind,
    SlotRequest,
)
from pimentohoist.models import AdapterVersion, Generation, TokenChunk
from pimentohoist_standins.fleet import Fleet

_PROMPT = 'Summarise the stability file.'
_MODELS = ('batch-summary@1', 'batch-summary@2')
_ADAPTER = AdapterVersion('batch-summary', 1)
_DIFFERENTIAL = settings(max_examples=400, database=None, deadline=None)


def reference_budget(events: list[bool]) -> list[bool]:
    """Return which retries are allowed; an event is True for a retry, else a request."""
    credit = Fraction(64)
    allowed = []
    for is_retry in events:
        if is_retry:
            allowed.append(credit >= 1)
            credit -= int(credit >= 1)
        else:
            credit = min(Fraction(64), credit + Fraction(1, 10))
    return allowed


@seed(501)
@_DIFFERENTIAL
@for_generated(
    st.lists(st.tuples(st.booleans(), st.integers(1, 90)), max_size=20).map(
        lambda parts: [kind for kind, count in parts for _ in range(count)]
    )
)
def check_budget_against_reference(events: list[bool]) -> None:
    budget = RetryBudget()
    allowed = []
    for is_retry in events:
        remaining = budget.after_retry() if is_retry else budget.after_request()
        if is_retry:
            allowed.append(remaining is not None)
        budget = remaining or budget
    assert allowed == reference_budget(events)
    assert sum(allowed) <= BURST_RETRIES + Fraction(events.count(False), 10)


@then('for generated requests and failures the retry budget equals a reference count')
def compare_budgets(context: Context) -> None:
    check_budget_against_reference()


@dataclass(frozen=True)
class Attempt:
    """Tokens that a fake engine sends on one attempt, and the error that ends it."""

    start_shift: int
    tokens: int
    foreign_at: int | None
    error: PeerError | None


class FakeEndpoint:
    """Fake slots, engine and slot in one object, with scripted attempts."""

    def __init__(self, attempts: list[Attempt]) -> None:
        self.attempts = list(attempts)
        self.endpoint = Endpoint('engine-1', '127.0.0.1:1', 'a')
        self.sent = 0

        self.requests: list[SlotRequest] = []

    def acquire(self, request: SlotRequest) -> FakeEndpoint:
        self.requests.append(request)
        return self

    def engine(self, endpoint: Endpoint) -> FakeEndpoint:
        return self

    def __enter__(self) -> FakeEndpoint:
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Release nothing."""

    def mark_failed(self) -> None:
        """Store nothing."""

    def status(self) -> None:
        """Return as an engine that is running."""

    def cancel(self, request_id: str) -> None:
        """Do nothing; no request is running."""

    def generate(
        self, generation: Generation, readiness: ReadReadiness, *, timeout_s: float
    ) -> Iterator[list[TokenChunk]]:
        attempt = self.attempts.pop(0) if self.attempts else Attempt(0, 99, None, None)
        first = max(0, generation.resume_offset + attempt.start_shift)
        last = generation.max_tokens - 1
        for offset in range(first, min(first + attempt.tokens, last + 1)):
            is_foreign = attempt.foreign_at == offset - first
            reason = 'length' if offset == last else None
            request_id = 'foreign' if is_foreign else generation.request_id
            text = '!' if is_foreign else f'{offset} '
            self.sent += 1
            yield [TokenChunk(request_id, generation.adapter, offset, text, reason)]
        if attempt.error is not None:
            raise attempt.error


class SlotsFailingOnFirst(FakeEndpoint):
    """Fails to give a slot unless the first endpoint is excluded."""

    def acquire(self, request: SlotRequest) -> FakeEndpoint:
        if 'engine-1' in request.excluded:
            return self
        raise PeerConnectError('down', step='fake', peer=self.endpoint.address)


class FakeCrashReports:
    def __init__(
        self, reported_status: QuarantineStatus = QuarantineStatus.CLEAR
    ) -> None:
        self.reported_status = reported_status

    def quarantine_status(self, fingerprint: str) -> QuarantineStatus:
        return self.reported_status

    def report_crash(self, fingerprint: str, endpoint: str) -> QuarantineStatus:
        return QuarantineStatus.CLEAR

    def report_success(self, fingerprint: str) -> None:
        """Store nothing."""


def make_run(
    endpoint: FakeEndpoint,
    max_tokens: int,
    reported_status: QuarantineStatus = QuarantineStatus.CLEAR,
) -> GenerationRun:
    request = CallerRequest('r1', RequestKind.COMPLETION, 'POST', '/', '', b'', '', 60)
    group = EndpointGroup('review', GroupKind.ENGINE, (endpoint.endpoint,))
    dependencies = RetryDependencies(
        endpoint,
        SimpleNamespace(cancel=lambda engine, request_id: None),
        FakeCrashReports(reported_status),
        clock=lambda: 0,
        sleep=lambda delay_s: None,
    )
    return GenerationRun(
        Exchange(request, annotations={'fingerprint': 'f1'}),
        SlotRequest('r1', group, _ADAPTER, 'w', 1, is_urgent=False, deadline=60),
        Generation('r1', _ADAPTER, _PROMPT, max_tokens, 'salt'),
        dependencies,
    )


_ATTEMPTS = st.lists(
    st.builds(
        Attempt,
        st.integers(-3, 2),
        st.integers(0, 8),
        st.one_of(st.none(), st.integers(0, 6)),
        st.builds(lambda: PeerError('cut', step='fake')),
    ),
    max_size=MAX_ATTEMPTS + 1,
)


@seed(502)
@_DIFFERENTIAL
@for_generated(_ATTEMPTS, st.integers(1, 12))
def check_tokens_once(attempts: list[Attempt], max_tokens: int) -> None:
    endpoint = FakeEndpoint(attempts)
    run = make_run(endpoint, max_tokens)
    expected = [f'{offset} ' for offset in range(max_tokens)]
    received = []
    try:
        for batch in run.batches():
            received.extend(chunk.text for chunk in batch)
    except PimentohoistError as error:
        assert run.attempts == MAX_ATTEMPTS
        assert received == expected[: len(received)]
        state = RunState.RUN if received else RunState.UNKNOWN
        assert error.run_state is state
    else:
        assert received == expected


@then('for generated attempts each caller receives its own tokens once and in order')
def compare_generated_attempts(context: Context) -> None:
    check_tokens_once()


@given('a retrying fleet of 1 daemon and {engines:d} engines')
@given('a retrying fleet of 1 daemon and {engines:d} engine')
def start_retrying_fleet(context: Context, engines: int) -> None:
    context.fleet = context.stack.enter_context(Fleet())
    context.caller = start_fleet(context.fleet, 1, engines)
    context.engines = [f'engine-{index}' for index in range(1, engines + 1)]


@given(
    'a retrying fleet of 1 daemon and {engines:d} engines '
    'with {streams:d} streams of {tokens:d} tokens running'
)
def start_streams(context: Context, engines: int, streams: int, tokens: int) -> None:
    start_retrying_fleet(context, engines)
    pool = context.stack.enter_context(ThreadPoolExecutor(streams))
    context.tokens = tokens
    context.streams = []
    for index in range(streams):
        model = _MODELS[index % len(_MODELS)]
        prompt = f'{_PROMPT} {index}'
        future = pool.submit(
            context.caller.complete,
            'entry-1',
            model=model,
            prompt=prompt,
            max_tokens=tokens,
            stream=True,
        )
        context.streams.append((model, prompt, future))
    wait_for(
        lambda: (
            sum(len(runs(context.fleet, name)) for name in context.engines) == streams
        ),
        'all streams are running',
    )
    time.sleep(0.3)


@when('the engine that runs the most streams is killed')
def kill_engine(context: Context) -> None:
    busiest = max(context.engines, key=lambda name: len(runs(context.fleet, name)))
    assert len(runs(context.fleet, busiest)) >= 3
    context.fleet.processes[busiest].kill()


@when('every engine restarts cold')
def restart_engines(context: Context) -> None:
    for name in context.engines:
        context.fleet.control(name, restart_cold=True)


@then('every stream is complete with each token once')
def check_streams(context: Context) -> None:
    for model, prompt, future in context.streams:
        text = streamed_text(future.result())
        assert text == expected_text(prompt, model, context.tokens), text
    counts = context.fleet.state('entry-1')['retries']
    assert counts['retries'] >= 3, counts
    alive = [
        name for name in context.engines if context.fleet.processes[name].is_running()
    ]
    given = [
        json.loads(run['body']) for name in alive for run in runs(context.fleet, name)
    ]
    resumed = [document for document in given if document['resume_offset'] > 0]
    assert len(resumed) >= 3, given


@when('the next token of every engine names another request')
def send_foreign_tokens(context: Context) -> None:
    for name in context.engines:
        context.fleet.control(name, wrong_answers=1)


@then(
    'a plain and a streamed completion of {tokens:d} tokens are complete and not mixed up'
)
def check_complete_responses(context: Context, tokens: int) -> None:
    document = {'model': _MODELS[0], 'prompt': _PROMPT, 'max_tokens': tokens}
    expected = expected_text(_PROMPT, _MODELS[0], tokens)
    plain = context.caller.complete('entry-1', **document)
    assert plain.document()['choices'][0]['text'] == expected, plain
    streamed = context.caller.complete('entry-1', **document, stream=True)
    assert streamed_text(streamed) == expected


@when('a caller disconnects in the middle of a stream of {tokens:d} tokens')
def disconnect_caller(context: Context, tokens: int) -> None:
    connection = http.client.HTTPConnection(context.fleet.addresses['entry-1'])
    document = {'model': _MODELS[0], 'prompt': _PROMPT, 'max_tokens': tokens}
    with contextlib.closing(connection):
        connection.request(
            'POST',
            '/v1/completions',
            json.dumps({**document, 'stream': True}),
            context.caller.headers(),
        )
        assert connection.getresponse().readline().startswith(b'data: ')


@then('the engine receives a cancellation and soon runs no request')
def check_cancelled(context: Context) -> None:
    fleet = context.fleet
    wait_for(
        lambda: fleet.state('entry-1')['cancellations']['sent'] == 1, 'cancellation'
    )
    status = HttpRequest.from_json('GET', '/v1/status')
    wait_for(
        lambda: fleet.request('engine-1', status).document()['requests_in_flight'] == 0,
        'the engine runs no request',
    )


@when('the only engine is killed')
def kill_only_engine(context: Context) -> None:
    document = {'model': _MODELS[0], 'prompt': _PROMPT, 'max_tokens': 2}
    assert context.caller.complete('entry-1', **document).status == 200
    context.fleet.processes['engine-1'].kill()


@then(
    'a streamed completion gets a JSON error with the run state not_run and status {status:d}'
)
def check_json_error(context: Context, status: int) -> None:
    response = context.caller.complete(
        'entry-1', model=_MODELS[0], prompt=_PROMPT, max_tokens=2, stream=True
    )
    assert response.status == status, response
    assert response.headers['Content-Type'] == 'application/json'
    error = response.document()['error']
    assert error['run'] == 'not_run', error


def respond_once(listener: socket.socket) -> None:
    connection, _ = listener.accept()
    connection.recv(4096)
    connection.sendall(b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}')
    connection.recv(4096)
    listener.close()
    connection.close()


@given('a peer that responds once, then drops a request and stops listening')
def start_dropping_peer(context: Context) -> None:
    listener = context.stack.enter_context(socket.create_server(('127.0.0.1', 0)))
    host, port = listener.getsockname()
    context.client = HttpClient(f'{host}:{port}', timeout_s=5, step='test')
    pool = context.stack.enter_context(ThreadPoolExecutor(1))
    pool.submit(respond_once, listener)


@then('the client\'s second request ends with the run state "{state}"')
def check_lost_request(context: Context, state: str) -> None:
    request = HttpRequest.from_json('GET', '/')
    assert context.client.request_json(request) is not None
    try:
        context.client.request_json(request)
    except PeerError as error:
        assert error.run_state == state, error.run_state
    else:
        raise AssertionError('the request was answered')


@then('a generation whose slots fail on one of two endpoints ends on the other')
def check_failing_slots(context: Context) -> None:
    tokens = list(chain(*make_run(SlotsFailingOnFirst([]), 3).batches()))
    assert [chunk.offset for chunk in tokens] == [0, 1, 2]


@then('a generation requests to run alone only if it is a suspect')
def check_alone(context: Context) -> None:
    for reported_status in (QuarantineStatus.SUSPECT, QuarantineStatus.CLEAR):
        endpoint = FakeEndpoint([])
        list(make_run(endpoint, 3, reported_status).batches())
        alone_flags = [request.is_exclusive for request in endpoint.requests]
        assert alone_flags == [reported_status is QuarantineStatus.SUSPECT]
