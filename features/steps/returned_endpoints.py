"""Steps on endpoints whose records were removed and came back."""

from __future__ import annotations

import json
import sys
import time
from pathlib import Path
from unittest import mock

from behave import given, then, when
from behave.runner import Context

sys.path.append(str(Path(__file__).resolve().parent.parent))
import former_landing  # noqa: E402
from endpoint_readers import EndpointReaders  # noqa: E402
from entry_fleet import wait_for  # noqa: E402

from pimentohoist._entry.heartbeat import (  # noqa: E402
    Heartbeat,
    decode_heartbeat,
)
from pimentohoist.entry_models import EndpointNotice  # noqa: E402

_ENGINE, _OTHER = 'engine-0', 'engine-1'
_INCARNATION = f'{_ENGINE}#1'
_START_S = 5.0
_INTERVAL_S = 0.05
_LATE_HEARTBEATS = 5


@given('{daemons:d} daemons that read the records of {engines:d} engines')
def start_readers(context: Context, daemons: int, engines: int) -> None:
    readers = context.stack.enter_context(EndpointReaders(daemons))
    context.readers = readers
    for number in range(engines):
        readers.write(f'engine-{number}')
    wait_for(lambda: len(readers.users_of(_OTHER)) == daemons, _START_S)


@when('the record of an engine lapses')
def lapse(context: Context) -> None:
    context.readers.remove(_ENGINE)
    wait_for(lambda: not context.readers.users_of(_ENGINE), 2)
    context.late = context.readers.readers[1].heartbeat()


@when('the record is back')
def write_again(context: Context) -> None:
    context.readers.write(_ENGINE)


@when('an engine announces in {where} that it leaves')
def announce(context: Context, where: str) -> None:
    first = context.readers.readers[0].endpoints
    if where == 'a response':
        leaving = EndpointNotice(is_leaving=True)
        first.notices.record(first.endpoints[_ENGINE], leaving)
    else:
        context.readers.write(_ENGINE, state='draining')
    wait_for(lambda: not context.readers.users_of(_ENGINE), 2)


@when('the store turns one of them away')
def turn_away(context: Context) -> None:
    reader = context.readers.readers[0]
    reader.store.is_closed = True
    wait_for(reader.endpoints.follower.is_failing, 2)


@when('the store is restored from a copy that lacks the engines')
def restore(context: Context) -> None:
    store = context.readers.store
    # With its connections cut the store would seem to have been away.
    with mock.patch.object(store, 'silence_connections'):
        store.restore_copy()


@then('no daemon uses the engine after {delay:d} s')
def check_unused(context: Context, delay: int) -> None:
    time.sleep(delay)
    assert not context.readers.users_of(_ENGINE)


@then('all daemons use the engine after {limit:d} s')
def check_used(context: Context, limit: int) -> None:
    readers = context.readers
    wait_for(lambda: len(readers.users_of(_ENGINE)) == len(readers.readers), limit)


@then('all daemons use the engine for {duration:d} s')
def check_kept(context: Context, duration: int) -> None:
    readers = context.readers
    end = time.monotonic() + duration
    while time.monotonic() < end:
        assert len(readers.users_of(_ENGINE)) == len(readers.readers)
        time.sleep(_INTERVAL_S)


@then('no daemon uses the other engine')
def check_other_unused(context: Context) -> None:
    wait_for(lambda: not context.readers.users_of(_OTHER), 5)


@then(
    'they do so after a late heartbeat of a daemon of {release} release'
    ' that names the engine as leaving'
)
def check_late(context: Context, release: str) -> None:
    reader = context.readers.readers[0]
    late = context.late
    assert _INCARNATION in late[Heartbeat.__slots__.index('draining_endpoints')]
    if release == 'the former':
        late = late[: former_landing.HEARTBEAT_FIELDS]
    for _ in range(_LATE_HEARTBEATS):
        reader.hear(late)
        assert reader.uses(_ENGINE)


@then('a daemon of the former release reads in their heartbeats that the engine leaves')
def check_former(context: Context) -> None:
    for reader in context.readers.readers:
        fields = json.loads(json.dumps(reader.heartbeat()))
        former = Heartbeat(*fields[: former_landing.HEARTBEAT_FIELDS])
        assert former.draining_endpoints == [_INCARNATION], former


@then('a heartbeat of the former release is read as one that names no removals')
def check_former_read(context: Context) -> None:
    former = decode_heartbeat(former_landing.heartbeat_values())
    assert former.endpoint_changes is None
