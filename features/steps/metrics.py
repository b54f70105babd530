"""Steps on the daemon's metrics by workspace."""

from __future__ import annotations

import json

from behave import given, then, when
from behave.runner import Context
from callers import start_fleet, streamed_text, wait_for

from pimentohoist._controllers.metrics import (
    ANSWERED,
    OTHER_WORKSPACES,
    MetricsController,
)
from pimentohoist.exchanges import RequestTiming
from pimentohoist_standins.fleet import Fleet

_TOKEN_MS = 20


@given('a fleet of 1 daemon and 1 engine whose metrics are read')
def start_metrics_fleet(context: Context) -> None:
    context.fleet = context.stack.enter_context(Fleet())
    context.caller = start_fleet(context.fleet, 1, 1)


@when(
    'a workspace has {streams:d} streams of {tokens:d} tokens answered '
    'and {refused:d} requests refused'
)
def send_requests(context: Context, streams: int, tokens: int, refused: int) -> None:
    for _ in range(streams):
        reply = context.caller.complete(
            'entry-1',
            model='batch-summary@1',
            prompt='p',
            max_tokens=tokens,
            stream=True,
        )
        assert streamed_text(reply)
    for _ in range(refused):
        assert context.caller.complete('entry-1', model='no', prompt='p').status == 404


@then(
    'the dump shows {answered:d} of {requests:d} answered, {tokens:d} tokens '
    "and times that match the engine's"
)
def check_dump(context: Context, answered: int, requests: int, tokens: int) -> None:
    def read_metrics() -> dict:
        return context.fleet.state('entry-1')['metrics'].get('lipstick-house', {})

    wait_for(
        lambda: sum(read_metrics().get('outcomes', {}).values()) == requests,
        'all counted',
    )
    metrics = read_metrics()
    assert metrics['outcomes'] == {
        'answered': answered,
        'not_found': requests - answered,
    }, metrics
    assert metrics['served_share'] == round(answered / requests, 4), metrics
    assert metrics['tokens'] == tokens, metrics
    assert 0 < metrics['tokens_per_slot_s'] <= 1000 / _TOKEN_MS, metrics
    check_times(metrics, tokens // answered)


def check_times(metrics: dict, tokens: int) -> None:
    first, total = metrics['first_token_ms']['p50'], metrics['total_ms']['p50']
    assert _TOKEN_MS <= first < total, metrics
    assert total >= tokens * _TOKEN_MS, metrics


@then("the daemon's log lines of the requests carry request id, step and peer")
def check_logs(context: Context) -> None:
    lines = [json.loads(line) for line in context.fleet.logs('entry-1').splitlines()]
    answered = [line for line in lines if line['message'] == 'request answered']
    refused = [line for line in lines if line['message'].startswith('request refused')]
    assert (len(answered), len(refused)) == (5, 2), lines
    assert all(line['request_id'] and line['step'] for line in answered + refused)
    assert {line['peer'] for line in answered} == {'engine-1'}


@then('metrics of {count:d} workspaces take no more than {entries:d} entries')
def check_bound(context: Context, count: int, entries: int) -> None:
    metrics = MetricsController()
    for index in range(count):
        metrics.record(f'w{index}', ANSWERED, RequestTiming(), 1)
    dump = metrics.dump()
    assert len(dump) <= entries, len(dump)
    counted = sum(entry['outcomes'][ANSWERED] for entry in dump.values())
    assert counted == count
    assert dump[OTHER_WORKSPACES]['outcomes'][ANSWERED] == count - entries + 1
