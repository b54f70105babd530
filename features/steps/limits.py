"""Steps on workspace limits, with separate processes."""

from __future__ import annotations

import json
import signal
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from dataclasses import dataclass, replace
from types import MappingProxyType

from behave import given, then, when
from behave.runner import Context

from pimentohoist._http_connection import HttpRequest, HttpResponse
from pimentohoist._openai import count_tokens
from pimentohoist.configuration import (
    Adapter,
    Configuration,
    Endpoint,
    EndpointGroup,
    GroupKind,
    Workspace,
)
from pimentohoist.exceptions import PimentohoistError
from pimentohoist.keys import create_key
from pimentohoist_standins.fleet import Fleet

_DAEMONS = ('entry-1', 'entry-2', 'entry-3')
_FLOOD = Workspace('flood', rate_tokens_per_s=60, burst_tokens=90)
_CALM = Workspace('calm', rate_tokens_per_s=60, burst_tokens=90)
_PROMPT = 'one two'
_MAX_TOKENS = 4
_COST_TOKENS = count_tokens(_PROMPT) + _MAX_TOKENS
_FAULT_S = 4.0
_MAX_SETTLE_S = 30


@dataclass(frozen=True)
class SentRequest:
    """A request that was sent, and its response."""

    sent_at: float
    took_s: float
    reply: HttpResponse
    daemon: str


@given('a fleet of 3 daemons and an engine with limited workspaces')
def start_limited_fleet(context: Context) -> None:
    fleet = context.stack.enter_context(Fleet())
    context.fleet = fleet
    address = fleet.start_standin('engine-1', 'engine', token_s=0.001)
    for daemon in _DAEMONS:
        # A planned stop lasts until callers' cached lists of entries have expired; the
        # load must last longer.
        fleet.start_daemon(daemon, {'callers': {'entries_max_age_s': 1}})
    group = EndpointGroup(
        'review', GroupKind.ENGINE, (Endpoint('engine-1', address, 'a'),), 'base'
    )
    sections = [_FLOOD, _CALM, group]
    context.limited_keys = {}
    for workspace in (_FLOOD, _CALM):
        section, context.limited_keys[workspace.name] = create_key(
            f'key-{workspace.name}', workspace.name
        )
        adapter = Adapter(f'of-{workspace.name}', 'review', (1,), 1, (workspace.name,))
        sections += [section, adapter]
    report = fleet.publish(Configuration.of(*sections))
    assert report.is_in_force, report.text()
    context.published_at = time.monotonic()
    wait_until_admitted(context)
    context.sent = {_FLOOD.name: [], _CALM.name: []}


def wait_until_admitted(context: Context) -> None:
    """Wait until every daemon admits every workspace, and the bursts are full.

    Shares change owners while the daemons join, which takes seconds by design.
    """
    pending = [(daemon, name) for daemon in _DAEMONS for name in context.limited_keys]
    deadline = time.monotonic() + _MAX_SETTLE_S
    while pending:
        context.sent = {_FLOOD.name: [], _CALM.name: []}
        for daemon, name in pending:
            send(context, daemon, name)
        pending = [pair for pair in pending if not was_admitted(context, *pair)]
        assert time.monotonic() < deadline, pending
    time.sleep(_FLOOD.burst_tokens / _FLOOD.rate_tokens_per_s)


def was_admitted(context: Context, daemon: str, name: str) -> bool:
    admitted = context.admitted if hasattr(context, 'admitted') else set()
    for sent in context.sent[name]:
        if sent.reply.status == 200:
            admitted.add((sent.daemon, name))
    context.admitted = admitted
    return (daemon, name) in admitted


def send(
    context: Context, daemon: str, name: str, max_tokens: int = _MAX_TOKENS
) -> None:
    document = {'model': f'of-{name}', 'prompt': _PROMPT, 'max_tokens': max_tokens}
    request = HttpRequest.from_json('POST', '/v1/completions', document)
    key = context.limited_keys[name]
    headers = {**request.headers, 'Authorization': f'Bearer {key}'}
    sent_at = time.monotonic()
    with suppress(PimentohoistError):
        reply = context.fleet.request(daemon, replace(request, headers=headers), 5)
        took_s = time.monotonic() - sent_at
        context.sent[name].append(SentRequest(sent_at, took_s, reply, daemon))


def send_at_rate(context: Context, name: str, rate: float, until: float) -> None:
    """Send `rate` tokens per second in total, through the daemons in turn."""
    with ThreadPoolExecutor(8) as pool:
        number = 0
        while time.monotonic() < until:
            pool.submit(send, context, _DAEMONS[number % len(_DAEMONS)], name)
            number += 1
            time.sleep(_COST_TOKENS / rate)


@when(
    '"flood" sends 5 times its rate and "calm" half its rate through all daemons '
    'for {time_s:d} s'
)
def send_flood_and_calm(context: Context, time_s: int) -> None:
    until = time.monotonic() + time_s
    rates = {'flood': 5 * _FLOOD.rate_tokens_per_s, 'calm': _CALM.rate_tokens_per_s / 2}
    threads = [
        threading.Thread(target=send_at_rate, args=(context, name, rate, until))
        for name, rate in rates.items()
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def kill_daemon(context: Context) -> None:
    context.fleet.processes['entry-1'].kill()


def freeze_daemon(context: Context) -> None:
    process = context.fleet.processes['entry-1']
    process.signal(signal.SIGSTOP)
    time.sleep(_FAULT_S)
    process.signal(signal.SIGCONT)


def stop_log(context: Context) -> None:
    context.fleet.control('log', is_down=True)
    time.sleep(_FAULT_S)
    context.fleet.control('log', is_down=False)


def stop_daemon(context: Context) -> None:
    context.fleet.processes['entry-1'].stop()


_FAULTS = MappingProxyType(
    {
        'a daemon is killed': kill_daemon,
        'a daemon is frozen past its lease and thawed': freeze_daemon,
        'the log is down': stop_log,
        'a daemon stops as planned': stop_daemon,
    }
)


@when('"flood" sends requests through all daemons for {time_s:d} s while {fault}')
def flood_with_fault(context: Context, time_s: int, fault: str) -> None:
    until = time.monotonic() + time_s
    rate = 3 * _FLOOD.rate_tokens_per_s
    flood = threading.Thread(target=send_at_rate, args=(context, 'flood', rate, until))
    flood.start()
    time.sleep(1)
    _FAULTS[fault](context)
    context.fault_ended_at = time.monotonic()
    flood.join()


def executed_tokens(context: Context, name: str) -> int:
    runs = [
        run
        for run in context.fleet.received_requests('engine-1')
        if 'request_id' in run
    ]
    own = [run for run in runs if run['adapter'] == f'of-{name}']
    return _COST_TOKENS * len(own)


@then('the engine executed no more for "{name}" than its rate and burst allow')
def check_within_limit(context: Context, name: str) -> None:
    elapsed_s = time.monotonic() - context.published_at
    executed = executed_tokens(context, name)
    allowed_tokens = _FLOOD.burst_tokens + _FLOOD.rate_tokens_per_s * elapsed_s
    assert 0 < executed <= allowed_tokens, (executed, allowed_tokens)


@then('requests of "{name}" succeed after the fault')
def check_served_after_fault(context: Context, name: str) -> None:
    later = [
        sent.reply.status
        for sent in context.sent[name]
        if sent.sent_at > context.fault_ended_at
    ]
    assert 200 in later, later


@then('no request of "{name}" was refused')
def check_not_refused(context: Context, name: str) -> None:
    statuses = [sent.reply.status for sent in context.sent[name]]
    assert statuses and set(statuses) == {200}, statuses


@then('each refusal arrived within {limit_s:d} s, as not run, with a retry delay')
def check_refusals(context: Context, limit_s: int) -> None:
    refused = [sent for sent in context.sent['flood'] if sent.reply.status == 429]
    assert refused
    for sent in refused:
        error = sent.reply.document()['error']
        assert error['run'] == 'not_run' and error['retry_after_s'] > 0, error
        assert sent.took_s < limit_s, sent


@when('"{name}" requests more tokens than its burst')
def request_too_much(context: Context, name: str) -> None:
    send(context, _DAEMONS[0], name, _CALM.burst_tokens)


@then(
    'that request is refused with 429 as not run, naming the burst, '
    'without a retry delay'
)
def check_too_much(context: Context) -> None:
    reply = context.sent['calm'][-1].reply
    error = reply.document()['error']
    assert reply.status == 429 and error['run'] == 'not_run', error
    assert str(_CALM.burst_tokens) in error['message'], json.dumps(error)
    assert error['retry_after_s'] is None, error
