"""Steps on answers without an end, at daemons as processes."""

from __future__ import annotations

import http.client
import sys
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from behave import then, when
from behave.runner import Context

sys.path.append(str(Path(__file__).resolve().parent.parent))
from entry_fleet import EntryFleet, EntryProcess, Response, wait_for  # noqa: E402

from pimentohoist_standins.endless import (  # noqa: E402
    ENDLESS_ANSWERS,
    TRICKLED_ANSWERS,
)
from pimentohoist_standins.opaque_engine import OpaqueEngine  # noqa: E402

_LIMIT_MESSAGE = 'response exceeds a limit'
_PAUSE_S = 0.05
_DEADLINE_MS = 1000
_CLOSE_TIMEOUT_S = 3
_MAX_TRIES = 300
_STORE_VERSION = 8
_STORE_KINDS = ('body without a length', 'chunks', 'continue heads')


def _ledgers(context: Context) -> tuple[OpaqueEngine, OpaqueEngine]:
    return context.fleet.ledger, context.second


def _executions(context: Context) -> int:
    return sum(len(ledger.state.executed_requests) for ledger in _ledgers(context))


def _limit_lines(context: Context) -> list[dict]:
    lines = context.fleet.daemons[0].lines()
    return [line for line in lines if line['message'] == _LIMIT_MESSAGE]


def peak_memory_kb(daemon: EntryProcess) -> int:
    """Return the peak of the resident size of a process."""
    status = Path(f'/proc/{daemon.popen.pid}/status').read_text()
    peak = next(line for line in status.splitlines() if line.startswith('VmHWM'))
    return int(peak.split()[1])


def _send_at_once(count: int, send: Callable[[int], object]) -> list:
    with ThreadPoolExecutor(count) as pool:
        return list(pool.map(send, range(count)))


def _record_memory(context: Context) -> None:
    context.peak_before_kb = peak_memory_kb(context.fleet.daemons[0])


@then(
    "for every kind of endless answer the other ledger's answer arrives within "
    '{limit_s:f} s'
)
def check_other_ledger(context: Context, limit_s: float) -> None:
    for number, (kind, answer) in enumerate(ENDLESS_ANSWERS.items()):
        ledger = _ledgers(context)[number % 2]
        ledger.faults.endless_answer = answer
        ledger.faults.endless_answers = 1
        _send_until_endless(context.fleet, ledger, kind, limit_s)


def _send_until_endless(
    fleet: EntryFleet, ledger: OpaqueEngine, kind: str, limit_s: float
) -> None:
    for _ in range(_MAX_TRIES):
        sent_at = time.monotonic()
        response = fleet.send_request('/look/1')
        elapsed_s = time.monotonic() - sent_at
        assert response.status == 200, (kind, response)
        assert elapsed_s < limit_s, (kind, elapsed_s)
        if ledger.faults.endless_answers <= 0:
            return
    raise AssertionError(f'no request was sent to {ledger.engine_id}')


@then('each kind has closed the connection, a log line and a failure of its endpoint')
def check_traces(context: Context) -> None:
    count = len(ENDLESS_ANSWERS)
    wait_for(lambda: _closed_answers(context) == count, _CLOSE_TIMEOUT_S)
    endpoints = context.fleet.daemons[0].state()['endpoints']
    lines = _limit_lines(context)
    retries = [
        line
        for line in context.fleet.daemons[0].lines()
        if line['message'].startswith('attempt failed, retrying: HTTPException')
    ]
    # The number of header lines is limited by the HTTP library.
    assert (len(retries), len(lines)) == (1, count - 1), lines
    assert {line['limit'] for line in lines} == {'head', 'framing', 'body'}, lines
    for line in lines:
        assert min(line['max_bytes'], len(line['id'])) > 0, line
        assert endpoints[line['endpoint']]['failure_share'] > 0, endpoints


def _closed_answers(context: Context) -> int:
    return sum(len(ledger.state.closed_answers) for ledger in _ledgers(context))


@then('for every kind of endless answer the caller gets 502 and one ledger executed it')
def check_run_once(context: Context) -> None:
    for count, (kind, answer) in enumerate(ENDLESS_ANSWERS.items(), start=1):
        for ledger in _ledgers(context):
            ledger.faults.endless_answer = answer
            ledger.faults.endless_answers = 1
        response = context.fleet.send_request('/pay/1')
        assert response.status == 502, (kind, response)
        assert _executions(context) == count, kind


@then(
    'for every kind of trickled answer the caller gets 504 within {limit_s:f} s of its '
    'deadline'
)
def check_trickled(context: Context, limit_s: float) -> None:
    faults = context.fleet.ledger.faults
    for kind, answer in TRICKLED_ANSWERS.items():
        faults.endless_answer = answer.trickled(_PAUSE_S)
        faults.endless_answers = 1
        sent_at = time.monotonic()
        response = context.fleet.send_request(
            '/pay/1', Pimentohoist_Deadline_Ms=str(_DEADLINE_MS)
        )
        elapsed_s = time.monotonic() - sent_at
        assert response.status == 504, (kind, response)
        assert elapsed_s < _DEADLINE_MS / 1000 + limit_s, (kind, elapsed_s)


@then("each trickled answer's connection is closed")
def check_trickled_closed(context: Context) -> None:
    closed = context.fleet.ledger.state.closed_answers
    wait_for(lambda: len(closed) == len(ENDLESS_ANSWERS), _CLOSE_TIMEOUT_S)


@when('{count:d} requests at once get {kind} without an end')
def send_at_once(context: Context, count: int, kind: str) -> None:
    faults = context.fleet.ledger.faults
    assert context.fleet.send_request('/pay/1').status == 200
    _record_memory(context)
    faults.endless_answer = ENDLESS_ANSWERS[kind]
    faults.endless_answers = count
    responses = _send_at_once(count, lambda _: context.fleet.send_request('/pay/1'))
    assert {response.status for response in responses} <= {502, 504}, responses


@then("the daemon's memory has grown by less than {limit_mb:d} MB")
def check_memory(context: Context, limit_mb: int) -> None:
    peak_kb = peak_memory_kb(context.fleet.daemons[0])
    context.grown_mb = (peak_kb - context.peak_before_kb) / 1024
    assert context.grown_mb < limit_mb, f'{context.grown_mb:.1f} MB'


@then('the next request is served')
def check_served(context: Context) -> None:
    assert context.fleet.send_request('/pay/1').status == 200


@when('{count:d} requests at once get an answer of {size_mb:d} MB')
def send_large(context: Context, count: int, size_mb: int) -> None:
    context.answer_bytes = size_mb * 1_000_000
    context.fleet.ledger.faults.answer_bytes = context.answer_bytes
    context.responses = _send_at_once(
        count, lambda _: context.fleet.send_request('/look/1')
    )


@then('all answers arrive complete')
def check_complete(context: Context) -> None:
    for response in context.responses:
        assert response.status == 200, response.status
        assert len(response.body) == context.answer_bytes
        own_id = response.headers['Pimentohoist-Attempt-Id']
        assert response.body.rstrip() == f'answer to {own_id}'.encode()


@when('an event without an end follows the second event of a stream that {may} resume')
def send_endless_event(context: Context, may: str) -> None:
    path = '/resumed/x' if may == 'may' else '/models/x'
    context.error = None
    context.responses = []
    # Adapters are spread over both engines, so some streams run on the failing one.
    for number in range(6):
        context.fleet.engines[0].faults.endless_after_events = 2
        context.fleet.engines[0].faults.endless_answers = 1
        try:
            response = context.fleet.send_request(path=path, adapter=f'a{number}')
        except http.client.IncompleteRead as error:
            context.error = error
            break
        context.responses.append(response)


@then('the daemon logs the limit of an event')
def check_event_line(context: Context) -> None:
    lines = _limit_lines(context)
    assert lines, 'no line'
    assert {line['limit'] for line in lines} == {'event'}, lines
    assert {line['endpoint'] for line in lines} == {'engine-0'}, lines


@when('{count:d} streams at once get an event without an end')
def send_endless_streams(context: Context, count: int) -> None:
    assert context.fleet.send_request().status == 200
    _record_memory(context)
    context.fleet.engines[0].faults.endless_after_events = 1
    context.fleet.engines[0].faults.endless_answers = count
    context.ends = _send_at_once(count, lambda _: _endless_stream(context))
    assert 'whole' not in context.ends, context.ends


def _endless_stream(context: Context) -> str:
    try:
        response: Response = context.fleet.send_request()
    except http.client.HTTPException as error:
        return type(error).__name__
    return 'whole' if response.status == 200 else str(response.status)


@when('the store sends endless answers for {duration_s:d} s')
def send_from_store(context: Context, duration_s: int) -> None:
    _record_memory(context)
    for kind in _STORE_KINDS:
        context.fleet.store.endless_answer = ENDLESS_ANSWERS[kind]
        time.sleep(duration_s / len(_STORE_KINDS))
    context.fleet.store.endless_answer = None


@then('a configuration declared afterwards is in force within {limit_s:d} s')
def check_declared(context: Context, limit_s: int) -> None:
    daemon = context.fleet.daemons[0]
    context.fleet.declare(_STORE_VERSION)
    wait_for(
        lambda: daemon.state()['declarations']['version'] == _STORE_VERSION, limit_s
    )
