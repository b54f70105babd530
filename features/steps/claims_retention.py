"""Steps on claims whose records have expired."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace
from types import MappingProxyType
from typing import Any

from behave import given, then, when
from behave.runner import Context
from callers import wait_for

from pimentohoist._claims_fold import CLAIMS_STREAM
from pimentohoist._http_client import HttpResponse, HttpRequest
from pimentohoist._platform_clients.log import HttpLog
from pimentohoist.configuration import Configuration
from pimentohoist.exceptions import OffsetExpiredError
from pimentohoist.keys import create_key
from pimentohoist_standins.demo import demo_sections
from pimentohoist_standins.fleet import Fleet

_OLD_DAEMONS = ('entry-1', 'entry-2')
_NEW_DAEMON = 'entry-3'
_SETTINGS = MappingProxyType({'snapshots': {'every_s': 1}})
_KEPT_RECORDS = 3
_WAIT_S = 60


def act(context: Context, daemon: str, key: str, body: bytes = b'{}') -> HttpResponse:
    request = HttpRequest.of_json('POST', '/services/release/lots')
    headers = {
        **request.headers,
        'Authorization': f'Bearer {context.key}',
        'Idempotency-Key': key,
    }
    request = replace(request, body=body, headers=headers, is_repeatable=False)
    return context.fleet.ask(daemon, request, timeout_s=_WAIT_S)


def are_ready(context: Context, daemons: Iterable[str]) -> bool:
    states = [context.fleet.state(daemon) for daemon in daemons]
    members = len(context.fleet.daemons)
    return all(
        state['view']['is_fresh'] and len(state['view']['members']) == members
        for state in states
    )


def claims_of(context: Context, daemon: str) -> dict[str, Any]:
    return context.fleet.state(daemon)['claims']


@given('2 daemons that have run {count:d} actions')
def run_actions(context: Context, count: int) -> None:
    fleet = context.stack.enter_context(Fleet())
    context.fleet = fleet
    fleet.start_standin('ledger', 'service')
    for name in _OLD_DAEMONS:
        fleet.start_daemon(name, _SETTINGS)
    section, context.key = create_key('line-1', 'lipstick-house')
    report = fleet.publish(Configuration.of(*demo_sections(fleet), section))
    assert report.is_in_force, report.text()
    wait_for(lambda: are_ready(context, _OLD_DAEMONS), 'the view', _WAIT_S)
    context.answers = {}
    for lot in range(count):
        reply = act(context, _OLD_DAEMONS[lot % 2], f'lot-{lot}')
        assert reply.status == 201, reply
        context.answers[f'lot-{lot}'] = reply.body


@when('the log has dropped the records of their claims')
def drop_records(context: Context) -> None:
    log = HttpLog(context.fleet.addresses['log'], timeout_s=_WAIT_S)
    claims = len(context.answers)
    # A claim and its outcome for each action.
    wait_for(lambda: head(log) >= 2 * claims, 'the outcomes', _WAIT_S)
    covered = head(log)
    wait_for(lambda: covered in snapshot_offsets(context), 'a snapshot', _WAIT_S)
    context.fleet.control('log', keep_records=_KEPT_RECORDS)
    try:
        log.read(CLAIMS_STREAM, 0, wait_s=0)
    except OffsetExpiredError as error:
        assert error.first_offset == covered - _KEPT_RECORDS
        return
    raise AssertionError('the log still has the records')


def head(log: HttpLog) -> int:
    return log.read(CLAIMS_STREAM, 0, wait_s=0).next_offset


def snapshot_offsets(context: Context) -> set[int]:
    states = (context.fleet.state(daemon) for daemon in _OLD_DAEMONS)
    appended = [state['snapshots']['appended'] for state in states]
    return {streams.get(CLAIMS_STREAM, {}).get('next_offset') for streams in appended}


@when('a daemon starts that has read none of them')
def start_newcomer(context: Context) -> None:
    context.fleet.start_daemon(_NEW_DAEMON, _SETTINGS)
    wait_for(lambda: are_ready(context, (_NEW_DAEMON,)), "the newcomer's view", _WAIT_S)


@then('each action repeated through it gets its first answer')
def check_answers(context: Context) -> None:
    wait_for(
        lambda: claims_of(context, _NEW_DAEMON)['claims'] == len(context.answers),
        'the claims of the newcomer',
        _WAIT_S,
    )
    for key, body in context.answers.items():
        reply = act(context, _NEW_DAEMON, key)
        assert (reply.status, reply.body) == (201, body), reply
        assert reply.headers.get('Idempotency-Replayed') == 'true', reply


@then('a repeat through it with another body is refused with {status:d} "{code}"')
def check_other_body(context: Context, status: int, code: str) -> None:
    reply = act(context, _NEW_DAEMON, 'lot-0', b'[]')
    assert (reply.status, reply.document()['error']['code']) == (status, code), reply


@then('an action that is new to it runs')
def check_new(context: Context) -> None:
    reply = act(context, _NEW_DAEMON, 'lot-new')
    assert reply.status == 201, reply
    assert 'Idempotency-Replayed' not in reply.headers, reply


@then('the ledger has run {count:d} actions')
def check_ledger(context: Context, count: int) -> None:
    reply = context.fleet.ask('ledger', HttpRequest.of_json('GET', '/'))
    assert reply.document()['entries'] == count, reply
