"""Cases in which a promise of the fault soak is kept, by its check.

Those on daemons and configurations are here, the others in `soak_kept_answers`.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace
from itertools import repeat
from types import MappingProxyType

import soak_records as records
from soak_kept_answers import KEPT_ANSWERS

from pimentohoist_standins._soak.records import (
    Observations,
)

KEPT: Mapping[str, dict[str, Observations]] = MappingProxyType(
    {
        'lost_at_stop': {
            'sent 2.9 s after SIGTERM, cut in the last sixth': records.attempt_cut_at_stop(
                102.9, 106.7, {}
            ),
            'paused twice, the longer one first': records.with_faults(
                records.attempt_cut_at_stop(105, 106, {}),
                replace(records.PAUSE, ended_at=104),
                replace(records.PAUSE, began_at=102),
            ),
            'a link of nothing known': records.with_faults(
                records.attempt_cut_at_stop(104, 105, {}),
                records.fault_record('link_cut', 'link-7', 101),
            ),
            'sent 2.9 s after SIGTERM, at work in the last sixth': records.attempt_cut_at_stop(
                102.9, 108, {}
            ),
            'sent 2.9 s after SIGTERM, its run goes on': records.attempt_cut_at_stop(
                102.9, 108, {'ended_at': None}
            ),
            'sent to the process before': replace(
                records.attempt_cut_at_stop(99, 101, {}),
                processes=(replace(records.KILLED, started_at=99.5),),
            ),
            'closed 0.1 s after its last byte': records.attempt_cut_at_stop(104, 104.1),
            'sent in part': records.attempt_cut_at_stop(104, 104.3, read_at=None),
            'sent to a process that is gone': records.attempt_cut_at_stop(108.1, 108.5),
            'the engine broke off': records.attempt_cut_at_stop(
                104, 105, records.BROKEN_OFF
            ),
            'deadline reached': records.attempt_cut_at_stop(104, 105, {}, timeout_s=1),
            'the daemon was paused': records.with_faults(
                records.attempt_cut_at_stop(104, 105, {}), records.PAUSE
            ),
            'unknown fault': records.with_faults(
                records.attempt_cut_at_stop(104, 105, {}),
                records.fault_record('disk_full', 'x', 101),
            ),
            'a stream while the store is down': records.with_faults(
                records.attempt_cut_at_stop(104, 105, {}), records.STORE_DOWN
            ),
            'answered 503': replace(
                records.refused_attempt(503), processes=(records.KILLED,)
            ),
        },
        'lost_at_reload': {
            'paused': records.with_faults(
                records.cut_attempt(99, 101, {}),
                records.HUP,
                records.fault_record('pause', 'front-1', 98),
            ),
            'cut before SIGHUP': records.with_faults(
                records.cut_attempt(98, 99.9, {}), records.HUP
            ),
            'sent 2.1 s after SIGHUP': records.with_faults(
                records.cut_attempt(102.1, 103, {}), records.HUP
            ),
            'other daemon': records.with_faults(
                records.cut_attempt(99, 101, {}, daemon='front-2'), records.HUP
            ),
        },
        'lost_at_configuration': {
            'stopping': records.with_configurations(
                records.NEW_ROUTES,
                replace(
                    records.cut_attempt(49, 51, {}), processes=(records.STOPPED_EARLY,)
                ),
            ),
            'paused': records.with_faults(
                records.with_configurations(
                    records.NEW_ROUTES, records.cut_attempt(49, 51, {})
                ),
                records.fault_record('pause', 'front-1', 48),
            ),
            'cut 4 s after': records.with_configurations(
                records.NEW_ROUTES, records.cut_attempt(53, 54, {})
            ),
            'as often as at other times': records.with_configurations(
                records.NEW_ROUTES,
                records.combined_attempts(
                    records.cut_attempt(49, 51, {}), records.cut_attempt(70, 71, {})
                ),
            ),
            'three quarters of its time used': records.with_configurations(
                records.NEW_ROUTES, records.cut_attempt(49, 51, {}, timeout_s=2.66)
            ),
            'not valid': records.with_configurations(
                records.INVALID, records.cut_attempt(49, 51, {})
            ),
            'its engine was killed': records.with_faults(
                records.with_configurations(records.NEW_ROUTES, records.ENDLESS_CUT),
                records.fault_record('engine_crash', 'engine-1', 50.9, 55),
            ),
            'its engine was killed at the end of its leave': records.with_faults(
                records.with_configurations(records.NEW_ROUTES, records.ENDLESS_CUT),
                records.fault_record('engine_leaves', 'engine-1', 48, 51.2),
            ),
        },
        'kept_connections': {
            'new connections': records.combined_attempts(
                *repeat(records.cut_attempt(100, 101, {}, status=0), 4)
            ),
            'begun answers': records.combined_attempts(
                *repeat(records.cut_attempt(100, 101, {}, is_kept=True), 4)
            ),
            'closed three times': records.combined_attempts(
                *repeat(records.KEPT_CUT, 3)
            ),
            'engine crashed': records.with_faults(
                records.combined_attempts(*repeat(records.KEPT_CUT, 4)),
                records.fault_record('engine_crash', 'engine-1', 100.5),
            ),
        },
        'gone_before_kill': {
            'gone after 7.9 s': records.observed(processes=(records.STOPPED,)),
            'paused after SIGTERM': records.observed(
                [], [], [records.PAUSE], processes=(records.KILLED,)
            ),
            'killed by a fault after 1 s': records.process_with_faults(
                signalled_at=100, killed_at=101, ended_at=101, exit_code=-9
            ),
            'the run ends first': records.process_with_faults(signalled_at=199),
        },
        'exit_codes': {
            'code 0': records.observed(processes=(records.STOPPED,)),
            'killed': records.observed(processes=(records.KILLED,)),
        },
        'ready_after_start': {
            'paused': records.process_with_faults(
                records.fault_record('pause', 'front-1', 1, 2), ready_at=6
            ),
            'ready after 1 s': records.observed(),
            'stopped before': records.process_with_faults(
                ready_at=None, signalled_at=4, ended_at=5
            ),
            'store down': records.process_with_faults(
                records.fault_record('store_down', 'store', 1, 8), ready_at=9
            ),
        },
        'runs_once': {
            'refused, then run': records.attempt(
                records.REFUSED, {'endpoint': 'engine-2'}, **records.UNSAFE
            ),
            'safe at two engines': records.attempt(
                records.FAILED, {'endpoint': 'engine-2'}, **records.SAFE
            ),
        },
        'true_refusals': {
            '503 after refusals': records.refused_attempt(
                503, records.REFUSED, records.REFUSED
            ),
            '502 after a broken run': records.refused_attempt(502, records.BROKEN_OFF),
        },
        'runs_asked_for': {'as sent': records.attempt({})},
        'keys_stay_inside': {'no key': records.attempt({})},
        'workspace_of_key': {
            'key moved': records.with_configurations(
                records.OTHER_HOLDER, records.attempt({'workspace': 'office'})
            ),
            'no key': records.attempt({'workspace': ''}, **records.NO_KEY),
        },
        'group_of_route': {
            'former group': records.with_configurations(
                records.MOVED, records.attempt({})
            )
        },
        'drain': {
            'engine was frozen': records.with_faults(
                records.attempt_at_leaving_engine({}),
                *records.attempt_at_leaving_engine({}).faults,
                records.fault_record('engine_freeze', 'engine-1', 98),
            ),
            'daemon was paused': records.with_faults(
                records.attempt_at_leaving_engine({}),
                *records.attempt_at_leaving_engine({}).faults,
                records.fault_record('pause', 'front-1', 98),
            ),
            'engine fails but stays': records.with_faults(
                records.attempt({}), records.fault_record('engine_fail', 'engine-1', 90)
            ),
            '1.9 s after': records.attempt_at_leaving_engine({}, began_at=98.2),
            'misdirected': records.attempt_at_leaving_engine(
                {'status': 421, **records.REFUSED}
            ),
            'link was cut': records.with_faults(
                records.attempt_at_leaving_engine({}),
                *records.attempt_at_leaving_engine({}).faults,
                records.LINK_CUT,
            ),
            'store was slow': records.with_faults(
                records.attempt_at_leaving_engine({}),
                *records.attempt_at_leaving_engine({}).faults,
                records.fault_record('store_slow', 'store', 85, 89),
            ),
        },
        'configuration_in_force': {
            'no key': records.with_configurations(
                records.NEW_KEYS, records.attempt({'workspace': ''}, **records.NO_KEY)
            ),
            'no key refused': records.with_configurations(
                records.NEW_KEYS, records.refused_attempt(401, **records.NO_KEY)
            ),
            'never acknowledged': records.with_configurations(
                (
                    records.CONFIGURATION,
                    replace(records.NEW_KEYS[1], acknowledged_at=None),
                ),
                records.attempt({}),
            ),
            'store down': records.with_faults(
                records.with_configurations(records.NEW_KEYS, records.attempt({})),
                records.fault_record('store_down', 'x', 98),
            ),
            'started 2 s before': replace(
                records.with_configurations(records.NEW_KEYS, records.attempt({})),
                processes=(replace(records.PROCESS, started_at=98),),
            ),
            'withdrawn key refused': records.with_configurations(
                records.NEW_KEYS, records.refused_attempt(401)
            ),
            '1.5 s after': records.with_configurations(
                records.NEW_KEYS, records.attempt({}, sent_at=51.6, ended_at=52)
            ),
            'the engine answers 404': records.with_configurations(
                records.NEW_ROUTES, records.attempt({}, route='look', status=404)
            ),
            'paused': records.with_faults(
                records.with_configurations(records.NEW_KEYS, records.attempt({})),
                records.fault_record('pause', 'front-1', 90, 98),
            ),
            'sent meanwhile': records.with_configurations(
                (records.CONFIGURATION, replace(records.MOVED[1], sent_at=100.05)),
                records.attempt(records.AT_SECOND),
            ),
        },
        'no_rollback': {
            'process unknown': replace(records.requests_after_move(51.4), processes=()),
            'old group sent 0.2 s after the new': records.requests_after_move(51.2),
            'another process': replace(
                records.requests_after_move(51.4), processes=records.RESTARTED
            ),
            'paused': records.with_faults(
                records.requests_after_move(51.4),
                records.fault_record('pause', 'front-1', 50),
            ),
        },
        **KEPT_ANSWERS,
    }
)
