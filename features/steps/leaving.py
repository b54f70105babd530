"""Steps for endpoints and daemons that leave."""

from __future__ import annotations

import signal
import subprocess
import sys
import threading
import time
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when
from behave.runner import Context
from callers import WAIT_S, expected_text, runs, start_fleet, streamed_text, wait_for
from hypothesis import given as over
from hypothesis import seed, settings
from hypothesis import strategies as st

from pimentohoist._controllers.drain import DrainController
from pimentohoist._decisions.draining import DrainProgress, is_drained
from pimentohoist._http_connection import HttpRequest, HttpResponse
from pimentohoist_standins.fleet import Fleet

_MODEL = 'batch-summary@1'
_ENTRIES_MAX_AGE_S = 1
_ENTRIES_REQUEST = HttpRequest.from_json('GET', '/v1/entries')
_INSTANCE_LIST_LAG_S = 1
_LIST_UPDATE_LIMIT_S = 3
_REQUEST_INTERVAL_S = 0.1


@seed(504)
@settings(max_examples=500, database=None, deadline=None)
@over(
    st.integers(0, 20),
    st.integers(1, 10),
    st.sampled_from((30, 3600)),
    st.integers(0, 40),
)
def check_address_held(
    announced_at: int, kept_s: int, limit_s: int, busy_until: int
) -> None:
    """Check each second of a planned stop.

    Any daemon may return a list with the address until 2 s after the announcement, and
    a caller keeps the list for `kept_s` seconds; a request runs until `busy_until`.
    """
    for now in range(60):
        recorded_at = announced_at if now >= announced_at else None
        progress = DrainProgress(0, recorded_at, kept_s, limit_s)
        is_held = now < announced_at + 2 + kept_s
        expected = now >= limit_s or not (is_held or now < busy_until)
        assert is_drained(progress, now, is_idle=now >= busy_until) is expected


@then("in generated stops no caller holds the daemon's address when it has drained")
def check_generated_stops(context: Context) -> None:
    check_address_held()


@given(
    'a leaving fleet of {daemons:d} daemon and {engines:d} engines '
    'with a stream of {tokens:d} tokens running'
)
@given(
    'a leaving fleet of {daemons:d} daemons and {engines:d} engines '
    'with a stream of {tokens:d} tokens running'
)
def start_leaving_fleet(
    context: Context, daemons: int, engines: int, tokens: int
) -> None:
    context.fleet = context.stack.enter_context(Fleet())
    callers = {'entries_max_age_s': _ENTRIES_MAX_AGE_S}
    context.caller = start_fleet(context.fleet, daemons, engines, callers=callers)
    context.engines = [f'engine-{index}' for index in range(1, engines + 1)]
    context.pool = context.stack.enter_context(ThreadPoolExecutor(8))
    context.tokens = tokens
    context.stream = context.pool.submit(stream, context, 'entry-1', tokens)
    wait_for(lambda: busy_engine(context) != '', 'an engine runs the stream')


def stream(context: Context, daemon: str, tokens: int) -> HttpResponse:
    return context.caller.complete(
        daemon, model=_MODEL, prompt='long', max_tokens=tokens, stream=True
    )


def busy_engine(context: Context) -> str:
    busy = [name for name in context.engines if runs(context.fleet, name)]
    return busy[0] if busy else ''


@when('the engine of the stream is marked as leaving in {where}')
def mark_as_leaving(context: Context, where: str) -> None:
    context.leaving = busy_engine(context)
    if where == 'its own status':
        context.fleet.control(context.leaving, is_leaving=True)
        return
    entry = {'address': context.fleet.addresses[context.leaving], 'is_leaving': True}
    context.fleet.request(
        'instances', HttpRequest.from_json('PUT', '/instances', [entry])
    )
    time.sleep(_INSTANCE_LIST_LAG_S)


@then('after {wait_s:d} s only the other engine gets new requests')
def check_no_new_work(context: Context, wait_s: int) -> None:
    time.sleep(wait_s)
    for _ in range(5):
        response = context.caller.complete(
            'entry-1', model=_MODEL, prompt='new', max_tokens=2
        )
        assert response.status == 200, response
    work = {name: len(runs(context.fleet, name)) for name in context.engines}
    other = next(name for name in context.engines if name != context.leaving)
    assert work == {context.leaving: 1, other: 5}, work


@then('the running stream completes')
def check_stream(context: Context) -> None:
    assert not context.stream.done()
    text = streamed_text(context.stream.result())
    assert text == expected_text('long', _MODEL, context.tokens)


@given('callers that follow the address list')
def start_callers(context: Context) -> None:
    context.stopped = threading.Event()
    context.stack.callback(context.stopped.set)
    context.callers = [
        context.pool.submit(follow_list, context, name)
        for name in context.fleet.daemons
    ]


def follow_list(context: Context, daemon: str) -> list[int]:
    """Send requests to the first address of a list, kept until its maximum age."""
    names = {context.fleet.addresses[name]: name for name in context.fleet.daemons}
    statuses = []
    while not context.stopped.is_set():
        document = context.fleet.request(daemon, _ENTRIES_REQUEST).document()
        daemon = names[document['entries'][0]]
        expires_at = time.monotonic() + document['max_age_s']
        while time.monotonic() < expires_at and not context.stopped.is_set():
            response = context.caller.complete(
                daemon, model=_MODEL, prompt='short', max_tokens=2
            )
            statuses.append(response.status)
            time.sleep(_REQUEST_INTERVAL_S)
    return statuses


@when('"{daemon}" gets SIGTERM while callers follow its list')
def stop_daemon(context: Context, daemon: str) -> None:
    time.sleep(0.5)
    context.fleet.processes[daemon].signal(signal.SIGTERM)
    context.signalled_at = time.monotonic()


@then("its own list omits it at once and the other's list within {limit_s:d} s")
def check_address_lists(context: Context, limit_s: int) -> None:
    time.sleep(0.2)
    other = [context.fleet.addresses['entry-2']]
    own_list = context.fleet.request('entry-1', _ENTRIES_REQUEST).document()['entries']
    assert own_list == other, own_list
    while (
        context.fleet.request('entry-2', _ENTRIES_REQUEST).document()['entries']
        != other
    ):
        assert time.monotonic() - context.signalled_at < limit_s
        time.sleep(0.05)


@then('a stream of {tokens:d} tokens begun with a kept address list completes')
def check_late_stream(context: Context, tokens: int) -> None:
    text = streamed_text(stream(context, 'entry-1', tokens))
    assert text == expected_text('long', _MODEL, tokens)


@then('"{daemon}" exits with code {code:d} and every request was answered completely')
def check_drained(context: Context, daemon: str, code: int) -> None:
    process = context.fleet.processes[daemon].popen
    assert process.wait(WAIT_S) == code
    context.stopped.set()
    for caller in context.callers:
        statuses = caller.result()
        assert len(statuses) >= 5, statuses
        assert set(statuses) == {200}, statuses
    text = streamed_text(context.stream.result())
    assert text == expected_text('long', _MODEL, context.tokens)


@when('"{daemon}" gets SIGTERM twice')
def signal_twice(context: Context, daemon: str) -> None:
    process = context.fleet.processes[daemon]
    process.signal(signal.SIGTERM)
    try:
        wait_for(
            lambda: context.fleet.state(daemon)['drain']['is_announced'],
            'the stop is announced',
        )
    except AssertionError as error:
        raise AssertionError(
            f'{error}; its log: {context.fleet.logs(daemon)}'
        ) from error
    time.sleep(_LIST_UPDATE_LIMIT_S + _ENTRIES_MAX_AGE_S)
    assert process.is_running()
    process.signal(signal.SIGTERM)


@then('"{daemon}" soon exits with code {code:d}')
def check_exit(context: Context, daemon: str, code: int) -> None:
    assert context.fleet.processes[daemon].popen.wait(WAIT_S) == code


@when('the log goes down and "{daemon}" gets SIGTERM')
def stop_without_log(context: Context, daemon: str) -> None:
    context.fleet.control('log', is_down=True)
    context.fleet.processes[daemon].signal(signal.SIGTERM)


@then('"{daemon}" is not on its own list and continues to serve')
def check_serving(context: Context, daemon: str) -> None:
    time.sleep(_LIST_UPDATE_LIMIT_S + 2 * _ENTRIES_MAX_AGE_S)
    entries = context.fleet.request(daemon, _ENTRIES_REQUEST).document()['entries']
    assert entries == [context.fleet.addresses['entry-2']], entries
    assert not context.fleet.state(daemon)['drain']['is_announced']


@when('the log is up again')
def restore_log(context: Context) -> None:
    context.fleet.control('log', is_down=False)


_STOP_SCRIPT = """
import os, signal, time
from pimentohoist._signals import stop_event
stopped = stop_event()
with stopped._cond:
    os.kill(os.getpid(), signal.SIGTERM)
    time.sleep(0.1)
raise SystemExit(0 if stopped.wait(5) else 1)
"""
_OTHER_THREAD_SCRIPT = """
import signal, threading
from pimentohoist._signals import stop_event
stopped = stop_event()
def get_signal():
    signal.pthread_kill(threading.get_ident(), signal.SIGTERM)
threading.Timer(0.5, get_signal).start()
stopped.wait()
"""
_REQUEST_S = 0.3


class _BusyServer:
    """A server on which a request begins right after the first check that none runs."""

    def __init__(self) -> None:
        self.checks = 0
        self.is_refusing = False
        self.ended = threading.Event()

    def is_idle(self) -> bool:
        self.checks += 1
        if self.checks == 1:
            threading.Timer(_REQUEST_S, self.ended.set).start()
            return True
        return self.ended.is_set()

    def refuse_requests(self) -> None:
        self.is_refusing = True


class _Membership:
    incarnation = 'entry-1'


class _AcceptingLog:
    def append(self, *records: object, **options: object) -> int:
        return 1


@when('a daemon drains and a request begins right after the check that none runs')
def drain_with_late_request(context: Context) -> None:
    context.server = _BusyServer()
    drain = DrainController(
        _AcceptingLog(), _Membership(), entries_max_age_s=0, limit_s=30
    )
    with drain:
        drain.request_stop()
        drain.wait(context.server)


@then('the drain ends after that request, and others are refused meanwhile')
def check_late_request_finished(context: Context) -> None:
    assert context.server.ended.is_set()
    assert context.server.is_refusing


@when('SIGTERM comes while the main thread holds the lock of the event that it sets')
def signal_within_lock(context: Context) -> None:
    context.process = subprocess.Popen([sys.executable, '-c', _STOP_SCRIPT])


@when('SIGTERM is delivered to another thread while the main thread waits')
def signal_other_thread(context: Context) -> None:
    context.process = subprocess.Popen([sys.executable, '-c', _OTHER_THREAD_SCRIPT])


@then('the process stops')
def check_process_stops(context: Context) -> None:
    try:
        assert context.process.wait(WAIT_S) == 0
    finally:
        context.process.kill()
        context.process.wait()
