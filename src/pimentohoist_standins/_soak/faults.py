"""Injects planned faults, each in a thread of its own."""

from __future__ import annotations

import itertools
import signal
import threading
import time
from collections.abc import Callable, Mapping
from contextlib import suppress
from dataclasses import dataclass, field
from types import MappingProxyType
from typing import Any, Self

from pimentohoist_standins._soak.caller_requests import EXTRA_ROUTES, KEYS
from pimentohoist_standins._soak.daemons import DaemonFleet
from pimentohoist_standins._soak.endpoints import EndpointFleet, EndpointProcess
from pimentohoist_standins._soak.errors import SoakError
from pimentohoist_standins._soak.links import Links
from pimentohoist_standins._soak.operator import Operator
from pimentohoist_standins._soak.plan import ROLL_PAUSE_S, PlannedFault
from pimentohoist_standins._soak.records import (
    BRITTLE_PER_S,
    BRITTLE_ROOM,
    LIMIT_PER_S,
    Bounds,
    FaultRecord,
)
from pimentohoist_standins._soak.role_process import RoleProcess
from pimentohoist_standins.odd_heads import MALFORMED_LINES, Place
from pimentohoist_standins.opaque_engine_state import FALL_S

_LEAVE_S = 2.0
_SERIES_COUNT = 5
_SERIES_PAUSE_S = 0.15
_SLOW_STORE_S = 0.4
_CUT_STREAMS = 10
_CUT_PAUSE_S = 0.1
_ENTRIES_BACK_S = 1.5
"""Time after the store's return from a copy until endpoints' entries are back."""

_ODD_ID = 'a-odd-1'
_ODD_ENTRY: Mapping[str, Any] = MappingProxyType(
    {
        **{'service': 'models', 'address': '127.0.0.1:9', 'zone': 'z', 'slots': 8},
        **{'version': 'v1', 'state': ['ready'], 'born': 1, 'seq': 0},
    }
)

_LINK_FAULTS: Mapping[str, Mapping[str, Any]] = MappingProxyType(
    {
        'link_delay': {'delay_s': 0.15},
        'link_cut_requests': {'is_request_cut': True},
        'link_cut_responses': {'is_response_cut': True},
        'link_silent': {'is_request_cut': True, 'is_response_cut': True},
        'link_slow': {'bytes_per_s': 3000},
        'link_close': {'close_after_bytes': 700},
    }
)
_STORE_FAULTS: Mapping[str, Mapping[str, Any]] = MappingProxyType(
    {
        'store_down': {'is_down': True},
        'store_slow': {'delay_s': _SLOW_STORE_S},
        'store_lose_calls': {'is_losing_calls': True},
        'store_lose_answers': {'is_losing_answers': True},
    }
)
_MALFORMED_HEAD_LINES = tuple(
    (place, line.decode('latin-1'))
    for place, line in zip(itertools.cycle(Place), MALFORMED_LINES.values())
)
_ENDPOINT_FAULTS: Mapping[str, Mapping[str, Any]] = MappingProxyType(
    {
        'engine_silent': {'is_silent': True},
        'engine_fail': {'failures': 5},
        'engine_twice': {'extra_responses': 3},
        'engine_cut': {'cut_after_events': 3},
        'engine_cut_head': {'cut_heads': [17, 120, 150, 165, 180, 195, 210]},
        'engine_odd_head': {'head_lines': _MALFORMED_HEAD_LINES},
        'engine_quiet': {'quiet_s': 0.5},
        'engine_limit': {'limits': [str(LIMIT_PER_S)]},
    }
)
_ENDPOINT_CALM: Mapping[str, Any] = MappingProxyType(
    {
        'engine_silent': {'is_silent': False},
        'engine_quiet': {'quiet_s': None},
        'engine_limit': {'limits': []},
    }
)


@dataclass
class Parts:
    """What faults act on.

    Attributes
    ----------
    announced_at : dict of str to float
        When the store acknowledged that an endpoint leaves.
    falls : set of FaultRecord
        When brittle endpoints fell over, once each where faults overlap.
    """

    daemons: DaemonFleet
    endpoints: EndpointFleet
    store: RoleProcess
    links: Links
    operator: Operator
    announced_at: dict[str, float] = field(default_factory=dict)
    falls: set[FaultRecord] = field(default_factory=set)

    def link_target(self, name: str, endpoint: list[str]) -> str:
        """Return the name of a link with its endpoint's id."""
        if not endpoint:
            return name
        incarnation = self.endpoints.endpoints[int(endpoint[0])].endpoint_id
        return f'{name.partition(">")[0]}>{incarnation}'


@dataclass
class FaultInjector:
    """Injects the faults of a plan and records them.

    Attributes
    ----------
    skipped : list of PlannedFault
        Faults whose target had ended.
    errors : list of Exception
        Other errors; the first one ends the run.
    """

    parts: Parts
    records: list[FaultRecord] = field(default_factory=list)
    skipped: list[PlannedFault] = field(default_factory=list)
    errors: list[Exception] = field(default_factory=list)
    threads: list[threading.Thread] = field(default_factory=list)

    def __enter__(self) -> Self:
        """Return the injector."""
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Wait for the end of all faults, unless the run is interrupted."""
        while self.threads and exc_info[0] is None:
            self.threads.pop().join()
        self.records.extend(self.parts.falls)
        if self.errors and exc_info[0] is None:
            raise self.errors[0]

    def begin(self, fault: PlannedFault) -> None:
        """Inject a fault now."""
        thread = threading.Thread(target=self._run, args=(fault,), daemon=True)
        self.threads.append(thread)
        thread.start()

    def _run(self, fault: PlannedFault) -> None:
        kind, _, numbers = fault.target.partition(':')
        inject = _INJECTORS[kind]
        began_at = time.monotonic()
        try:
            targets = inject(self.parts, fault, numbers)
        except SoakError:
            self.skipped.append(fault)
            return
        except Exception as error:
            self.errors.append(error)
            return
        self.records.extend(self._record(fault, name, began_at) for name in targets)

    def _record(self, fault: PlannedFault, target: str, began_at: float) -> FaultRecord:
        if fault.kind == 'engine_leaves':
            # An endpoint leaves from the store's acknowledgement on.
            began_at = self.parts.announced_at.get(target, began_at)
        return FaultRecord(fault.kind, target, began_at, time.monotonic())


def _inject_into_daemon(parts: Parts, fault: PlannedFault, number: str) -> list[str]:
    daemons = parts.daemons.daemons
    daemon = daemons[int(number)]
    process = daemon.process
    match fault.kind:
        case 'hup':
            process.send_signal(signal.SIGHUP)
        case 'pause':
            process.send_signal(signal.SIGSTOP)
            time.sleep(fault.duration_s)
            process.send_signal(signal.SIGCONT)
        case 'kill':
            process.kill()
            time.sleep(fault.duration_s)
            daemon.restart()
        case 'engines_reset' | 'engines_hang' | 'engines_live':
            _, _, form = fault.kind.partition('_')
            parts.links.cut_endpoints(process.host, form)
            time.sleep(fault.duration_s)
            parts.links.mend_endpoints(process.host)
        case 'kill_all':
            return _kill_all(parts, fault.duration_s)
        case 'roll':
            return _roll(parts, fault.duration_s)
        case _:
            daemon.stop()
            time.sleep(fault.duration_s)
            daemon.restart(is_moving=fault.kind == 'new_address')
    return [process.host]


def _kill_all(parts: Parts, down_s: float) -> list[str]:
    """Kill all daemons at once; an engine gets newer software before they are back."""
    daemons = parts.daemons.daemons
    began_at = time.monotonic()
    hosts = [daemon.process.host for daemon in daemons]
    for killed in daemons:
        killed.process.kill()
    ended_id = parts.endpoints.endpoints[0].replace(down_s, is_release=True)
    for daemon in daemons:
        daemon.restart()
    crash = FaultRecord('engine_crash', ended_id, began_at, time.monotonic())
    parts.falls.add(crash)
    return hosts


def _roll(parts: Parts, pause_s: float) -> list[str]:
    """Restart all daemons, each some time after the one before has begun to stop."""
    hosts = [daemon.process.host for daemon in parts.daemons.daemons]
    threads = []
    for daemon in parts.daemons.daemons:
        thread = threading.Thread(target=_stop_and_restart, args=(daemon,), daemon=True)
        thread.start()
        threads.append(thread)
        time.sleep(ROLL_PAUSE_S + pause_s)
    for started in threads:
        started.join()
    return hosts


def _stop_and_restart(daemon: Any) -> None:
    daemon.stop()
    daemon.restart()


def _inject_into_link(parts: Parts, fault: PlannedFault, target: str) -> list[str]:
    kind, number, *endpoint = target.split(':')
    host = parts.daemons.daemons[int(number)].process.host
    name = f'callers>{host}' if kind == 'callers' else f'{host}>{(*endpoint, kind)[0]}'
    seen = [parts.link_target(name, endpoint)]
    if fault.kind == 'link_reset':
        parts.links.reset(name)
        return seen
    settings = _LINK_FAULTS[fault.kind]
    parts.links.configure(name, **settings)
    time.sleep(fault.duration_s)
    parts.links.configure(name, **dict.fromkeys(settings, 0))
    return seen


def _inject_into_store(parts: Parts, fault: PlannedFault, numbers: str) -> list[str]:
    store = parts.store
    match fault.kind:
        case 'store_silent':
            store.call('configure', is_silent=True)
            time.sleep(fault.duration_s)
            store.call('end_silence')
        case 'store_odd_entry':
            entries = {_ODD_ID: dict(_ODD_ENTRY)}
            store.call('put_documents', topic='keyed.servers', documents=entries)
        case 'store_restored':
            store.call('save_copy')
            time.sleep(fault.duration_s)
            store.call('restore_copy')
            time.sleep(_ENTRIES_BACK_S)
            parts.endpoints.announce_again()
            parts.operator.send()
        case _:
            settings = _STORE_FAULTS[fault.kind]
            store.call('configure', **settings)
            time.sleep(fault.duration_s)
            store.call('configure', **dict.fromkeys(settings, 0))
    return ['store']


def _inject_into_endpoint(parts: Parts, fault: PlannedFault, number: str) -> list[str]:
    endpoint = parts.endpoints.endpoints[int(number)]
    endpoint_id = endpoint.endpoint_id
    match fault.kind:
        case 'engine_crash':
            endpoint_id = endpoint.replace(fault.duration_s)
        case 'engine_brittle':
            return _make_brittle(parts, endpoint.group, fault.duration_s)
        case 'engine_freeze' | 'engine_pause':
            process = endpoint.process
            process.send_signal(signal.SIGSTOP)
            time.sleep(fault.duration_s)
            process.send_signal(signal.SIGCONT)
        case 'engine_leaves':
            _leave(parts, endpoint, fault.duration_s)
        case _:
            process = endpoint.process
            for _ in range(_CUT_STREAMS if fault.kind == 'engine_cut' else 1):
                process.call('configure', **_ENDPOINT_FAULTS[fault.kind])
                time.sleep(_CUT_PAUSE_S)
            time.sleep(fault.duration_s)
            if fault.duration_s:
                process.call('configure', **_ENDPOINT_CALM[fault.kind])
    return [endpoint_id]


def _make_brittle(parts: Parts, group: str, duration_s: float) -> list[str]:
    """Let all endpoints of a group be brittle, and have less room a while later."""
    brittle = {
        endpoint.endpoint_id: endpoint.process
        for endpoint in parts.endpoints.endpoints
        if endpoint.group == group
    }
    began_at = time.monotonic()
    _configure(brittle, brittle=BRITTLE_PER_S)
    time.sleep(Bounds().contact_s)
    _configure(brittle, room=BRITTLE_ROOM)
    time.sleep(duration_s - Bounds().contact_s)
    _configure(brittle, room=None, brittle=None)
    for endpoint_id, process in brittle.items():
        with suppress(SoakError):
            parts.falls.update(
                FaultRecord('engine_fall', endpoint_id, at, at + FALL_S)
                for at in process.call('falls')
                if at >= began_at
            )
    return list(brittle)


def _configure(processes: Mapping[str, RoleProcess], **settings: Any) -> None:
    """Set faults of endpoints; those that have been replaced have none."""
    for process in processes.values():
        with suppress(SoakError):
            process.call('configure', **settings)


def _leave(parts: Parts, endpoint: EndpointProcess, duration_s: float) -> None:
    """Let an endpoint drain, then replace it."""
    endpoint.process.call('configure', is_leaving=True)
    endpoint.announce('draining')
    leaving_id = endpoint.endpoint_id
    parts.announced_at[leaving_id] = time.monotonic()
    time.sleep(_LEAVE_S + duration_s)
    if endpoint.endpoint_id == leaving_id:
        endpoint.replace(0)


def _inject_from_operator(parts: Parts, fault: PlannedFault, numbers: str) -> list[str]:
    operator = parts.operator
    match fault.kind:
        case 'key_withdrawn':
            key = sorted(KEYS)[int(fault.at_s * 100) % len(KEYS)]
            operator.withdrawn.add(key)
            operator.send()
            time.sleep(fault.duration_s)
            operator.withdrawn.discard(key)
            operator.send()
        case 'config_storm':
            for _ in range(_SERIES_COUNT):
                count = (len(operator.extra_routes) + 1) % (EXTRA_ROUTES + 1)
                operator.extra_routes = [f'extra-{route + 1}' for route in range(count)]
                operator.send()
                time.sleep(_SERIES_PAUSE_S)
        case _:
            operator.send(is_valid=False)
            time.sleep(fault.duration_s)
            operator.send()
    return ['operator']


_INJECTORS: Mapping[str, Callable[[Parts, PlannedFault, str], list[str]]] = (
    MappingProxyType(
        {
            'daemon': _inject_into_daemon,
            'endpoint': _inject_into_endpoint,
            'link': _inject_into_link,
            'operator': _inject_from_operator,
            'store': _inject_into_store,
        }
    )
)
