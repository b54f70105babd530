"""Steps on odd records among those that daemons follow."""

from __future__ import annotations

import json
import sys
import time
from collections.abc import Iterable, Iterator, Mapping
from contextlib import suppress
from copy import copy
from functools import partial
from pathlib import Path
from types import MappingProxyType
from typing import Any

from behave import given, then, when
from behave.runner import Context

sys.path.append(str(Path(__file__).resolve().parent.parent))
from entry_fleet import configuration_document, wait_for  # noqa: E402
from odd_records_world import OddRecordsWorld  # noqa: E402

from pimentohoist.entry_models import Endpoint  # noqa: E402
from pimentohoist.exceptions import DocumentError  # noqa: E402
from pimentohoist.platform import (  # noqa: E402
    decode_adapter_version,
    decode_declaration,
    decode_endpoint,
    decode_report,
)

_DEPTH = 100_000
_VALUE_DEPTH = 50_000
_DIGITS = 6000
_START_S = 10.0
_ZONE_DEPTH = 400
_READABLE_DEPTHS = range(300, 1000)
_ODD_VALUES = (
    *([], ['ready'], [[]], {}, {'ready': 1}),
    *([{}], [None], [1], [{'name': []}]),
    *(None, True, False, 0, -1, 2**70, 1.5, float('inf'), float('nan')),
    *('', 'ready', '\ud800', '1' * 5000, '127.0.0.1:0x1f', '127.0.0.1:\u0661'),
)
_ODD_FIELDS: Mapping[str, bytes] = MappingProxyType(
    {
        'a value nested deep': b'{"a":' * _VALUE_DEPTH + b'1' + b'}' * _VALUE_DEPTH,
        'infinite slots': b'1e999',
        'a huge count': b'9' * 4000,
        'port 70000': b'"127.0.0.9:70000"',
        'a host out of range': b'"127.0.0.999:9000"',
        'a state in a list': b'["ready"]',
        'a state in an object': b'{"ready": true}',
        'a nested zone': b'[' * _ZONE_DEPTH + b']' * _ZONE_DEPTH,
    }
)
_FIELDS: Mapping[str, str] = MappingProxyType(
    {
        'a value nested deep': 'note',
        'infinite slots': 'slots',
        'a huge count': 'seq',
        'port 70000': 'address',
        'a host out of range': 'address',
        'a state in a list': 'state',
        'a state in an object': 'state',
        'a nested zone': 'zone',
    }
)


@when('a record that is {odd} is written, and then an engine joins')
def write_odd(context: Context, odd: str) -> None:
    fleet = context.fleet
    good = fleet.engines[0].entry('models')
    fleet.store.put('keyed.servers', 'odd-1', _record(odd, good))
    context.statuses = [fleet.send_request(adapter='a1').status for _ in range(12)]
    time.sleep(1)
    fleet.add_engine('engine-2')
    context.joined_at = time.monotonic()


@then('requests are served all the while, and the engine is used within {limit_s:d} s')
def check_used(context: Context, limit_s: int) -> None:
    fleet = context.fleet
    engine = fleet.engines[1]
    number = 0
    while not engine.state.executed_requests:
        assert time.monotonic() < context.joined_at + limit_s, 'never used'
        number += 1
        response = fleet.send_request(adapter=f'a{number % 8}')
        context.statuses.append(response.status)
    assert set(context.statuses) == {200}, context.statuses


@then('the daemon has logged no unexpected error')
def check_logs(context: Context) -> None:
    lines = context.fleet.daemons[0].lines()
    errors = [line for line in lines if line['levelname'] == 'ERROR']
    assert not errors, errors[:2]
    assert context.fleet.daemons[0].popen.poll() is None


@when('the record of the ledger names port 70000')
def write_bad_port(context: Context) -> None:
    fleet = context.fleet
    fleet.store.put('keyed.servers', 'ledger-1', None)
    time.sleep(4)
    entry = {**fleet.ledger.entry('ledger'), 'address': '127.0.0.9:70000'}
    fleet.store.put('keyed.servers', 'ledger-2', entry)
    time.sleep(2)


@then('look-ups are refused as not run within {limit_s:g} s')
def check_refused(context: Context, limit_s: float) -> None:
    sent_at = time.monotonic()
    response = context.fleet.send_request('/look/x')
    assert response.status == 503, response
    assert time.monotonic() - sent_at < limit_s


@then("no decoder of the platform's documents raises anything but its own error")
def check_decoders(context: Context) -> None:
    nested = b'[' * _DEPTH + b']' * _DEPTH
    infinite = {
        'version': float('inf'),
        'born': float('inf'),
        'seq': float('nan'),
        'models': [{'name': 'm', 'adapters': ['a@' + '9' * _DIGITS]}],
        'routes': [],
        'services': [{'name': 'g', 'max-conns': float('inf')}],
        'limits': {},
    }
    decoders = (
        decode_declaration,
        decode_adapter_version,
        decode_report,
        partial(decode_endpoint, 'e'),
    )
    for text in (nested, b'{"a":' + nested + b'}', json.dumps(infinite).encode()):
        for decode in decoders:
            _expect_document_error(decode, text)


@when(
    'a record that is {odd} is written before theirs,'
    ' and all daemons are killed and come back'
)
def write_before(context: Context, odd: str) -> None:
    fleet = context.fleet
    entries = {engine.engine_id: engine.entry('models') for engine in fleet.engines}
    for engine_id in entries:
        fleet.store.put('keyed.servers', engine_id, None)
    good = fleet.engines[0].entry('models')
    fleet.store.put('keyed.servers', 'odd-1', _record(odd, good))
    for engine_id, entry in entries.items():
        fleet.store.put('keyed.servers', engine_id, entry)
    fleet.kill_all()
    fleet.start_again()
    wait_for(lambda: all(daemon.is_ready() for daemon in fleet.daemons), _START_S)


@then('requests are served at both engines')
def check_both_engines(context: Context) -> None:
    fleet = context.fleet
    deadline = time.monotonic() + _START_S
    number = 0
    while not all(engine.state.executed_requests for engine in fleet.engines):
        assert time.monotonic() < deadline, 'an engine was never used'
        number += 1
        fleet.send_request(adapter=f'a{number % 8}')


@then(
    "each decoder of the platform's documents takes the document"
    ' or raises its own error'
)
def check_types(context: Context) -> None:
    for decode, document in _good_documents():
        decode(json.dumps(document).encode())
        for path in _paths(document):
            for odd in _ODD_VALUES:
                _take_or_reject(decode, _changed(document, path, odd))


@then(
    "each decoder of the platform's documents takes the document"
    ' or raises its own error, however deep'
)
def check_depths(context: Context) -> None:
    for decode, document in _good_documents():
        for path in _paths(document):
            marked = json.dumps(_changed(document, path, '@')).encode()
            for depth in _READABLE_DEPTHS:
                nested = b'[' * depth + b']' * depth
                _take_or_reject_text(decode, marked.replace(b'"@"', nested))


@given("a daemon's {records}, one of which can't be handled")
def record_failing(context: Context, records: str) -> None:
    context.records_kind = records
    context.world = OddRecordsWorld(records)


@when('the records are applied')
def apply_records(context: Context) -> None:
    context.world.apply()


@then('the two others are in force')
def check_others(context: Context) -> None:
    assert context.world.in_force == context.world.others, context.world.in_force


@then("the failure is logged once, with the record's key")
def check_failure_logged(context: Context) -> None:
    keys = context.world.logged_keys
    assert keys == [context.world.failing_key], keys


def _good_documents() -> list[tuple[Any, Any]]:
    adapters = [{'name': 'm', 'adapters': ['a1@3']}]
    report = {'born': 1, 'seq': 2, 'models': adapters, 'coming': ['m/a2@1']}
    entry = {
        **{'service': 'g', 'address': '127.0.0.9:9000', 'zone': 'z', 'slots': 4},
        **{'state': 'ready', 'born': 1, 'seq': 2, 'models': adapters, 'version': 'v1'},
    }
    version = {'model': 'm', 'adapter': 'a1', 'version': 3}
    return [
        (partial(decode_endpoint, 'e'), entry),
        (decode_report, report),
        (decode_adapter_version, version),
        (decode_declaration, configuration_document(3)),
    ]


def _paths(document: Any) -> Iterator[tuple[Any, ...]]:
    """Yield the path of each value in a document, its own included."""
    yield ()
    parts: Iterable[tuple[Any, Any]] = ()
    if isinstance(document, dict):
        parts = document.items()
    elif isinstance(document, list):
        parts = enumerate(document)
    for key, value in parts:
        yield from ((key, *rest) for rest in _paths(value))


def _changed(document: Any, path: tuple[Any, ...], odd: Any) -> Any:
    """Return a document with one value replaced."""
    if not path:
        return odd
    changed = copy(document)
    changed[path[0]] = _changed(document[path[0]], path[1:], odd)
    return changed


def _take_or_reject(decode: Any, document: Any) -> None:
    _take_or_reject_text(decode, json.dumps(document).encode())


def _take_or_reject_text(decode: Any, text: bytes) -> None:
    with suppress(DocumentError):
        hash_fields(decode(text))


def hash_fields(decoded: Any) -> None:
    """Check that what daemons use as a key can be one; raises TypeError."""
    if isinstance(decoded, Endpoint):
        hash((decoded.group, decoded.failure_domain, decoded.software_version))
        hash((decoded.address, decoded.slots, decoded.models))


def _expect_document_error(decode: Any, text: bytes) -> None:
    try:
        decode(text)
    except DocumentError:
        return
    raise AssertionError(f'{decode} took {text[:60]!r}')


def _record(odd: str, good: dict[str, Any]) -> bytes:
    if odd.startswith('nested'):
        return b'[' * _DEPTH + b']' * _DEPTH
    if odd.startswith('a number'):
        return b'9' * _DIGITS
    name = odd.removeprefix('good but for ')
    marked = json.dumps({**good, _FIELDS[name]: '@'}).encode()
    return marked.replace(b'"@"', _ODD_FIELDS[name])
