"""Steps on endpoints that serve few requests for a time after they have started."""

from __future__ import annotations

import json
import random
import signal
import sys
import time
from bisect import bisect_right
from contextlib import suppress
from pathlib import Path
from types import SimpleNamespace
from typing import Any
from unittest import mock

from behave import given, then, when
from behave.runner import Context
from hypothesis import given as generated
from hypothesis import settings
from hypothesis import strategies as st

sys.path.append(str(Path(__file__).resolve().parent.parent))
from entry_fleet import EntryFleet, configuration_document  # noqa: E402
from limited_fleet import LimitedFleet  # noqa: E402

from pimentohoist import _clock  # noqa: E402
from pimentohoist._decisions.cold_endpoints import ColdBounds, fleet_share  # noqa: E402
from pimentohoist._decisions.endpoint_choice import (  # noqa: E402
    Candidate,
    choose_engines,
    rank_services,
)
from pimentohoist._decisions.rate_grants import RateGranter, RatePacer  # noqa: E402
from pimentohoist._entry.cold_endpoints import ColdEndpoints  # noqa: E402
from pimentohoist.entry_models import Endpoint, EndpointNotice  # noqa: E402
from pimentohoist.exceptions import DocumentError  # noqa: E402
from pimentohoist.platform import decode_endpoint, decode_notice  # noqa: E402

_BOUNDS = ColdBounds(over=1.5, slack=5)
_DURATION_S = 60
_PER_S = 4
_SEED = 31
_CONTACT_S = 3.0
"""The time until all daemons have read that an endpoint is cold."""

_MAX_TRANSIT_S = 0.1
_MAX_COLD_S = 10_000


@given(
    '{daemons:d} daemons that all want to send {rate:d} requests a second'
    ' to an engine that takes {per_s:d}'
)
def make_demand(context: Context, daemons: int, rate: int, per_s: int) -> None:
    context.source = random.Random(_SEED)
    context.daemons, context.per_s = daemons, per_s
    context.demand = sorted(
        (context.source.uniform(0, _DURATION_S), daemon)
        for daemon in range(daemons)
        for _ in range(rate * _DURATION_S)
    )


@when("{apart:d} of them can't reach its owner")
def send_requests(context: Context, apart: int) -> None:
    """Let the owner grant to those in touch, and each of the others pace itself.

    Those apart are known by their addresses only.
    """
    in_touch = context.daemons - apart
    fleet = fleet_share([30.0 for _ in range(context.daemons - 1)], in_touch - 1)
    assert fleet == context.daemons
    granter = RateGranter(context.per_s, running=0, now=0)
    granter.burst = _BOUNDS.burst(context.per_s)
    pacers = [RatePacer() for _ in range(context.daemons)]
    blocked_until: dict[int, float] = {}
    context.arrived = []
    for now, daemon in context.demand:
        if now < blocked_until.get(daemon, 0):
            continue
        if daemon < in_touch:
            wait_s = granter.take(str(daemon), now, in_touch / fleet)
        else:
            wait_s = pacers[daemon].take(context.per_s / fleet, now)
        blocked_until[daemon] = now + wait_s
        if not wait_s:
            context.arrived.append(now + context.source.uniform(0, _MAX_TRANSIT_S))
    context.arrived.sort()


@then('no second has more requests than one and a half times {per_s:d} and 5')
def check_seconds(context: Context, per_s: int) -> None:
    most = _most_in_a_second(context.arrived)
    assert most <= _BOUNDS.over * per_s + _BOUNDS.slack, most


@then('at least {share:g} of {per_s:d} a second are sent')
def check_sent(context: Context, share: float, per_s: int) -> None:
    sent = len(context.arrived) / _DURATION_S
    assert sent >= share * per_s, sent


@when('a daemon learns the following of an endpoint that takes 4 a second while cold')
def learn(context: Context) -> None:
    context.clock = SimpleNamespace(now=0)
    clock = mock.patch.object(_clock, 'now', lambda: context.clock.now)
    context.stack.enter_context(clock)
    members: Any = SimpleNamespace(on_heartbeat=[], send_soon=list)
    cold = ColdEndpoints(members)
    cold.per_s_of = lambda group: _PER_S if group == 'cold' else 0
    context.cold, context.known, context.listed = cold, [], []
    context.announced = []
    for row in context.table:
        context.clock.now = float(row['at'])
        _learn(members, cold, row['source'], float(row['cold for']))
        per_s = cold.per_s(_endpoint().incarnation)
        context.known.append('all' if per_s is None else str(per_s))
        context.listed.append(row['takes'])
        context.announced.append((row['source'], row['takes'], cold.announced()))


@then('each time it takes as many requests as listed')
def check_learned(context: Context) -> None:
    assert context.known == context.listed, (context.known, context.listed)


@then(
    'the daemon passes on what it learned itself, and nothing that it heard of a peer'
)
def check_announced(context: Context) -> None:
    for source, takes, announced in context.announced:
        if takes == str(_PER_S):
            assert bool(announced) == (source != 'peer'), (source, announced)


@then('endpoints of a group without the fields are never cold')
def check_other_group(context: Context) -> None:
    endpoint = _endpoint('other', cold_s=5)
    context.cold.record_endpoint(endpoint)
    context.cold.record_response(endpoint, EndpointNotice(cold_s=5))
    context.cold.presume([endpoint])
    assert context.cold.per_s(endpoint.incarnation) is None


@then('a warm engine without the adapter comes before a cold one that has it')
def check_warm_first(context: Context) -> None:
    for number in range(20):
        names = choose_engines(f'a{number}', [_engine('cold', 0), _engine('warm', 0)])
        assert names == ['warm', 'cold']


@then('a cold engine comes before warm ones that are overloaded')
def check_cold_used(context: Context) -> None:
    for number in range(20):
        names = choose_engines(f'a{number}', [_engine('warm', 11), _engine('cold', 0)])
        assert names == ['cold', 'warm']


@then('a cold service comes after a warm one with requests in all but one of its slots')
def check_services(context: Context) -> None:
    assert rank_services([_engine('cold', 0), _engine('warm', 11)], 0) == [
        'warm',
        'cold',
    ]


@given(
    'a fleet of 3 daemons with one ledger that takes {per_s:d} requests a second'
    ' while it is cold'
)
def start_fleet(context: Context, per_s: int) -> None:
    fleet = context.stack.enter_context(EntryFleet())
    document = configuration_document(1)
    for service in document['services']:
        service.update({'cold-s': 10, 'cold-per-s': per_s})
    fleet.store.put('keyed.op', 'config', document)
    fleet.start_ready(3)
    context.fleet, context.per_s = fleet, per_s


@given('callers of all daemons send {rate:d} look-ups a second')
def start_callers(context: Context, rate: int) -> None:
    world = LimitedFleet(context.fleet, '/look/x', rate)
    context.world = context.stack.enter_context(world)


@when(
    'the ledger is cold for {duration_s:d} s,'
    ' and the daemon that grants its permits is stopped after {stop_s:d} s'
)
def make_cold(context: Context, duration_s: int, stop_s: int) -> None:
    fleet, ledger = context.fleet, context.fleet.ledger
    time.sleep(1)
    ledger.cold_until = time.monotonic() + duration_s
    context.cold_at = time.monotonic()
    stopped = None
    while time.monotonic() < ledger.cold_until:
        fleet.store.put('keyed.servers', 'ledger-1', ledger.entry('ledger'))
        time.sleep(1.2)
        if stopped is None and time.monotonic() > context.cold_at + stop_s:
            stopped = _granting(fleet)
            stopped.popen.send_signal(signal.SIGSTOP)
    context.warm_at = ledger.cold_until
    fleet.store.put('keyed.servers', 'ledger-1', ledger.entry('ledger'))
    stopped.popen.send_signal(signal.SIGCONT)


@when('the ledger is cold for {duration_s:d} s, and its record says nothing of it')
def make_cold_unrecorded(context: Context, duration_s: int) -> None:
    time.sleep(1)
    context.cold_at = time.monotonic()
    context.warm_at = context.cold_at + duration_s
    context.fleet.ledger.cold_until = context.warm_at
    time.sleep(duration_s)


@then('generated header values and records are read without an error, or rejected')
def check_values(context: Context) -> None:
    texts = st.one_of(
        st.text(max_size=30), st.integers().map(str), st.floats().map(str)
    )
    numbers = st.one_of(st.none(), st.booleans(), st.integers(), st.floats(), texts)
    record = {
        **{'service': 'g', 'address': '127.0.0.9:9000', 'zone': 'z', 'slots': 4},
        **{'state': 'ready', 'born': 1, 'seq': 2, 'version': 'v1'},
    }

    @settings(max_examples=300, deadline=None)
    @generated(texts, numbers)
    def check(text: str, number: Any) -> None:
        notice = decode_notice('engine', 200, {'Pimentohoist-Cold-Ms': text})
        assert notice.cold_s is None or 0 <= notice.cold_s < _MAX_COLD_S
        body = json.dumps({**record, 'cold-ms': number}).encode()
        with suppress(DocumentError):
            assert 0 <= decode_endpoint('engine', body).cold_s < float('inf')

    check()


@then('from 3 s on no second had more requests than one and a half times 4 and 5')
def check_fleet_seconds(context: Context) -> None:
    since = context.cold_at + _CONTACT_S
    arrivals = context.fleet.ledger.state.arrivals
    cold = [at for at in arrivals if since < at < context.warm_at]
    most = _most_in_a_second(cold)
    assert 0 < most <= _BOUNDS.over * context.per_s + _BOUNDS.slack, most


@then(
    "callers who can't be served are refused within {limit_s:g} s"
    ' and told when to come back'
)
def check_refusals(context: Context, limit_s: float) -> None:
    since = context.cold_at + _CONTACT_S
    calls = context.world.calls_between(since, context.warm_at - 1)
    refused = [call for call in calls if call.status == 503]
    assert refused
    slow = [call for call in refused if call.took_s > limit_s]
    assert len(slow) <= len(refused) / 50, (len(slow), len(refused))
    assert all(float(call.retry_after) > 0 for call in refused)


@then(
    'within {delay_s:d} s after it is warm at least {share:g} of the callers are served'
)
def check_warm(context: Context, delay_s: int, share: float) -> None:
    since = context.warm_at + delay_s
    time.sleep(max(0, since + 2 - time.monotonic()))
    calls = context.world.calls_between(since, time.monotonic() - 1)
    served = sum(call.status == 200 for call in calls)
    assert calls
    assert served >= share * len(calls), (served, len(calls))


def _granting(fleet: EntryFleet) -> Any:
    """Return the daemon that has logged that it grants permits."""
    return next(
        daemon
        for daemon in fleet.daemons
        if any(line['message'] == 'permits are granted' for line in daemon.lines())
    )


def _most_in_a_second(arrivals: list[float]) -> int:
    counts = (
        index + 1 - bisect_right(arrivals, at - 1) for index, at in enumerate(arrivals)
    )
    return max(counts, default=0)


def _learn(members: Any, cold: ColdEndpoints, source: str, cold_s: float) -> None:
    match source:
        case 'record':
            cold.record_endpoint(_endpoint(cold_s=cold_s))
        case 'response':
            cold.record_response(_endpoint(), EndpointNotice(cold_s=cold_s))
        case 'peer':
            entry = [_endpoint().incarnation, cold_s, 0.2, _PER_S]
            heartbeat = SimpleNamespace(member='peer', cold_endpoints=[entry])
            members.on_heartbeat[0](heartbeat, None)
        case _:
            cold.presume([_endpoint()])


def _endpoint(group: str = 'cold', cold_s: float = 0) -> Endpoint:
    return Endpoint(
        'engine-1',
        group,
        '127.0.0.1:1',
        'a',
        12,
        is_draining=False,
        started_ms=1,
        accepted_orders=0,
        cold_s=cold_s,
    )


def _engine(name: str, in_flight: int) -> Candidate:
    is_cold = name == 'cold'
    return Candidate(
        name,
        12,
        in_flight,
        0.02,
        1,
        is_in_own_domain=True,
        has_adapter=is_cold,
        free_adapter_slots=1,
        is_cold=is_cold,
    )
