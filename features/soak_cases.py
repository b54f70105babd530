"""Hand-written cases for the checks of the fault soak."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import replace
from itertools import repeat
from types import MappingProxyType
from typing import Any

from pimentohoist_standins._soak.records import (
    Bounds,
    CallerRecord,
    ConfigurationRecord,
    ConnectionEnd,
    FaultRecord,
    Observations,
    OrderRecord,
    ProcessRecord,
    RequestKind,
    RunOutcome,
    RunRecord,
)

BOUNDS = Bounds()
# A stream that is answered whole, and its run.
CALLER = CallerRecord(
    request_id='a-1',
    daemon='front-1',
    route='chat',
    kind=RequestKind.STREAM,
    key='key-1',
    workspace='lab',
    adapter='summary',
    tokens=100,
    timeout_s=10,
    sent_at=100,
    read_at=100.01,
    first_byte_at=100.2,
    ended_at=101,
    status=200,
    retry_after_s=None,
    has_seal=True,
    is_whole=True,
    events=(1, 2, 3),
    end=ConnectionEnd.NONE,
    is_kept=False,
)
RUN = RunRecord(
    request_id='a-1',
    endpoint='engine-1',
    group='group-1',
    daemon='front-1',
    path='/chat',
    workspace='lab',
    adapter='summary',
    version=1,
    last_event_id=0,
    has_key=False,
    left_s=9.9,
    arrived_at=100.1,
    ended_at=100.9,
    outcome=RunOutcome.COMPLETED,
    status=200,
    last_event=3,
)
CONFIGURATION = ConfigurationRecord(
    version=1,
    sent_at=10,
    acknowledged_at=10.1,
    routes=frozenset(('chat',)),
    keys={'key-1': 'lab'},
    rates={},
    groups={'chat': 'group-1'},
)
PROCESS = ProcessRecord('front-1', 0, 1, None, None, None, None)
_KILLED = replace(PROCESS, signalled_at=100, killed_at=108, ended_at=108, exit_code=-9)
_STOPPED = replace(PROCESS, signalled_at=100, ended_at=107.9, exit_code=0)
_ORDER = OrderRecord('engine-1', 'front-1', 5, 'load', 'summary', 200, 100, 3, 4)
_SECOND = replace(CONFIGURATION, version=2, sent_at=50, acknowledged_at=50.1)
_NEW_KEYS = (CONFIGURATION, replace(_SECOND, keys={'key-2': 'lab'}))
_OTHER_HOLDER = (CONFIGURATION, replace(_SECOND, keys={'key-1': 'office'}))
_NEW_ROUTES = (CONFIGURATION, replace(_SECOND, routes=frozenset(('chat', 'look'))))
_INVALID = (CONFIGURATION, replace(_NEW_ROUTES[1], is_valid=False))
_MOVED = (CONFIGURATION, replace(_SECOND, groups={'chat': 'group-2'}))
_QUOTA = replace(CONFIGURATION, rates={'lab': (100, 200)})
_LOW_QUOTA = replace(_SECOND, rates={'lab': (1, 1)})
_SLACK_TOKENS = int(BOUNDS.quota_slack_tokens)
_SAFE = MappingProxyType({'kind': RequestKind.SAFE})
_UNSAFE = MappingProxyType({'kind': RequestKind.UNSAFE})
_RESUMABLE = MappingProxyType({'kind': RequestKind.RESUMABLE, 'ended_at': 103})
_LEFT = MappingProxyType({'end': ConnectionEnd.LEFT})
_NO_KEY = MappingProxyType({'key': '', 'workspace': ''})
_BROKEN_OFF = MappingProxyType({'outcome': RunOutcome.BROKEN_OFF})
_FAILED = MappingProxyType({'outcome': RunOutcome.FAILED})
_REFUSED = MappingProxyType({'outcome': RunOutcome.REFUSED})
_AT_SECOND = MappingProxyType({'endpoint': 'engine-2', 'group': 'group-2'})
_RESUMED = MappingProxyType({'last_event_id': 2, 'arrived_at': 101})


def _fault(kind: str, target: str, began_at: float, ended_at: float = 0) -> FaultRecord:
    return FaultRecord(kind, target, began_at, ended_at or began_at)


def _observations(
    callers: Sequence[CallerRecord] = (),
    runs: Sequence[RunRecord] = (),
    faults: Sequence[FaultRecord] = (),
    **others: Any,
) -> Observations:
    base = Observations(1, 0, 200, BOUNDS, tuple(callers), tuple(runs))
    common = {'configurations': (CONFIGURATION,), 'processes': (PROCESS,)}
    return replace(base, faults=tuple(faults), **{**common, **others})


def _attempt(*runs: Mapping[str, Any], **caller: Any) -> Observations:
    """One attempt and its runs, each with changes."""
    return _observations(
        [replace(CALLER, **caller)], [replace(RUN, **one) for one in runs]
    )


def _refused(status: int, *runs: Mapping[str, Any], **caller: Any) -> Observations:
    return _attempt(*runs, status=status, has_seal=False, events=(), **caller)


def _cut(
    sent_at: float, ended_at: float, *runs: Mapping[str, Any], **caller: Any
) -> Observations:
    """One attempt whose connection was closed early, and its cancelled runs."""
    span = {'sent_at': sent_at, 'read_at': sent_at, 'ended_at': ended_at}
    cancelled = {'arrived_at': sent_at, 'ended_at': ended_at}
    closed = {'is_whole': False, 'end': ConnectionEnd.CLOSED}
    records = _attempt(
        *({**cancelled, 'outcome': RunOutcome.CANCELLED, **one} for one in runs),
        **{**span, **closed, **caller},
    )
    return replace(records, processes=(replace(PROCESS, ready_at=1),))


def _stop(
    sent_at: float, ended_at: float, *runs: Mapping[str, Any], **caller: Any
) -> Observations:
    """The same at a daemon that gets SIGTERM at 100 s and is killed at 108 s."""
    return replace(_cut(sent_at, ended_at, *runs, **caller), processes=(_KILLED,))


def _limited(
    arrivals: int, named_at: float = 95, ended_at: float = 110
) -> Observations:
    """Requests within 4 s at an engine that names a limit."""
    runs = (
        replace(RUN, request_id=f'a-{number}', arrived_at=100 + number / 10)
        for number in range(arrivals)
    )
    fault = _fault('engine_limit', 'engine-1', named_at, ended_at)
    return _observations(runs=tuple(runs), faults=[fault])


def _with_faults(observations: Observations, *faults: FaultRecord) -> Observations:
    return replace(observations, faults=faults)


def _with_configurations(
    configurations: Any, observations: Observations
) -> Observations:
    return replace(observations, configurations=tuple(configurations))


def _ended(*faults: FaultRecord, **changes: Any) -> Observations:
    return _observations(faults=faults, processes=(replace(PROCESS, **changes),))


def _ordered(*changes: Mapping[str, Any]) -> Observations:
    orders = [replace(_ORDER, **change) for change in changes]
    return _observations([replace(CALLER, daemon='front-2')], orders=tuple(orders))


def _combined(*parts: Observations) -> Observations:
    callers = [
        replace(part.callers[0], request_id=f'a-{number}')
        for number, part in enumerate(parts)
    ]
    runs = [
        replace(run, request_id=f'a-{number}')
        for number, part in enumerate(parts)
        for run in part.runs
    ]
    return replace(parts[0], callers=tuple(callers), runs=tuple(runs))


def _tokens_used(tokens: int, sent_at: float = 100) -> Observations:
    """Two runs of 1600 and some tokens; 8 s allow 1000 x 1.1 and the slack."""
    second = _attempt({'arrived_at': sent_at + 0.1}, tokens=tokens, sent_at=sent_at)
    return _with_configurations([_QUOTA], _combined(_attempt({}, tokens=1600), second))


def _moved_back(sent_at: float) -> Observations:
    """A run at the new group at 51 s, then a request at the old group."""
    new = _attempt(
        {'arrived_at': 51, **_AT_SECOND}, sent_at=50.5, read_at=50.5, ended_at=51.2
    )
    old = _attempt(
        {'arrived_at': 51.5}, sent_at=sent_at, read_at=sent_at, ended_at=51.7
    )
    return _with_configurations(_MOVED, _combined(new, old))


def _repeated(repeats: int, requests_at: float = 100) -> Observations:
    """Repeats of one of 101 requests at 100 s; the others are sent at another time."""
    others = (
        replace(CALLER, request_id=f'b-{number}', sent_at=requests_at)
        for number in range(100)
    )
    repeated = _attempt({}, *({'arrived_at': 101, **_REFUSED} for _ in range(repeats)))
    return replace(repeated, callers=(*repeated.callers, *others))


def _drained(*runs: Mapping[str, Any], began_at: float = 90) -> Observations:
    return _with_faults(
        _attempt(*runs), _fault('engine_leaves', 'engine-1', began_at, 110)
    )


_KEPT_CUT = _cut(100, 101, {}, status=0, is_kept=True)
_STORE_DOWN = _fault('store_down', 'store', 101, 106)
_PAUSE = _fault('pause', 'front-1', 101, 102)
_LATER_PAUSE = _fault('pause', 'front-1', 120, 121)
_LINK_CUT = _fault('link_cut', 'front-1>engine-1', 98, 99)
_HUP = _fault('hup', 'front-1', 100)
_STOPPED_EARLY = replace(PROCESS, signalled_at=50, ended_at=55, exit_code=0)
_RESTARTED = (
    replace(PROCESS, signalled_at=51.2, ended_at=51.3, exit_code=0),
    replace(PROCESS, started_at=51.35, ready_at=52),
)
_RESTARTED_AFTER_KILL = (
    replace(PROCESS, killed_at=50, ended_at=50, exit_code=-9),
    replace(PROCESS, started_at=52, ready_at=58),
)

_ENDLESS_CUT = _cut(49, 51, {'ended_at': None})

BROKEN: Mapping[str, dict[str, Observations]] = MappingProxyType(
    {
        'lost_at_stop': {
            'sent 2.9 s after SIGTERM, cut before the last sixth': _stop(
                102.9, 106.6, {}
            ),
            'paused long before and long after': _with_faults(
                _stop(104, 105, {}),
                replace(_PAUSE, began_at=90, ended_at=91),
                _LATER_PAUSE,
            ),
            'its run has never ended': _stop(103.1, 108, {'ended_at': None}),
            'unsafe while the links of the store are cut': _with_faults(
                _stop(104, 105, {}, **_UNSAFE), _fault('link_cut', 'store', 101, 106)
            ),
            'sent 6.3 s after SIGTERM, cut by the kill': _stop(106.3, 108, {}),
            'sent 3.1 s after SIGTERM, cut by the kill': _stop(103.1, 108, {}),
            'sent 2.9 s after SIGTERM, cut 5 s after it': _stop(102.9, 105, {}),
            'closed 0.3 s after its last byte': _stop(104, 104.3),
            'cut after one engine broke off': _stop(104, 105, _BROKEN_OFF, {}),
            'unsafe while the store is down': _with_faults(
                _stop(104, 105, {}, **_UNSAFE), _STORE_DOWN
            ),
            'another daemon paused': _with_faults(
                _combined(_stop(104, 105, {}), _attempt({}, daemon='front-2')),
                replace(_PAUSE, target='front-2'),
            ),
        },
        'lost_at_reload': {'sent before SIGHUP': _with_faults(_cut(99, 101, {}), _HUP)},
        'lost_at_configuration': {
            'never acknowledged': _with_configurations(
                (CONFIGURATION, replace(_SECOND, acknowledged_at=None)),
                _cut(49, 51, {}),
            ),
            'cut 1 s after': _with_configurations(_NEW_ROUTES, _cut(49, 51, {})),
            'its run has no end, its engine lives': _with_configurations(
                _NEW_ROUTES, _ENDLESS_CUT
            ),
            'its engine was killed before its run': _with_faults(
                _with_configurations(_NEW_ROUTES, _ENDLESS_CUT),
                _fault('engine_crash', 'engine-1', 48, 48.5),
            ),
            'its engine had left before': _with_faults(
                _with_configurations(_NEW_ROUTES, _ENDLESS_CUT),
                _fault('engine_leaves', 'engine-1', 46, 48.5),
            ),
            'another engine was killed': _with_faults(
                _with_configurations(_NEW_ROUTES, _ENDLESS_CUT),
                _fault('engine_crash', 'engine-2', 50.9, 55),
            ),
            'its run had ended when its engine was killed': _with_faults(
                _with_configurations(_NEW_ROUTES, _cut(49, 51, {})),
                _fault('engine_crash', 'engine-1', 50.9, 55),
            ),
        },
        'kept_connections': {'closed four times': _combined(*repeat(_KEPT_CUT, 4))},
        'gone_before_kill': {
            'another daemon paused': _observations(
                [], [], [_fault('pause', 'front-2', 101)], processes=(_KILLED,)
            ),
            'a link slow': _observations(
                [], [], [_fault('link_slow', 'front-1', 101)], processes=(_KILLED,)
            ),
            'killed after the grace period': _observations(processes=(_KILLED,)),
            'outlives the grace period': _ended(signalled_at=100),
            'paused only before SIGTERM': _with_faults(
                _observations(processes=(_KILLED,)), _fault('pause', 'front-1', 90, 99)
            ),
        },
        'exit_codes': {
            'code 1': _observations(processes=(replace(_STOPPED, exit_code=1),)),
            'ended by itself': _ended(ended_at=100, exit_code=0),
        },
        'ready_after_start': {
            'ready after 6 s': _ended(ready_at=6),
            'never ready': _ended(ready_at=None),
            'ready 6 s after a kill': _observations(processes=_RESTARTED_AFTER_KILL),
        },
        'runs_once': {
            'unsafe at two engines': _attempt({}, {'endpoint': 'engine-2'}, **_UNSAFE),
            'a stream at one engine twice': _attempt(_BROKEN_OFF, {}),
        },
        'true_refusals': {
            '503 after a broken run': _refused(503, _BROKEN_OFF),
            '429, runs later': _refused(429, {'arrived_at': 106}),
            '503 after a run and a refusal': _refused(503, _FAILED, _REFUSED, **_SAFE),
        },
        'runs_asked_for': {
            'unknown id': _observations([], [RUN]),
            'other adapter': _attempt({'adapter': 'other'}),
        },
        'keys_stay_inside': {'key passed on': _attempt({'has_key': True})},
        'workspace_of_key': {
            'other workspace': _attempt({'workspace': 'office'}),
            'key never configured': _attempt({}, key='key-9'),
        },
        'group_of_route': {
            'other group': _attempt({'group': 'group-9'}),
            'route never configured': _attempt({}, route='look'),
            'before its configuration was sent': _with_configurations(
                (CONFIGURATION, replace(_MOVED[1], sent_at=100.5)), _attempt(_AT_SECOND)
            ),
        },
        'drain': {
            '10 s after': _drained({}),
            'refused as full': _drained({'status': 503, **_REFUSED}),
        },
        'configuration_in_force': {
            'withdrawn key answered without a run': _with_configurations(
                _NEW_KEYS, _attempt()
            ),
            'withdrawn key served': _with_configurations(_NEW_KEYS, _attempt({})),
            'new key refused': _with_configurations(
                _NEW_KEYS, _refused(401, key='key-2')
            ),
            'new route unknown': _with_configurations(
                _NEW_ROUTES, _refused(404, route='look')
            ),
            'old group': _with_configurations(_MOVED, _attempt({})),
            'former holder': _with_configurations(_OTHER_HOLDER, _attempt({})),
        },
        'no_rollback': {
            'in a process that ends later': replace(
                _moved_back(51.4), processes=(replace(PROCESS, ended_at=150),)
            ),
            'old group sent 0.4 s after the new': _moved_back(51.4),
        },
        'whole_successes': {
            'no seal': _attempt({}, has_seal=False),
            'whole though its run broke off': _attempt(_BROKEN_OFF),
        },
        'sealed_failures': {
            'other status': _attempt({'status': 404, **_FAILED}, status=500)
        },
        'event_order': {
            'gap': _attempt({}, events=(1, 3)),
            'no first event': _attempt({}, events=(2, 3)),
            'doubled': _attempt({}, events=(1, 2, 2, 3)),
            'whole without the last event': _attempt({}, events=(1, 2)),
            'joined wrongly': _attempt(
                _BROKEN_OFF, _RESUMED, **_RESUMABLE, events=(1, 3, 3)
            ),
        },
        'resumptions': {
            'resumed from nothing': _attempt({'last_event_id': 2}, events=(3,)),
            'not allowed': _attempt(_BROKEN_OFF, _RESUMED),
            'begun anew later': _attempt(
                {}, _RESUMED, {'arrived_at': 102}, **_RESUMABLE
            ),
        },
        'resumed_runs_apart': {
            'both at work': _attempt({'ended_at': 102}, _RESUMED, **_RESUMABLE),
            'long before the leave ends': _with_faults(
                _attempt({'ended_at': None}, _RESUMED, **_RESUMABLE),
                _fault('engine_leaves', 'engine-1', 99, 104),
            ),
        },
        'one_software_version': {
            'went on at another': _attempt(
                {}, {**_RESUMED, 'software_version': 'v2'}, **_RESUMABLE
            )
        },
        'answers_in_time': {'0.6 s late': _attempt({}, timeout_s=0.39)},
        'cancellations': {
            'goes on for 2 s': _cut(100, 101, {'ended_at': 103}, **_LEFT),
            'never ends': _cut(100, 101, {'ended_at': None}, **_LEFT),
            'begins 1 s later': _cut(
                100, 101, {'arrived_at': 102, 'ended_at': 102.1}, **_LEFT, **_SAFE
            ),
        },
        'adapter_slots': {'5 in 4': _ordered({'held': 5})},
        'one_holder_per_fence': {'two holders': _ordered({}, {'holder': 'front-2'})},
        'fences_rise': {'lower obeyed': _ordered({}, {'fence': 4, 'arrived_at': 101})},
        'quotas': {
            'one token over': _tokens_used(_SLACK_TOKENS - 499),
            'over a quota lowered long ago': _with_configurations(
                (_QUOTA, _LOW_QUOTA), _tokens_used(_SLACK_TOKENS - 500)
            ),
        },
        'retry_budget': {
            '75 repeats': _repeated(75),
            'requests 21 s before': _repeated(55, requests_at=79),
            'requests after the window': _repeated(55, requests_at=112),
        },
        'endpoint_limits': {'24 in 4 s': _limited(24)},
    }
)
KEPT: Mapping[str, dict[str, Observations]] = MappingProxyType(
    {
        'lost_at_stop': {
            'sent 2.9 s after SIGTERM, cut in the last sixth': _stop(102.9, 106.7, {}),
            'paused twice, the longer one first': _with_faults(
                _stop(105, 106, {}),
                replace(_PAUSE, ended_at=104),
                replace(_PAUSE, began_at=102),
            ),
            'a link of nothing known': _with_faults(
                _stop(104, 105, {}), _fault('link_cut', 'link-7', 101)
            ),
            'sent 2.9 s after SIGTERM, at work in the last sixth': _stop(
                102.9, 108, {}
            ),
            'sent 2.9 s after SIGTERM, its run goes on': _stop(
                102.9, 108, {'ended_at': None}
            ),
            'sent to the process before': replace(
                _stop(99, 101, {}), processes=(replace(_KILLED, started_at=99.5),)
            ),
            'closed 0.1 s after its last byte': _stop(104, 104.1),
            'sent in part': _stop(104, 104.3, read_at=None),
            'sent to a process that is gone': _stop(108.1, 108.5),
            'the engine broke off': _stop(104, 105, _BROKEN_OFF),
            'deadline reached': _stop(104, 105, {}, timeout_s=1),
            'the daemon was paused': _with_faults(_stop(104, 105, {}), _PAUSE),
            'unknown fault': _with_faults(
                _stop(104, 105, {}), _fault('disk_full', 'x', 101)
            ),
            'a stream while the store is down': _with_faults(
                _stop(104, 105, {}), _STORE_DOWN
            ),
            'answered 503': replace(_refused(503), processes=(_KILLED,)),
        },
        'lost_at_reload': {
            'paused': _with_faults(
                _cut(99, 101, {}), _HUP, _fault('pause', 'front-1', 98)
            ),
            'cut before SIGHUP': _with_faults(_cut(98, 99.9, {}), _HUP),
            'sent 2.1 s after SIGHUP': _with_faults(_cut(102.1, 103, {}), _HUP),
            'other daemon': _with_faults(_cut(99, 101, {}, daemon='front-2'), _HUP),
        },
        'lost_at_configuration': {
            'stopping': _with_configurations(
                _NEW_ROUTES, replace(_cut(49, 51, {}), processes=(_STOPPED_EARLY,))
            ),
            'paused': _with_faults(
                _with_configurations(_NEW_ROUTES, _cut(49, 51, {})),
                _fault('pause', 'front-1', 48),
            ),
            'cut 4 s after': _with_configurations(_NEW_ROUTES, _cut(53, 54, {})),
            'as often as at other times': _with_configurations(
                _NEW_ROUTES, _combined(_cut(49, 51, {}), _cut(70, 71, {}))
            ),
            'three quarters of its time used': _with_configurations(
                _NEW_ROUTES, _cut(49, 51, {}, timeout_s=2.66)
            ),
            'not valid': _with_configurations(_INVALID, _cut(49, 51, {})),
            'its engine was killed': _with_faults(
                _with_configurations(_NEW_ROUTES, _ENDLESS_CUT),
                _fault('engine_crash', 'engine-1', 50.9, 55),
            ),
            'its engine was killed at the end of its leave': _with_faults(
                _with_configurations(_NEW_ROUTES, _ENDLESS_CUT),
                _fault('engine_leaves', 'engine-1', 48, 51.2),
            ),
        },
        'kept_connections': {
            'new connections': _combined(*repeat(_cut(100, 101, {}, status=0), 4)),
            'begun answers': _combined(*repeat(_cut(100, 101, {}, is_kept=True), 4)),
            'closed three times': _combined(*repeat(_KEPT_CUT, 3)),
            'engine crashed': _with_faults(
                _combined(*repeat(_KEPT_CUT, 4)),
                _fault('engine_crash', 'engine-1', 100.5),
            ),
        },
        'gone_before_kill': {
            'gone after 7.9 s': _observations(processes=(_STOPPED,)),
            'paused after SIGTERM': _observations(
                [], [], [_PAUSE], processes=(_KILLED,)
            ),
            'killed by a fault after 1 s': _ended(
                signalled_at=100, killed_at=101, ended_at=101, exit_code=-9
            ),
            'the run ends first': _ended(signalled_at=199),
        },
        'exit_codes': {
            'code 0': _observations(processes=(_STOPPED,)),
            'killed': _observations(processes=(_KILLED,)),
        },
        'ready_after_start': {
            'paused': _ended(_fault('pause', 'front-1', 1, 2), ready_at=6),
            'ready after 1 s': _observations(),
            'stopped before': _ended(ready_at=None, signalled_at=4, ended_at=5),
            'store down': _ended(_fault('store_down', 'store', 1, 8), ready_at=9),
        },
        'runs_once': {
            'refused, then run': _attempt(
                _REFUSED, {'endpoint': 'engine-2'}, **_UNSAFE
            ),
            'safe at two engines': _attempt(_FAILED, {'endpoint': 'engine-2'}, **_SAFE),
        },
        'true_refusals': {
            '503 after refusals': _refused(503, _REFUSED, _REFUSED),
            '502 after a broken run': _refused(502, _BROKEN_OFF),
        },
        'runs_asked_for': {'as sent': _attempt({})},
        'keys_stay_inside': {'no key': _attempt({})},
        'workspace_of_key': {
            'key moved': _with_configurations(
                _OTHER_HOLDER, _attempt({'workspace': 'office'})
            ),
            'no key': _attempt({'workspace': ''}, **_NO_KEY),
        },
        'group_of_route': {'former group': _with_configurations(_MOVED, _attempt({}))},
        'drain': {
            'engine was frozen': _with_faults(
                _drained({}),
                *_drained({}).faults,
                _fault('engine_freeze', 'engine-1', 98),
            ),
            'daemon was paused': _with_faults(
                _drained({}), *_drained({}).faults, _fault('pause', 'front-1', 98)
            ),
            'engine fails but stays': _with_faults(
                _attempt({}), _fault('engine_fail', 'engine-1', 90)
            ),
            '1.9 s after': _drained({}, began_at=98.2),
            'misdirected': _drained({'status': 421, **_REFUSED}),
            'link was cut': _with_faults(_drained({}), *_drained({}).faults, _LINK_CUT),
            'store was slow': _with_faults(
                _drained({}),
                *_drained({}).faults,
                _fault('store_slow', 'store', 85, 89),
            ),
        },
        'configuration_in_force': {
            'no key': _with_configurations(
                _NEW_KEYS, _attempt({'workspace': ''}, **_NO_KEY)
            ),
            'no key refused': _with_configurations(_NEW_KEYS, _refused(401, **_NO_KEY)),
            'never acknowledged': _with_configurations(
                (CONFIGURATION, replace(_NEW_KEYS[1], acknowledged_at=None)),
                _attempt({}),
            ),
            'store down': _with_faults(
                _with_configurations(_NEW_KEYS, _attempt({})),
                _fault('store_down', 'x', 98),
            ),
            'started 2 s before': replace(
                _with_configurations(_NEW_KEYS, _attempt({})),
                processes=(replace(PROCESS, started_at=98),),
            ),
            'withdrawn key refused': _with_configurations(_NEW_KEYS, _refused(401)),
            '1.5 s after': _with_configurations(
                _NEW_KEYS, _attempt({}, sent_at=51.6, ended_at=52)
            ),
            'the engine answers 404': _with_configurations(
                _NEW_ROUTES, _attempt({}, route='look', status=404)
            ),
            'paused': _with_faults(
                _with_configurations(_NEW_KEYS, _attempt({})),
                _fault('pause', 'front-1', 90, 98),
            ),
            'sent meanwhile': _with_configurations(
                (CONFIGURATION, replace(_MOVED[1], sent_at=100.05)),
                _attempt(_AT_SECOND),
            ),
        },
        'no_rollback': {
            'process unknown': replace(_moved_back(51.4), processes=()),
            'old group sent 0.2 s after the new': _moved_back(51.2),
            'another process': replace(_moved_back(51.4), processes=_RESTARTED),
            'paused': _with_faults(_moved_back(51.4), _fault('pause', 'front-1', 50)),
        },
        'whole_successes': {'broken run': _cut(100, 101, _BROKEN_OFF)},
        'sealed_failures': {
            'own answer': _refused(502, {'status': 500, **_FAILED}),
            'success of a repeat': _attempt(
                {'status': 500, **_FAILED}, {'status': 0}, **_SAFE
            ),
            'no answer': _cut(100, 101, {'status': 500}, status=0),
            'same status': _attempt({'status': 500, **_FAILED}, status=500),
        },
        'event_order': {
            'no stream': _attempt({}, **_SAFE, events=()),
            'failed stream': _attempt({}, status=500, events=(7,)),
            'cut after its run': _cut(
                100, 101, {'outcome': RunOutcome.COMPLETED}, events=(1,)
            ),
            'last event not recorded': _attempt({'last_event': None}, events=(1, 2)),
            'broken stream': _cut(100, 101, _BROKEN_OFF, events=(1, 2)),
            'resumed by its caller': _attempt(_RESUMED, **_RESUMABLE, events=(3,)),
        },
        'resumptions': {
            'run once': _attempt({}),
            'allowed': _attempt(_BROKEN_OFF, _RESUMED, **_RESUMABLE),
        },
        'one_software_version': {
            'went on at its own': _attempt({}, _RESUMED, **_RESUMABLE),
            'begun anew at another': _attempt(
                {}, {'software_version': 'v2'}, **_RESUMABLE
            ),
        },
        'endpoint_limits': {
            '23 in 4 s': _limited(23),
            'before it was known': _limited(40, named_at=101.5),
            'after it ended': _limited(40, named_at=80, ended_at=90),
            'daemon was paused': _with_faults(
                _limited(40), *_limited(40).faults, _fault('pause', 'front-1', 98)
            ),
        },
        'resumed_runs_apart': {
            'ended before': _attempt({}, _RESUMED, **_RESUMABLE),
            'engine killed as it left': _with_faults(
                _attempt({'ended_at': None}, _RESUMED, **_RESUMABLE),
                _fault('engine_leaves', 'engine-1', 98, 101.5),
            ),
            'engine frozen': _with_faults(
                _attempt({'ended_at': None}, _RESUMED, **_RESUMABLE),
                _fault('engine_freeze', 'engine-1', 100.5, 104),
            ),
        },
        'answers_in_time': {
            'left': _attempt({}, timeout_s=0.39, **_LEFT),
            'sent in part': _attempt({}, timeout_s=0.39, read_at=None),
            '0.4 s late': _attempt({}, timeout_s=0.6),
            'paused': _with_faults(
                _attempt({}, timeout_s=0.39), _fault('pause', 'front-1', 100.5)
            ),
            'slow caller': _with_faults(
                _attempt({}, timeout_s=0.39), _fault('caller_slow', 'a-1', 100, 101)
            ),
        },
        'cancellations': {
            'closed by the daemon': _cut(100, 101, {'ended_at': 103}),
            'daemon paused': _with_faults(
                _cut(100, 101, {'ended_at': 103}, **_LEFT),
                _fault('pause', 'front-1', 101),
            ),
            'engine frozen': _with_faults(
                _cut(100, 101, {'ended_at': 103}, **_LEFT),
                _fault('engine_freeze', 'engine-1', 101),
            ),
            'cancelled after 0.3 s': _cut(100, 101, {'ended_at': 101.3}, **_LEFT),
            'unsafe': _cut(100, 101, {'ended_at': 103}, **_LEFT, **_UNSAFE),
            'link cut': _with_faults(
                _cut(100, 101, {'ended_at': 103}, **_LEFT), _LINK_CUT
            ),
        },
        'adapter_slots': {'4 in 4': _ordered({'held': 4})},
        'one_holder_per_fence': {'one holder': _ordered({}, {'arrived_at': 101})},
        'fences_rise': {
            'refused': _ordered({}, {'fence': 4, 'status': 412, 'arrived_at': 101}),
            'after a crash': _with_faults(
                _ordered({}, {'fence': 4, 'arrived_at': 110}),
                _fault('engine_crash', 'engine-1', 105),
            ),
            'paused holder': _with_faults(
                _ordered({}, {'holder': 'front-2', 'fence': 4, 'arrived_at': 101}),
                _fault('pause', 'front-2', 95, 100),
            ),
        },
        'quotas': {
            'lowered while a daemon was paused': _with_faults(
                _with_configurations(
                    (_QUOTA, _LOW_QUOTA), _tokens_used(_SLACK_TOKENS - 500)
                ),
                _fault('pause', 'front-1', 51, 88),
            ),
            'all used': _tokens_used(_SLACK_TOKENS - 500),
            'spread over 9 s': _tokens_used(_SLACK_TOKENS, sent_at=109),
            'lowered shortly before': _with_configurations(
                (_QUOTA, replace(_LOW_QUOTA, sent_at=85, acknowledged_at=90)),
                _tokens_used(_SLACK_TOKENS - 500),
            ),
            'none': _with_configurations(
                [CONFIGURATION], _tokens_used(2 * _SLACK_TOKENS)
            ),
        },
        'retry_budget': {
            '74 repeats': _repeated(74),
            'requests 9 s before': _repeated(74, requests_at=91),
            '54 repeats of one request': _repeated(54, requests_at=20),
        },
    }
)
