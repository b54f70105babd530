"""Steps on daemons that lose their links to all endpoints."""

from __future__ import annotations

import sys
import time
from collections import Counter
from pathlib import Path
from types import SimpleNamespace
from typing import Any
from unittest import mock

from behave import given, then, when
from behave.runner import Context

sys.path.append(str(Path(__file__).resolve().parent.parent))
from entry_fleet import wait_for  # noqa: E402
from linked_fleet import (  # noqa: E402
    CONTACT_S,
    LinkedCall,
    LinkedFleet,
    SteadyCallers,
)

from pimentohoist._entry.connections import Reach  # noqa: E402
from pimentohoist._entry import retry_policy as _retry_policy  # noqa: E402
from pimentohoist._entry.retry_policy import RetryPolicy  # noqa: E402

_SETTLE_S = 2.0
_MIN_SHARE_OF_OTHERS = 2 / 3
_MAX_FAILURES = 10
_FAILED_SHARE = 1 / 50
"""The stated rule: worse than this share of the others, and more failures than that."""

_SERVED_SHARE = 0.95
_CRASHED = 'endpoint crashed'
_REFUSALS = frozenset((408, 421, 429, 503))
_ADAPTERS_LOADED = 4


@given('a fleet of {daemons:d} daemons and {engines:d} engine whose links can be cut')
@given('a fleet of {daemons:d} daemons and {engines:d} engines whose links can be cut')
def start_linked_fleet(context: Context, daemons: int, engines: int) -> None:
    context.fleet = context.stack.enter_context(LinkedFleet())
    for number in range(engines):
        context.fleet.add_engine(f'engine-{number + 1}')
    context.fleet.declare(1)
    context.fleet.start_ready(daemons)


@given('callers of each daemon send requests with {bodies} bodies')
def start_callers(context: Context, bodies: str) -> None:
    callers = SteadyCallers(context.fleet, is_same_body=bodies == 'same')
    context.callers = context.stack.enter_context(callers)
    time.sleep(_SETTLE_S)


@when(
    '{count:d} daemons lose their links to all endpoints for {duration_s:d} s: {form}'
)
def cut_links(context: Context, count: int, duration_s: int, form: str) -> None:
    context.cut = list(range(count))
    _cut(context, duration_s, form)
    time.sleep(CONTACT_S)
    context.callers.__exit__()


@when(
    'the owner of the engine loses its links to all endpoints'
    ' for {duration_s:d} s: {form}'
)
def cut_owner(context: Context, duration_s: int, form: str) -> None:
    fleet = context.fleet
    engine = fleet.engines[0]
    engine.state.capacity = _ADAPTERS_LOADED
    owner = fleet.owner_of(engine)
    fleet.cut([owner], form)
    began_at = time.monotonic()
    ended_at = began_at + duration_s
    context.statuses = []
    number = 0
    while time.monotonic() < ended_at:
        number += 1
        daemon = number % len(fleet.daemons)
        sent_at = time.monotonic()
        response = fleet.send_request(adapter=f'new-{number}', daemon=daemon)
        if sent_at >= began_at + CONTACT_S:
            context.statuses.append((daemon, response.status))
        time.sleep(0.1)
    fleet.mend([owner])


@when('1 daemon loses its links for {duration_s:g} s, {times:d} times: {form}')
def cut_again(context: Context, duration_s: float, times: int, form: str) -> None:
    fleet = context.fleet
    for _ in range(times):
        fleet.cut(fleet.daemons[:1], form)
        time.sleep(duration_s)
        fleet.mend(fleet.daemons[:1])
        time.sleep(duration_s)


@when('a daemon is killed and starts while its links to all endpoints are cut')
def start_without_links(context: Context) -> None:
    fleet = context.fleet
    daemon = fleet.daemons[0]
    fleet.cut([daemon], 'hang')
    fleet.restart(0)
    context.cut_at = time.monotonic()
    context.cut = [0]
    wait_for(fleet.daemons[0].is_ready, 10)
    time.sleep(CONTACT_S * 2)
    context.mended_at = time.monotonic()
    fleet.mend(fleet.daemons[:1])
    context.callers.__exit__()


@then(
    'from 3 s on first tries are served there at least two thirds as often as elsewhere'
)
@then('from 3 s after its start first tries are served there as elsewhere')
def check_first_tries(context: Context) -> None:
    calls = _calls_under_cut(context)
    at_cut = [call for call in calls if call.daemon in context.cut]
    elsewhere = [call for call in calls if call.daemon not in context.cut]
    failed = len(at_cut) - _served(at_cut)
    share = _served(at_cut) / max(1, len(at_cut))
    wanted = _MIN_SHARE_OF_OTHERS * _served(elsewhere) / max(1, len(elsewhere))
    is_kept = share >= wanted or failed <= _MAX_FAILURES + len(at_cut) * _FAILED_SHARE
    assert at_cut and elsewhere, calls
    assert is_kept, (_summary(at_cut), _summary(elsewhere))


@then('callers of the other daemons are served all the while')
def check_others(context: Context) -> None:
    calls = context.callers.between(context.cut_at, context.mended_at + CONTACT_S)
    elsewhere = [call for call in calls if call.daemon not in context.cut]
    assert _served(elsewhere) >= _SERVED_SHARE * len(elsewhere), _summary(elsewhere)


@then('no request has run twice that may run once, and none that was refused')
def check_runs(context: Context) -> None:
    fleet = context.fleet
    endpoints = [fleet.ledger, *fleet.engines]
    runs = Counter(
        request.request_id
        for endpoint in endpoints
        for request in endpoint.state.executed_requests
    )
    once = {
        call.request_id
        for call in context.callers.calls
        if call.path.startswith(('/pay', '/models'))
    }
    twice = {name for name, count in runs.items() if count > 1} & once
    refused = {
        call.request_id for call in context.callers.calls if call.status in _REFUSALS
    }
    assert not twice, twice
    assert not refused & runs.keys() & once, refused & runs.keys() & once


@then('no daemon has recorded a crash, and no request was quarantined')
def check_crashes(context: Context) -> None:
    records = [line for daemon in context.fleet.daemons for line in daemon.lines()]
    crashes = [line for line in records if line['message'].startswith(_CRASHED)]
    quarantined = [line for line in records if line['step'] == 'quarantine']
    assert not crashes and not quarantined, (crashes[:2], quarantined[:2])


@then('from 3 s on requests for adapters that must be loaded are served at each daemon')
def check_loaded(context: Context) -> None:
    served = sum(status == 200 for _, status in context.statuses)
    assert len({daemon for daemon, _ in context.statuses}) > 2, context.statuses
    assert served >= _SERVED_SHARE * len(context.statuses), context.statuses


@then('from 3 s on callers are refused within {limit_s:g} s and told when to return')
def check_refused(context: Context, limit_s: float) -> None:
    calls = _calls_under_cut(context)
    late = [call for call in calls if call.took_s > limit_s]
    assert calls and len(late) <= len(calls) * _FAILED_SHARE, _summary(late)
    assert all(call.status == 503 for call in calls), _summary(calls)
    assert all(float(call.retry_after) > 0 for call in calls)


@then('within 3 s after the cut callers of all daemons are served')
def check_served_after(context: Context) -> None:
    since = context.mended_at + CONTACT_S / 2
    calls = context.callers.between(since, context.mended_at + CONTACT_S)
    assert calls and _served(calls) >= _SERVED_SHARE * len(calls), _summary(calls)


def _cut(context: Context, duration_s: float, form: str) -> None:
    fleet = context.fleet
    daemons = [fleet.daemons[number] for number in context.cut]
    context.cut_at = time.monotonic()
    fleet.cut(daemons, form)
    time.sleep(context.cut_at + duration_s - time.monotonic())
    context.mended_at = time.monotonic()
    fleet.mend(daemons)


def _calls_under_cut(context: Context) -> list[LinkedCall]:
    return context.callers.between(context.cut_at + CONTACT_S, context.mended_at)


def _served(calls: list[LinkedCall]) -> int:
    return sum(call.status == 200 for call in calls)


def _summary(calls: list[LinkedCall]) -> dict[object, object]:
    counts = Counter((call.path, call.status) for call in calls)
    examples = {
        (call.path, call.status): (call.request_id, round(call.took_s, 3), call.body)
        for call in calls
        if call.status != 200
    }
    return {**counts, 'examples': examples}


@given("an endpoint that broke off and can't be reached at first")
def break_off(context: Context) -> None:
    context.reached = [Reach.SILENT]
    context.crashes = []


@when('another endpoint is reached, and then the endpoint itself')
def detect(context: Context) -> None:
    context.reached.append(Reach.OPEN)
    endpoint: Any = SimpleNamespace(
        address='127.0.0.1:1', endpoint_id='engine-1', incarnation='engine-1#1'
    )
    policy: Any = RetryPolicy.__new__(RetryPolicy)
    links = SimpleNamespace(
        record_lost=lambda *lost: None, reaches_another=lambda lost: True
    )
    health = SimpleNamespace(record_connect_failure=lambda now: None)
    policy.forwarding = SimpleNamespace(links=links)
    policy.connections = SimpleNamespace(
        check_reach=lambda address: context.reached.pop(0)
    )
    policy.endpoints = SimpleNamespace(health_of=lambda name: health)
    policy.crash_reports = SimpleNamespace(
        record_crash=lambda *crash: context.crashes.append(crash)
    )
    policy.part_quarantine = mock.MagicMock()
    request: Any = mock.MagicMock()
    with mock.patch.object(_retry_policy, 'fingerprint_of'):
        with mock.patch.object(_retry_policy, 'log_fields', return_value={}):
            policy.detect_crash(request, endpoint)


@then('no crash is recorded')
def check_no_crash(context: Context) -> None:
    assert not context.crashes, context.crashes
    assert not context.reached
