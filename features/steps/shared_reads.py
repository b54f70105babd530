"""Steps on daemons that read the endpoints' records for others, in virtual time."""

from __future__ import annotations

import sys
from dataclasses import replace
from pathlib import Path
from unittest import mock

from behave import given, then, when
from behave.runner import Context

sys.path.append(str(Path(__file__).resolve().parent.parent))
from shared_reads_world import EndpointWorld  # noqa: E402

_SEED = 7
_SETTLED_S = 3.0
_STEP_S = 0.25
_LEAVING = 'i-0000000003'
_RESTARTED = 'i-0000000004'
_NEW = 'i-0000000099'
_IMPOSSIBLE_READS = (
    [],
    [[1, 10**9, 5]],
    [[1, 2], 0, True, []],
    [[1, 10**9, 5], 'x', True, []],
    [[1, 10**9, 5], 0, True, [[10**9, 'i-0000000001']]],
    [[1, 10**9, 5], float('inf'), True, [[10**9, _NEW, 5]]],
    [[9, 10**9, 5], 0, True, [[10**9, 'i-0000000001', None]]],
)


@given('{daemons:d} daemons in {domains:d} failure domains and {endpoints:d} endpoints')
def start_settled(context: Context, daemons: int, domains: int, endpoints: int) -> None:
    start_unsettled(context, daemons, domains, endpoints)
    context.world.run(_SETTLED_S)


@given(
    '{daemons:d} daemons in {domains:d} failure domains'
    ' and {endpoints:d} endpoints, not started'
)
def start_unsettled(
    context: Context, daemons: int, domains: int, endpoints: int
) -> None:
    context.world = EndpointWorld(daemons, domains, endpoints, _SEED)


@given('each daemon reads for itself')
def share_nothing(context: Context) -> None:
    limit = 'pimentohoist._decisions.shared_reads.MAX_UNSHARED_FLEET'
    context.stack.enter_context(mock.patch(limit, 1000))


@when('all daemons start within {seconds:g} s')
@when('all daemons start again within {seconds:g} s')
def start_all(context: Context, seconds: float) -> None:
    world = context.world
    world.start_all(seconds)
    world.log.calls.clear()
    context.elapsed_s = float()


@then('{seconds:g} s later all daemons know all endpoints')
def check_known(context: Context, seconds: float) -> None:
    world = context.world
    world.run(seconds)
    context.elapsed_s += seconds
    assert not _missing(world), _missing(world)


@then('in {seconds:g} s they have sent at most {limit:d} calls')
def check_calls(context: Context, seconds: float, limit: int) -> None:
    context.world.run(seconds - context.elapsed_s)
    assert context.world.log.calls.total() <= limit, context.world.log.calls.total()


@then('in {seconds:g} s they have sent more than {limit:d} calls')
def check_more_calls(context: Context, seconds: float, limit: int) -> None:
    context.world.run(seconds)
    assert context.world.log.calls.total() > limit, context.world.log.calls.total()


@when('they follow them for {seconds:g} s more')
def pass_time(context: Context, seconds: float) -> None:
    context.world.log.calls.clear()
    context.world.run(seconds)
    context.passed_s = seconds


@then('they read at most {limit:d} times a second')
def check_rate(context: Context, limit: int) -> None:
    rate = context.world.log.calls.total() / context.passed_s
    assert rate <= limit, rate


@when('an endpoint is marked as leaving')
def mark_leaving(context: Context) -> None:
    world = context.world
    world.endpoints[_LEAVING]['state'] = 'draining'
    world.write(_LEAVING)


@when('{who}: {fail}, and an endpoint is marked as leaving')
def fail_and_leave(context: Context, who: str, fail: str) -> None:
    world = context.world
    readers = world.readers()
    assert len(readers) == 3, readers
    domain = world.members[readers[0]].settings.failure_domain
    struck = {
        'one reader': readers[:1],
        'all readers': readers,
        'a domain': [
            name
            for name, members in world.members.items()
            if members.settings.failure_domain == domain
        ],
        'all daemons': [],
    }[who]
    match fail.split()[-1]:
        case 'dies' | 'die':
            world.dead |= set(struck)
        case 'freezes' | 'freeze':
            world.frozen |= set(struck)
        case 'away':
            world.log.refused |= set(struck)
        case 'answers':
            world.log.silent |= set(struck)
        case _:
            world.network.loss = 0.2
    mark_leaving(context)


@then('{seconds:g} s later no running daemon sends requests there')
def check_left(context: Context, seconds: float) -> None:
    context.world.run(seconds)
    users = _users(context.world, _LEAVING)
    assert not users, users


@when('an endpoint restarts with another software version')
def restart_endpoint(context: Context) -> None:
    world = context.world
    world.add_endpoint(_RESTARTED, 5, started_ms=2)
    world.endpoints[_RESTARTED]['version'] = 'v2'
    world.write(_RESTARTED)


@then('{seconds:g} s later all running daemons know that')
def check_restarted(context: Context, seconds: float) -> None:
    world = context.world
    world.run(seconds)
    unaware = set(world.live_members()) - _users(world, _RESTARTED, 2)
    assert not unaware, unaware


@when('the store is down for {seconds:g} s and an endpoint ends meanwhile')
def take_store_down(context: Context, seconds: float) -> None:
    world = context.world
    world.log.is_down = True
    world.run(seconds / 2)
    del world.endpoints[_LEAVING]
    world.run(seconds / 2)
    context.refused_per_s = world.log.refusals.total() / seconds
    world.log.is_down = False


@then('meanwhile at most {limit:d} calls a second were refused')
def check_refused(context: Context, limit: int) -> None:
    assert context.refused_per_s <= limit, context.refused_per_s


@then(
    '{seconds:g} s after its return all daemons know all other endpoints,'
    ' and none has missed one'
)
@then('{seconds:g} s later all daemons know all endpoints, and none has missed one')
def check_never_missing(context: Context, seconds: float) -> None:
    world = context.world
    for _ in range(round(seconds / _STEP_S)):
        world.run(_STEP_S)
        assert not _missing(world), (world.now, _missing(world))
    context.checked_s = seconds


@then(
    '{seconds:g} s after its return no running daemon'
    ' sends requests to the ended endpoint'
)
def check_ended(context: Context, seconds: float) -> None:
    context.world.run(seconds - context.checked_s)
    users = _users(context.world, _LEAVING)
    assert not users, users


@when('the store is restored from a copy that is {age:g} s older and lacks an endpoint')
def restore(context: Context, age: float) -> None:
    world = context.world
    kept = len(world.log.rows)
    world.add_endpoint(_NEW, 99)
    world.run(age)
    assert not _missing(world), _missing(world)
    del world.log.rows[kept:]
    world.log.era += 1


@given('half of them say nothing of their reads')
def make_earlier_builds(context: Context) -> None:
    for members in tuple(context.world.members.values())[::2]:
        _send_reads(members, [])


@given("one daemon sends reads that can't be")
def send_impossible(context: Context) -> None:
    world = context.world
    members = world.members[world.readers()[0]]
    for reads in _IMPOSSIBLE_READS:
        _send_reads(members, reads)
        world.run(1)


@then('no running daemon has lost a peer')
def check_peers(context: Context) -> None:
    assert not context.world.missing(), context.world.missing()


def _send_reads(members, reads: list) -> None:
    make = members.sender.make_heartbeat
    members.sender.make_heartbeat = lambda: replace(make(), endpoint_reads=reads)


def _missing(world: EndpointWorld) -> dict[str, set[str]]:
    """Return the endpoints that daemons don't use although they run, by daemon."""
    running = {
        f'{endpoint_id}#{document["born"]}'
        for endpoint_id, document in world.endpoints.items()
        if document['state'] == 'ready'
    }
    missing = {name: running - world.usable(name) for name in world.live_members()}
    return {name: ids for name, ids in missing.items() if ids}


def _users(world: EndpointWorld, endpoint_id: str, started_ms: int = 1) -> set[str]:
    incarnation = f'{endpoint_id}#{started_ms}'
    return {name for name in world.live_members() if incarnation in world.usable(name)}
