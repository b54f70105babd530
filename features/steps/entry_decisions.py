"""Steps on partition leases, documents, events and connections."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from types import MappingProxyType

from behave import given, then, when
from behave.runner import Context
from hypothesis import given as generated
from hypothesis import settings
from hypothesis import strategies as st

sys.path.append(str(Path(__file__).resolve().parent.parent))
from entry_fleet import configuration_document  # noqa: E402

from pimentohoist._decisions.ownership import (  # noqa: E402
    Ownership,
    PartitionLease,
    owner_of,
)
from pimentohoist._entry.connections import ConnectionPool  # noqa: E402
from pimentohoist._entry.event_stream import EventSplitter  # noqa: E402
from pimentohoist.entry_models import (  # noqa: E402
    AdapterKey,
    EntryRequest,
    Declaration,
    Endpoint,
)
from pimentohoist.exceptions import DocumentError  # noqa: E402
from pimentohoist.platform import decode_declaration, decode_endpoint  # noqa: E402
from pimentohoist_standins.opaque_engine import OpaqueEngine  # noqa: E402

_GENERATED = settings(max_examples=150, deadline=None)


@given('a daemon that has given an engine an order')
def give_order(context: Context) -> None:
    context.lease = PartitionLease(3.0)
    context.lease.gain(10.0)
    assert context.lease.may_order(10.0)
    context.lease.record_order(11.0)


@when('it loses the engine and regains it after 1 s')
def lose_and_regain(context: Context) -> None:
    context.lease.lose()
    assert not context.lease.may_order(11.5)
    context.lease.gain(12.0)


@then('it gives no orders for the rest of the lease')
def check_lease(context: Context) -> None:
    assert not context.lease.may_order(13.9)
    assert context.lease.may_order(14.0)


@then('the claim with the higher generation is valid')
def check_claims(context: Context) -> None:
    claims = (
        Ownership('old', 7, frozenset((1, 2))),
        Ownership('new', 9, frozenset((2, 3))),
    )
    assert owner_of(2, claims) == claims[1]
    assert owner_of(1, claims) == claims[0]
    assert owner_of(5, claims) is None


@then(
    'a stream split at generated points yields the same bytes and only complete events'
)
def check_events(context: Context) -> None:
    for line_end in (b'\r\n', b'\n', b'\r'):
        _check_splits(line_end)


def _check_splits(line_end: bytes) -> None:
    event = b'id: %d\ndata: x\n\n'.replace(b'\n', line_end)
    stream = b''.join(event % number for number in range(5))
    size = len(stream) // 5

    @_GENERATED
    @generated(st.lists(st.integers(0, len(stream)), max_size=12))
    def check_split(split_points: list[int]) -> None:
        boundaries = [0, *sorted(split_points), len(stream)]
        splitter = EventSplitter()
        emitted = b''
        for start, end in zip(boundaries, boundaries[1:], strict=False):
            complete = splitter.feed(stream[start:end])
            assert not complete or complete.endswith(2 * line_end), complete
            emitted += complete
            assert len(emitted) == end // size * size, (end, emitted)
        assert emitted + splitter.flush() == stream
        assert splitter.last_event_id == '4'

    check_split()


_LINE_ENDS = (b'\r\n', b'\n', b'\r')
_END_PIECES = (b'id: 1', b'data: x', b': note', b'event', *_LINE_ENDS)


@then(
    'a stream that ends at any byte is inside an event unless its events are complete'
)
def check_ends(context: Context) -> None:
    @settings(max_examples=1000, deadline=None)
    @generated(st.lists(st.sampled_from(_END_PIECES), max_size=15), st.integers(1, 9))
    def check_end(pieces: list[bytes], size: int) -> None:
        stream = b''.join(pieces)
        splitter = EventSplitter()
        for start in range(0, len(stream), size):
            splitter.feed(stream[start : start + size])
        assert splitter.is_inside_event() is _is_inside_event(stream), stream

    check_end()
    splitter = EventSplitter()
    splitter.feed(b'\xef\xbb\xbf')
    assert not splitter.is_inside_event()


def _is_inside_event(stream: bytes) -> bool:
    """Read lines one after another: a blank one ends the event that has begun."""
    is_inside = False
    text = stream
    while text:
        ends = [(text.index(end), -len(end)) for end in _LINE_ENDS if end in text]
        if not ends:
            return is_inside or not text.startswith(b':')
        at, negative_size = min(ends)
        line, text = text[:at], text[at - negative_size :]
        is_inside = bool(line) and (is_inside or not line.startswith(b':'))
    return is_inside


_VALID_RECORD = MappingProxyType(
    {
        'service': 's',
        'address': '10.0.0.1:80',
        'zone': 'a',
        'version': 'v1',
        'slots': 4,
        'state': 'ready',
        'born': 5,
        'seq': 1,
        'models': [{'name': 'm', 'adapters': ['a1@2']}],
    }
)


def record_without(field: str) -> dict[str, object]:
    record = dict(_VALID_RECORD)
    record.pop(field)
    return record


@then('each invalid record of an endpoint is rejected with a reason')
def check_rejected(context: Context) -> None:
    invalid_records = [
        b'\xff\xfe',
        b'[]',
        *(
            json.dumps({**_VALID_RECORD, field: wrong}).encode()
            for field, wrong in (
                ('service', 5),
                ('address', 'nowhere'),
                ('address', '10.0.0.1:x'),
                ('slots', '4'),
                ('version', 2),
                ('state', 'dreaming'),
                ('born', 1.5),
                ('seq', None),
                ('models', {}),
                ('models', [5]),
            )
        ),
        *(
            json.dumps({**_VALID_RECORD, field: None}).encode()
            for field in ('service', 'address', 'zone', 'version', 'slots', 'state')
        ),
        *(
            json.dumps(record_without(field)).encode()
            for field in ('service', 'address', 'zone', 'version', 'slots', 'state')
        ),
    ]
    for text in invalid_records:
        try:
            decode_endpoint('e', text)
        except DocumentError as error:
            assert error.message, text
        else:
            raise AssertionError(text)


@then('a valid one is decoded')
def check_decoded(context: Context) -> None:
    endpoint = decode_endpoint('e', json.dumps(dict(_VALID_RECORD)).encode())
    assert endpoint.incarnation == 'e#5'
    assert endpoint.adapters == {AdapterKey('m', 'a1'): 2}


@then('routes, weights, quotas and the longest prefix are as declared')
def check_declaration(context: Context) -> None:
    document = configuration_document(4, rate=50)
    document['routes'].append(
        {
            **document['routes'][0],
            'name': 'split',
            'path-prefix': '/models/deep/',
            'service': None,
            'backends': [
                {'service': 'models', 'weight': 90},
                {'service': 'ledger', 'weight': 10},
            ],
        }
    )
    declared = decode_declaration(json.dumps(document).encode())
    assert declared.find_route('house.example', '/models/deep/x').name == 'split'
    assert declared.find_route('house.example', '/models/deep').name == 'models'
    assert declared.find_route('house.example', '/other') is None
    assert declared.find_route('elsewhere.example', '/models/x') is None
    weighted_groups = declared.find_route(
        'house.example', '/models/deep/'
    ).weighted_groups
    assert [share.weight for share in weighted_groups] == [90, 10]
    check_quota(declared)


def check_quota(declared: Declaration) -> None:
    assert declared.workspaces[0].rate == 50


def make_request(name: str) -> EntryRequest:
    return EntryRequest(name, 'GET', 'h', '/x', (), b'', '', None, None, None, 0)


@given('an endpoint that keeps its connections open')
def start_endpoint(context: Context) -> None:
    service = OpaqueEngine(('127.0.0.1', 0), 'e', '')
    context.service = context.stack.enter_context(service)
    context.endpoint = Endpoint('e', 's', service.address, 'a', 4, False, 1, 0)
    context.connections = ConnectionPool()


def send(context: Context, name: str):
    headers = [
        ('Host', 'h'),
        ('Pimentohoist-Attempt-Id', name),
        ('Pimentohoist-Expect-Instance', 'e'),
    ]
    return context.connections.send(
        context.endpoint, make_request(name), headers, lambda exchange: None
    )


@when('a request is aborted after its connection carries the next one')
def abort_late(context: Context) -> None:
    first = send(context, 'first')
    first.read_head()
    first.read_body()
    first.close()
    context.next = send(context, 'next')
    first.abort()
    first.close()


@then('the next one gets its response')
def check_next(context: Context) -> None:
    context.next.read_head()
    assert b''.join(context.next.read_body()) == b'answer to next'
    assert context.connections.opened == 1
