"""Steps on the quarantine of requests that crash endpoints."""

from __future__ import annotations

import threading
import time
from collections import Counter
from concurrent.futures import Future, ThreadPoolExecutor
from itertools import product

from behave import given, then, when
from behave.runner import Context
from callers import expected_text, runs, start_fleet, streamed_text, wait_for
from hypothesis import given as over
from hypothesis import seed, settings
from hypothesis import strategies as st

from pimentohoist._decisions.quarantine import (
    CrashRegister,
    QuarantineStatus,
    suspect_order,
)
from pimentohoist._filters.quarantine import request_fingerprint
from pimentohoist._http_connection import HttpResponse
from pimentohoist.configuration import Workspace
from pimentohoist.exchanges import CallerRequest, Exchange, RequestKind
from pimentohoist.models import AdapterVersion
from pimentohoist_standins.fleet import Fleet

_MODEL = 'batch-summary@1'
_TOKENS = 60

Event = tuple[str, str, str, float]
Crash = tuple[str, float]


def naive_status(events: list[Event], fingerprint: str, now: float) -> QuarantineStatus:
    """Return the quarantine status, recomputed from all events.

    Crashes of one endpoint within a second of the first of them count as one crash. All
    crashes expire ten minutes after the last; a success clears a single crash.
    """
    crashes: list[Crash] = []
    own = (event for event in events if event[1] == fingerprint)
    for kind, _, endpoint, at in own:
        crashes = unexpired(crashes, at)
        if kind == 'success':
            crashes = crashes if len(crashes) > 1 else []
        elif not is_same_crash(crashes, endpoint, at):
            crashes.append((endpoint, at))
    statuses = (
        QuarantineStatus.CLEAR,
        QuarantineStatus.SUSPECT,
        QuarantineStatus.QUARANTINED,
    )
    return statuses[min(2, len(unexpired(crashes, now)))]


def unexpired(crashes: list[Crash], now: float) -> list[Crash]:
    return crashes if crashes and now - crashes[-1][1] < 600 else []


def is_same_crash(crashes: list[Crash], endpoint: str, at: float) -> bool:
    if not crashes:
        return False
    last_endpoint, last_at = crashes[-1]
    return last_endpoint == endpoint and at - last_at < 1


_EVENT_STEPS = st.lists(
    st.tuples(
        st.sampled_from(('crash', 'crash', 'success')),
        st.sampled_from(('f1', 'f2')),
        st.sampled_from(('engine-1', 'engine-2')),
        st.sampled_from((0, 0.5, 0.75, 1, 30, 300, 599, 600)),
    ),
    max_size=25,
)


@seed(503)
@settings(max_examples=1000, database=None, deadline=None)
@over(_EVENT_STEPS)
def check_register(steps: list[Event]) -> None:
    register = CrashRegister()
    events: list[Event] = []
    now = 1000.0
    for kind, fingerprint, endpoint, wait_s in steps:
        now += wait_s
        events.append((kind, fingerprint, endpoint, now))
        if kind == 'crash':
            register.record_crash(fingerprint, endpoint, now)
        else:
            register.clear(fingerprint, now)
        for name in ('f1', 'f2'):
            expected = naive_status(events, name, now)
            assert register.quarantine_status(name, now) is expected, (events, name)


@then('the crash register equals the naive one over generated crashes and successes')
def check_register_matches_naive(context: Context) -> None:
    check_register()


_NAMES = st.lists(st.sampled_from('abcdefgh'), unique=True)


@seed(505)
@settings(max_examples=300, database=None, deadline=None)
@over(st.text(max_size=8), _NAMES.flatmap(lambda names: st.permutations(names)), _NAMES)
def check_suspect_order(name: str, endpoints: list[str], blamed: list[str]) -> None:
    order = suspect_order(name, endpoints, ())
    assert order == suspect_order(name, sorted(endpoints), ())
    assert sorted(order) == sorted(endpoints)
    own = suspect_order(name, endpoints, blamed)
    assert own == [
        *(endpoint for endpoint in order if endpoint not in blamed),
        *(endpoint for endpoint in order if endpoint in blamed),
    ]


@then("a suspect's generated endpoints have one order on all daemons, blamed ones last")
def check_generated_orders(context: Context) -> None:
    check_suspect_order()
    firsts = Counter(suspect_order(f'f{index}', 'abcd', ())[0] for index in range(400))
    # Each is expected 100 times; 60 is more than four standard deviations below.
    assert len(firsts) == 4, firsts
    assert min(firsts.values()) > 60, firsts


@given(
    'a quarantining fleet of {daemons:d} daemons and {engines:d} engines '
    'that crash on "{text}"'
)
def start_quarantining_fleet(
    context: Context, daemons: int, engines: int, text: str
) -> None:
    context.fleet = context.stack.enter_context(Fleet())
    context.caller = start_fleet(context.fleet, daemons, engines)
    context.engines = [f'engine-{index}' for index in range(1, engines + 1)]
    for name in context.engines:
        context.fleet.control(name, crash_on=text)


@given('{count:d} harmless streams in flight at the same time')
def start_harmless_streams(context: Context, count: int) -> None:
    pool = context.stack.enter_context(ThreadPoolExecutor(count))
    context.harmless_streams = {
        f'harmless {index}': pool.submit(
            context.caller.complete,
            'entry-1',
            model=_MODEL,
            prompt=f'harmless {index}',
            max_tokens=_TOKENS,
            stream=True,
        )
        for index in range(count)
    }
    try:
        wait_for(
            lambda: (
                sum(len(runs(context.fleet, name)) for name in context.engines) == count
            ),
            'all harmless streams run',
        )
    except AssertionError as error:
        raise AssertionError(
            f'{error}; {ended_streams(context.harmless_streams)}'
        ) from error
    time.sleep(0.2)


def ended_streams(streams: dict[str, Future[HttpResponse]]) -> dict[str, str]:
    """Return the responses or errors of the streams that have ended."""
    return {
        prompt: repr(stream.exception() or stream.result())
        for prompt, stream in streams.items()
        if stream.done()
    }


@when('the caller sends "{prompt}" through "{daemon}"')
def send_prompt(context: Context, prompt: str, daemon: str) -> None:
    context.reply = context.caller.complete(
        daemon, model=_MODEL, prompt=prompt, max_tokens=2
    )


@then('it is refused with {status:d} "{code}" and two engines have crashed')
def check_quarantined(context: Context, status: int, code: str) -> None:
    assert context.reply.status == status, context.reply
    assert context.reply.document()['error']['code'] == code, context.reply
    running = [
        name for name in context.engines if context.fleet.processes[name].is_running()
    ]
    assert len(running) == len(context.engines) - 2, running


@then('the harmless streams complete and none is left a suspect')
def check_harmless_streams(context: Context) -> None:
    for prompt, future in context.harmless_streams.items():
        text = streamed_text(future.result())
        assert text == expected_text(prompt, _MODEL, _TOKENS), text
    for daemon in ('entry-1', 'entry-2'):
        known = context.fleet.state(daemon)['quarantine']['known']
        assert known == {'quarantined': 1}, known


@when('callers send "{prompt}" {copies:d} times through each daemon at the same time')
def send_copies(context: Context, prompt: str, copies: int) -> None:
    daemons = context.fleet.daemons * copies
    barrier = threading.Barrier(len(daemons))

    def send(daemon: str) -> HttpResponse:
        barrier.wait()
        return context.caller.complete(
            daemon, model=_MODEL, prompt=prompt, max_tokens=2
        )

    with ThreadPoolExecutor(len(daemons)) as pool:
        context.replies = list(pool.map(send, daemons))


@then('all copies are refused, quarantined or not run, and at most two engines crashed')
def check_copies(context: Context) -> None:
    errors = [reply.document()['error'] for reply in context.replies]
    outcomes = Counter((error['code'], error['run']) for error in errors)
    running = [
        name for name in context.engines if context.fleet.processes[name].is_running()
    ]
    crashed = len(context.engines) - len(running)
    assert 1 <= crashed <= 2, (crashed, outcomes)
    assert 'request_quarantined' in {code for code, _ in outcomes}, outcomes
    for code, run_state in outcomes:
        assert code == 'request_quarantined' or run_state == 'not_run', outcomes


@when('a third daemon joins and has fetched the crashes from the others')
def join_third(context: Context) -> None:
    context.fleet.start_daemon('entry-3')
    wait_for(
        lambda: 'quarantined' in context.fleet.state('entry-3')['quarantine']['known'],
        f'quarantine on the third daemon; the first replied {context.reply}',
    )


def fingerprint(workspace: str, version: int, prompt: str, max_tokens: int) -> str:
    request = CallerRequest('r', RequestKind.COMPLETION, 'POST', '/', '', b'', '', 1)
    return request_fingerprint(
        Exchange(
            request,
            workspace=Workspace(workspace, 1, 1),
            adapter_version=AdapterVersion('batch-summary', version),
            prompt=prompt,
            max_tokens=max_tokens,
        )
    )


@then('requests that differ in one of these have different fingerprints')
def check_fingerprints(context: Context) -> None:
    fields = product(('w1', 'w2'), (1, 2), ('p1', 'p2'), (1, 12))
    fingerprints = [fingerprint(*case) for case in fields]
    assert len(set(fingerprints)) == len(fingerprints)
    assert fingerprint('w1', 1, 'p1', 1) == fingerprints[0]
