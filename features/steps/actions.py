"""Steps on actions through daemons and a ledger."""

from __future__ import annotations

import signal
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace

from behave import given, then, when
from behave.runner import Context
from callers import wait_for

from pimentohoist._claims_fold import CLAIMS_STREAM
from pimentohoist._http_connection import HttpRequest, HttpResponse
from pimentohoist._platform_clients.log import HttpLog
from pimentohoist._view_fold import VIEW_STREAM, ExpireRecord
from pimentohoist.configuration import Configuration
from pimentohoist.keys import create_key
from pimentohoist_standins.demo import demo_sections
from pimentohoist_standins.fleet import Fleet

_DAEMONS = ('entry-1', 'entry-2', 'entry-3')
_POLL_S = 0.05
_WAIT_S = 30
_REQUEST_TIMEOUT_S = 60
_FREEZE_S = 4
_NOT_RUN = 'not_run'


@given('3 daemons and a ledger that take actions')
def start_actions_fleet(context: Context) -> None:
    fleet = context.stack.enter_context(Fleet())
    context.fleet = fleet
    fleet.start_standin('ledger', 'service')
    for name in _DAEMONS:
        fleet.start_daemon(name)
    section, context.key = create_key('line-1', 'lipstick-house')
    report = fleet.publish(Configuration.of(*demo_sections(fleet), section))
    assert report.is_in_force, report.text()
    wait_for(lambda: are_ready(fleet), 'the view', _WAIT_S)
    context.pool = context.stack.enter_context(ThreadPoolExecutor(24))


def are_ready(fleet: Fleet) -> bool:
    states = [fleet.state(name) for name in _DAEMONS]
    return all(
        state['claims']['head_read_s_ago'] is not None
        and len(state['view']['members']) == len(_DAEMONS)
        for state in states
    )


def send_action(
    context: Context, daemon: str, key: str, body: bytes = b'{}'
) -> HttpResponse:
    request = HttpRequest.from_json('POST', '/services/release/lots?line=1')
    headers = {**request.headers, 'Authorization': f'Bearer {context.key}'}
    if key:
        headers['Idempotency-Key'] = key
    request = replace(request, body=body, headers=headers, is_repeatable=False)
    return context.fleet.request(daemon, request, timeout_s=_REQUEST_TIMEOUT_S)


def response_error(reply: HttpResponse) -> dict:
    error: dict = reply.document().get('error', {})
    return error


def ledger_entries(context: Context) -> int:
    reply = context.fleet.request('ledger', HttpRequest.from_json('GET', '/'))
    count: int = reply.document()['entries']
    return count


def build_expire_record(context: Context, daemon: str) -> None:
    incarnation = context.fleet.state(daemon)['view']['incarnation']
    context.expire_record = ExpireRecord(incarnation=incarnation, reporter='test')


def append_expire_record(context: Context) -> None:
    log = HttpLog(context.fleet.addresses['log'], timeout_s=_WAIT_S)
    log.append(VIEW_STREAM, [context.expire_record.model_dump_json().encode()])


def has_claims(context: Context) -> bool:
    log = HttpLog(context.fleet.addresses['log'], timeout_s=_WAIT_S)
    return bool(log.read(CLAIMS_STREAM, 0, wait_s=0).records)


@when('{count:d} actions are each sent to 2 daemons at the same moment')
def send_each_twice(context: Context, count: int) -> None:
    context.fleet.control('ledger', work_s=0.2)
    sent = [(name, f'lot-{lot}') for lot in range(count) for name in _DAEMONS[:2]]
    context.replies = list(
        context.pool.map(lambda one: send_action(context, *one), sent)
    )
    context.keys = [f'lot-{lot}' for lot in range(count)]


@then('the ledger has {count:d} action entries')
def check_entries(context: Context, count: int) -> None:
    assert ledger_entries(context) == count, (ledger_entries(context), count)


@then(
    'the ledger has {count:d} action entries and every caller got the answer or '
    '"in progress"'
)
def check_concurrent_repeats(context: Context, count: int) -> None:
    check_entries(context, count)
    successful = [reply for reply in context.replies if reply.status == 201]
    assert len({reply.body for reply in successful}) == count, successful
    for reply in context.replies:
        if reply.status != 201:
            assert response_error(reply)['code'] == 'action_in_progress', reply
            assert int(reply.headers['Retry-After']) >= 1, reply


@then('each action repeated through each daemon gets its first answer back')
def check_repeats(context: Context) -> None:
    for key in context.keys:
        bodies = {await_success(context, daemon, key).body for daemon in _DAEMONS}
        assert len(bodies) == 1, bodies


def await_success(context: Context, daemon: str, key: str) -> HttpResponse:
    return await_reply(context, daemon, key, lambda reply: reply.status == 201)


def await_error_code(context: Context, daemon: str, code: str) -> HttpResponse:
    return await_reply(
        context, daemon, 'lot', lambda reply: response_error(reply).get('code') == code
    )


def await_reply(
    context: Context, daemon: str, key: str, is_expected: Callable[[HttpResponse], bool]
) -> HttpResponse:
    deadline = time.monotonic() + _WAIT_S
    reply = send_action(context, daemon, key)
    while not is_expected(reply):
        assert time.monotonic() < deadline, reply
        time.sleep(_POLL_S)
        reply = send_action(context, daemon, key)
    return reply


@then('a repeat with another body is refused with {status:d} "{code}"')
def check_conflict(context: Context, status: int, code: str) -> None:
    check_refused(send_action(context, 'entry-3', context.keys[0], b'[]'), status, code)


@then('an action without a key is refused with {status:d} "{code}"')
def check_without_key(context: Context, status: int, code: str) -> None:
    check_refused(send_action(context, 'entry-3', ''), status, code)


def check_refused(reply: HttpResponse, status: int, code: str) -> None:
    error = response_error(reply)
    assert (reply.status, error['code'], error['run']) == (status, code, _NOT_RUN)


@when('a daemon is killed while its action runs and is expired from the view')
def kill_while_running(context: Context) -> None:
    context.fleet.control('ledger', work_s=1)
    build_expire_record(context, 'entry-1')
    sent = context.pool.submit(send_action, context, 'entry-1', 'lot')
    wait_for(
        lambda: len(context.fleet.received_requests('ledger')) == 1, 'the call', _WAIT_S
    )
    context.fleet.processes['entry-1'].kill()
    assert sent.exception(_WAIT_S) is not None
    error = response_error(send_action(context, 'entry-2', 'lot'))
    assert error['code'] in {'action_in_progress', 'action_outcome_unknown'}, error
    append_expire_record(context)


@then('the action repeated elsewhere gets "{code}" with a Retry-After header')
def check_unknown_outcome(context: Context, code: str) -> None:
    for daemon in _DAEMONS[1:]:
        reply = await_error_code(context, daemon, code)
        assert response_error(reply)['run'] == 'unknown', reply
        assert int(reply.headers['Retry-After']) >= 1, reply
    # By now the ledger has the entry of the call in flight when the daemon was killed.
    wait_for(lambda: ledger_entries(context) > 0, 'the entry', _WAIT_S)


@when('a daemon is frozen while it claims an action, is expired, taken over and thaws')
def freeze_while_claiming(context: Context) -> None:
    fleet = context.fleet
    build_expire_record(context, 'entry-1')
    fleet.control('log', delay_s=1)
    context.sent = context.pool.submit(send_action, context, 'entry-1', 'lot')
    # By now the append has been sent; its response takes a second.
    time.sleep(0.5)
    fleet.processes['entry-1'].signal(signal.SIGSTOP)
    fleet.control('log', delay_s=0)
    wait_for(lambda: has_claims(context), 'the claim', _WAIT_S)
    append_expire_record(context)
    await_error_code(context, 'entry-2', 'action_outcome_unknown')
    time.sleep(_FREEZE_S)
    assert ledger_entries(context) == 0, 'the frozen daemon sent its call'
    fleet.processes['entry-1'].signal(signal.SIGCONT)
    context.reply = context.sent.result(_WAIT_S)


@then('its own caller is told that the action was not run')
def check_not_run(context: Context) -> None:
    assert response_error(context.reply).get('run') == _NOT_RUN, context.reply
    assert int(context.reply.headers['Retry-After']) >= 1, context.reply


@then('its own caller gets the answer, or correctly that the action was not run')
def check_response_after_thaw(context: Context) -> None:
    """Check a thawed daemon's response, which depends on what the daemon reads first."""
    if context.reply.status == 201:
        assert context.reply.body == b'{"entry": 1}', context.reply
    else:
        check_not_run(context)
        assert ledger_entries(context) == 0, (
            'the response says not run, but the ledger has an entry'
        )


@then('the action repeated elsewhere has the one entry as its answer')
def check_single_entry(context: Context) -> None:
    assert await_success(context, 'entry-2', 'lot').body == b'{"entry": 1}'


@given('an action that has run')
def run_action(context: Context) -> None:
    assert await_success(context, 'entry-1', 'first').body == b'{"entry": 1}'
    assert await_success(context, 'entry-2', 'first').body == b'{"entry": 1}'


@when('the log is down for actions')
def stop_log(context: Context) -> None:
    context.fleet.control('log', is_down=True)


@then(
    'a new action is refused within {limit_s:d} s as not run with a Retry-After header'
)
def check_refused_at_once(context: Context, limit_s: int) -> None:
    asked_at = time.monotonic()
    context.reply = send_action(context, 'entry-1', 'lot')
    assert time.monotonic() - asked_at < limit_s
    check_not_run(context)


@then('the action that has run is answered again')
def check_repeat(context: Context) -> None:
    reply = send_action(context, 'entry-2', 'first')
    assert (reply.status, reply.body) == (201, b'{"entry": 1}'), reply


@then('the refused action runs once the log is back')
def check_runs_with_log(context: Context) -> None:
    context.fleet.control('log', is_down=False)
    assert await_success(context, 'entry-1', 'lot').body == b'{"entry": 2}'


@when('the log has {fault} {count:d} at the next action')
def send_with_log_fault(context: Context, fault: str, count: int) -> None:
    context.fleet.control('log', **{fault: count})
    context.reply = send_action(context, 'entry-1', 'lot')


@then('the action is answered and its repeat through another daemon too')
def check_response_and_repeat(context: Context) -> None:
    assert (context.reply.status, context.reply.body) == (201, b'{"entry": 1}')
    assert await_success(context, 'entry-2', 'lot').body == b'{"entry": 1}'


@when('the ledger loses its answer to an action')
def lose_ledger_answer(context: Context) -> None:
    context.fleet.control('ledger', lose_answers=1)
    context.reply = send_action(context, 'entry-1', 'lot')


@then("the action's caller gets an unknown run state")
def check_unknown_run_state(context: Context) -> None:
    error = response_error(context.reply)
    assert (context.reply.status, error['run']) == (502, 'unknown'), context.reply


@when('the ledger is down at an action')
def stop_ledger(context: Context) -> None:
    context.fleet.processes['ledger'].kill()
    context.reply = send_action(context, 'entry-1', 'lot')


@then('the action runs under the same key once the ledger is back')
def check_runs_later(context: Context) -> None:
    context.fleet.start_standin('ledger', 'service')
    assert await_success(context, 'entry-2', 'lot').body == b'{"entry": 1}'
