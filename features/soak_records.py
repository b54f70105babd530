"""Records for the cases of the fault soak's checks, and functions that vary them."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import replace
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
KILLED = replace(PROCESS, signalled_at=100, killed_at=108, ended_at=108, exit_code=-9)
STOPPED = replace(PROCESS, signalled_at=100, ended_at=107.9, exit_code=0)
ORDER = OrderRecord('engine-1', 'front-1', 5, 'load', 'summary', 200, 100, 3, 4)
SECOND = replace(CONFIGURATION, version=2, sent_at=50, acknowledged_at=50.1)
NEW_KEYS = (CONFIGURATION, replace(SECOND, keys={'key-2': 'lab'}))
OTHER_HOLDER = (CONFIGURATION, replace(SECOND, keys={'key-1': 'office'}))
NEW_ROUTES = (CONFIGURATION, replace(SECOND, routes=frozenset(('chat', 'look'))))
INVALID = (CONFIGURATION, replace(NEW_ROUTES[1], is_valid=False))
MOVED = (CONFIGURATION, replace(SECOND, groups={'chat': 'group-2'}))
QUOTA = replace(CONFIGURATION, rates={'lab': (100, 200)})
LOW_QUOTA = replace(SECOND, rates={'lab': (1, 1)})
SLACK_TOKENS = int(BOUNDS.quota_slack_tokens)
SAFE = MappingProxyType({'kind': RequestKind.SAFE})
UNSAFE = MappingProxyType({'kind': RequestKind.UNSAFE})
RESUMABLE = MappingProxyType({'kind': RequestKind.RESUMABLE, 'ended_at': 103})
LEFT = MappingProxyType({'end': ConnectionEnd.LEFT})
NO_KEY = MappingProxyType({'key': '', 'workspace': ''})
BROKEN_OFF = MappingProxyType({'outcome': RunOutcome.BROKEN_OFF})
FAILED = MappingProxyType({'outcome': RunOutcome.FAILED})
REFUSED = MappingProxyType({'outcome': RunOutcome.REFUSED})
AT_SECOND = MappingProxyType({'endpoint': 'engine-2', 'group': 'group-2'})
RESUMED = MappingProxyType({'last_event_id': 2, 'arrived_at': 101})


def fault_record(
    kind: str, target: str, began_at: float, ended_at: float = 0
) -> FaultRecord:
    return FaultRecord(kind, target, began_at, ended_at or began_at)


def observed(
    callers: Sequence[CallerRecord] = (),
    runs: Sequence[RunRecord] = (),
    faults: Sequence[FaultRecord] = (),
    **others: Any,
) -> Observations:
    base = Observations(1, 0, 200, BOUNDS, tuple(callers), tuple(runs))
    common = {'configurations': (CONFIGURATION,), 'processes': (PROCESS,)}
    return replace(base, faults=tuple(faults), **{**common, **others})


def attempt(*runs: Mapping[str, Any], **caller: Any) -> Observations:
    """One attempt and its runs, each with changes."""
    return observed([replace(CALLER, **caller)], [replace(RUN, **one) for one in runs])


def refused_attempt(
    status: int, *runs: Mapping[str, Any], **caller: Any
) -> Observations:
    return attempt(*runs, status=status, has_seal=False, events=(), **caller)


def cut_attempt(
    sent_at: float, ended_at: float, *runs: Mapping[str, Any], **caller: Any
) -> Observations:
    """One attempt whose connection was closed early, and its cancelled runs."""
    span = {'sent_at': sent_at, 'read_at': sent_at, 'ended_at': ended_at}
    cancelled = {'arrived_at': sent_at, 'ended_at': ended_at}
    closed = {'is_whole': False, 'end': ConnectionEnd.CLOSED}
    records = attempt(
        *({**cancelled, 'outcome': RunOutcome.CANCELLED, **one} for one in runs),
        **{**span, **closed, **caller},
    )
    return replace(records, processes=(replace(PROCESS, ready_at=1),))


def attempt_cut_at_stop(
    sent_at: float, ended_at: float, *runs: Mapping[str, Any], **caller: Any
) -> Observations:
    """The same at a daemon that gets SIGTERM at 100 s and is killed at 108 s."""
    return replace(cut_attempt(sent_at, ended_at, *runs, **caller), processes=(KILLED,))


def requests_at_limited_engine(
    arrivals: int, named_at: float = 95, ended_at: float = 110
) -> Observations:
    """Requests within 4 s at an engine that names a limit."""
    runs = (
        replace(RUN, request_id=f'a-{number}', arrived_at=100 + number / 10)
        for number in range(arrivals)
    )
    fault = fault_record('engine_limit', 'engine-1', named_at, ended_at)
    return observed(runs=tuple(runs), faults=[fault])


def callers_without_links(
    served: int, failed: int, elsewhere: int = 20, ended_at: float = 110
) -> Observations:
    """Attempts at a daemon that lost its links, and at another one, which serves all."""
    others = [replace(CALLER, daemon='front-2') for _ in range(elsewhere)]
    here = [CALLER for _ in range(served)]
    refused = [replace(CALLER, status=503, has_seal=False) for _ in range(failed)]
    callers = [
        replace(caller, request_id=f'a-{number}')
        for number, caller in enumerate((*others, *here, *refused))
    ]
    fault = fault_record('engines_hang', 'front-1', 95, ended_at)
    return observed(callers, faults=[fault])


def callers_after_loss(served: int, failed: int, lost_at: float = 80) -> Observations:
    """Attempts at a daemon that was killed together with all others."""
    refused = replace(CALLER, status=503, has_seal=False)
    sent = (*(CALLER for _ in range(served)), *(refused for _ in range(failed)))
    callers = [
        replace(caller, request_id=f'a-{number}') for number, caller in enumerate(sent)
    ]
    loss = fault_record('kill_all', 'front-1', lost_at, lost_at + 2)
    return observed(callers, faults=[loss])


def falls_of_brittle_engines(*falls_at: float, endpoints: int = 4) -> Observations:
    """Falls of one of the engines that are brittle from 95 s to 110 s."""
    brittle = (
        fault_record('engine_brittle', f'engine-{number + 1}', 95, 110)
        for number in range(endpoints)
    )
    falls = (fault_record('engine_fall', 'engine-1', at, at + 2) for at in falls_at)
    return observed([CALLER], [RUN], faults=[*brittle, *falls])


def run_at_paused_engine(ended_at: float | None = 100.9, **caller: Any) -> Observations:
    """A run that is cancelled, at an engine that is paused from 100.5 s to 101.5 s."""
    cancelled = {'outcome': RunOutcome.CANCELLED, 'ended_at': ended_at}
    observations = attempt(cancelled, **caller)
    return with_faults(
        observations, fault_record('engine_pause', 'engine-1', 100.5, 101.5)
    )


def with_faults(observations: Observations, *faults: FaultRecord) -> Observations:
    return replace(observations, faults=faults)


def with_configurations(
    configurations: Any, observations: Observations
) -> Observations:
    return replace(observations, configurations=tuple(configurations))


def process_with_faults(*faults: FaultRecord, **changes: Any) -> Observations:
    return observed(faults=faults, processes=(replace(PROCESS, **changes),))


def orders(*changes: Mapping[str, Any]) -> Observations:
    orders = [replace(ORDER, **change) for change in changes]
    return observed([replace(CALLER, daemon='front-2')], orders=tuple(orders))


def combined_attempts(*parts: Observations) -> Observations:
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


def two_requests_of_tokens(tokens: int, sent_at: float = 100) -> Observations:
    """Two runs of 1600 and some tokens; 8 s allow 1000 x 1.1 and the slack."""
    second = attempt({'arrived_at': sent_at + 0.1}, tokens=tokens, sent_at=sent_at)
    return with_configurations(
        [QUOTA], combined_attempts(attempt({}, tokens=1600), second)
    )


def requests_after_move(sent_at: float) -> Observations:
    """A run at the new group at 51 s, then a request at the old group."""
    new = attempt(
        {'arrived_at': 51, **AT_SECOND}, sent_at=50.5, read_at=50.5, ended_at=51.2
    )
    old = attempt({'arrived_at': 51.5}, sent_at=sent_at, read_at=sent_at, ended_at=51.7)
    return with_configurations(MOVED, combined_attempts(new, old))


def repeated_request(repeats: int, requests_at: float = 100) -> Observations:
    """Repeats of one of 101 requests at 100 s; the others are sent at another time."""
    others = (
        replace(CALLER, request_id=f'b-{number}', sent_at=requests_at)
        for number in range(100)
    )
    repeated = attempt({}, *({'arrived_at': 101, **REFUSED} for _ in range(repeats)))
    return replace(repeated, callers=(*repeated.callers, *others))


def attempt_at_leaving_engine(
    *runs: Mapping[str, Any], began_at: float = 90
) -> Observations:
    return with_faults(
        attempt(*runs), fault_record('engine_leaves', 'engine-1', began_at, 110)
    )


KEPT_CUT = cut_attempt(100, 101, {}, status=0, is_kept=True)
STORE_DOWN = fault_record('store_down', 'store', 101, 106)
PAUSE = fault_record('pause', 'front-1', 101, 102)
LATER_PAUSE = fault_record('pause', 'front-1', 120, 121)
LINK_CUT = fault_record('link_cut', 'front-1>engine-1', 98, 99)
HUP = fault_record('hup', 'front-1', 100)
STOPPED_EARLY = replace(PROCESS, signalled_at=50, ended_at=55, exit_code=0)
RESTARTED = (
    replace(PROCESS, signalled_at=51.2, ended_at=51.3, exit_code=0),
    replace(PROCESS, started_at=51.35, ready_at=52),
)
RESTARTED_AFTER_KILL = (
    replace(PROCESS, killed_at=50, ended_at=50, exit_code=-9),
    replace(PROCESS, started_at=52, ready_at=58),
)

ENDLESS_CUT = cut_attempt(49, 51, {'ended_at': None})
