"""Steps on endpoints that name a limit on the requests of all daemons together."""

from __future__ import annotations

import random
import signal
import sys
import time
from bisect import bisect_right
from pathlib import Path
from types import MappingProxyType, SimpleNamespace
from unittest import mock

from behave import given, then, when
from behave.runner import Context
from hypothesis import given as generated
from hypothesis import settings
from hypothesis import strategies as st

sys.path.append(str(Path(__file__).resolve().parent.parent))
from limited_fleet import CONTACT_S, WINDOW_S, LimitedFleet  # noqa: E402

from pimentohoist import _clock  # noqa: E402
from pimentohoist._decisions.rate_grants import RateGranter, RatePacer  # noqa: E402
from pimentohoist._entry.endpoint_limits import EndpointLimits  # noqa: E402
from pimentohoist.entry_models import EndpointNotice  # noqa: E402
from pimentohoist.platform import decode_notice  # noqa: E402

_SEED = 29
_INCARNATION = 'engine-1#1'
_SETTLE_S = 3.0
_KNOWN_S = 0.5
"""The stated time after which an answer binds the daemon that passed it on."""

_PATHS = MappingProxyType({'streams': '/models/x', 'look-ups': '/look/x'})
_MANY_DIGITS = ''.ljust(400, '9')
_UNREADABLE = ('-1', 'nan', 'inf', '1e3', '', '12 a second', _MANY_DIGITS)


@given('callers of all daemons send {rate:d} {kind} a second')
def start_callers(context: Context, rate: int, kind: str) -> None:
    world = LimitedFleet(context.fleet, _PATHS[kind], rate)
    context.world = context.stack.enter_context(world)
    time.sleep(_SETTLE_S)


@when('the busiest engine names a limit of {limit} a second for {duration_s:d} s')
def limit_busiest(context: Context, limit: str, duration_s: int) -> None:
    _limit(context, [context.world.busiest()], limit, duration_s)


@when('all engines name a limit of {limit} a second for {duration_s:d} s')
def limit_all(context: Context, limit: str, duration_s: int) -> None:
    _limit(context, list(context.fleet.engines), limit, duration_s)


@when('the ledger names a limit of {limit} a second for {duration_s:d} s')
def limit_ledger(context: Context, limit: str, duration_s: int) -> None:
    _limit(context, [context.fleet.ledger], limit, duration_s)


@when(
    'the busiest engine names a limit of {limit} a second'
    ' and its owner is {gone} for {duration_s:d} s'
)
def limit_without_owner(
    context: Context, limit: str, gone: str, duration_s: int
) -> None:
    world = context.world
    engine = world.busiest()
    owner = next(
        daemon
        for daemon in context.fleet.daemons
        if engine.engine_id in daemon.state()['places']
    )
    world.name_limit([engine], limit)
    time.sleep(CONTACT_S + 1)
    is_killed = gone == 'killed'
    owner.popen.send_signal(signal.SIGKILL if is_killed else signal.SIGSTOP)
    time.sleep(duration_s)
    if not is_killed:
        owner.popen.send_signal(signal.SIGCONT)
    time.sleep(duration_s)
    world.end_limit()


@then(
    'from {delay_s:d} s on it gets no more in 4 s than one and a half times that and 5'
)
@then(
    'from {delay_s:d} s on each gets no more in 4 s than one and a half times that and 5'
)
def check_windows(context: Context, delay_s: int) -> None:
    assert delay_s == CONTACT_S
    _check_windows(context.world, 0)


@then('once it is known each gets no more in 4 s than one and a half times that and 5')
def check_windows_once_known(context: Context) -> None:
    _check_windows(context.world, context.world.named_at + _KNOWN_S)


@then('at least {share:g} of the callers are served')
def check_served(context: Context, share: float) -> None:
    world = context.world
    calls = world.calls_between(world.named_at, world.ended_at)
    served = sum(call.status == 200 for call in calls)
    assert served >= share * len(calls), (served, len(calls))


@then('from {delay_s:d} s on they get at least {share:g} of their limit')
def check_use(context: Context, delay_s: int, share: float) -> None:
    world = context.world
    since = world.named_at + delay_s
    arrived = [
        sum(since <= at < world.ended_at for at in engine.state.arrivals)
        for engine in world.limited
    ]
    wanted = share * world.limit_per_s * (world.ended_at - since)
    assert min(arrived) >= wanted, (arrived, wanted)


@then(
    "callers who can't be served are refused within {limit_s:g} s"
    ' and told when to return'
)
def check_refusals(context: Context, limit_s: float) -> None:
    world = context.world
    calls = world.calls_between(world.named_at + CONTACT_S, world.ended_at)
    refused = [call for call in calls if call.status != 200]
    assert refused
    assert {call.status for call in refused} == {503}
    slow = [call for call in refused if call.took_s > limit_s]
    assert len(slow) <= len(refused) / 100, (len(slow), len(refused))
    assert all(float(call.retry_after) > 0 for call in refused)


@then(
    'within {delay_s:d} s after the limit has ended'
    ' at least {share:g} of the callers are served'
)
def check_end(context: Context, delay_s: int, share: float) -> None:
    world = context.world
    time.sleep(delay_s + 2)
    calls = world.calls_between(world.ended_at + delay_s, time.monotonic())
    served = sum(call.status == 200 for call in calls)
    assert served >= share * len(calls), (served, len(calls))


@when("the ledger names limits that can't be read, one after the other")
def name_unreadable(context: Context) -> None:
    context.statuses = []
    for text in _UNREADABLE:
        context.fleet.ledger.faults.limits = [text]
        for _ in range(2):
            context.statuses.append(context.fleet.send_request('/look/x').status)
    context.fleet.ledger.faults.limits = ['2', '3']
    context.statuses.append(context.fleet.send_request('/look/x').status)


@then('all callers are served, and each header was logged once')
def check_unreadable(context: Context) -> None:
    assert set(context.statuses) == {200}, context.statuses
    lines = [
        line
        for line in context.fleet.daemons[0].lines()
        if line['message'] == 'invalid header ignored'
    ]
    assert len(lines) == 1, lines


@then('generated limits are read without an error, and the least is {least:g} a second')
def check_values(context: Context, least: float) -> None:
    texts = st.one_of(
        st.text(max_size=30),
        st.integers().map(str),
        st.floats().map(str),
        st.decimals(0, 1000, places=12).map(str),
    )

    @settings(max_examples=300, deadline=None)
    @generated(texts)
    def check(text: str) -> None:
        notice = decode_notice('engine', 200, {'Server-Limit': text})
        limit = notice.limit_per_s
        assert limit is None or least <= limit < float('inf')
        assert notice.is_limit_readable == (limit is not None)

    check()


@given(
    '{daemons:d} daemons that all want to send 5 requests a second for {duration_s:d} s'
)
def make_demand(context: Context, daemons: int, duration_s: int) -> None:
    source = random.Random(_SEED)
    context.demand = sorted(
        (source.uniform(0, duration_s), daemon)
        for daemon in range(daemons)
        for _ in range(5 * duration_s)
    )
    context.daemons = daemons
    context.duration_s = duration_s


@when('the owner grants permits for an endpoint that takes {per_s:g} a second')
def grant_permits(context: Context, per_s: float) -> None:
    granter = RateGranter(per_s, running=0, now=0)
    blocked_until: dict[int, float] = {}
    context.per_s, context.granted, context.asked = per_s, [], 0
    for now, daemon in context.demand:
        if now < blocked_until.get(daemon, 0):
            continue
        context.asked += 1
        wait_s = granter.take(str(daemon), now)
        blocked_until[daemon] = now + wait_s
        if not wait_s:
            context.granted.append(now)


@when('each paces itself by its share of {per_s:g} a second')
def pace_permits(context: Context, per_s: float) -> None:
    pacers = [RatePacer() for _ in range(context.daemons)]
    context.per_s = per_s
    context.granted = [
        now
        for now, daemon in context.demand
        if not pacers[daemon].take(per_s / context.daemons, now)
    ]


@then('no 4 s have more permits than one and a half times that and 5')
def check_permits(context: Context) -> None:
    granted = context.granted
    most = max(
        index + 1 - bisect_right(granted, at - WINDOW_S)
        for index, at in enumerate(granted)
    )
    assert most <= 1.5 * WINDOW_S * context.per_s + 5, most


@then(
    'at least {share:g} of the limit is granted with at most {calls:d} calls a permit'
)
def check_grants(context: Context, share: float, calls: int) -> None:
    granted = len(context.granted)
    assert granted >= share * context.per_s * context.duration_s, granted
    extra = context.daemons
    assert context.asked <= calls * granted + extra, (context.asked, granted)


@when("an endpoint's responses say, in this order of arrival")
def record_responses(context: Context) -> None:
    members = SimpleNamespace(on_heartbeat=[], send_soon=list)
    context.members = members
    context.limits = EndpointLimits(members)  # type: ignore[arg-type]
    context.now = _clock.now()
    context.listed, context.known = [], []
    endpoint = SimpleNamespace(incarnation=_INCARNATION)
    for row in context.table:
        text = row['limit']
        limit = None if text in {'none', '?'} else float(text)
        notice = EndpointNotice(limit_per_s=limit, is_limit_readable=text != '?')
        sent_at = context.now + float(row['sent at'])
        context.limits.record_response(endpoint, notice, sent_at)
        context.known.append(str(context.limits.limit_per_s(_INCARNATION)).lower())
        context.listed.append(row['known limit'])


@then('each time the limit is the one that is listed')
def check_known(context: Context) -> None:
    known = [text.removesuffix('.0') for text in context.known]
    assert known == context.listed, (known, context.listed)


@then('a heartbeat whose statement is older changes nothing, and a newer one does')
def check_heartbeats(context: Context) -> None:
    limits, now = context.limits, context.now
    with mock.patch.object(_clock, 'now', lambda: now + 16):
        for age_s, per_s, expected in (
            (1.5, None, 0.5),
            (0.5, 4, 4),
            (0.1, None, None),
        ):
            entry = [_INCARNATION, per_s, age_s]
            heartbeat = SimpleNamespace(member='other', endpoint_limits=[entry])
            context.members.on_heartbeat[0](heartbeat, None)
            assert limits.limit_per_s(_INCARNATION) == expected, entry


@then('another incarnation of the endpoint has no limit')
def check_incarnation(context: Context) -> None:
    assert context.limits.limit_per_s(f'{_INCARNATION}0') is None


def _check_windows(world: LimitedFleet, since: float) -> None:
    most = [world.most_in_window(engine, since) for engine in world.limited]
    assert max(most) <= world.allowed_in_window(), (most, world.allowed_in_window())
    assert min(most) > 0, most


def _limit(context: Context, engines: list, limit: str, duration_s: int) -> None:
    world = context.world
    world.name_limit(engines, limit)
    time.sleep(duration_s)
    world.end_limit()
