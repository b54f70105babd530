"""Steps for the planned stop of an entry daemon."""

from __future__ import annotations

import http.client
import signal
import socket
import threading
import time
from collections.abc import Iterable
from contextlib import suppress
from unittest import mock

from behave import given, then, when
from behave.runner import Context
from entry_fleet import EntryFleet, wait_for
from stop_callers import (
    GRACE_S,
    Caller,
    Stop,
    call_until_gone,
    lost_requests,
    wait_for_log,
)

from hypothesis import given as over
from hypothesis import seed, settings
from hypothesis import strategies as st

from pimentohoist._decisions.recent_durations import RecentDurations
from pimentohoist._decisions.shutdown_schedule import ExpectedTimes, ShutdownSchedule
from pimentohoist._http_server import HttpServer

_STREAM = '/models/x'
_SHORT = '/look/x'
_PAYMENT = '/pay/x'
_EVENTS = 6
_STREAM_CALLERS = 12
_SHORT_CALLERS = 28
_IDLE_CONNECTIONS = 20
_SERVER_HOST = '127.42.77.1'
_SERVER_PORT = 8000

_GRACES_S = st.floats(1, 60)
_DURATIONS_S = st.floats(0.001, 30)
_RENEWAL_S = 2.0
"""Time for which callers cache a response of the directory."""


@seed(22)
@settings(max_examples=500, database=None, deadline=None)
@over(
    _GRACES_S,
    st.floats(0, 60),
    _DURATIONS_S,
    st.lists(_DURATIONS_S),
    st.booleans(),
    st.booleans(),
)
def check_accepted(
    grace_s: float,
    now: float,
    limit_s: float,
    answered_s: list[float],
    has_alternative: bool,
    is_stream: bool,
) -> None:
    schedule = ShutdownSchedule(0, grace_s)
    recent = RecentDurations()
    for duration_s in answered_s:
        recent.record(duration_s)
    usual_s = recent.usual_max_s()
    times = ExpectedTimes(limit_s, usual_s, has_alternative, is_stream)
    if not schedule.may_begin(now, times):
        return
    is_renewed = now > _RENEWAL_S + 1 and (has_alternative or is_stream)
    is_limit_needed = usual_s is None or is_renewed
    longest_s = limit_s if is_limit_needed else min(limit_s, max(answered_s[-100:]))
    assert now + longest_s <= schedule.answers_end_at
    assert schedule.answers_end_at < schedule.exit_at < grace_s


@seed(23)
@settings(max_examples=500, database=None, deadline=None)
@over(
    _GRACES_S, st.floats(0, 60), _DURATIONS_S, st.none() | _DURATIONS_S, st.booleans()
)
def check_served(
    grace_s: float,
    now: float,
    limit_s: float,
    usual_s: float | None,
    has_alternative: bool,
) -> None:
    schedule = ShutdownSchedule(0, grace_s)
    times = ExpectedTimes(limit_s, usual_s, has_alternative)
    if now + limit_s <= schedule.answers_end_at:
        assert schedule.may_begin(now, times)


@then('a request that a stopping daemon accepts ends before it, as far as is known')
def check_generated_acceptance(context: Context) -> None:
    check_accepted()


@then('a request that must end before the daemon is accepted at any time of the stop')
def check_generated_service(context: Context) -> None:
    check_served()


@given('a stopping fleet of {daemons:d} daemon whose streams take {stream_s:g} s')
@given('a stopping fleet of {daemons:d} daemons whose streams take {stream_s:g} s')
def start_fleet(context: Context, daemons: int, stream_s: float) -> None:
    context.fleet = context.stack.enter_context(EntryFleet())
    context.fleet.add_engine('engine-1')
    context.fleet.add_engine('engine-2')
    timeout_ms = int(max(4, 2 * stream_s) * 1000)
    context.fleet.declare(1, timeout_ms=timeout_ms)
    context.fleet.start_ready(daemons)
    for daemon in range(daemons):
        assert context.fleet.send_request(adapter='a0', daemon=daemon).status == 200
    for engine in context.fleet.engines:
        engine.faults.event_s = stream_s / _EVENTS
    context.stop = Stop(context.fleet.daemons[0])


@given('it has answered {count:d} streams before they take {stream_s:g} s')
def answer_streams(context: Context, count: int, stream_s: float) -> None:
    for _ in range(count):
        assert context.fleet.send_request(adapter='a0').status == 200
    for engine in context.fleet.engines:
        engine.faults.event_s = stream_s / _EVENTS


@when(
    'streams are sent on kept connections each {step_s:g} s '
    'from {first_s:g} s to {last_s:g} s after SIGTERM'
)
def send_on_kept(
    context: Context, step_s: float, first_s: float, last_s: float
) -> None:
    count = int((last_s - first_s) / step_s) + 1
    callers = [Caller(context.stop) for _ in range(count)]
    context.stop.begin()
    for number, caller in enumerate(callers):
        sent_at_s = first_s + number * step_s
        context.stop.start_thread(caller.send_at, sent_at_s, _STREAM, f'kept-{number}')
    context.stop.join()


@given('it has answered {count:d} payments')
def answer_payments(context: Context, count: int) -> None:
    for _ in range(count):
        assert context.fleet.send_request(_PAYMENT).status == 200


@when(
    'payments of {work_s:g} s are sent on kept connections each {step_s:g} s '
    'from {first_s:g} s to {last_s:g} s after SIGTERM'
)
def send_payments(
    context: Context, work_s: float, step_s: float, first_s: float, last_s: float
) -> None:
    count = int((last_s - first_s) / step_s) + 1
    callers = [Caller(context.stop, int(work_s * 1000)) for _ in range(count)]
    context.stop.begin()
    for number, caller in enumerate(callers):
        sent_at_s = first_s + number * step_s
        context.stop.start_thread(caller.send_at, sent_at_s, _PAYMENT, f'pay-{number}')
    context.stop.join()


@when(
    'streams are sent on kept connections as soon as the daemon has found itself idle'
)
def send_when_idle(context: Context) -> None:
    callers = [Caller(context.stop) for _ in range(_IDLE_CONNECTIONS)]
    context.stop.begin()
    wait_for_log(context.stop.daemon, 'all requests are refused', GRACE_S)
    for number, caller in enumerate(callers):
        context.stop.start_thread(caller.send, _STREAM, f'idle-{number}')
        time.sleep(0.01)
    context.stop.join()


@when(
    'streams and short requests are sent on new connections '
    'from {first_s:g} s after SIGTERM on'
)
def send_on_new(context: Context, first_s: float) -> None:
    stop = context.stop
    stop.begin()
    time.sleep(first_s)
    for number in range(_STREAM_CALLERS):
        stop.start_thread(call_until_gone, stop, f'stream-{number}', _STREAM, 0.1)
        time.sleep(0.05)
    for number in range(_SHORT_CALLERS):
        stop.start_thread(call_until_gone, stop, f'short-{number}', _SHORT, 0.1)
    stop.join()


@when(
    'a stream is sent {first_s:g} s after SIGTERM, '
    'and others on new connections from {later_s:g} s on'
)
def send_late(context: Context, first_s: float, later_s: float) -> None:
    stop = context.stop
    stop.begin()
    time.sleep(first_s)
    # It keeps the daemon from ending.
    stop.start_thread(Caller(stop).send, _STREAM, 'first')
    time.sleep(later_s - first_s)
    for number in range(_STREAM_CALLERS):
        stop.start_thread(call_until_gone, stop, f'late-{number}', _STREAM, 0.1)
    stop.join()


@when('a request and a stream without a first event run as SIGTERM comes')
def stop_with_long_requests(context: Context) -> None:
    stop = context.stop
    context.fleet.ledger.faults.is_silent = True
    stop.signalled_at = time.monotonic()
    stop.start_thread(Caller(stop).send, _SHORT, 'long-request')
    stop.start_thread(Caller(stop).send, _STREAM, 'long-stream')
    engines = (*context.fleet.engines, context.fleet.ledger)
    wait_for(
        lambda: sum(len(engine.state.executed_requests) for engine in engines) >= 4, 3
    )
    stop.begin()
    stop.join()
    context.fleet.ledger.faults.is_silent = False


@then('each is answered whole or surely not run')
def check_not_lost(context: Context) -> None:
    lost = lost_requests(context.fleet, context.stop)
    times = [
        (sent.request_id, sent.sent_after_s, sent.ended_after_s, sent.status)
        for sent in lost
    ]
    assert context.stop.requests
    assert not lost, times


@then('both get a whole answer with status {status:d}')
def check_statuses(context: Context, status: int) -> None:
    outcomes = {
        sent.request_id: (sent.status, sent.is_whole) for sent in context.stop.requests
    }
    assert set(outcomes.values()) == {(status, True)}, outcomes


@then('the daemon is gone before the kill')
def check_gone(context: Context) -> None:
    assert context.stop.gone_after_s is not None, 'it was killed'


@given('a server whose requests take as long as they say')
def start_server(context: Context) -> None:
    context.begun = []

    def app(environ: dict, start_response: object) -> Iterable[bytes]:
        duration_s = float(environ['PATH_INFO'].strip('/'))
        context.begun.append(duration_s)
        time.sleep(duration_s)
        start_response('200 OK', [('Content-Length', '4')])
        return [b'done']

    address = f'{_SERVER_HOST}:{_SERVER_PORT}'
    context.server = HttpServer(app, address, threads=4)
    context.server.__enter__()


@when(
    'it closes while a request of {first_s:g} s runs '
    'and one of {second_s:g} s arrives {delay_s:g} s later'
)
def close_server(
    context: Context, first_s: float, second_s: float, delay_s: float
) -> None:
    first, second = (
        http.client.HTTPConnection(_SERVER_HOST, _SERVER_PORT, timeout=5)
        for _ in range(2)
    )
    for connection in (first, second):
        connection.connect()
    first.request('GET', f'/{first_s}')
    time.sleep(0.1)
    closing = threading.Thread(target=context.server.__exit__)
    closing.start()
    time.sleep(delay_s)
    # The server may have closed this connection, since it was idle.
    with suppress(OSError):
        second.request('GET', f'/{second_s}')
    context.response = first.getresponse()
    context.body = context.response.read()
    closing.join()
    for connection in (first, second):
        connection.close()


@then('the running request gets a whole answer')
def check_running_answered(context: Context) -> None:
    assert (context.response.status, context.body) == (200, b'done')


@then("the request that arrived later hasn't begun")
def check_later_not_begun(context: Context) -> None:
    assert len(context.begun) == 1, context.begun


@given('a server with an answer of 64 MB of which its caller has read the beginning')
def start_large_answer(context: Context) -> None:
    body = bytes(64_000_000)

    def app(environ: dict, start_response: object) -> Iterable[bytes]:
        start_response('200 OK', [('Content-Length', str(len(body)))])
        return [body]

    server = HttpServer(app, f'{_SERVER_HOST}:{_SERVER_PORT}', threads=2)
    context.stack.enter_context(server)
    # How often waitress checks its connections.
    server._server.adj.cleanup_interval = 0.1
    server._server.next_channel_cleanup = 0
    context.connection = http.client.HTTPConnection(
        _SERVER_HOST, _SERVER_PORT, timeout=10
    )
    context.connection.connect()
    # A small buffer, so that most of the answer is still with the server.
    context.connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
    context.connection.request('GET', '/')
    context.response = context.connection.getresponse()
    context.left = len(body) - len(context.response.read(1000))
    # By then the server has taken over the whole answer from the application.
    time.sleep(0.5)


@when('the time of day jumps by an hour')
def jump_clock(context: Context) -> None:
    now = time.time
    with mock.patch('time.time', lambda: now() + 3600):
        time.sleep(2.5)


@then('the caller gets the whole answer')
def check_large_answer(context: Context) -> None:
    assert len(context.response.read()) == context.left
    context.connection.close()


@when('another daemon gets {name} {delay_s:g} s after its start')
def signal_starting_daemon(context: Context, name: str, delay_s: float) -> None:
    context.fleet.start()
    context.started = context.fleet.daemons[-1]
    time.sleep(delay_s)
    context.started.popen.send_signal(signal.Signals[name])


@then('it ends with status 0')
def check_end_status(context: Context) -> None:
    assert context.started.popen.wait(GRACE_S) == 0


@then('it becomes ready')
def check_becomes_ready(context: Context) -> None:
    wait_for(context.started.is_ready, 15)
