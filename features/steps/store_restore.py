"""Steps on a store that is restored from an older copy of itself."""

from __future__ import annotations

import sys
import time
from functools import partial
from pathlib import Path

from behave import given, then, when
from behave.runner import Context
from hypothesis import given as generated
from hypothesis import settings
from hypothesis import strategies as st

sys.path.append(str(Path(__file__).resolve().parent.parent))
from entry_fleet import MODEL, EntryFleet, wait_for  # noqa: E402
from entry_daemon import start_fleet  # noqa: E402

from pimentohoist.platform import EraTracker, StaleAnswerError  # noqa: E402

_LOST_VERSION = 7
_ADAPTER = 'a1'
_HEARTBEATS_S = 0.6
_REJOIN_S = 2.5
"""Time in which all daemons have joined the group again."""

_MAX_KNOWN_ERA = 10**6


@given('a fleet of {daemons:d} daemons with {engines:d} engine on a store of era 1')
@given('a fleet of {daemons:d} daemons with {engines:d} engines on a store of era 1')
def start_fleet_in_era(context: Context, daemons: int, engines: int) -> None:
    context.fleet = context.stack.enter_context(EntryFleet())
    context.fleet.store.era = 1
    start_fleet(context, daemons, engines)


def _declared(fleet: EntryFleet, name: str) -> list[int]:
    return [daemon.state()['declarations'][name] for daemon in fleet.daemons]


def _declare_to_all(fleet: EntryFleet, version: int) -> None:
    fleet.declare(version)
    wait_for(lambda: set(_declared(fleet, 'version')) == {version}, 5)


@when('the store is restored from a copy that lacks the last 2 records')
def lose_records(context: Context) -> None:
    context.fleet.store.save_copy()
    for version in (_LOST_VERSION - 1, _LOST_VERSION):
        _declare_to_all(context.fleet, version)
    context.fleet.store.restore_copy()


@when(
    '2 other records are written in their place,'
    " the first declares an adapter's version"
)
def write_other_records(context: Context) -> None:
    store = context.fleet.store
    document = {'model': MODEL, 'adapter': _ADAPTER, 'version': 2}
    store.put('keyed.op', f'version/{MODEL}.{_ADAPTER}', document)
    context.fleet.declare(_LOST_VERSION)


@then('all daemons know the declared version within {limit:d} s')
def check_version_known(context: Context, limit: int) -> None:
    wait_for(lambda: set(_declared(context.fleet, 'adapter_versions')) == {1}, limit)


@when('the store is restored from a copy that lacks the last configuration')
def lose_configuration(context: Context) -> None:
    context.fleet.store.save_copy()
    _declare_to_all(context.fleet, _LOST_VERSION)
    context.fleet.store.restore_copy()


@when('one daemon restarts')
def restart_daemon(context: Context) -> None:
    stopped = context.fleet.daemons.pop()
    stopped.popen.kill()
    stopped.popen.wait()
    context.fleet.start()
    wait_for(context.fleet.daemons[-1].is_ready, 10)


@then('all daemons have the lost configuration in force within {limit:d} s')
def check_configuration(context: Context, limit: int) -> None:
    wait_for(lambda: set(_declared(context.fleet, 'version')) == {_LOST_VERSION}, limit)


def _has_owner(fleet: EntryFleet, generation: int) -> bool:
    """Return whether an owner acts in a generation of the group, of any era."""
    states = [daemon.state() for daemon in fleet.daemons]
    return any(
        state['places'] and state['homes']['generation'] % 1000 == generation
        for state in states
    )


@when("the engine's owner changes 3 times and the store is restored to the first one")
def lose_owners(context: Context) -> None:
    store, daemons = context.fleet.store, context.fleet.daemons
    store.save_copy()
    for number in range(3):
        store.group.assign_all(f'{daemons[number % 2].host}:8002')
        wait_for(partial(_has_owner, context.fleet, store.group.generation), 10)
        time.sleep(_HEARTBEATS_S)
    assert context.fleet.send_request(adapter='a1').status == 200
    store.restore_copy()
    time.sleep(_REJOIN_S)


@then("a stream with an adapter that isn't loaded is served within {limit:d} s")
def check_adapter_loaded(context: Context, limit: int) -> None:
    wait_for(lambda: context.fleet.send_request(adapter='a3').status == 200, limit)


@then('no order had a fencing number that another daemon had used')
def check_fences(context: Context) -> None:
    holders = context.fleet.engines[0].state.holders
    shared = {fence: names for fence, names in holders.items() if len(names) > 1}
    assert not shared, shared


@when('the store is restored from a copy that lacks an engine')
def lose_engine(context: Context) -> None:
    store = context.fleet.store
    lost = 'engine-lost'
    store.save_copy()
    context.fleet.add_engine(lost)
    wait_for(lambda: _daemons_with(context.fleet, lost) == 2, 5)
    store.restore_copy()


@then('all daemons drop that engine within {limit:d} s')
def check_engine_dropped(context: Context, limit: int) -> None:
    wait_for(lambda: not _daemons_with(context.fleet, 'engine-lost'), limit)


def _daemons_with(fleet: EntryFleet, endpoint_id: str) -> int:
    states = [daemon.state()['endpoints'] for daemon in fleet.daemons]
    return sum(endpoint_id in endpoints for endpoints in states)


@then('generated header values never lower the era nor raise it beyond a plausible one')
def check_header_values(context: Context) -> None:
    texts_of_header = st.one_of(st.text(max_size=30), st.integers().map(str))

    @settings(max_examples=300, deadline=None)
    @generated(st.lists(texts_of_header, max_size=6))
    def check(texts: list[str]) -> None:
        tracker = EraTracker()
        for text in texts:
            before = tracker.current
            try:
                tracker.record_answer({'store-era': text})
            except StaleAnswerError:
                assert tracker.current == before
            assert before <= tracker.current < _MAX_KNOWN_ERA

    check()
