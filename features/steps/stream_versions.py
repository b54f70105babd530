"""Steps on streams over engines of several software versions."""

from __future__ import annotations

import signal
import sys
import time
from http import HTTPStatus
from pathlib import Path

from behave import given, then, when
from behave.runner import Context

sys.path.append(str(Path(__file__).resolve().parent.parent))
from entry_fleet import EntryFleet, EntryProcess, wait_for  # noqa: E402
from versioned_fleet import EVENTS, StreamCall, VersionedFleet  # noqa: E402

from pimentohoist.platform import STREAM_RECORDS  # noqa: E402

_ADAPTERS = 4
_AFTER_EVENTS = 3
_TAKEOVER_S = 15.0
_JOIN_S = 5.0
_RECORDED_S = 0.5
_COPY_AGE_S = 1.0
_RECORDED_AGAIN_S = 3.0
_SILENT_S = 1.5


@given('a fleet of {daemons:d} daemon and engines of the versions {versions}')
@given('a fleet of {daemons:d} daemons and engines of the versions {versions}')
def start_versions(
    context: Context, daemons: int, versions: str, era: int | None = None
) -> None:
    fleet = context.stack.enter_context(EntryFleet())
    fleet.store.era = era
    fleet.declare(3, attempts=3)
    world = VersionedFleet(fleet)
    world.add_engines(versions.split(', '))
    fleet.start_ready(daemons)
    context.world = world
    context.is_first_engine_busy = True


@given(
    'a fleet of {daemons:d} daemons, a store that names its era'
    ' and engines of the versions {versions}'
)
def start_with_era(context: Context, daemons: int, versions: str) -> None:
    start_versions(context, daemons, versions, era=1)


@when('{count:d} streams are broken off by their engines after {events:d} events')
def break_off(context: Context, count: int, events: int) -> None:
    world = context.world
    for number in range(count):
        world.break_next_stream(events)
        world.send(_new_call(context, number))


@when(
    'callers leave {count:d} streams after {events:d} events'
    ' and the engines that began them are busy'
)
def leave_streams(context: Context, count: int, events: int) -> None:
    world = context.world
    calls = [_new_call(context, number) for number in range(count)]
    for call in calls:
        world.send(call, stop_after=events)
    assert all(len(call.events) == events for call in calls), calls


@when('they take them up at other daemons')
def take_up(context: Context) -> None:
    world = context.world
    daemons = len(context.world.fleet.daemons)
    for call in world.calls:
        call.daemon = (call.daemon + 1) % daemons
        _take_up(context, call)


def _send_to_first(context: Context, count: int, events: int) -> None:
    calls = [_new_call(context, number) for number in range(count)]
    for call in calls:
        call.daemon = 0
        context.world.send(call, stop_after=events)
    assert all(len(call.events) == events for call in calls), calls


@when('a daemon has read the records of streams and the store comes back from a copy')
def read_and_restore(context: Context) -> None:
    fleet = context.world.fleet
    _assign_all(context, fleet.daemons[1])
    # The daemons have started lately, so one that takes a stream up reads the store.
    assert context.world.take_up_unknown(0, daemon=1).status == HTTPStatus.OK
    fleet.store.save_copy()
    time.sleep(_COPY_AGE_S)
    fleet.store.restore_copy()
    for engine in fleet.engines:
        entry = engine.entry('models')
        fleet.store.put('keyed.servers', engine.engine_id, entry)
    _assign_all(context, fleet.daemons[1])
    time.sleep(_RECORDED_AGAIN_S)


@when(
    '{count:d} streams at one daemon have brought {events:d} events and it stands still'
)
def stop_daemon(context: Context, count: int, events: int) -> None:
    _send_to_first(context, count, events)
    process = context.world.fleet.daemons[0].popen
    process.send_signal(signal.SIGSTOP)
    context.stack.callback(process.send_signal, signal.SIGCONT)
    time.sleep(_SILENT_S)


@when('{count:d} streams at one daemon have brought {events:d} events and it is killed')
def kill_daemon(context: Context, count: int, events: int) -> None:
    _send_to_first(context, count, events)
    world = context.world
    world.fleet.daemons[0].popen.send_signal(signal.SIGKILL)
    # The stand-in for the store reassigns partitions only when it is told to. Another
    # survivor may have owned the engines, and hasn't heard of the change yet.
    _assign_all(context, world.fleet.daemons[1])


@when('callers take the streams up at other daemons')
def take_up_elsewhere(context: Context) -> None:
    context.is_first_engine_busy = False
    take_up_after_kill(context)


@when(
    'the engines that began them are busy'
    ' as callers take the streams up at other daemons'
)
def take_up_after_kill(context: Context) -> None:
    for number, call in enumerate(context.world.calls):
        call.daemon = 1 + number % (len(context.world.fleet.daemons) - 1)
        _take_up(context, call)


@when('engines of the versions {versions} join')
def join_versions(context: Context, versions: str) -> None:
    world = context.world
    world.add_engines(versions.split(', '))
    known = {engine.engine_id for engine in world.fleet.engines}
    wait_for(lambda: _known_engines(world) == known, _JOIN_S)
    # Daemons read the store at intervals, and record what they know after a read.
    time.sleep(_RECORDED_S)


@when(
    'a copy of the store is made between {count:d} streams'
    ' that callers leave after {events:d} events'
)
def copy_between(context: Context, count: int, events: int) -> None:
    store = context.world.fleet.store
    store.era = 1
    # Daemons learn of the era with their next reads.
    time.sleep(_RECORDED_S)
    leave_streams(context, count // 2, events)
    time.sleep(_RECORDED_S)
    store.save_copy()
    leave_streams(context, count // 2, events)


@when('the store comes back from it without the engines of {version}')
def restore_without(context: Context, version: str) -> None:
    world = context.world
    context.is_first_engine_busy = False
    world.fleet.store.restore_copy()
    for engine in world.fleet.engines:
        if engine.version == version:
            world.fleet.store.put('keyed.servers', engine.engine_id, None)


@when(
    'all daemons are killed, engines of the versions {versions} join'
    ' and the daemons come back'
)
def join_while_down(context: Context, versions: str) -> None:
    world = context.world
    world.fleet.kill_all()
    world.add_engines(versions.split(', '))
    _start_again(context)


@when(
    'all daemons are killed, engines of the versions {versions} replace all others'
    ' and the daemons come back'
)
def replace_while_down(context: Context, versions: str) -> None:
    world = context.world
    world.fleet.kill_all()
    for engine in world.fleet.engines:
        world.fleet.store.put('keyed.servers', engine.engine_id, None)
    world.add_engines(versions.split(', '))
    _start_again(context)


@when('all daemons are killed, come back and the streams are taken up')
def take_up_after_all_killed(context: Context) -> None:
    context.world.fleet.kill_all()
    _start_again(context)
    take_up_all(context)


@when('the streams are taken up')
def take_up_all(context: Context) -> None:
    for number, call in enumerate(context.world.calls):
        call.daemon = number % len(context.world.fleet.daemons)
        _take_up(context, call)


@when(
    'all daemons are killed, come back without the records of streams'
    ' and they are taken up'
)
def take_up_without_records(context: Context) -> None:
    context.world.fleet.store.refused_topics = frozenset((STREAM_RECORDS,))
    take_up_after_all_killed(context)


@when('malformed records of streams are in the store')
def put_malformed(context: Context) -> None:
    store = context.world.fleet.store
    for body in (b'{', b'\xff\xfe', b'[]', b'null', b'{"era": 0}'):
        store.put(STREAM_RECORDS, 'other', body)
    long = {'v' * 5000: ['0' * 5000]}
    for versions in (1, {'v1': 7}, {'v1': [1, None]}, long):
        document = {'era': 0, 'groups': {'models': versions}}
        store.put(STREAM_RECORDS, 'other', document)


@when('a caller takes up a stream that no daemon knows')
def take_up_unknown(context: Context) -> None:
    context.responses = []
    for number in range(4):
        began_at = time.monotonic()
        response = context.world.take_up_unknown(number)
        context.responses.append((response, time.monotonic() - began_at))


@when(
    'callers leave {count:d} streams after {events:d} events'
    ' and the engines of {version} are gone from the store'
)
def remove_version(context: Context, count: int, events: int, version: str) -> None:
    leave_streams(context, count, events)
    world = context.world
    context.is_first_engine_busy = False
    context.gone = version
    context.began_there = [
        call for call in world.calls if world.versions_of(call) == {version}
    ]
    assert context.began_there, 'no stream began there'
    for engine in world.fleet.engines:
        if engine.version == version:
            world.fleet.store.put('keyed.servers', engine.engine_id, None)
    kept = {one.engine_id for one in world.fleet.engines if one.version != version}
    wait_for(lambda: _known_engines(world) <= kept, 5)


@when(
    '{count:d} streams of adapters that one engine has'
    ' are broken off {delay_s:g} s after their start'
)
def break_late(context: Context, count: int, delay_s: float) -> None:
    world = context.world
    for engine in world.fleet.engines:
        engine.faults.event_s = delay_s / _AFTER_EVENTS
    for number in range(count):
        world.break_next_stream(_AFTER_EVENTS)
        world.send(_new_call(context, number))


@then('no stream has events of two versions')
def check_versions(context: Context) -> None:
    world = context.world
    mixed = [call for call in world.calls if len(world.versions_of(call)) > 1]
    doubled = [call for call in world.calls if len(set(call.events)) < len(call.events)]
    assert not mixed, f'{len(mixed)} of {len(world.calls)}'
    assert not doubled, doubled


@then('at least {count:d} of them go on')
def check_whole(context: Context, count: int) -> None:
    whole = [call for call in context.world.calls if call.is_whole()]
    assert len(whole) >= count, [
        (call.status, call.events) for call in context.world.calls
    ]


@then('no stream goes on')
def check_none(context: Context) -> None:
    whole = [call for call in context.world.calls if call.is_whole()]
    assert not whole, len(whole)


@then('each daemon has logged at most {count:d} rejected records of streams')
def check_rejections(context: Context, count: int) -> None:
    for daemon in context.world.fleet.daemons:
        lines = [
            line
            for line in daemon.lines()
            if line.get('message') == 'record of streams rejected'
        ]
        assert len(lines) <= count, len(lines)
        assert daemon.popen.poll() is None


@then('it is refused within {limit_s:g} s as not run')
def check_refused(context: Context, limit_s: float) -> None:
    statuses = [response.status for response, _ in context.responses]
    assert set(statuses) == {HTTPStatus.SERVICE_UNAVAILABLE}, statuses
    assert max(took_s for _, took_s in context.responses) < limit_s


@then('it goes on')
def check_goes_on(context: Context) -> None:
    responses = [response for response, _ in context.responses]
    assert {response.status for response in responses} == {HTTPStatus.OK}, responses
    assert all(response.body.startswith(b'id: 4') for response in responses)


@then('streams that began at {version} are refused within {limit_s:g} s as not run')
def check_gone_version(context: Context, version: str, limit_s: float) -> None:
    assert version == context.gone
    statuses = [call.status for call in context.began_there]
    assert set(statuses) == {HTTPStatus.SERVICE_UNAVAILABLE}, statuses
    assert max(call.took_s for call in context.began_there) < limit_s
    others = [call for call in context.world.calls if call not in context.began_there]
    whole = [call.is_whole() for call in others]
    assert all(whole), others


def _new_call(context: Context, number: int) -> StreamCall:
    daemons = len(context.world.fleet.daemons)
    name = f's{len(context.world.calls)}'
    call = StreamCall(name, f'a{number % _ADAPTERS}', number % daemons)
    context.world.calls.append(call)
    return call


def _take_up(context: Context, call: StreamCall) -> None:
    """Take a stream up, while the engine that began it refuses it if it is busy."""
    began_at = context.world.engines_of(call)[0]
    if context.is_first_engine_busy:
        began_at.faults.statuses = [HTTPStatus.SERVICE_UNAVAILABLE]
    context.world.send(call, stop_after=EVENTS)
    began_at.faults.statuses = []


def _start_again(context: Context) -> None:
    fleet = context.world.fleet
    fleet.start_again()
    wait_for(lambda: all(daemon.is_ready() for daemon in fleet.daemons), _TAKEOVER_S)
    wait_for(lambda: _owned_count(fleet.daemons) >= _alive_count(fleet), _TAKEOVER_S)


def _alive_count(fleet: EntryFleet) -> int:
    listed = fleet.daemons[0].state()['endpoints']
    return sum(name.startswith('engine') for name in listed)


def _assign_all(context: Context, owner: EntryProcess) -> None:
    world = context.world
    world.fleet.store.group.assign_all(f'{owner.host}:8002')
    wait_for(lambda: _owned_count([owner]) == len(world.fleet.engines), _TAKEOVER_S)


def _owned_count(daemons: list[EntryProcess]) -> int:
    """Return how many engines have an owner that may order them already."""
    places = (
        place for daemon in daemons for place in daemon.state()['places'].values()
    )
    return sum(place['may_order'] for place in places)


def _known_engines(world: VersionedFleet) -> set[str]:
    return {
        endpoint_id
        for daemon in world.fleet.daemons
        for endpoint_id in daemon.state()['endpoints']
        if endpoint_id.startswith('engine')
    }
