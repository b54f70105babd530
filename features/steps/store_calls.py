"""Steps on how many calls the store gets, and for what."""

from __future__ import annotations

import logging
from contextlib import suppress

from behave import given, then, when
from behave.runner import Context

from pimentohoist.exceptions import PimentohoistError
from pimentohoist.platform import (
    ENDPOINT_RECORDS,
    MEMBER_RECORDS,
    OPERATOR_RECORDS,
    Store,
)
from pimentohoist_standins.keyed_store import KeyedStore

_POLL_S = 0.05


@given('a store and a client that counts its calls')
def start_client(context: Context) -> None:
    context.store = context.stack.enter_context(KeyedStore(('127.0.0.1', 0)))
    context.client = Store(context.store.address)


@when('each kind of call is sent once and the store refuses one more read')
def send_calls(context: Context) -> None:
    client = context.client
    client.sharing().join('homes', 'me', 0, 1)
    client.sharing(timeout_s=1).put(MEMBER_RECORDS, 'me', {})
    _, position = client.read_newest(ENDPOINT_RECORDS)
    client.read_changes(ENDPOINT_RECORDS, position, wait_s=0)
    _, position = client.read_newest(OPERATOR_RECORDS)
    client.send_read(OPERATOR_RECORDS, position, wait_s=_POLL_S).result()
    client.leave('homes', 'me')
    context.store.is_down = True
    with suppress(PimentohoistError):
        client.read_newest(ENDPOINT_RECORDS)


@then('the counts equal the calls that the store received, by purpose')
def check_counts(context: Context) -> None:
    calls = context.client.calls
    assert calls.sent == {
        'group_join': 1,
        'members_append': 1,
        'servers_newest': 2,
        'servers_changes': 1,
        'op_newest': 1,
        'op_poll': 1,
        'group_leave': 1,
    }, calls.sent
    assert calls.sent.total() == context.store.calls
    assert calls.refused == {'servers_newest': 1}, calls.refused
    lines = set(calls.metrics())
    assert 'pimentohoist_store_calls_total{purpose="op_poll"} 1' in lines, lines


@then('the counts are logged once until they change')
def check_log(context: Context) -> None:
    records: list[logging.LogRecord] = []
    handler = logging.Handler()
    handler.emit = records.append
    logger = logging.getLogger('pimentohoist.platform._store_calls')
    logger.addHandler(handler)
    logger.setLevel(logging.INFO)
    context.add_cleanup(logger.removeHandler, handler)
    for _ in range(2):
        context.client.calls.log()
    assert [record.calls for record in records] == [dict(context.client.calls.sent)]
