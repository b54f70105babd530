"""Steps on the chunks of snapshots and on the watch of keys, without processes."""

from __future__ import annotations

import random
from collections.abc import Iterator
from types import SimpleNamespace

from behave import given, then, when
from behave.runner import Context

from pimentohoist._filters.watch_key import WatchKey
from pimentohoist._snapshots import Snapshot, chunk_records, find_snapshots
from pimentohoist.configuration import Route
from pimentohoist.exceptions import PimentohoistError
from pimentohoist.exchanges import CallerResponse
from pimentohoist.keys import create_key
from pimentohoist.models import LogPage, LogRecord

_CHUNK_BYTES = 131_072
_SEED = 11
_RESPONSE_BODY = b'the whole answer'


class ListLog:
    """A log of one stream, held in a list."""

    def __init__(self) -> None:
        self.bodies: list[bytes] = []

    def read(self, stream: str, offset: int, *, wait_s: float) -> LogPage:
        kept = enumerate(self.bodies[offset:], offset)
        records = tuple(LogRecord(at, body) for at, body in kept)
        return LogPage(0, len(self.bodies), records)


def three_chunk_records(covered: int) -> list[bytes]:
    body = random.Random(_SEED).randbytes(2 * _CHUNK_BYTES + 1000)
    records = chunk_records(Snapshot(covered, body))
    assert len(records) == 3
    return records


@given('a snapshot of 3 chunks that covers {covered:d} records')
def append_snapshot(context: Context, covered: int) -> None:
    context.list_log = ListLog()
    context.list_log.bodies.extend(three_chunk_records(covered))


@given('a snapshot of 3 chunks that covers {covered:d} records, {damage}')
def append_damaged_snapshot(context: Context, covered: int, damage: str) -> None:
    records = three_chunk_records(covered)
    match damage:
        case 'its first chunk lost':
            records.pop(0)
        case 'its last chunk lost':
            records.pop()
        case 'one byte changed':
            records[1] = _with_last_byte_changed(records[1])
        case 'a chunk with a wrong number':
            records[1] = records[1].replace(b'"chunk":1', b'"chunk":7', 1)
        case 'its chunks in reverse order':
            records.reverse()
    context.list_log.bodies.extend(records)


@when('the snapshots stream is searched')
def search_snapshots(context: Context) -> None:
    found = find_snapshots(context.list_log, 'any', 0)
    context.covered = [snapshot.next_offset for snapshot in found]


@then('the snapshots that cover {found} records are found, in this order')
def check_found(context: Context, found: str) -> None:
    assert context.covered == [int(text) for text in found.split(',')]


def _with_last_byte_changed(record: bytes) -> bytes:
    return record[:-1] + bytes([record[-1] ^ 1])


class OneKeyConfiguration:
    """A configuration with one key, until that key is withdrawn."""

    def __init__(self) -> None:
        self.section = create_key('line-1', 'house')[0]

    def key(self, name: str) -> object:
        return self.section


def make_key_watch(context: Context) -> WatchKey:
    context.one_key = OneKeyConfiguration()
    context.is_daemon_fresh = True
    context.now = 1.0
    return WatchKey(
        context.one_key,
        is_fresh=lambda: context.is_daemon_fresh,
        clock=lambda: context.now,
    )


@given('a request for {kind} whose key is withdrawn while it runs')
def start_request(context: Context, kind: str) -> None:
    context.watch = make_key_watch(context)
    is_idempotent = kind != 'an action'
    route = Route('records', 'ledger', is_idempotent=is_idempotent)
    is_call = kind != 'a plain completion'
    context.exchange = SimpleNamespace(
        key_name='line-1', route=route if is_call else None
    )


@when('the watch passes its response on')
def pass_response(context: Context) -> None:
    def proceed(exchange: object) -> CallerResponse:
        context.one_key.section = None
        return CallerResponse(200, 'application/json', [_RESPONSE_BODY])

    context.outcome = None
    try:
        context.outcome = context.watch(context.exchange, proceed)
    except PimentohoistError as error:
        context.outcome = error


@then('the caller gets the whole response')
def check_response(context: Context) -> None:
    assert list(context.outcome.body) == [_RESPONSE_BODY]


@then('the caller gets the error "{code}", as run')
def check_error(context: Context, code: str) -> None:
    found = (context.outcome.code, context.outcome.run_state)
    assert found == (code, 'run'), found


@given('a stream whose daemon stops being fresh')
def start_stream(context: Context) -> None:
    def parts() -> Iterator[bytes]:
        while True:
            yield b'data: {}\n\n'

    watch = make_key_watch(context)
    exchange = SimpleNamespace(key_name='line-1', route=None)
    response = watch(
        exchange, lambda asked: CallerResponse(200, 'text/event-stream', parts())
    )
    context.body = iter(response.body)
    assert next(context.body) == b'data: {}\n\n'
    context.is_daemon_fresh = False
    assert next(context.body) == b'data: {}\n\n'


@when("{seconds:f} s pass by the watch's clock")
def pass_time(context: Context, seconds: float) -> None:
    context.now += seconds
    context.rest = list(context.body)


@then('the stream has ended with the error "{code}"')
def check_stream(context: Context, code: str) -> None:
    assert len(context.rest) == 1, context.rest
    assert f'"code": "{code}"'.encode() in context.rest[0], context.rest
