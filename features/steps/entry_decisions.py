"""Steps on the decisions of the entry daemon."""

from __future__ import annotations

import dataclasses
import json
import random
import sys
from collections import Counter, deque
from pathlib import Path
from types import MappingProxyType

from behave import given, then, when
from behave.runner import Context
from hypothesis import given as generated
from hypothesis import settings
from hypothesis import strategies as st

sys.path.append(str(Path(__file__).resolve().parent.parent))
from entry_fleet import declaration  # noqa: E402
from quota_load import BEAT_S, play_load  # noqa: E402

from pimentohoist._decisions.adapter_places import (  # noqa: E402
    GRANT_KEPT_S,
    MOST_ON_THEIR_WAY,
    AdapterPlaces,
)
from pimentohoist._decisions.endpoint_choice import (  # noqa: E402
    Candidate,
    choose_engines,
    choose_plain,
)
from pimentohoist._decisions.endpoint_health import EndpointHealth  # noqa: E402
from pimentohoist._decisions.ownership import (  # noqa: E402
    Ownership,
    Tenure,
    home_of,
)
from pimentohoist._decisions.retry_window import RetryWindow  # noqa: E402
from pimentohoist._decisions.usage import UsageBucket  # noqa: E402
from pimentohoist._entry.connections import Connections  # noqa: E402
from pimentohoist._entry.event_stream import EventSplitter  # noqa: E402
from pimentohoist.entry_models import (  # noqa: E402
    AdapterKey,
    CallerRequest,
    Declaration,
    Endpoint,
)
from pimentohoist.exceptions import DocumentError  # noqa: E402
from pimentohoist.platform import decode_declaration, decode_endpoint  # noqa: E402
from pimentohoist_standins.opaque_engine import OpaqueEngine  # noqa: E402

_WINDOW_S = 8
_SLACK = 110_000
_OVER = 0.1
_GENERATED = settings(max_examples=150, deadline=None)


def key(number: int) -> AdapterKey:
    return AdapterKey('m', f'a{number}')


@given('an engine with {count:d} places that are all taken')
def fill_places(context: Context, count: int) -> None:
    context.places = AdapterPlaces(count)
    context.now = 100.0
    held = {key(number): 1 for number in range(count)}
    context.places.reconcile(held, (), context.now)
    context.now += 10


@given('an engine with {count:d} places that are all free')
def empty_places(context: Context, count: int) -> None:
    context.places = AdapterPlaces(count)
    context.now = 100.0


@when('two adapters are asked for and the engine reports another one on its way')
def report_another(context: Context) -> None:
    places = context.places
    assert places.can_load(key(10), context.now, 0)
    assert places.can_load(key(11), context.now, 1)
    held = {key(number): 1 for number in range(3)}
    places.reconcile(held, (key(12),), context.now)


@then('no plan loads beyond the places')
def check_plans(context: Context) -> None:
    places = context.places
    for number in (10, 11):
        plan = places.plan(key(number), 1, context.now + GRANT_KEPT_S)
        if plan is not None:
            assert plan.victim in places.places, plan
            places.drop(plan.victim)
            places.begin(plan.adapter)
        assert len(places.places) <= places.capacity


@when('one of them is granted')
def grant_one(context: Context) -> None:
    assert context.places.grant(key(0), 1, context.now) == 1


@then('it is not evicted before the next beat tells of its request')
def check_granted(context: Context) -> None:
    plan = context.places.plan(key(9), 1, context.now + BEAT_S)
    assert plan is not None
    assert plan.victim != key(0)
    context.places.in_use['daemon'] = frozenset(key(number) for number in range(1, 4))
    assert context.places.plan(key(9), 1, context.now + BEAT_S) is None


@when('requests use all of them')
def use_all(context: Context) -> None:
    context.places.in_use['daemon'] = frozenset(context.places.places)


@then('a fifth adapter has to wait')
def check_waits(context: Context) -> None:
    assert context.places.plan(key(9), 1, context.now) is None
    assert not context.places.can_load(key(9), context.now, 0)


@when('one leaves that a request still uses')
def leave_used(context: Context) -> None:
    context.places.in_use['daemon'] = frozenset(context.places.places)
    context.places.leave(key(0), context.now)


@then('its place is free only after the request has ended')
def check_leaving(context: Context) -> None:
    places = context.places
    held = {key(number): 1 for number in range(1, 4)}
    assert places.free_places(context.now + 60) == 0
    places.reconcile(held, (), context.now + 1)
    assert places.free_places(context.now + 1) == 0
    places.in_use.clear()
    later = context.now + 60
    assert places.free_places(later) == 4


@when('{count:d} adapters are asked for at once')
def ask_many(context: Context, count: int) -> None:
    context.begun = []
    for number in range(count):
        plan = context.places.plan(key(number), 1, context.now)
        if plan is not None:
            context.places.begin(plan.adapter)
            context.begun.append(plan.adapter)


@then('{count:d} loads begin and the others wait')
def check_begun(context: Context, count: int) -> None:
    assert len(context.begun) == count == MOST_ON_THEIR_WAY


@when('the favourite of a minute ago is asked for no more and the others are')
def move_demand(context: Context) -> None:
    for _ in range(20):
        context.places.note_demand(key(0), context.now)
    context.now += 60
    for number in range(1, 4):
        context.places.note_demand(key(number), context.now)


@then('the former favourite is evicted')
def check_evicted(context: Context) -> None:
    plan = context.places.plan(key(9), 1, context.now + 1)
    assert plan is not None
    assert plan.victim == key(0)


class PlacesHistory:
    """An engine and its home's places, through one history."""

    def __init__(self) -> None:
        self.places = AdapterPlaces(4)
        self.engine: dict[AdapterKey, int] = {}
        self.now = 100.0

    def ask(self, adapter: AdapterKey) -> None:
        plan = self.places.plan(adapter, 1, self.now)
        if plan is None or adapter in self.engine:
            return
        if plan.victim is not None:
            assert plan.victim not in self.places.in_use.get('daemon', ())
            self.engine.pop(plan.victim)
            self.places.drop(plan.victim)
        self.places.begin(adapter)
        self.engine[adapter] = 1

    def finish(self, adapter: AdapterKey) -> None:
        if self.places.is_coming(adapter):
            self.places.finish(adapter, 1, self.now)

    def use(self, adapter: AdapterKey) -> None:
        if adapter in self.engine:
            self.places.in_use['daemon'] = frozenset((adapter,))

    def rest(self, adapter: AdapterKey) -> None:
        self.places.in_use.clear()
        self.now += 1

    def report(self, adapter: AdapterKey) -> None:
        self.places.reconcile(self.engine, (), self.now)


_STEPS = st.lists(
    st.tuples(
        st.sampled_from(('ask', 'finish', 'use', 'rest', 'report')),
        st.integers(0, 8),
    ),
    max_size=60,
)


@then('in generated histories no engine has more adapters than places')
def check_histories(context: Context) -> None:
    @_GENERATED
    @generated(_STEPS)
    def play(steps: list[tuple[str, int]]) -> None:
        history = PlacesHistory()
        for step, number in steps:
            history.now += 0.1
            getattr(history, step)(key(number))
            assert len(history.engine) <= 4, history.engine

    play()


@given('a workspace with a rate of {rate:d} and a burst of {burst:d} before 7 daemons')
def make_buckets(context: Context, rate: int, burst: int) -> None:
    context.rate, context.burst = rate * 100, burst * 100
    context.buckets = [UsageBucket(context.rate, context.burst, 0) for _ in range(7)]


@when('it sends 8 times its rate for 20 s')
def send_much(context: Context) -> None:
    context.admitted = play_load(context.buckets, context.rate, (100, 100))


@when('one daemon hears nobody for 8 s while all are asked for 8 times the rate')
def send_cut(context: Context) -> None:
    context.admitted = play_load(context.buckets, context.rate, (4, 12))


@then('no window of 8 s gets more than rate, burst and the stated slack')
def check_windows(context: Context) -> None:
    limit = (context.rate * _WINDOW_S + context.burst) * (1 + _OVER) + _SLACK
    window: deque[tuple[float, int]] = deque()
    total = 0
    for now, tokens in context.admitted:
        window.append((now, tokens))
        total += tokens
        while window[0][0] <= now - _WINDOW_S:
            total -= window.popleft()[1]
        assert total <= limit, (now, total, limit)


@then('it gets what its rate and burst allow')
def check_fed(context: Context) -> None:
    total = sum(tokens for _, tokens in context.admitted)
    assert total >= 0.97 * (20 * context.rate + context.burst / 2), total


@given('3 alike endpoints of which one fails half of its answers')
def make_endpoints(context: Context) -> None:
    context.health = {f'e{number}': EndpointHealth() for number in range(3)}
    context.failing = 0.5
    context.now = 0
    context.sent = []


@when('{count:d} requests are sent')
def send_requests(context: Context, count: int) -> None:
    chooser = random.Random(3)
    for _ in range(count):
        context.now += 0.02
        candidates = [
            Candidate(
                name, 6, 0, health.latency_s, health.cost_factor(context.now), True
            )
            for name, health in context.health.items()
        ]
        name = choose_plain(candidates, chooser.random())[0]
        context.sent.append(name)
        if name == 'e0' and chooser.random() < context.failing:
            context.health[name].note_failure(context.now)
        else:
            context.health[name].note_answer(
                0.045 + chooser.uniform(-0.01, 0.01), context.now
            )


@when('it fails no more and {count:d} requests are sent')
def recover(context: Context, count: int) -> None:
    context.failing = 0
    send_requests(context, count)


@then('the failing one gets less than a fifth of its even part')
def check_grey(context: Context) -> None:
    assert Counter(context.sent)['e0'] < len(context.sent) / 3 / 5


@then('it gets at least half of its even part of the last {count:d}')
def check_recovered(context: Context, count: int) -> None:
    assert Counter(context.sent[-count:])['e0'] >= count / 3 / 2


def engines(in_flight: int, free: int = 3) -> list[Candidate]:
    return [
        Candidate(
            f'e{number}',
            64,
            in_flight if number == 0 else 5,
            0.1,
            1.0,
            True,
            number == 0,
            free if number else 0,
        )
        for number in range(5)
    ]


@given('5 engines of which one holds an adapter')
def have_engines(context: Context) -> None:
    """Engines are made by `engines`."""


@then('its requests go there while it is calm')
def check_calm(context: Context) -> None:
    assert choose_engines('m/a', engines(4))[0] == 'e0'


@then('to another engine when it is crowded')
def check_crowded(context: Context) -> None:
    assert choose_engines('m/a', engines(40))[0] != 'e0'


@given('5 engines that all hold an adapter')
def have_copies(context: Context) -> None:
    context.copies = [
        [
            Candidate(f'e{number}', 64, in_flight, 0.1, 1, is_near, True, 1)
            for number, is_near in enumerate((False, True, True, False, True))
        ]
        for in_flight in (0, 10, 30)
    ]


@then('all its requests go to one of them while that is calm')
def check_copies(context: Context) -> None:
    chosen = {choose_engines('m/a', copies)[0] for copies in context.copies}
    assert len(chosen) == 1, chosen


@then('its requests go to another engine while that one fails')
def check_failing(context: Context) -> None:
    candidates = engines(1)
    health = EndpointHealth()
    for _ in range(3):
        health.note_failure(0)
    failing = dataclasses.replace(candidates[0], cost_factor=health.cost_factor(0))
    assert choose_engines('m/a', [failing, *candidates[1:]])[0] != 'e0'


@then('a cold adapter goes to the first of its engines that has room')
def check_cold(context: Context) -> None:
    cold = [
        Candidate(f'e{number}', 64, 5, 0.1, 1.0, True, False, int(number == 3))
        for number in range(5)
    ]
    assert choose_engines('m/cold', cold)[0] == 'e3'


@then('in generated histories 7 daemons stay within the stated budget of repeats')
def check_budget(context: Context) -> None:
    @_GENERATED
    @generated(st.lists(st.tuples(st.integers(0, 6), st.booleans()), max_size=400))
    def play(steps: list[tuple[int, bool]]) -> None:
        windows = [RetryWindow(0.2, 54, 10) for _ in range(7)]
        requests = 0
        repeats = 0
        for step, (number, is_repeat) in enumerate(steps):
            now = step * 0.02
            if is_repeat:
                repeats += windows[number].take(now, 7)
            else:
                windows[number].note_request(now)
                requests += 1
        assert repeats <= 0.2 * requests + 54

    play()


@given('a daemon that has ordered an engine')
def have_ordered(context: Context) -> None:
    context.tenure = Tenure(3.0)
    context.tenure.gain(10.0)
    assert context.tenure.may_order(10.0)
    context.tenure.note_order(11.0)


@when('it loses the engine and gets it back after 1 s')
def lose_and_gain(context: Context) -> None:
    context.tenure.lose()
    assert not context.tenure.may_order(11.5)
    context.tenure.gain(12.0)


@then('it orders nothing for the rest of the lease')
def check_lease(context: Context) -> None:
    assert not context.tenure.may_order(13.9)
    assert context.tenure.may_order(14.0)


@then('the claim of the higher generation counts')
def check_claims(context: Context) -> None:
    claims = (
        Ownership('old', 7, frozenset((1, 2))),
        Ownership('new', 9, frozenset((2, 3))),
    )
    assert home_of(2, claims) == claims[1]
    assert home_of(1, claims) == claims[0]
    assert home_of(5, claims) is None


@then('a stream in generated pieces gives the same bytes and only whole events')
def check_events(context: Context) -> None:
    stream = b''.join(b'id: %d\r\ndata: x\r\n\r\n' % number for number in range(5))

    @_GENERATED
    @generated(st.lists(st.integers(0, len(stream)), max_size=12))
    def play(cuts: list[int]) -> None:
        edges = [0, *sorted(cuts), len(stream)]
        splitter = EventSplitter()
        given_out = b''
        for start, end in zip(edges, edges[1:], strict=False):
            whole = splitter.feed(stream[start:end])
            assert not whole or whole.endswith(b'\r\n\r\n'), whole
            given_out += whole
        assert given_out + splitter.rest() == stream
        assert splitter.last_id == '4'

    play()


_ENTRY = MappingProxyType(
    {
        'service': 's',
        'address': '10.0.0.1:80',
        'zone': 'a',
        'slots': 4,
        'state': 'ready',
        'born': 5,
        'seq': 1,
        'models': [{'name': 'm', 'adapters': ['a1@2']}],
    }
)


def without(field: str) -> dict[str, object]:
    entry = dict(_ENTRY)
    entry.pop(field)
    return entry


@then('each broken entry of an endpoint is rejected with a reason')
def check_rejected(context: Context) -> None:
    broken = [
        b'\xff\xfe',
        b'[]',
        *(
            json.dumps({**_ENTRY, field: wrong}).encode()
            for field, wrong in (
                ('service', 5),
                ('address', 'nowhere'),
                ('address', '10.0.0.1:x'),
                ('slots', '4'),
                ('state', 'dreaming'),
                ('born', 1.5),
                ('seq', None),
                ('models', {}),
                ('models', [5]),
            )
        ),
        *(
            json.dumps({**_ENTRY, field: None}).encode()
            for field in ('service', 'address', 'zone', 'slots', 'state')
        ),
        *(
            json.dumps(without(field)).encode()
            for field in ('service', 'address', 'zone', 'slots', 'state')
        ),
    ]
    for text in broken:
        try:
            decode_endpoint('e', text)
        except DocumentError as error:
            assert error.message, text
        else:
            raise AssertionError(text)


@then('a sound one is decoded')
def check_decoded(context: Context) -> None:
    endpoint = decode_endpoint('e', json.dumps(dict(_ENTRY)).encode())
    assert endpoint.incarnation == 'e#5'
    assert endpoint.adapters == {AdapterKey('m', 'a1'): 2}


@then('routes, shares, quotas and the longest prefix are as declared')
def check_declaration(context: Context) -> None:
    document = declaration(4, rate=50)
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
    shares = declared.find_route('house.example', '/models/deep/').shares
    assert [share.weight for share in shares] == [90, 10]
    check_quota(declared)


def check_quota(declared: Declaration) -> None:
    assert declared.workspaces[0].rate == 50


def request(name: str) -> CallerRequest:
    return CallerRequest(name, 'GET', 'h', '/x', (), b'', '', None, None, None, 0)


@given('an endpoint that keeps its connections')
def keep_connections(context: Context) -> None:
    service = OpaqueEngine(('127.0.0.1', 0), 'e', '')
    context.service = context.stack.enter_context(service)
    context.endpoint = Endpoint('e', 's', service.address, 'a', 4, False, 1, 0)
    context.connections = Connections()


def send(context: Context, name: str):
    headers = [
        ('Host', 'h'),
        ('Pimentohoist-Attempt-Id', name),
        ('Pimentohoist-Expect-Instance', 'e'),
    ]
    return context.connections.send(context.endpoint, request(name), headers)


@when("a request's end is noticed after its connection carries the next one")
def end_late(context: Context) -> None:
    first = send(context, 'first')
    first.read_head('first')
    first.read_whole()
    first.close()
    context.next = send(context, 'next')
    first.abort()
    first.close()


@then('the next one is answered')
def check_next(context: Context) -> None:
    context.next.read_head('next')
    assert context.next.read_whole() == b'answer to next'
    assert context.connections.opened == 1
