"""Steps of retries and resumed answers."""

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
from hypothesis import given as over
from hypothesis import seed, settings
from hypothesis import strategies as st

from pimentohoist._decisions.quarantine import QuarantineStatus
from pimentohoist._decisions.retry_budget import (
    BURST_RETRIES,
    MAX_ATTEMPTS,
    RetryBudget,
)
from pimentohoist._http_client import HttpClient, HttpRequest
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


def naive_budget(events: list[bool]) -> list[bool]:
    """Return which retries are allowed; True stands for a retry, False a request."""
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
@over(
    st.lists(st.tuples(st.booleans(), st.integers(1, 90)), max_size=20).map(
        lambda parts: [kind for kind, count in parts for _ in range(count)]
    )
)
def check_budget(events: list[bool]) -> None:
    budget = RetryBudget()
    allowed = []
    for is_retry in events:
        left = budget.after_retry() if is_retry else budget.after_request()
        if is_retry:
            allowed.append(left is not None)
        budget = left or budget
    assert allowed == naive_budget(events)
    assert sum(allowed) <= BURST_RETRIES + Fraction(events.count(False), 10)


@then('over generated requests and failures the retry budget equals the naive one')
def compare_budgets(context: Context) -> None:
    check_budget()


@dataclass(frozen=True)
class Attempt:
    """What a fake engine sends: tokens from `start` on, then perhaps a cut."""

    start_shift: int
    tokens: int
    foreign_at: int | None
    error: PeerError | None


class FakeEndpoint:
    """Slots, engine and slot in one, with scripted attempts."""

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
        """Nothing is held."""

    def mark_failed(self) -> None:
        """Nothing is kept."""

    def status(self) -> None:
        """Alive."""

    def cancel(self, request_id: str) -> None:
        """Nothing runs."""

    def generate(
        self, generation: Generation, readiness: ReadReadiness, *, timeout_s: float
    ) -> Iterator[list[TokenChunk]]:
        script = self.attempts.pop(0) if self.attempts else Attempt(0, 99, None, None)
        first = max(0, generation.resume_offset + script.start_shift)
        last = generation.max_tokens - 1
        for offset in range(first, min(first + script.tokens, last + 1)):
            is_foreign = script.foreign_at == offset - first
            reason = 'length' if offset == last else None
            request_id = 'foreign' if is_foreign else generation.request_id
            text = '!' if is_foreign else f'{offset} '
            self.sent += 1
            yield [TokenChunk(request_id, generation.adapter, offset, text, reason)]
        if script.error is not None:
            raise script.error


class FailingOrders(FakeEndpoint):
    """Gives no slot as long as the first endpoint isn't excluded."""

    def acquire(self, request: SlotRequest) -> FakeEndpoint:
        if 'engine-1' in request.excluded:
            return self
        raise PeerConnectError('down', step='fake', peer=self.endpoint.address)


class NoCrashes:
    def __init__(self, known: QuarantineStatus = QuarantineStatus.CLEAR) -> None:
        self.known = known

    def quarantine_status(self, fingerprint: str) -> QuarantineStatus:
        return self.known

    def report_crash(self, fingerprint: str, endpoint: str) -> QuarantineStatus:
        return QuarantineStatus.CLEAR

    def report_success(self, fingerprint: str) -> None:
        """Nothing is kept."""


def make_run(
    endpoint: FakeEndpoint,
    max_tokens: int,
    known: QuarantineStatus = QuarantineStatus.CLEAR,
) -> GenerationRun:
    request = CallerRequest('r1', RequestKind.COMPLETION, 'POST', '/', '', b'', '', 60)
    group = EndpointGroup('review', GroupKind.ENGINE, (endpoint.endpoint,))
    dependencies = RetryDependencies(
        endpoint,
        SimpleNamespace(cancel=lambda engine, request_id: None),
        NoCrashes(known),
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
@over(_ATTEMPTS, st.integers(1, 12))
def check_tokens_once(attempts: list[Attempt], max_tokens: int) -> None:
    endpoint = FakeEndpoint(attempts)
    run = make_run(endpoint, max_tokens)
    whole = [f'{offset} ' for offset in range(max_tokens)]
    received = []
    try:
        for batch in run.batches():
            received.extend(chunk.text for chunk in batch)
    except PimentohoistError as error:
        assert run.attempts == MAX_ATTEMPTS
        assert received == whole[: len(received)]
        state = RunState.RUN if received else RunState.UNKNOWN
        assert error.run_state is state
    else:
        assert received == whole


@then('over generated attempts each caller gets its own tokens once and in order')
def compare_tokens(context: Context) -> None:
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
        'all streams run',
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


@then('every stream ends whole with each token once')
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
def cross_answers(context: Context) -> None:
    for name in context.engines:
        context.fleet.control(name, wrong_answers=1)


@then('a plain and a streamed completion of {tokens:d} tokens are whole and their own')
def check_own_answers(context: Context, tokens: int) -> None:
    document = {'model': _MODELS[0], 'prompt': _PROMPT, 'max_tokens': tokens}
    wanted = expected_text(_PROMPT, _MODELS[0], tokens)
    plain = context.caller.complete('entry-1', **document)
    assert plain.document()['choices'][0]['text'] == wanted, plain
    streamed = context.caller.complete('entry-1', **document, stream=True)
    assert streamed_text(streamed) == wanted


@when('a caller goes away in the middle of a stream of {tokens:d} tokens')
def go_away(context: Context, tokens: int) -> None:
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


@then('the engine soon runs nothing and was told to cancel')
def check_cancelled(context: Context) -> None:
    fleet = context.fleet
    wait_for(
        lambda: fleet.state('entry-1')['cancellations']['sent'] == 1, 'cancellation'
    )
    status = HttpRequest.of_json('GET', '/v1/status')
    wait_for(
        lambda: fleet.ask('engine-1', status).document()['requests_in_flight'] == 0,
        'the engine runs nothing',
    )


@when('the only engine is killed')
def kill_only_engine(context: Context) -> None:
    document = {'model': _MODELS[0], 'prompt': _PROMPT, 'max_tokens': 2}
    assert context.caller.complete('entry-1', **document).status == 200
    context.fleet.processes['engine-1'].kill()


@then('a streamed completion gets a JSON error as not run with status {status:d}')
def check_json_error(context: Context, status: int) -> None:
    reply = context.caller.complete(
        'entry-1', model=_MODELS[0], prompt=_PROMPT, max_tokens=2, stream=True
    )
    assert reply.status == status, reply
    assert reply.headers['Content-Type'] == 'application/json'
    error = reply.document()['error']
    assert error['run'] == 'not_run', error


def answer_once(listener: socket.socket) -> None:
    connection, _ = listener.accept()
    connection.recv(4096)
    connection.sendall(b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}')
    connection.recv(4096)
    listener.close()
    connection.close()


@given('a peer that answers once, then drops a request and stops listening')
def start_dropping_peer(context: Context) -> None:
    listener = context.stack.enter_context(socket.create_server(('127.0.0.1', 0)))
    host, port = listener.getsockname()
    context.client = HttpClient(f'{host}:{port}', timeout_s=5, step='test')
    pool = context.stack.enter_context(ThreadPoolExecutor(1))
    pool.submit(answer_once, listener)


@then('the client\'s second request ends with the run state "{state}"')
def check_lost_request(context: Context, state: str) -> None:
    request = HttpRequest.of_json('GET', '/')
    assert context.client.ask_json(request) is not None
    try:
        context.client.ask_json(request)
    except PeerError as error:
        assert error.run_state == state, error.run_state
    else:
        raise AssertionError('the request was answered')


@then('a run whose slots fail on one of two endpoints ends on the other')
def check_failing_orders(context: Context) -> None:
    tokens = list(chain(*make_run(FailingOrders([]), 3).batches()))
    assert [chunk.offset for chunk in tokens] == [0, 1, 2]


@then('a run asks to be alone when it is a suspect and else not')
def check_alone(context: Context) -> None:
    for known in (QuarantineStatus.SUSPECT, QuarantineStatus.CLEAR):
        endpoint = FakeEndpoint([])
        list(make_run(endpoint, 3, known).batches())
        asked = [request.is_alone for request in endpoint.requests]
        assert asked == [known is QuarantineStatus.SUSPECT]
