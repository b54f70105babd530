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
from pimentohoist._http_connection import HttpRequest, HttpResponse
from pimentohoist._platform_clients.log import HttpLog
from pimentohoist.configuration import Configuration
from pimentohoist.exceptions import OffsetExpiredError
from pimentohoist.keys import create_key
from pimentohoist_standins.demo import demo_sections
from pimentohoist_standins.fleet import Fleet

_OLD_DAEMONS = ('entry-1', 'entry-2')
_NEW_DAEMON = 'entry-3'
_SETTINGS = MappingProxyType({'snapshots': {'every_s': 1}})
_RETAINED_RECORDS = 3
_WAIT_S = 60


def send_action(
    context: Context, daemon: str, key: str, body: bytes = b'{}'
) -> HttpResponse:
    request = HttpRequest.from_json('POST', '/services/release/lots')
    headers = {
        **request.headers,
        'Authorization': f'Bearer {context.key}',
        'Idempotency-Key': key,
    }
    request = replace(request, body=body, headers=headers, is_repeatable=False)
    return context.fleet.request(daemon, request, timeout_s=_WAIT_S)


def have_fresh_view(context: Context, daemons: Iterable[str]) -> bool:
    states = [context.fleet.state(daemon) for daemon in daemons]
    members = len(context.fleet.daemons)
    return all(
        state['view']['is_fresh'] and len(state['view']['members']) == members
        for state in states
    )


def claims_state(context: Context, daemon: str) -> dict[str, Any]:
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
    wait_for(lambda: have_fresh_view(context, _OLD_DAEMONS), 'the view', _WAIT_S)
    context.first_bodies = {}
    for lot in range(count):
        response = send_action(context, _OLD_DAEMONS[lot % 2], f'lot-{lot}')
        assert response.status == 201, response
        context.first_bodies[f'lot-{lot}'] = response.body


@when('the log has dropped the records of their claims')
def drop_records(context: Context) -> None:
    log = HttpLog(context.fleet.addresses['log'], timeout_s=_WAIT_S)
    claims = len(context.first_bodies)
    # Each action has two records: its claim and its outcome.
    wait_for(lambda: claims_end_offset(log) >= 2 * claims, 'the outcomes', _WAIT_S)
    covered = claims_end_offset(log)
    wait_for(lambda: covered in snapshot_offsets(context), 'a snapshot', _WAIT_S)
    context.fleet.control('log', keep_records=_RETAINED_RECORDS)
    try:
        log.read(CLAIMS_STREAM, 0, wait_s=0)
    except OffsetExpiredError as error:
        assert error.first_offset == covered - _RETAINED_RECORDS
        return
    raise AssertionError('the log still has the records')


def claims_end_offset(log: HttpLog) -> int:
    return log.read(CLAIMS_STREAM, 0, wait_s=0).next_offset


def snapshot_offsets(context: Context) -> set[int]:
    states = (context.fleet.state(daemon) for daemon in _OLD_DAEMONS)
    appended = [state['snapshots']['appended'] for state in states]
    return {streams.get(CLAIMS_STREAM, {}).get('next_offset') for streams in appended}


@when('a daemon starts that has read none of them')
def start_new_daemon(context: Context) -> None:
    context.fleet.start_daemon(_NEW_DAEMON, _SETTINGS)
    wait_for(
        lambda: have_fresh_view(context, (_NEW_DAEMON,)),
        "the new daemon's view",
        _WAIT_S,
    )


@then('each action repeated through it gets its first response')
def check_responses(context: Context) -> None:
    wait_for(
        lambda: (
            claims_state(context, _NEW_DAEMON)['claims'] == len(context.first_bodies)
        ),
        "the new daemon's claims",
        _WAIT_S,
    )
    for key, body in context.first_bodies.items():
        response = send_action(context, _NEW_DAEMON, key)
        assert (response.status, response.body) == (201, body), response
        assert response.headers.get('Idempotency-Replayed') == 'true', response


@then('a repeat through it with another body is refused with {status:d} "{code}"')
def check_other_body(context: Context, status: int, code: str) -> None:
    response = send_action(context, _NEW_DAEMON, 'lot-0', b'[]')
    assert (response.status, response.document()['error']['code']) == (status, code), (
        response
    )


@then('an action with a new key runs')
def check_new_action(context: Context) -> None:
    response = send_action(context, _NEW_DAEMON, 'lot-new')
    assert response.status == 201, response
    assert 'Idempotency-Replayed' not in response.headers, response


@then('the ledger has run {count:d} actions')
def check_ledger(context: Context, count: int) -> None:
    response = context.fleet.request('ledger', HttpRequest.from_json('GET', '/'))
    assert response.document()['entries'] == count, response
