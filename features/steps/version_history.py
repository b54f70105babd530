"""Steps on the versions that daemons record in the store."""

from __future__ import annotations

import json
import sys
import threading
from pathlib import Path
from types import SimpleNamespace
from typing import Any

from behave import given, then, when
from behave.runner import Context

sys.path.append(str(Path(__file__).resolve().parent.parent))
import former_landing  # noqa: E402
from entry_fleet import wait_for  # noqa: E402

from pimentohoist import _clock  # noqa: E402
from pimentohoist._decisions.stream_register import StreamRecord  # noqa: E402
from pimentohoist._decisions.version_history import (  # noqa: E402
    VersionHistory,
    VersionRecord,
)
from pimentohoist._entry.heartbeat import (  # noqa: E402
    Heartbeat,
    decode_heartbeat,
    encode_heartbeat,
)
from pimentohoist._entry.stream_log import StreamLog  # noqa: E402
from pimentohoist.platform import KeyedRecord, ReadPosition  # noqa: E402

_GROUP = 'models'
_LIVE = frozenset('b')
_STREAM = '00f1c4ad09e2b7a3'
_RECORD_EVERY_S = 10
_WAIT_S = 2.0
_SWITCH_INTERVAL_S = 1e-6


class _Log:
    """A store with one topic in memory."""

    def __init__(self) -> None:
        self.era = SimpleNamespace(current=1)
        self.records: list[KeyedRecord] = []

    def put(self, topic: str, key: str, document: Any) -> int:
        self.records.append(KeyedRecord(key, json.dumps(document).encode()))
        return 1

    def read_changes(
        self, topic: str, position: ReadPosition, *, wait_s: float
    ) -> tuple[list[KeyedRecord], ReadPosition]:
        return self.records[position.offset :], ReadPosition(len(self.records), 1)


@given('a log in which daemon a has seen {version}')
def start_log(context: Context, version: str) -> None:
    context.now, context.era = 1000.0, 1
    context.history = VersionHistory()
    context.records = []
    _record(context, 'a', 100, {version: 0})


@given('a log in which daemon a has v1 and saw v0 25 s before')
def start_log_with_gone(context: Context) -> None:
    start_log(context, 'v1')
    _record(context, 'a', 101, {'v1': 0, 'v0': 25})


@when('daemon b starts and has seen v1 before it and v2')
def start_b(context: Context) -> None:
    _record(context, 'b', 10, {'v1': 4, 'v2': 0})


@when('daemon b starts and knows v2 only')
def start_b_alone(context: Context) -> None:
    _record(context, 'b', 10, {'v2': 0})


@when('no record comes for {seconds:d} s')
def pass_time(context: Context, seconds: int) -> None:
    context.now += seconds


@when('daemon b records v1 from 0 s to {seconds:d} s on its clock')
def record_regularly(context: Context, seconds: int) -> None:
    for clock_s in range(0, seconds + 1, _RECORD_EVERY_S):
        _record(context, 'b', clock_s, {'v1': 0})


@when('daemon c records v1')
def record_c(context: Context) -> None:
    _record(context, 'c', 7, {'v1': 0})


@when('the store comes back from a copy')
def restore(context: Context) -> None:
    context.era += 1
    context.now += 1
    read_again(context)


@when('daemon a records v1 again')
def record_again(context: Context) -> None:
    _record(context, 'a', 103, {'v1': 0})


@then('records may be missing')
def check_missing(context: Context) -> None:
    assert context.history.has_lost_records(_LIVE, context.era, context.now)


@then('no record is missing')
def check_complete(context: Context) -> None:
    assert not context.history.has_lost_records(_LIVE, context.era, context.now)


@then('none may be if daemon a is live')
def check_live(context: Context) -> None:
    live = frozenset(('a', 'b'))
    assert not context.history.has_lost_records(live, context.era, context.now)


@when('the log is read again')
def read_again(context: Context) -> None:
    for record in tuple(context.records):
        context.history.apply(record, context.now)


@then("a stream of a daemon that isn't live began at {version}")
def check_departed(context: Context, version: str) -> None:
    departed = context.history.departed(_LIVE, context.now).get(_GROUP, {})
    expected = set() if version == 'none' else {version}
    assert set(departed) == expected, departed


@then('a stream of a live daemon may have begun at {version}')
def check_single(context: Context, version: str) -> None:
    singles = context.history.only_versions(_GROUP, _LIVE, context.now)
    assert singles == {version}, singles


@given('a log with a record of the former landing on a stream at v1')
def former_record(context: Context) -> None:
    log = _Log()
    log.put('streams', 'front-1', json.loads(former_landing.RECORD))
    read = _stream_log(log).read()
    assert read is not None
    context.read, context.history = read, read.versions
    context.now = _clock.now()


@then('the stream is known to have begun at v1')
def check_stream(context: Context) -> None:
    version = context.read.register.version(_STREAM, context.now)
    assert version == 'v1', version


@given('a daemon that has seen v1 and v2 and begun a stream at v2')
def begin_stream(context: Context) -> None:
    context.log = _Log()
    context.stream_log = _stream_log(context.log)
    context.stream_log.version_ages = lambda: {_GROUP: {'v1': 3.5, 'v2': 0}}


@when('it appends to the log')
def append(context: Context) -> None:
    context.stream_log.append([StreamRecord(_STREAM, 'v2', _GROUP, 0)])
    wait_for(lambda: bool(context.log.records), _WAIT_S)


@then('the former landing reads both versions, and that the stream began at v2')
def check_former_reads(context: Context) -> None:
    era, streams = former_landing.decode_streams(context.log.records[0].body)
    assert era == 1
    assert {version for _, version, _ in streams} == {'v1', 'v2'}, streams
    assert (_GROUP, 'v2', _STREAM) in streams, streams


@then('it reads a heartbeat of this build, and this build one of the former landing')
def check_heartbeats(context: Context) -> None:
    former = decode_heartbeat(former_landing.heartbeat_values())
    assert former.versions_recorded_age_s is None
    assert former.member == '127.0.0.2:8002'
    own = encode_heartbeat(Heartbeat(*former_landing.heartbeat_values()))
    read = own[: former_landing.HEARTBEAT_FIELDS]
    assert read == former_landing.heartbeat_values(), read


def _record(context: Context, writer: str, clock_s: float, ages: Any) -> None:
    record = VersionRecord(writer, context.era, clock_s, {_GROUP: ages})
    context.records.append(record)
    context.history.apply(record, context.now)


def _stream_log(log: Any) -> StreamLog:
    return StreamLog(log, 'front-2', 'incarnation-2', lambda: 1)


@then(
    'versions can be asked for while {count:d} records of {daemons:d} daemons'
    ' are applied'
)
def check_concurrent(context: Context, count: int, daemons: int) -> None:
    history = VersionHistory()
    failures: list[Exception] = []
    applying = threading.Thread(target=_apply_many, args=(history, count, daemons))

    def ask() -> None:
        while applying.is_alive():
            try:
                _ask_all(history, 0)
            except Exception as error:
                failures.append(error)
                return

    asking = [threading.Thread(target=ask) for _ in range(4)]
    interval_s = sys.getswitchinterval()
    sys.setswitchinterval(_SWITCH_INTERVAL_S)
    try:
        for thread in (applying, *asking):
            thread.start()
        for started in (applying, *asking):
            started.join()
    finally:
        sys.setswitchinterval(interval_s)
    assert not failures, failures


def _apply_many(history: VersionHistory, count: int, daemons: int) -> None:
    for number in range(count):
        name = f'daemon-{number % daemons}.{number // (daemons * 10)}'
        ages = {_GROUP: {f'v{number % 7}': 0}}
        record = VersionRecord(name, 1, number, ages)
        history.apply(record, number / daemons)


def _ask_all(history: VersionHistory, now: float) -> None:
    live = frozenset(('daemon-1.0', 'daemon-2.1'))
    history.departed(live, now)
    history.only_versions(_GROUP, live, now)
    history.has_lost_records(live, 2, now)
